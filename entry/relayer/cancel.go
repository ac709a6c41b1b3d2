package relayer

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/canceller"
	"github.com/godwitrelay/godwitrelay/entry/placer"
)

const (
	// cancelTimeout limits how long owners are asked for a cancelled job. The platform
	// expects an answer within 4 s. Replacing a lost owner takes up to 0.75 s, after
	// which it needs a second to learn of its jobs.
	cancelTimeout = 3 * time.Second
	// cancelInterval is the interval at which owners are asked again.
	cancelInterval = 150 * time.Millisecond
	// handOnAttempts is how often an entry tries to tell a new owner of the cancellings
	// that it knows.
	handOnAttempts = 3
)

// errJobCancelled ends the request for a job that was cancelled.
var errJobCancelled = errors.New("the job was cancelled")

// heldRequests holds the requests of callers, by job. A caller that lost its
// connection may have two of them at the same entry. The zero value is ready to use.
type heldRequests struct {
	mu       sync.Mutex
	requests map[string]map[*heldRequest]bool
}

type heldRequest struct{ cancel context.CancelCauseFunc }

// add adds a request and returns the function that removes it.
func (h *heldRequests) add(jobID string, cancel context.CancelCauseFunc) (remove func()) {
	req := &heldRequest{cancel}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.requests == nil {
		h.requests = map[string]map[*heldRequest]bool{}
	}
	if h.requests[jobID] == nil {
		h.requests[jobID] = map[*heldRequest]bool{}
	}
	h.requests[jobID][req] = true
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if delete(h.requests[jobID], req); len(h.requests[jobID]) == 0 {
			delete(h.requests, jobID)
		}
	}
}

// cancel ends the requests for a job and reports whether there is one.
func (h *heldRequests) cancel(jobID string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for req := range h.requests[jobID] {
		req.cancel(errJobCancelled)
	}
	return len(h.requests[jobID]) > 0
}

// Cancel cancels a job at the request of its caller. It tells the owners of all worker
// groups, since any of them may have the job or get it later, and the entry that holds
// the job, so that it does not hand the job to another owner. The owners are asked again
// while one of them cannot tell, until cancelTimeout.
func (r *Relayer) Cancel(ctx context.Context, jobID string) canceller.Outcome {
	// The cancelling stands even if its sender disconnects.
	ctx = context.WithoutCancel(ctx)
	now := time.Now()
	r.cancellings.Add(now, now, jobID)
	if r.held.cancel(jobID) {
		// The job ends at its owner with the connection, unless that is silent.
		go r.tellUntilDecided(ctx, jobID)
		return canceller.Cancelled
	}
	return r.tellUntilDecided(ctx, jobID)
}

func (r *Relayer) tellUntilDecided(ctx context.Context, jobID string) canceller.Outcome {
	deadline := time.Now().Add(cancelTimeout)
	for {
		replies := r.tellOwners(ctx, jobID)
		ended := r.endAtCallerEntry(ctx, jobID, replies)
		last := time.Until(deadline) < cancelInterval+peerTimeout
		outcome := canceller.Decide(replies, ended, last)
		if outcome == canceller.Undecided && last {
			r.Log.WithField("job", jobID).WithField("owner", r.ownership.Load().address).Warn("relayer: no owner could tell whether a cancelled job exists")
		}
		if outcome != canceller.Undecided || last {
			return outcome
		}
		time.Sleep(cancelInterval)
	}
}

// tellOwners tells the owners of all worker groups of a cancelling and returns the
// replies of those that are in reach.
func (r *Relayer) tellOwners(ctx context.Context, jobID string) []canceller.Reply {
	silences := map[string]time.Duration{r.ownership.Load().address: 0}
	if r.groups.current().Layout.Parts > 0 {
		for _, n := range r.neighbours.List(time.Now()) {
			if _, ok := silences[n.Owner]; !ok {
				silences[n.Owner] = time.Duration(n.AgeMs) * time.Millisecond
			}
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var replies []canceller.Reply
	for address, silence := range silences {
		wg.Go(func() {
			// An error leaves the zero reply.
			reply, _ := r.tell(ctx, address, jobID)
			if !reply.Known && !reply.Settled && !canceller.InReach(silence) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	wg.Wait()
	return replies
}

// endAtCallerEntry tells the entries that hold a job, according to the replies, that it
// was cancelled. It reports whether one of them has given it up or has ended.
func (r *Relayer) endAtCallerEntry(ctx context.Context, jobID string, replies []canceller.Reply) bool {
	ended := false
	for _, reply := range replies {
		if reply.Known {
			_, err := r.tell(ctx, reply.CallerEntry, jobID)
			ended = ended || err == nil || errors.Is(err, messenger.ErrNotSent) && errors.Is(err, syscall.ECONNREFUSED)
		}
	}
	return ended
}

// tell tells an entry, which may be this one, of a cancelling.
func (r *Relayer) tell(ctx context.Context, address, jobID string) (canceller.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	switch address {
	case "":
		return canceller.Reply{}, errNotAccepted
	case r.Self.Address:
		return r.cancelLocally(ctx, jobID)
	}
	var reply canceller.Reply
	status, err := r.Peers.Call(ctx, http.MethodDelete, "http://"+address+"/peer/v1/jobs/"+jobID, nil, &reply)
	if err == nil && status != http.StatusOK {
		err = errors.Newf("the entry replied with status %d", status)
	}
	if err != nil {
		r.Log.WithField("job", jobID).WithField("entry", address).WithField("status", status).WithError(err).Info("relayer: telling another entry of a cancelling failed")
		return canceller.Reply{}, err
	}
	return reply, nil
}

// cancelRequest tells the event loop of a cancelling.
type cancelRequest struct {
	jobID string
	reply chan canceller.Reply
}

// cancelLocally ends a job at this entry: the request of its caller, and the job itself
// if this entry is its owner.
func (r *Relayer) cancelLocally(ctx context.Context, jobID string) (canceller.Reply, error) {
	c := cancelRequest{jobID, make(chan canceller.Reply, 1)}
	select {
	case r.submissions <- c:
	case <-ctx.Done():
		return canceller.Reply{}, ctx.Err()
	case <-r.done:
		return canceller.Reply{}, errOwnerLost
	}
	select {
	case reply := <-c.reply:
		return reply, nil
	case <-ctx.Done():
		return canceller.Reply{}, ctx.Err()
	case <-r.done:
		return canceller.Reply{}, errOwnerLost
	}
}

// learnCancelling handles a cancelling in the event loop.
func (r *Relayer) learnCancelling(now, cancelledAt time.Time, jobID string) canceller.Reply {
	r.cancellings.Add(now, cancelledAt, jobID)
	if entry, ok := r.placer.EntryOfJob(jobID); ok {
		r.cancellings.Found(now, jobID, entry)
		r.handle(now, placer.Cancel{JobID: jobID})
	}
	if r.held.cancel(jobID) {
		r.cancellings.Found(now, jobID, r.Self.Address)
	}
	entry, known := r.cancellings.Entry(now, jobID)
	return canceller.Reply{Known: known, CallerEntry: entry, Settled: r.placer.IsOwner() && canceller.Settled(now, r.claimedAt)}
}

// handOnCancellings tells a new owner of the cancellings that this entry knows, since
// it lacks those that its predecessor was told.
func (r *Relayer) handOnCancellings(now time.Time, address string) {
	list := r.cancellings.List(now)
	if len(list) == 0 || address == "" || address == r.Self.Address {
		return
	}
	go func() {
		for range handOnAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			status, err := r.Peers.Call(ctx, http.MethodPost, "http://"+address+"/peer/v1/cancellings", list, nil)
			cancel()
			if err == nil && status == http.StatusOK {
				return
			}
			r.Log.WithField("owner", address).WithField("status", status).WithError(err).Warn("relayer: handing cancellings on to a new owner failed")
			time.Sleep(cancelInterval)
		}
	}()
}

func (r *Relayer) serveCancel(w http.ResponseWriter, req *http.Request) {
	reply, err := r.cancelLocally(req.Context(), req.PathValue("id"))
	if err != nil {
		refusal := messenger.NewError(messenger.NotReady, err.Error())
		messenger.WriteJSON(w, refusal.Status(), refusal)
		return
	}
	messenger.WriteJSON(w, http.StatusOK, reply)
}

func (r *Relayer) serveCancellings(w http.ResponseWriter, req *http.Request) {
	var list []canceller.Cancelling
	if decode(w, req, &list) {
		r.post(list)
	}
}
