// Package worker decides for one stand-in target: which tasks start, how long
// they run, how they end, and which faults they meet. It does no I/O and reads
// no clock.
package worker

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Identity is what a target says of itself. It does not change while the
// target runs, but for Slots and Leaving, whose present values the worker has.
type Identity = messenger.VM

// Worker is one target. Make one with [New]. It is not safe for several
// goroutines.
type Worker struct {
	identity Identity
	// leaseGuards is set if the target refuses work without a lease.
	leaseGuards bool
	leaseEnds   time.Time
	slots       int
	inFlight    int
	leaving     bool
	stopping    bool
	faults      Faults
	counters    Counters
	random      *rand.Rand
}

// New returns an idle target. With leaseGuards it takes no work until a lease
// is granted. The seed starts the source of randomness.
func New(identity Identity, leaseGuards bool, seed uint64) *Worker {
	return &Worker{
		identity:    identity,
		leaseGuards: leaseGuards,
		slots:       identity.Slots,
		faults:      Faults{SlowFactor: 1, SlowPercent: 100},
		random:      rand.New(rand.NewPCG(seed, seed)),
	}
}

// Cut tells where the connection of a task is closed.
type Cut int

// The places of a cut.
const (
	NoCut Cut = iota
	// CutAfterRead closes the connection once the task has started.
	CutAfterRead
	// CutMidReply closes the connection after half of the reply.
	CutMidReply
)

// Plan is the decision on one task request. With a Refusal the task does not
// start. Otherwise it holds a slot for RunFor, after which [Worker.End] must be
// called once. ReplyDelay is the time between the end and the reply.
type Plan struct {
	Refusal    *messenger.TaskError
	JobID      string
	Task       int
	RunFor     time.Duration
	Fails      bool
	Value      json.RawMessage
	ReplyDelay time.Duration
	Cut        Cut
}

// Start decides on a task request and takes a slot unless it is refused.
func (w *Worker) Start(now time.Time, r messenger.TaskRequest) Plan {
	p, err := w.parse(r)
	switch {
	case err != nil:
		w.counters.BadTasks++
		p.Refusal = &messenger.TaskError{Kind: messenger.BadTask, Message: err.Error()}
	case w.leaving:
		w.counters.LeavingRefusals++
		p.Refusal = &messenger.TaskError{Kind: messenger.Leaving, Message: "the target is leaving"}
	case w.leaseGuards && !now.Before(w.leaseEnds):
		w.counters.LapsedRefusals++
		p.Refusal = &messenger.TaskError{Kind: messenger.LeaseLapsed, Message: "the target holds no lease"}
	case w.inFlight >= w.slots:
		w.counters.BusyRefusals++
		p.Refusal = &messenger.TaskError{Kind: messenger.Busy, Message: fmt.Sprintf("all %d slots are in use", w.slots)}
	default:
		w.counters.Starts++
		w.inFlight++
		w.counters.MaxInFlight = max(w.counters.MaxInFlight, w.inFlight)
		w.applyFaults(&p)
	}
	return p
}

// End frees the slot of a task that ran for ran, and returns the status and
// the body of its reply.
func (w *Worker) End(r messenger.TaskRequest, p Plan, ran time.Duration) (int, messenger.TaskReply) {
	w.inFlight--
	w.counters.Ends++
	reply := messenger.TaskReply{TaskID: r.TaskID, RunMs: ran.Round(time.Millisecond).Milliseconds(), Status: w.Status()}
	if p.Fails {
		w.counters.Failed++
		reply.Error = &messenger.TaskError{Kind: messenger.TaskFault, Message: "the task failed", Started: true}
		return http.StatusInternalServerError, reply
	}
	reply.Result = result(p.Value, r.TaskID)
	return http.StatusOK, reply
}

// Refuse returns the status and the body of the reply for a refused task.
func (w *Worker) Refuse(r messenger.TaskRequest, e *messenger.TaskError) (int, messenger.TaskReply) {
	status := http.StatusServiceUnavailable
	if e.Kind == messenger.BadTask {
		status = http.StatusBadRequest
	}
	return status, messenger.TaskReply{TaskID: r.TaskID, Error: e, Status: w.Status()}
}

// Malformed returns the reply for a body that is not a task request.
func (w *Worker) Malformed(message string) (int, messenger.TaskReply) {
	w.counters.BadTasks++
	return w.Refuse(messenger.TaskRequest{}, &messenger.TaskError{Kind: messenger.BadTask, Message: message})
}

// Status returns the target's state.
func (w *Worker) Status() messenger.TargetStatus {
	return messenger.TargetStatus{
		Service:  w.identity.Service,
		Slots:    w.slots,
		InFlight: w.inFlight,
		MemoryMB: w.identity.MemoryMB,
		Leaving:  w.leaving,
	}
}

// Probe counts a status request and reports whether it gets an answer.
func (w *Worker) Probe() bool {
	w.counters.StatusRequests++
	return !w.faults.HangStatus
}

// Row returns the target's row of the VM list.
func (w *Worker) Row() messenger.VM {
	vm := w.identity
	vm.Slots = w.slots
	vm.Leaving = w.leaving
	return vm
}

// Renews reports whether the target renews its lease.
func (w *Worker) Renews() bool { return !w.faults.FreezeLease }

// Granted records a lease of ttl that was asked for at the time sent. Counting
// from the request ends the lease here no later than on the platform.
func (w *Worker) Granted(sent time.Time, ttl time.Duration) {
	if ends := sent.Add(ttl); ends.After(w.leaseEnds) {
		w.leaseEnds = ends
	}
}

// Leave makes the target refuse new tasks for good, and reports whether it
// took tasks before.
func (w *Worker) Leave() bool {
	was := w.leaving
	w.leaving, w.stopping = true, true
	return !was
}

func (w *Worker) applyFaults(p *Plan) {
	f := &w.faults
	if f.Broken {
		p.Fails, p.RunFor = true, 0
		return
	}
	p.Fails = w.happens(f.FailPercent)
	if w.happens(f.SlowPercent) {
		p.RunFor = time.Duration(float64(p.RunFor) * f.SlowFactor)
	}
	p.ReplyDelay = time.Duration(f.ReplyDelayMs) * time.Millisecond
	if f.ReplyJitterMs > 0 {
		p.ReplyDelay += time.Duration(w.random.Int64N(f.ReplyJitterMs+1)) * time.Millisecond
	}
	switch {
	case f.CloseAfterRead > 0:
		f.CloseAfterRead--
		p.Cut = CutAfterRead
		w.counters.CutReplies++
	case f.CloseMidReply > 0:
		f.CloseMidReply--
		p.Cut = CutMidReply
		w.counters.CutReplies++
	}
}

func (w *Worker) happens(percent int64) bool {
	return percent >= 100 || percent > 0 && w.random.Int64N(100) < percent
}
