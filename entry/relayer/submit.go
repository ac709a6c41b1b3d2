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
	// recoverWait is how long a job whose owner was lost waits for another one
	// to take over its runs. The loss is noticed within half a second, and what
	// is left of the leases ends within another one.
	recoverWait = 500 * time.Millisecond
	// brokenGrace is how long an owner keeps a job whose connection broke, so
	// that its entry can ask for it again. The caller may also have left.
	brokenGrace = 50 * time.Millisecond
	// movedWait is how long a job with runs waits for their new owner: leases
	// end after a second.
	movedWait = 800 * time.Millisecond
)

// errOwnerLost ends calls to an owner that is taken as lost, and marks those
// whose answer was lost.
var errOwnerLost = errors.New("the owner of the workers was lost")

// errRejected marks calls that the owner answered, though not with a result.
var errRejected = errors.New("the owner rejected the job")

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
	lost := false
	for first := true; ; first = false {
		now := time.Now()
		switch {
		case ctx.Err() != nil:
			return placer.Result{Err: messenger.NewError(messenger.Cancelled, "the caller left")}
		case first:
		case !now.After(giveUp) && !now.After(deadline):
		case len(placements) > 0:
			return placer.Result{Err: messenger.NewError(messenger.TargetLost, "no entry took over the runs of the job")}
		default:
			return placer.Result{Err: messenger.NewError(messenger.NotReady, "no entry owns the workers").After(1000)}
		}
		job.RemainingMs = deadline.Sub(now).Milliseconds()
		result, err := r.offer(ctx, r.ownership.Load(), job, placements)
		switch {
		case err != nil && ctx.Err() != nil:
			// The caller left during the call.
			continue
		case errors.Is(err, errOwnerLost):
			// The runs may go on, so the job is not started anew.
			placements = placer.Unknown(job.Tasks, placements)
			if !lost {
				lost, giveUp = true, time.Now().Add(recoverWait)
			}
			r.Metrics.Count("retry", "ownerLost")
			r.Log.WithField("job", job.ID).WithError(err).Info("relayer: the owner's answer was lost, its runs are asked for")
		case errors.Is(err, errNotTaken):
		case result.Moved:
			placements, giveUp = result.Placements, time.Now().Add(movedWait)
			if len(placements) == 0 {
				giveUp = time.Now().Add(ownerWait)
			}
		case result.Err == nil || result.Err.Ran != messenger.DidNotRun || len(placements) > 0:
			return result
		default:
			if spilled, ok := r.spill(ctx, job); ok {
				return spilled
			}
			return result
		}
		r.Metrics.Count("retry", "owner")
		select {
		case <-time.After(retryOwner):
		case <-ctx.Done():
		}
	}
}

// errNotTaken tells that a job was certainly not taken and may be offered again.
var errNotTaken = errors.New("no owner took the job")

// offer hands a job to the owner. It fails with errNotTaken or errOwnerLost if
// the job has to be offered again.
func (r *Relayer) offer(ctx context.Context, o *ownership, job placer.Job, placements []placer.Placement) (placer.Result, error) {
	var result placer.Result
	switch o.address {
	case "":
		return result, errNotTaken
	case r.Self.Address:
		result = r.ask(ctx, placer.Submit{Entry: r.Self.Address, Job: job, Placements: placements}, 0)
	default:
		var err error
		result, err = r.forward(ctx, o, job, placements)
		switch {
		case err == nil:
		case errors.Is(err, messenger.ErrNotSent):
			return placer.Result{}, errNotTaken
		case errors.Is(err, errRejected):
			return placer.Result{Err: messenger.NewError(messenger.OwnerUnreachable, err.Error())}, nil
		default:
			return placer.Result{}, errors.Mark(err, errOwnerLost)
		}
	}
	if result.Err != nil && result.Err.Kind == messenger.NoTarget {
		return result, errNotTaken
	}
	if result.Err != nil && result.Err.Ran == messenger.DidNotRun && len(placements) > 0 {
		result.Err = messenger.NewError(messenger.TargetLost, result.Err.Message)
	}
	return result, nil
}

// ask submits a job to this entry's own placer and waits for its answer. The
// job is cancelled when ctx has ended and was not submitted again within grace.
func (r *Relayer) ask(ctx context.Context, msg placer.Submit, grace time.Duration) placer.Result {
	msg.Waiter = placer.Waiter(r.last.Add(1))
	reply := make(chan placer.Result, 1)
	r.waiters.Store(msg.Waiter, reply)
	r.post(msg)
	select {
	case result := <-reply:
		return result
	case <-ctx.Done():
		cancelJob := func() {
			r.waiters.Delete(msg.Waiter)
			r.post(placer.Cancel{JobID: msg.Job.ID, Waiter: msg.Waiter})
		}
		if grace == 0 {
			cancelJob()
		} else {
			time.AfterFunc(grace, cancelJob)
		}
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

// forward passes a job to another entry. It fails with errOwnerLost when a
// third entry owns the workers, or none for long.
func (r *Relayer) forward(ctx context.Context, o *ownership, job placer.Job, placements []placer.Placement) (placer.Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		if r.awaitChange(ctx, o) {
			cancel(errOwnerLost)
		}
	}()
	result, err := r.call(ctx, o.address, job, placements)
	if err != nil && errors.Is(context.Cause(ctx), errOwnerLost) {
		err = errors.CombineErrors(errOwnerLost, err)
	}
	return result, err
}

// awaitChange returns true once calls to the owner o should end, or false when
// ctx ends. An owner that is found again goes on with its jobs.
func (r *Relayer) awaitChange(ctx context.Context, o *ownership) bool {
	address, lost := o.address, false
	var limit <-chan time.Time
	for {
		select {
		case <-o.changed:
		case <-limit:
			return true
		case <-ctx.Done():
			return false
		}
		o = r.ownership.Load()
		switch o.address {
		case address:
			lost, limit = false, nil
		case "":
			lost, limit = true, time.After(ownerWait)
		default:
			if !lost {
				// A planned change answers its jobs as moved, a moment later.
				sleep(ctx, movedGrace, func() bool { return false })
			}
			return true
		}
	}
}

// call sends a job to an owner and waits for its result.
func (r *Relayer) call(ctx context.Context, address string, job placer.Job, placements []placer.Placement) (placer.Result, error) {
	var result placer.Result
	status, err := r.Peers.Call(ctx, http.MethodPost, "http://"+address+"/peer/v1/jobs", submission{r.Self.Address, job, placements}, &result)
	if err == nil && status != http.StatusOK {
		err = errors.Wrapf(errRejected, "status %d", status)
	}
	return result, err
}

// movedGrace is how long answers of an owner that stepped down may take.
const movedGrace = 150 * time.Millisecond
