package relayer

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/placer"
)

const (
	// ownerWait is how long a job waits for an owner of the workers. A planned
	// change of owner takes some milliseconds, the loss of one half a second.
	ownerWait = 250 * time.Millisecond
	// retryOwner is the pause before a job that no owner took is offered again.
	retryOwner = 15 * time.Millisecond
	// movedWait is how long a job with runs waits for their new owner: leases
	// end after a second.
	movedWait = 800 * time.Millisecond
)

// errOwnerLost ends calls to an owner that is taken as lost.
var errOwnerLost = errors.New("the owner of the workers was lost")

// Submit has a job run by the owner of the workers and returns what became of
// it. It ends early when ctx does, since the caller left.
func (r *Relayer) Submit(ctx context.Context, job placer.Job) placer.Result {
	began := time.Now()
	result := r.submit(ctx, job)
	took := time.Since(began)
	r.Metrics.Observe(messenger.Priority(strconv.Itoa(job.Priority)), messenger.Outcome(result.Outcome()), took)
	if result.Err != nil {
		r.Metrics.Count("refusal", string(result.Err.Kind))
		r.Log.WithFields(logrus.Fields{
			"job": job.ID, "queue": job.Queue, "tasks": job.Tasks, "kind": string(result.Err.Kind), "reason": result.Err.Message,
			"owner": r.ownership.Load().address, "ageMs": took.Milliseconds(),
		}).Info("relayer: job was not completed")
	}
	return result
}

func (r *Relayer) submit(ctx context.Context, job placer.Job) placer.Result {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-r.ending:
			cancel()
		case <-ctx.Done():
		}
	}()
	began := time.Now()
	deadline := began.Add(time.Duration(job.RemainingMs) * time.Millisecond)
	giveUp := began.Add(ownerWait)
	var placements []placer.Placement
	for {
		now := time.Now()
		if ctx.Err() != nil {
			return placer.Result{Err: messenger.NewError(messenger.Cancelled, "the caller left")}
		}
		job.RemainingMs = deadline.Sub(now).Milliseconds()
		o := r.ownership.Load()
		result, taken := r.offer(ctx, o, job, placements)
		switch {
		case result.Moved:
			placements, giveUp = result.Placements, time.Now().Add(movedWait)
			if len(placements) == 0 {
				giveUp = time.Now().Add(ownerWait)
			}
		case taken:
			if result.Err == nil || result.Err.Ran != messenger.DidNotRun || len(placements) > 0 {
				return result
			}
			if spilled, ok := r.spill(ctx, job); ok {
				return spilled
			}
			return result
		}
		if time.Now().After(giveUp) || time.Now().After(deadline) {
			if len(placements) > 0 {
				return placer.Result{Err: messenger.NewError(messenger.TargetLost, "no entry took over the runs of the job")}
			}
			return placer.Result{Err: messenger.NewError(messenger.NotReady, "no entry owns the workers").After(1000)}
		}
		r.Metrics.Count("retry", "owner")
		select {
		case <-time.After(retryOwner):
		case <-ctx.Done():
		}
	}
}

// offer hands a job to the owner. taken is false if it was certainly not taken
// and may be offered again.
func (r *Relayer) offer(ctx context.Context, o *ownership, job placer.Job, placements []placer.Placement) (result placer.Result, taken bool) {
	switch o.address {
	case "":
		return placer.Result{}, false
	case r.Self.Address:
		result = r.ask(ctx, placer.Submit{Entry: r.Self.Address, Job: job, Placements: placements})
	default:
		var err error
		result, err = r.forward(ctx, o, job, placements)
		if err != nil {
			if errors.Is(err, messenger.ErrNotSent) {
				return placer.Result{}, false
			}
			if ctx.Err() != nil {
				return placer.Result{Err: messenger.NewError(messenger.Cancelled, "the caller left")}, true
			}
			return placer.Result{Err: messenger.NewError(messenger.OwnerUnreachable, err.Error())}, true
		}
	}
	if result.Err != nil && result.Err.Kind == messenger.NoTarget {
		return result, false
	}
	if result.Err != nil && result.Err.Ran == messenger.DidNotRun && len(placements) > 0 {
		result.Err = messenger.NewError(messenger.TargetLost, result.Err.Message)
	}
	return result, true
}

// ask submits a job to this entry's own placer and waits for its answer.
func (r *Relayer) ask(ctx context.Context, msg placer.Submit) placer.Result {
	msg.Waiter = placer.Waiter(r.last.Add(1))
	reply := make(chan placer.Result, 1)
	r.waiters.Store(msg.Waiter, reply)
	r.post(msg)
	select {
	case result := <-reply:
		return result
	case <-ctx.Done():
		r.waiters.Delete(msg.Waiter)
		r.post(placer.Cancel{JobID: msg.Job.ID, Waiter: msg.Waiter})
		return placer.Result{Err: messenger.NewError(messenger.Cancelled, "the caller left")}
	case <-r.done:
		return placer.Result{Err: messenger.NewError(messenger.OwnerUnreachable, "the process stops")}
	}
}

type submission struct {
	Entry      string             `json:"entry"`
	Job        placer.Job         `json:"job"`
	Placements []placer.Placement `json:"placements,omitempty"`
}

// forward passes a job to another entry. It ends when that entry is no longer
// the owner, or lost.
func (r *Relayer) forward(ctx context.Context, o *ownership, job placer.Job, placements []placer.Placement) (placer.Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-o.changed:
			// A planned change answers its jobs as moved, a moment later.
			if next := r.ownership.Load().address; next != "" {
				time.Sleep(movedGrace)
			}
			cancel(errOwnerLost)
		case <-ctx.Done():
		}
	}()
	result, err := r.call(ctx, o.address, job, placements)
	if err != nil && errors.Is(context.Cause(ctx), errOwnerLost) {
		err = errors.CombineErrors(errOwnerLost, err)
	}
	return result, err
}

// call sends a job to an owner and waits for its result.
func (r *Relayer) call(ctx context.Context, address string, job placer.Job, placements []placer.Placement) (placer.Result, error) {
	var result placer.Result
	status, err := r.Peers.Call(ctx, http.MethodPost, "http://"+address+"/peer/v1/jobs", submission{r.Self.Address, job, placements}, &result)
	if err == nil && status != http.StatusOK {
		err = errors.Newf("the owner answered with status %d", status)
	}
	return result, err
}

// movedGrace is how long answers of an owner that stepped down may take.
const movedGrace = 150 * time.Millisecond
