package relayer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/entry/spiller"
)

const (
	// keepAliveInterval is the interval between keep-alives to the owner in
	// another failure domain while it runs a job of this entry. An owner cancels
	// the jobs of entries that send it no ping for 700 ms.
	keepAliveInterval = 200 * time.Millisecond
	// maxKeepAliveMisses is the number of consecutive keep-alives without a reply
	// after which that owner is considered lost.
	maxKeepAliveMisses = 2
)

// pingNeighbours asks the neighbours, the owners of the workers of other failure
// domains, for their free CPU. In a failure domain without a recent report, it
// pings a random entry, whose reply names the owner. Only an owner does so.
func (r *Relayer) pingNeighbours(now time.Time) {
	members := r.members.Load()
	if !r.splitByDomain.Load() || !r.IsOwner() || members == nil {
		return
	}
	addresses := map[string]string{}
	for _, i := range rand.Perm(len(*members)) {
		if m := (*members)[i]; m.FailureDomain != r.Self.FailureDomain {
			addresses[m.FailureDomain] = m.Address
		}
	}
	for _, n := range r.neighbours.List(now) {
		if _, ok := addresses[n.FailureDomain]; ok && n.AgeMs < 2*spiller.PollInterval.Milliseconds() {
			addresses[n.FailureDomain] = n.Owner
		}
	}
	for _, address := range addresses {
		go r.ping(address)
	}
}

// updateNeighbours records what a heartbeat reply reports about other failure
// domains.
func (r *Relayer) updateNeighbours(address string, b heartbeat) {
	now := time.Now()
	switch {
	case !r.splitByDomain.Load():
	case b.View.From.FailureDomain != r.Self.FailureDomain:
		if b.View.ClaimedAtMs != 0 {
			// The sender is the owner in its failure domain.
			r.neighbours.Record(now, spiller.Neighbour{FailureDomain: b.View.From.FailureDomain, Owner: address, FreeCPU: b.FreeCPU})
		} else if b.View.Owner != "" && r.IsOwner() {
			go r.ping(b.View.Owner)
		}
	default:
		for _, n := range b.Neighbours {
			if n.FailureDomain != r.Self.FailureDomain {
				r.neighbours.Record(now, n)
			}
		}
	}
}

// spill submits a job that was refused in this failure domain to another one.
func (r *Relayer) spill(ctx context.Context, job placer.Job) (placer.Result, bool) {
	cpu := job.Resources.CPU * int64(job.Tasks)
	n, ok := r.neighbours.Choose(time.Now(), cpu)
	if !ok || !r.splitByDomain.Load() {
		return placer.Result{}, false
	}
	r.neighbours.Deduct(n.FailureDomain, cpu)
	r.Metrics.Count("retry", "spilled")
	r.Log.WithField("job", job.ID).WithField("failureDomain", n.FailureDomain).WithField("freeCpu", n.FreeCPU).WithField("ageMs", n.AgeMs).Info("relayer: spilling job to another failure domain")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.sendKeepAlives(ctx, cancel, n.Owner)
	result, err := r.sendJob(ctx, n.Owner, job, nil)
	switch {
	case errors.Is(err, messenger.ErrNotSent):
		return placer.Result{}, false
	case err != nil:
		return placer.Result{Err: messenger.NewError(messenger.OwnerUnreachable, "the owner in failure domain "+n.FailureDomain+" returned no result: "+err.Error())}, true
	case result.Moved && len(result.Placements) > 0:
		return placer.Result{Err: messenger.NewError(messenger.TargetLost, "the owner in the other failure domain stopped")}, true
	case result.Moved:
		return placer.Result{}, false
	}
	return result, true
}

// sendKeepAlives sends keep-alives to the owner in another failure domain, and
// calls onLost when that owner stops replying.
func (r *Relayer) sendKeepAlives(ctx context.Context, onLost func(), address string) {
	misses := 0
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, pingTimeout)
		status, err := r.Peers.Call(call, http.MethodPost, "http://"+address+"/peer/v1/beat", r.heartbeat(), &heartbeat{})
		cancel()
		if err == nil && status == http.StatusOK {
			misses = 0
		} else if misses++; misses >= maxKeepAliveMisses {
			onLost()
			return
		}
		select {
		case <-time.After(keepAliveInterval):
		case <-ctx.Done():
		}
	}
}
