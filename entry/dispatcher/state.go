// Package dispatcher is the reducer of an entry process. [State.Update] takes
// one typed event and returns effects as data; it composes the registrar of
// jobs, the broker of slots, the membership and the configuration.
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

// Settings are the choices that an entry is started with. Durations must be
// positive.
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
	AnswerKeep      time.Duration
	AnswerBytes     int64
	IDKeep          time.Duration
	BalancerNotice  time.Duration
	StopLinger      time.Duration
	LeaseTTL        time.Duration
	Broker          broker.Settings
	Gossiper        gossiper.Settings
	Seed            uint64
}

// State is all that an entry decides from. Make one with [New].
type State struct {
	cfg      Settings
	jobs     *registrar.Registrar
	broker   *broker.State
	gossiper *gossiper.State
	follower *follower.State
	// present is the configuration in force.
	present follower.Accepted
	// vms is the platform's list as it was last read, and listed tells whether
	// it ever was. askingVMs is set while another entry is asked for it.
	vms       messenger.VMList
	listed    bool
	askingVMs bool
	// remote lists peer addresses of other failure domains.
	remote []string

	members []messenger.Member
	link    link
	// sequence numbers the messages to brokers; it grows over all links, so
	// that a new link to the same broker is not taken for a repeat.
	sequence uint64
	senders  map[messenger.Member]*sender
	held     map[taskKey]heldTask
	started  time.Time
	settled  bool
	seeded   bool
	rand     *rand.Rand
	timers   timers
	stop     stopping

	// appending is set while a snapshot is on its way to the log;
	// snapshotDelay is this entry's share of the random delay, 0 to 1.
	appending     bool
	snapshotDelay float64
	snapshotAfter time.Time

	// forwards counts requests passed to other entries and not yet answered.
	forwards int
	// forwardCost holds the bytes that each of them takes, by waiter, and
	// forwardBytes their sum: a forward goes on when its caller has left.
	forwardCost  map[Waiter]int64
	forwardBytes int64
	// moreIDs holds how many unused ids a waiter asked for with its answer.
	moreIDs map[Waiter]int
	// untilAdmitted holds waiters that want to know only whether their job,
	// by id, is taken up.
	untilAdmitted map[string]Waiter

	// collect receives the broker's Send for the member whose message is
	// being answered, so that grants travel in the reply.
	collect *collector
	out     []Cmd
}

// New returns the state of an entry that starts at the time now.
func New(now time.Time, cfg Settings) *State {
	issuer := registrar.Issuer{
		Signer: cfg.Signer, FailureDomain: cfg.FailureDomain, Address: cfg.Self.Address,
		Incarnation: cfg.Self.Incarnation, Keep: cfg.IDKeep,
	}
	return &State{
		cfg:      cfg,
		jobs:     registrar.New(issuer, cfg.AnswerKeep, cfg.AnswerBytes),
		broker:   broker.New(cfg.Self, cfg.Broker),
		gossiper: gossiper.New(cfg.Self, cfg.FailureDomain, cfg.Gossiper, cfg.Seed),
		follower: follower.New(),
		members:  []messenger.Member{cfg.Self},
		held:     map[taskKey]heldTask{},
		rand:     rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		moreIDs:  map[Waiter]int{},

		forwardCost: map[Waiter]int64{},

		untilAdmitted: map[string]Waiter{},
		link:          link{to: cfg.Self, needFull: true},
		senders:       map[messenger.Member]*sender{},
		started:       now,
	}
}

// Update takes one event at the time now and returns the effects it asks for.
// The slice is valid until the next call.
func (s *State) Update(now time.Time, msg Msg) []Cmd {
	s.out = s.out[:0]
	switch msg := msg.(type) {
	case IssueIDs:
		s.issueIDs(now, msg)
	case Submit:
		s.submit(now, msg)
	case Fetch:
		s.fetch(now, msg)
	case Cancel:
		s.cancel(now, msg)
	case Abandon:
		s.abandon(msg)
	case Forwarded:
		s.forwarded(now, msg)
	case TaskEnded:
		s.taskEnded(now, msg)
	case SlotsReceived:
		s.slotsReceived(now, msg)
	case SlotsAnswered:
		s.slotsAnswered(now, msg)
	case GrantsReceived:
		s.grantsReceived(now, msg)
	case GrantsSent:
		s.grantsSent(now, msg)
	case Probed:
		s.updateBroker(now, broker.Probed{Target: msg.Target, Status: msg.Status, Failed: msg.Err != nil})
	case Heard:
		s.heard(now, msg)
	case LogRead:
		s.logRead(now, msg)
	case ConfigurationFetched:
		s.configurationFetched(now, msg)
	case VMsAsked:
		s.reply(msg.Waiter, s.vms)
	case VMsListed:
		s.vmsListed(now, msg)
	case UsageRead:
		s.usageRead(now, msg)
	case ConfigurationAsked:
		s.reply(msg.Waiter, s.present)
	case StatusAsked:
		s.reply(msg.Waiter, s.status())
	case Drain:
		s.drain(now)
	case Tick:
		s.tick(now)
	case SnapshotAppended:
		s.appending, s.snapshotDelay = false, 0
	case BeatFailed:
		s.updateGossiper(now, gossiper.Failed{Address: msg.Address, Refused: msg.Refused})
	}
	s.flush(now)
	return s.out
}

// Ready tells whether callers may be sent here: this entry knows the
// configuration, the targets and the other members, and is not stopping.
func (s *State) Ready() bool {
	return s.settled && s.listed && s.present.Version > 0 && !s.stop.begun
}

func (s *State) emit(cmd Cmd) { s.out = append(s.out, cmd) }

func (s *State) reply(w Waiter, value any) {
	if w != 0 {
		s.emit(Reply{Waiter: w, Value: value})
	}
}

func (s *State) log(part, text string) { s.emit(Log{Part: part, Text: text}) }

func (s *State) status() messenger.EntryStatus {
	present := s.present
	return messenger.EntryStatus{
		Self: s.cfg.Self, FailureDomain: s.cfg.FailureDomain,
		Ready: s.Ready(), Stopping: s.stop.begun,
		ConfigVersion: present.Version, ChangeID: present.ChangeID,
		Members: s.gossiper.Members(), Jobs: s.jobs.InProgress(),
		Brokered: s.broker.Services(),
	}
}
