package relayer

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/attester"
	"github.com/godwitrelay/godwitrelay/entry/placer"
)

const (
	// ownerTimeout is how long a job waits for an owner, or longer if it can still
	// meet its latency objective then (see ownerWait). A planned handover takes a
	// few milliseconds, replacing a lost owner half a second.
	ownerTimeout = 250 * time.Millisecond
	// maxOwnerWait limits how long a job waits for an owner.
	maxOwnerWait = 800 * time.Millisecond
	// retryInterval is the delay before a job that no owner accepted is
	// submitted again.
	retryInterval = 15 * time.Millisecond
	// recoveryTimeout is how long a job whose owner was lost waits for a new
	// owner to take over its runs. Detecting the loss takes up to half a
	// second, and the remaining leases expire within another half second.
	recoveryTimeout = 500 * time.Millisecond
	// reconnectGrace is how long an owner keeps a job after its connection
	// broke, so that the submitting entry can ask for it again. It is short
	// because the caller may have disconnected.
	reconnectGrace = 50 * time.Millisecond
	// handoverTimeout is how long a job with runs waits for their new owner.
	// Leases expire after 1 s.
	handoverTimeout = 800 * time.Millisecond
)

// errOwnerLost cancels calls to an owner that is considered lost, and marks
// calls whose reply was lost.
var errOwnerLost = errors.New("the owner of the workers was lost")

// errRejected marks calls to which the owner replied without a result.
var errRejected = errors.New("the owner rejected the job")

// Submit passes a job to the owner of the workers and returns its result. It
// returns early if ctx ends because the caller disconnected.
func (r *Relayer) Submit(ctx context.Context, job placer.Job) placer.Result {
	began := time.Now()
	result := r.submit(ctx, job)
	took := time.Since(began)
	r.Metrics.ObserveJob(messenger.Priority(strconv.Itoa(job.Priority)), messenger.Outcome(result.Outcome()), took)
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
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-r.forceStop:
			cancel(nil)
		case <-ctx.Done():
		}
	}()
	defer r.held.add(job.ID, cancel)()
	if r.cancellings.Found(time.Now(), job.ID, r.Self.Address) {
		return placer.Result{Cancelled: true}
	}
	result := r.submitUntilEnded(ctx, job)
	if errors.Is(context.Cause(ctx), errJobCancelled) && result.Err != nil {
		return placer.Result{Cancelled: true}
	}
	return result
}

// submitUntilEnded submits a job to the owner, and to the next owner if that one is
// lost, until it ends or ctx does.
func (r *Relayer) submitUntilEnded(ctx context.Context, job placer.Job) placer.Result {
	began := time.Now()
	deadline := began.Add(time.Duration(job.RemainingMs) * time.Millisecond)
	retryUntil := began.Add(ownerWait(job))
	var placements []placer.Placement
	ownerLost := false
	offers := &offers{began: began}
	// The job still waits at an owner whose connection broke, until it is sent again.
	request := r.attestations.NewRequest(job.ID)
	defer request.End()
	for first := true; ; first = false {
		now := time.Now()
		switch {
		case ctx.Err() != nil:
			return placer.Result{Err: messenger.NewError(messenger.Cancelled, "the caller disconnected or the entry is stopping")}
		case first:
		case !now.After(retryUntil) && !now.After(deadline):
		case len(placements) > 0:
			return placer.Result{Err: messenger.NewError(messenger.TargetLost, "no entry took over the runs of the job")}
		default:
			return placer.Result{Err: messenger.NewError(messenger.NotReady, "no entry owns the workers").WithRetryAfter(1000)}
		}
		job.RemainingMs = deadline.Sub(now).Milliseconds()
		o := r.ownership.Load()
		request.WaitAt(o.address)
		result, err := r.submitToOwner(ctx, o, offers.submission(now, r.Self.Address, job, placements))
		switch {
		case err != nil && ctx.Err() != nil:
			// The caller disconnected during the call.
			continue
		case errors.Is(err, errOwnerLost):
			// The runs may still be in progress, so the job must not be started
			// again.
			placements = placer.UnknownPlacements(job.Tasks, placements)
			if !ownerLost {
				ownerLost, retryUntil = true, time.Now().Add(recoveryTimeout)
			}
			r.Metrics.Count("retry", "ownerLost")
			r.Log.WithField("job", job.ID).WithError(err).Info("relayer: the owner was lost before it answered the job; resubmitting the job to recover its runs")
		case errors.Is(err, errNotAccepted):
		case result.Moved:
			placements, retryUntil = result.Placements, time.Now().Add(handoverTimeout)
			if len(placements) == 0 {
				retryUntil = time.Now().Add(ownerTimeout)
			}
		case result.Elsewhere != "" && (offers.returned || len(placements) > 0):
			// Not an answer to this submission.
		case result.Elsewhere != "":
			job.RemainingMs = time.Until(deadline).Milliseconds()
			if offered, ok := r.offer(ctx, offers, job, result.Elsewhere); ok {
				return offered
			}
			// The job is back in its own group.
			offers.returned, retryUntil = true, time.Now().Add(ownerTimeout)
			continue
		case result.Err == nil || result.Err.Ran != messenger.DidNotRun || len(placements) > 0:
			return result
		default:
			job.RemainingMs = time.Until(deadline).Milliseconds()
			if offered, ok := r.offer(ctx, offers, job, ""); ok {
				return offered
			}
			return result
		}
		r.Metrics.Count("retry", "owner")
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
}

// ownerWait returns how long a job may wait for an owner: the delay after which it
// still meets its latency objective, if that is longer than ownerTimeout.
func ownerWait(job placer.Job) time.Duration {
	delay := time.Duration(job.TargetLatencyMs)*time.Millisecond + time.Duration((job.Stretch-1)*float64(job.EstimateMs)*float64(time.Millisecond))
	return min(max(delay, ownerTimeout), maxOwnerWait)
}

// errNotAccepted means that the job was definitely not accepted and can safely
// be submitted again.
var errNotAccepted = errors.New("no owner accepted the job")

// submitToOwner submits a job to the owner. It fails with errNotAccepted or
// errOwnerLost if the job has to be submitted again.
func (r *Relayer) submitToOwner(ctx context.Context, o *ownership, s submission) (placer.Result, error) {
	var result placer.Result
	switch o.address {
	case "":
		return result, errNotAccepted
	case r.Self.Address:
		result = r.submitLocally(ctx, s.message(), 0)
	default:
		var err error
		result, err = r.forward(ctx, o, s)
		switch {
		case err == nil:
		case errors.Is(err, messenger.ErrNotSent):
			return placer.Result{}, errNotAccepted
		case errors.Is(err, errRejected):
			return placer.Result{Err: messenger.NewError(messenger.OwnerUnreachable, err.Error())}, nil
		default:
			return placer.Result{}, errors.Mark(err, errOwnerLost)
		}
	}
	if result.Err != nil && result.Err.Kind == messenger.NoTarget {
		return result, errNotAccepted
	}
	if result.Err != nil && result.Err.Ran == messenger.DidNotRun && len(s.Placements) > 0 {
		result.Err = messenger.NewError(messenger.TargetLost, result.Err.Message)
	}
	return result, nil
}

// submitLocally submits a job to this entry's own placer and waits for the
// result. If ctx ends, the job is cancelled after grace. If it has been
// submitted again by then, it has a new waiter in the placer, so that the
// cancellation, which names the old waiter, has no effect.
func (r *Relayer) submitLocally(ctx context.Context, msg placer.Submit, grace time.Duration) placer.Result {
	msg.Waiter, msg.QueuedAt = placer.Waiter(r.lastWaiter.Add(1)), time.Now()
	reply := make(chan placer.Result, 1)
	r.waiters.Store(msg.Waiter, reply)
	select {
	case r.submissions <- msg:
	case <-r.done:
	default:
		r.waiters.Delete(msg.Waiter)
		return rejectSubmission(msg)
	}
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
		return placer.Result{Err: messenger.NewError(messenger.Cancelled, "the caller disconnected or the entry is stopping")}
	case <-r.done:
		return placer.Result{Err: messenger.NewError(messenger.OwnerUnreachable, "the owner process is stopping")}
	}
}

// rejectSubmission returns the result of a job that the event loop has no room
// for. A job with placements may have run under a previous owner.
func rejectSubmission(msg placer.Submit) placer.Result {
	if len(msg.Placements) > 0 {
		return placer.Result{Err: messenger.NewError(messenger.TargetLost, "the owner has too many jobs to take over another one")}
	}
	return placer.Result{Err: messenger.NewError(messenger.Overloaded, "the owner has too many jobs").WithRetryAfter(overloadRetryAfterMs)}
}

// overloadRetryAfterMs is the retry delay sent when the owner's queue of
// submissions is full.
const overloadRetryAfterMs = 2000

type submission struct {
	Entry      string             `json:"entry"`
	Job        placer.Job         `json:"job"`
	Placements []placer.Placement `json:"placements,omitempty"`
	// Stamp is the last one that the entry received from the owner. It is nil if the
	// entry does not attest its jobs.
	Stamp *attester.Stamp `json:"stamp,omitempty"`
	// MayMove is set if the entry understands the answer elsewhere. Owners of the previous
	// release ignore it and the fields below.
	MayMove bool `json:"mayMove,omitempty"`
	// Offered is set if the job is of another group than the receiver's.
	Offered bool `json:"offered,omitempty"`
	// SpentMs is the time since the caller's request arrived, of a job that was offered to
	// other groups, and RefusedBy the groups that did not take it.
	SpentMs   int64    `json:"spentMs,omitempty"`
	RefusedBy []string `json:"refusedBy,omitempty"`
}

// message returns the submission for the placer of this entry.
func (s submission) message() placer.Submit {
	return placer.Submit{
		Entry: s.Entry, Job: s.Job, Placements: s.Placements, MayMove: s.MayMove, Offered: s.Offered,
		Spent: time.Duration(min(max(s.SpentMs, 0), maxSpentMs)) * time.Millisecond,
	}
}

// maxSpentMs limits the time spent that another entry reports: a minute, by which no
// caller waits any more.
const maxSpentMs = 60_000

// forward submits a job to another entry. It fails with errOwnerLost if another
// entry becomes the owner, or if there is no owner for longer than
// ownerTimeout.
func (r *Relayer) forward(ctx context.Context, o *ownership, s submission) (placer.Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		if r.awaitOwnerChange(ctx, o) {
			cancel(errOwnerLost)
		}
	}()
	result, err := r.sendJob(ctx, o.address, s)
	if err != nil && errors.Is(context.Cause(ctx), errOwnerLost) {
		err = errors.CombineErrors(errOwnerLost, err)
	}
	return result, err
}

// awaitOwnerChange returns true once calls to the owner o should be aborted, or
// false when ctx ends. Calls continue if the same owner is found again within
// ownerTimeout.
func (r *Relayer) awaitOwnerChange(ctx context.Context, o *ownership) bool {
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
			lost, limit = true, time.After(ownerTimeout)
		default:
			if !lost {
				// After a planned handover, the former owner replies within
				// handoverReplyGrace that the job has moved. Waits for this
				// reply: the condition is never true, but forward ends ctx
				// once the reply has arrived.
				waitUntil(ctx, handoverReplyGrace, func() bool { return false })
			}
			return true
		}
	}
}

// sendJob sends a job to the entry at address and waits for the result.
func (r *Relayer) sendJob(ctx context.Context, address string, s submission) (placer.Result, error) {
	var result placer.Result
	stamp, _ := r.attestations.Stamp(time.Now(), address)
	s.Stamp = &stamp
	status, err := r.Peers.Call(ctx, http.MethodPost, "http://"+address+"/peer/v1/jobs", s, &result)
	if err == nil && status != http.StatusOK {
		err = errors.Wrapf(errRejected, "status %d", status)
	}
	return result, err
}

// handoverReplyGrace is how long an owner that stepped down may take to reply
// to its jobs.
const handoverReplyGrace = 150 * time.Millisecond
