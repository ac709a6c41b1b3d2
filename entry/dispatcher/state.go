// Package dispatcher implements the reducer of an entry process.
// [State.Update] takes one typed event and returns effects as data. It
// combines the registrar of jobs, the broker of slots, the membership and the
// configuration.
package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/identifier"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/broker"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
	"github.com/godwitrelay/godwitrelay/entry/registrar"
)

// Settings configures an entry. Durations must be positive, except that a
// LeaseTTL of 0 disables the lease.
type Settings struct {
	Self            messenger.Member
	FailureDomain   string
	Region          string
	Signer          identifier.Signer
	Seeds           []string
	RemoteSeeds     []string
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	MaxTasks        int
	MaxHeldBytes    int64
	// AnswerKeep is the maximum time for which the answer of a finished job is
	// kept.
	AnswerKeep time.Duration
	// AnswerBytes limits the bytes of kept answers.
	AnswerBytes int64
	// IDKeep is the retention period of job ids: an unused id can start a job for
	// at least this long after it was issued.
	IDKeep time.Duration
	// BalancerNotice is how long a stopping entry still accepts new work, so that
	// load balancers can notice that it is not ready.
	BalancerNotice time.Duration
	// StopLinger is how long an idle stopping entry still answers resubmissions
	// before it exits.
	StopLinger time.Duration
	LeaseTTL   time.Duration
	Broker     broker.Settings
	Gossiper   gossiper.Settings
	Seed       uint64
}

// State is the state of an entry's reducer. Create one with [New].
type State struct {
	cfg      Settings
	jobs     *registrar.Registrar
	broker   *broker.State
	gossiper *gossiper.State
	follower *follower.State
	// active is the configuration in force.
	active follower.Accepted
	// vms is the platform's list of VMs as last read; vmsKnown is set once it
	// has been read. fetchingVMs is set while a request for it to another entry
	// is in flight.
	vms         messenger.VMList
	vmsKnown    bool
	fetchingVMs bool
	// remotePeers lists the peer addresses of other failure domains.
	remotePeers []string

	members []messenger.Member
	session brokerSession
	// sequence numbers the messages to brokers. It continues across sessions, so
	// that a new session with the same broker is not taken for a duplicate.
	sequence     uint64
	grantSenders map[messenger.Member]*grantSender
	runningTasks map[taskKey]runningTask
	startedAt    time.Time
	// discovered is set once another member is known or discoveryTime has passed;
	// nothing is sent to brokers and no job is accepted before.
	discovered bool
	seedsSent  bool
	rand       *rand.Rand
	timers     timers
	stop       plannedStop

	// appendingSnapshot is set while a snapshot is being appended to the log.
	// snapshotDelayShare is a random number from 0 to 1 that selects the jitter
	// after which this entry publishes the next snapshot (see
	// [follower.State.SnapshotDue]). It is 0 until it is drawn.
	appendingSnapshot  bool
	snapshotDelayShare float64
	nextSnapshotAt     time.Time

	// pendingForwards counts the requests forwarded to other entries and not yet
	// answered.
	pendingForwards int
	// forwardCost is the number of bytes held by each of them, by waiter, and
	// forwardBytes their sum. A forward continues after its caller has left.
	forwardCost  map[Waiter]int64
	forwardBytes int64
	// requestedIDs is the number of unused ids that a waiter requested with its
	// answer.
	requestedIDs map[Waiter]int
	// admissionWaiters holds, by job id, the waiters that are answered as soon
	// as the job is admitted.
	admissionWaiters map[string]Waiter

	// collector receives the broker's output for the member whose message is
	// being handled, so that grants are sent in the reply.
	collector *replyCollector
	cmds      []Cmd
}

// New returns the state of an entry that starts at time now.
func New(now time.Time, cfg Settings) *State {
	issuer := registrar.Issuer{
		Signer: cfg.Signer, FailureDomain: cfg.FailureDomain, Address: cfg.Self.Address,
		Incarnation: cfg.Self.Incarnation, Retention: cfg.IDKeep,
	}
	return &State{
		cfg:          cfg,
		jobs:         registrar.New(issuer, cfg.AnswerKeep, cfg.AnswerBytes),
		broker:       broker.New(cfg.Self, cfg.Broker),
		gossiper:     gossiper.New(cfg.Self, cfg.FailureDomain, cfg.Gossiper, cfg.Seed),
		follower:     follower.New(),
		members:      []messenger.Member{cfg.Self},
		runningTasks: map[taskKey]runningTask{},
		rand:         rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		requestedIDs: map[Waiter]int{},

		forwardCost: map[Waiter]int64{},

		admissionWaiters: map[string]Waiter{},
		session:          brokerSession{to: cfg.Self, needRegistration: true},
		grantSenders:     map[messenger.Member]*grantSender{},
		startedAt:        now,
	}
}

// Update handles one event at time now and returns the resulting effects. The
// slice is valid until the next call.
func (s *State) Update(now time.Time, msg Msg) []Cmd {
	s.cmds = s.cmds[:0]
	switch msg := msg.(type) {
	case IssueIDs:
		s.handleIssueIDs(now, msg)
	case Submit:
		s.handleSubmit(now, msg)
	case Fetch:
		s.handleFetch(now, msg)
	case Cancel:
		s.handleCancel(now, msg)
	case Abandon:
		s.handleAbandon(msg)
	case Forwarded:
		s.handleForwarded(now, msg)
	case TaskEnded:
		s.handleTaskEnded(now, msg)
	case SlotsReceived:
		s.handleSlotsReceived(now, msg)
	case SlotsAnswered:
		s.handleSlotsAnswered(now, msg)
	case GrantsReceived:
		s.handleGrantsReceived(now, msg)
	case GrantsSent:
		s.handleGrantsSent(now, msg)
	case Probed:
		s.updateBroker(now, broker.Probed{Target: msg.Target, Status: msg.Status, Failed: msg.Err != nil})
	case Heard:
		s.handleHeard(now, msg)
	case LogRead:
		s.handleLogRead(now, msg)
	case ConfigurationFetched:
		s.handleConfigurationFetched(now, msg)
	case VMsAsked:
		s.reply(msg.Waiter, s.vms)
	case VMsListed:
		s.handleVMsListed(now, msg)
	case UsageRead:
		s.handleUsageRead(now, msg)
	case ConfigurationAsked:
		s.reply(msg.Waiter, s.active)
	case StatusAsked:
		s.reply(msg.Waiter, s.status())
	case Drain:
		s.handleDrain(now)
	case Tick:
		s.handleTick(now)
	case SnapshotAppended:
		s.appendingSnapshot, s.snapshotDelayShare = false, 0
	case BeatFailed:
		s.updateGossiper(now, gossiper.HeartbeatFailed{Address: msg.Address, Refused: msg.Refused})
	}
	s.flush(now)
	return s.cmds
}

// Ready reports whether callers may be sent to this entry: it knows the
// configuration, the targets and the other members, and is not stopping.
func (s *State) Ready() bool {
	return s.discovered && s.vmsKnown && s.active.Version > 0 && !s.stop.started
}

func (s *State) emit(cmd Cmd) { s.cmds = append(s.cmds, cmd) }

func (s *State) reply(w Waiter, value any) {
	if w != 0 {
		s.emit(Reply{Waiter: w, Value: value})
	}
}

func (s *State) log(part, text string) { s.emit(Log{Part: part, Text: text}) }

func (s *State) status() messenger.EntryStatus {
	active := s.active
	return messenger.EntryStatus{
		Self: s.cfg.Self, FailureDomain: s.cfg.FailureDomain,
		Ready: s.Ready(), Stopping: s.stop.started,
		ConfigVersion: active.Version, ChangeID: active.ChangeID,
		Members: s.gossiper.Members(), Jobs: s.jobs.InProgress(),
		Brokered: s.broker.Services(), ListedTargets: len(s.listedTargets()),
	}
}
