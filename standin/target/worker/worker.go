// Package worker implements the state of one simulated target. It decides which
// tasks start, how long they run, whether they fail, and which faults apply. It
// does no I/O, and callers pass in the current time.
package worker

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Identity describes a target. It is constant while the target runs, except for
// Slots and Leaving, whose current values are held by the [Worker].
type Identity = messenger.VM

// Worker is the state of one target. Use [New] to create one. It is not safe for
// concurrent use.
type Worker struct {
	identity Identity
	// leaseRequired makes the target refuse tasks without a lease.
	leaseRequired bool
	leaseExpires  time.Time
	slots         int
	inFlight      int
	leaving       bool
	stopping      bool
	faults        Faults
	counters      Counters
	rng           *rand.Rand
}

// New returns an idle target. If leaseRequired is set, it refuses tasks until a
// lease is recorded. The seed initializes the random number generator.
func New(identity Identity, leaseRequired bool, seed uint64) *Worker {
	return &Worker{
		identity:      identity,
		leaseRequired: leaseRequired,
		slots:         identity.Slots,
		faults:        Faults{SlowFactor: 1, SlowPercent: 100},
		rng:           rand.New(rand.NewPCG(seed, seed)),
	}
}

// Disconnect specifies when to close the connection of a task request.
type Disconnect int

// Points at which the connection can be closed.
const (
	NoDisconnect Disconnect = iota
	// DisconnectAfterRead closes the connection after the task has started.
	DisconnectAfterRead
	// DisconnectMidReply closes the connection after half of the reply body.
	DisconnectMidReply
)

// Plan describes how to handle a task request. If Refusal is set, the task does
// not start. Otherwise it occupies a slot for RunFor, after which [Worker.End]
// must be called once. ReplyDelay is the delay between completion and reply.
type Plan struct {
	Refusal    *messenger.TaskError
	JobID      string
	Task       int
	RunFor     time.Duration
	Fails      bool
	Value      json.RawMessage
	ReplyDelay time.Duration
	Disconnect Disconnect
}

// Start plans a task request and occupies a slot unless the task is refused.
func (w *Worker) Start(now time.Time, r messenger.TaskRequest) Plan {
	p, err := w.parse(r)
	switch {
	case err != nil:
		w.counters.BadTasks++
		p.Refusal = &messenger.TaskError{Kind: messenger.TaskErrorBadTask, Message: err.Error()}
	case w.leaving:
		w.counters.LeavingRefusals++
		p.Refusal = &messenger.TaskError{Kind: messenger.TaskErrorLeaving, Message: "target is leaving"}
	case w.leaseRequired && !now.Before(w.leaseExpires):
		w.counters.LapsedRefusals++
		p.Refusal = &messenger.TaskError{Kind: messenger.TaskErrorLeaseLapsed, Message: "target holds no lease"}
	case w.inFlight >= w.slots:
		w.counters.BusyRefusals++
		p.Refusal = &messenger.TaskError{Kind: messenger.TaskErrorBusy, Message: fmt.Sprintf("all %d slots are in use", w.slots)}
	default:
		w.counters.Starts++
		w.inFlight++
		w.counters.MaxInFlight = max(w.counters.MaxInFlight, w.inFlight)
		w.applyFaults(&p)
	}
	return p
}

// End releases the slot of a task that ran for elapsed, and returns the HTTP
// status and body of its reply.
func (w *Worker) End(r messenger.TaskRequest, p Plan, elapsed time.Duration) (int, messenger.TaskReply) {
	w.inFlight--
	w.counters.Ends++
	reply := messenger.TaskReply{TaskID: r.TaskID, RunMs: elapsed.Round(time.Millisecond).Milliseconds(), Status: w.Status()}
	if p.Fails {
		w.counters.Failed++
		reply.Error = &messenger.TaskError{Kind: messenger.TaskErrorFailed, Message: "task failed", Started: true}
		return http.StatusInternalServerError, reply
	}
	reply.Result = result(p.Value, r.TaskID)
	return http.StatusOK, reply
}

// Refuse returns the HTTP status and body of the reply to a refused task.
func (w *Worker) Refuse(r messenger.TaskRequest, e *messenger.TaskError) (int, messenger.TaskReply) {
	status := http.StatusServiceUnavailable
	if e.Kind == messenger.TaskErrorBadTask {
		status = http.StatusBadRequest
	}
	return status, messenger.TaskReply{TaskID: r.TaskID, Error: e, Status: w.Status()}
}

// RefuseMalformed returns the reply to a body that is not a valid task request.
func (w *Worker) RefuseMalformed(message string) (int, messenger.TaskReply) {
	w.counters.BadTasks++
	return w.Refuse(messenger.TaskRequest{}, &messenger.TaskError{Kind: messenger.TaskErrorBadTask, Message: message})
}

// Status returns the current status of the target.
func (w *Worker) Status() messenger.TargetStatus {
	return messenger.TargetStatus{
		Service:  w.identity.Service,
		Slots:    w.slots,
		InFlight: w.inFlight,
		MemoryMB: w.identity.MemoryMB,
		Leaving:  w.leaving,
	}
}

// AcceptStatusRequest counts a status request and reports whether to respond.
func (w *Worker) AcceptStatusRequest() bool {
	w.counters.StatusRequests++
	return !w.faults.HangStatus
}

// VM describes the target for the platform's VM list.
func (w *Worker) VM() messenger.VM {
	vm := w.identity
	vm.Slots = w.slots
	vm.Leaving = w.leaving
	return vm
}

// RenewsLease reports whether to renew the lease. It is false while FreezeLease
// is set.
func (w *Worker) RenewsLease() bool { return !w.faults.FreezeLease }

// RecordLease records a lease of duration ttl that the platform granted. sent is
// the time of the request. The lease is measured from the request, so that it
// does not expire later here than on the platform.
func (w *Worker) RecordLease(sent time.Time, ttl time.Duration) {
	if expires := sent.Add(ttl); expires.After(w.leaseExpires) {
		w.leaseExpires = expires
	}
}

// Leave makes the target refuse new tasks permanently, and reports whether it
// was not already leaving.
func (w *Worker) Leave() bool {
	wasLeaving := w.leaving
	w.leaving, w.stopping = true, true
	return !wasLeaving
}

func (w *Worker) applyFaults(p *Plan) {
	f := &w.faults
	if f.Broken {
		p.Fails, p.RunFor = true, 0
		return
	}
	p.Fails = w.chance(f.FailPercent)
	if w.chance(f.SlowPercent) {
		p.RunFor = time.Duration(float64(p.RunFor) * f.SlowFactor)
	}
	p.ReplyDelay = time.Duration(f.ReplyDelayMs) * time.Millisecond
	if f.ReplyJitterMs > 0 {
		p.ReplyDelay += time.Duration(w.rng.Int64N(f.ReplyJitterMs+1)) * time.Millisecond
	}
	switch {
	case f.CloseAfterRead > 0:
		f.CloseAfterRead--
		p.Disconnect = DisconnectAfterRead
		w.counters.CutReplies++
	case f.CloseMidReply > 0:
		f.CloseMidReply--
		p.Disconnect = DisconnectMidReply
		w.counters.CutReplies++
	}
}

func (w *Worker) chance(percent int64) bool {
	return percent >= 100 || percent > 0 && w.rng.Int64N(100) < percent
}
