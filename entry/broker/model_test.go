package broker

import (
	"fmt"
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// taskKey identifies one task of a job.
type taskKey struct {
	job string
	n   int
}

// liveGrant is a live grant according to the model.
type liveGrant struct {
	messenger.Grant
	owner *entry
	team  string
	bulk  bool
	at    time.Time
}

// entry models one entry process: its jobs, its live grants and the faults of
// its connection to the broker.
type entry struct {
	member           messenger.Member
	alive            bool
	sequence         uint64
	jobs             []*entryJob
	heldGrants       []messenger.Grant
	unusedReleases   []messenger.Release
	lastRequest      *messenger.SlotsRequest
	delayedRequest   *messenger.SlotsRequest
	delayNextRequest bool
	loseNextSend     bool
	// delaySends holds back messages from the broker in lateSends until it is
	// cleared.
	delaySends       bool
	lateSends        []lateSend
	needRegistration bool

	// What the broker must know about the entry.
	lastSequence uint64
	registered   bool
}

// remainingMs returns the time left until the deadline, at least 1.
func (j *entryJob) remainingMs(now time.Time) int64 {
	return max(1, j.deadline.Sub(now).Milliseconds())
}

// extendDeadline moves the deadline to inMs from now if that is later.
func (j *entryJob) extendDeadline(now time.Time, inMs int64) {
	if d := now.Add(time.Duration(inMs) * time.Millisecond); d.After(j.deadline) {
		j.deadline = d
	}
}

type lateSend struct {
	Send
	at time.Time
}

type entryJob struct {
	messenger.SlotRequest
	waiting  []int
	deadline time.Time
	refused  bool
	canceled bool
}

// world runs a broker against models of entries and targets. It checks the
// invariants after every event and collects their violations.
type world struct {
	broker         *State
	at             time.Time
	entries        []*entry
	vms            []messenger.VM
	unreachable    map[string]bool
	liveGrants     map[taskKey]liveGrant
	noGrantsBefore map[string]time.Time
	jobCount       int
	commandLog     [][]Cmd
	violations     []string
}

func newWorld(settings Settings) *world {
	w := &world{broker: New(self, settings), at: epoch, unreachable: map[string]bool{}, liveGrants: map[taskKey]liveGrant{}, noGrantsBefore: map[string]time.Time{}}
	c := testConfiguration(9)
	c.Teams["blue"] = planner.Team{Slots: 4}
	for i := range 3 {
		m := messenger.Member{Address: fmt.Sprintf("127.0.0.1:%d", i+1), Incarnation: uint64(11 * (i + 1))}
		w.entries = append(w.entries, &entry{member: m, alive: true})
	}
	w.vms = testTargets(5, 2)
	w.vms[4].MemoryMB = 4000
	w.update(ConfigurationChanged{Configuration: c, FailureDomain: "a"})
	w.update(TargetsListed{VMs: w.vms})
	w.assign(true)
	return w
}

func (w *world) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// assign updates the membership and adds or removes the service.
func (w *world) assign(service bool) {
	m := ServicesAssigned{}
	if service {
		m.Services = []string{"orders"}
	} else {
		w.liveGrants = map[taskKey]liveGrant{}
	}
	for _, e := range w.entries {
		if e.alive {
			m.Members = append(m.Members, e.member)
		} else {
			e.registered = false
		}
	}
	w.update(m)
	for _, e := range w.entries {
		e.needRegistration = e.needRegistration || service && e.alive
	}
}

// update passes an event to the broker and carries out the resulting commands.
func (w *world) update(m Msg) {
	cmds := w.broker.Update(w.at, m)
	w.commandLog = append(w.commandLog, cmds)
	if _, ok := m.(Tick); ok {
		// The lease, and another one as margin, as in State.addGrant.
		end := 2 * time.Duration(w.broker.Settings.LeaseMs) * time.Millisecond
		for k, g := range w.liveGrants {
			if !g.owner.alive && !w.at.Before(g.at.Add(end)) {
				delete(w.liveGrants, k)
			}
		}
	}
	var results []Msg
	for _, c := range cmds {
		switch c := c.(type) {
		case Send:
			if w.deliver(c) {
				results = append(results, SendFailed{To: c.To})
			}
		case Probe:
			results = append(results, Probed{Target: c.Target, Failed: w.unreachable[c.Target], Status: messenger.TargetStatus{Slots: 2}})
		}
	}
	w.checkInUse()
	for _, m := range results {
		w.update(m)
	}
}

// deliver passes a message from the broker to the entry. It reports whether the
// message to a live entry was lost.
func (w *world) deliver(c Send) bool {
	e := w.entries[slices.IndexFunc(w.entries, func(e *entry) bool { return e.member == c.To })]
	for _, g := range c.Grants {
		w.checkGrant(e, g)
	}
	for _, r := range c.Refusals {
		w.forbidGrants(r.JobID, tombstoneTTLMs)
	}
	if e.alive && e.delaySends {
		e.lateSends = append(e.lateSends, lateSend{c, w.at})
		return false
	}
	if !e.alive || e.loseNextSend {
		e.loseNextSend = false
		return e.alive
	}
	w.receive(e, c)
	return false
}

// forbidGrants makes a grant for the job within forMs from now a violation.
func (w *world) forbidGrants(job string, forMs int64) {
	if until := w.at.Add(time.Duration(forMs) * time.Millisecond); until.After(w.noGrantsBefore[job]) {
		w.noGrantsBefore[job] = until
	}
}

// foreverMs is longer than any run of the model.
const foreverMs = int64(1 << 40)

// receive applies a message from the broker to the entry. Grants for tasks that
// do not wait are returned unused with the entry's next message.
func (w *world) receive(e *entry, c Send) {
	e.needRegistration = e.needRegistration || c.NeedRegistration
	for _, r := range c.Refusals {
		w.forbidGrants(r.JobID, foreverMs)
		for _, j := range e.jobs {
			if j.JobID == r.JobID {
				j.refused, j.waiting = true, nil
			}
		}
	}
	for _, g := range c.Grants {
		j := e.job(g.JobID)
		i := -1
		if j != nil {
			i = slices.Index(j.waiting, g.Task)
		}
		if i < 0 {
			e.unusedReleases = append(e.unusedReleases, messenger.Release{Grant: g, Outcome: messenger.GrantUnused})
			continue
		}
		j.waiting = slices.Delete(j.waiting, i, i+1)
		e.heldGrants = append(e.heldGrants, g)
	}
}

func (e *entry) job(id string) *entryJob {
	for _, j := range e.jobs {
		if j.JobID == id {
			return j
		}
	}
	return nil
}

// checkGrant records a new grant and checks the invariants of grants: one per
// task, a usable target, and the limits of target, service, team and class.
func (w *world) checkGrant(e *entry, g messenger.Grant) {
	key := taskKey{g.JobID, g.Task}
	j := e.job(g.JobID)
	if j == nil {
		w.violation("grant %v for a job that the entry does not have", g)
		return
	}
	if old, ok := w.liveGrants[key]; ok {
		w.violation("grants %v and %v for one task", old.Grant, g)
	}
	if w.at.After(j.deadline) {
		w.violation("grant %v after the deadline", g)
	}
	if w.at.Before(w.noGrantsBefore[g.JobID]) {
		w.violation("grant %v for a refused or cancelled job", g)
	}
	w.liveGrants[key] = liveGrant{Grant: g, owner: e, team: j.Team, bulk: j.RequestType == "batch", at: w.at}
	var all, onTarget, blue, bulkUse, slots int
	for _, l := range w.liveGrants {
		all++
		onTarget += boolToInt(l.Target == g.Target)
		blue += boolToInt(l.team == "blue")
		bulkUse += boolToInt(l.bulk)
	}
	for _, t := range w.broker.Services()[0].Targets {
		usable := t.State == "ready" || t.State == "trial"
		if usable {
			slots += t.Slots
		}
		if t.Address == g.Target && !usable {
			w.violation("grant %v to a target that is %s", g, t.State)
		}
	}
	vm := w.vms[slices.IndexFunc(w.vms, func(v messenger.VM) bool { return v.Address == g.Target })]
	if vm.Leaving || vm.MemoryMB < j.DeclaredMemoryMB {
		w.violation("grant %v to %v for a job of %d MB", g, vm, j.DeclaredMemoryMB)
	}
	bulkLimit := max(1, min(9, slots)*90/100)
	if onTarget > 2 || all > 9 || blue > 4 && j.Team == "blue" || bulkUse > bulkLimit && j.RequestType == "batch" {
		w.violation("grant %v: %d on the target, %d in all, %d of team blue, %d of %d for bulk", g, onTarget, all, blue, bulkUse, bulkLimit)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// checkInUse checks that the slots in use equal the live grants, in total and for
// each target.
func (w *world) checkInUse() {
	if len(w.broker.Services()) == 0 {
		return
	}
	state := w.broker.Services()[0]
	if state.InUse != len(w.liveGrants) {
		w.violation("the service has %d slots in use, but %d grants are live", state.InUse, len(w.liveGrants))
	}
	for _, t := range state.Targets {
		n := 0
		for _, g := range w.liveGrants {
			n += boolToInt(g.Target == t.Address)
		}
		if n != t.InUse {
			w.violation("target %s has %d slots in use, but %d grants are live", t.Address, t.InUse, n)
		}
	}
}

// send passes a message from the entry to the broker, unless it is delayed. A
// delayed message follows the next one, out of order.
func (w *world) send(e *entry, r messenger.SlotsRequest) {
	e.sequence++
	r.From, r.Sequence = e.member, e.sequence
	r.Releases = append(r.Releases, e.unusedReleases...)
	e.unusedReleases = nil
	if e.delayNextRequest && e.delayedRequest == nil && !r.Full {
		e.delayedRequest, e.delayNextRequest = &r, false
		return
	}
	w.transmit(e, r)
	if d := e.delayedRequest; d != nil {
		e.delayedRequest = nil
		w.transmit(e, *d)
	}
}

// transmit applies the message to the model if the broker has to accept it, and
// then passes it to the broker.
func (w *world) transmit(e *entry, r messenger.SlotsRequest) {
	e.lastRequest = &r
	if r.Sequence > e.lastSequence && (e.registered || r.Full) {
		e.lastSequence = r.Sequence
		for _, rel := range r.Releases {
			if k := (taskKey{rel.Grant.JobID, rel.Grant.Task}); w.liveGrants[k].ID == rel.Grant.ID {
				delete(w.liveGrants, k)
			}
		}
		// The time until a deadline counts from receipt of the message.
		for _, q := range r.Requests {
			e.job(q.JobID).extendDeadline(w.at, q.DeadlineInMs)
		}
		for _, h := range r.Held {
			e.job(h.Grant.JobID).extendDeadline(w.at, h.DeadlineInMs)
		}
		if r.Full {
			e.registered = true
			w.replaceGrants(e, r.Held)
		}
	}
	w.update(SlotsReceived{r})
}

// replaceGrants replaces the live grants of the entry by those it registered.
func (w *world) replaceGrants(e *entry, held []messenger.RunningGrant) {
	for k, g := range w.liveGrants {
		if g.owner == e {
			delete(w.liveGrants, k)
		}
	}
	if len(w.broker.Services()) == 0 {
		return
	}
	for _, h := range held {
		w.liveGrants[taskKey{h.Grant.JobID, h.Grant.Task}] = liveGrant{Grant: h.Grant, owner: e, team: h.Team, bulk: h.Priority == messenger.Bulk, at: w.at}
	}
}

// register sends a registration of the entry.
func (w *world) register(e *entry) {
	e.needRegistration = false
	r := messenger.SlotsRequest{Full: true}
	for _, g := range e.heldGrants {
		j := e.job(g.JobID)
		r.Held = append(r.Held, messenger.RunningGrant{Grant: g, Team: j.Team, RequestType: j.RequestType, Priority: j.Priority, DeclaredMemoryMB: j.DeclaredMemoryMB, DeadlineInMs: j.remainingMs(w.at)})
	}
	for _, j := range e.jobs {
		if len(j.waiting) > 0 {
			q := j.SlotRequest
			q.Tasks, q.Admitted, q.DeadlineInMs = slices.Clone(j.waiting), true, j.remainingMs(w.at)
			r.Requests = append(r.Requests, q)
		}
	}
	w.send(e, r)
}
