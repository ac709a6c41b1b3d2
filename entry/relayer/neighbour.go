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
	// aliveEvery is the pause between signs of life to an owner of another
	// failure domain while it runs a job of this entry; it stops the jobs of
	// entries that are silent for 700 ms.
	aliveEvery = 200 * time.Millisecond
	// aliveMisses is the number of signs of life without an answer after which
	// that owner is taken as lost.
	aliveMisses = 2
)

// askNeighbours has an owner ask the owners of other failure domains for their
// free room.
func (r *Relayer) askNeighbours(now time.Time) {
	members := r.members.Load()
	if !r.split.Load() || !r.Owning() || members == nil {
		return
	}
	ask := map[string]string{}
	for _, i := range rand.Perm(len(*members)) {
		if m := (*members)[i]; m.FailureDomain != r.Self.FailureDomain {
			ask[m.FailureDomain] = m.Address
		}
	}
	for _, n := range r.neighbours.List(now) {
		if _, ok := ask[n.FailureDomain]; ok && n.AgeMs < 2*spiller.AskEvery.Milliseconds() {
			ask[n.FailureDomain] = n.Owner
		}
	}
	for _, address := range ask {
		go r.ping(address)
	}
}

// learnNeighbours takes over what an answer says of other failure domains.
func (r *Relayer) learnNeighbours(address string, b beat) {
	now := time.Now()
	switch {
	case !r.split.Load():
	case b.View.From.FailureDomain != r.Self.FailureDomain:
		if b.View.Term != 0 {
			r.neighbours.Learn(now, spiller.Neighbour{FailureDomain: b.View.From.FailureDomain, Owner: address, FreeCPU: b.FreeCPU})
		} else if b.View.Owner != "" && r.Owning() {
			go r.ping(b.View.Owner)
		}
	default:
		for _, n := range b.Neighbours {
			if n.FailureDomain != r.Self.FailureDomain {
				r.neighbours.Learn(now, n)
			}
		}
	}
}

// spill offers a job that this failure domain refused to another one.
func (r *Relayer) spill(ctx context.Context, job placer.Job) (placer.Result, bool) {
	cpu := job.Room.CPU * int64(job.Tasks)
	n, ok := r.neighbours.Choose(time.Now(), cpu)
	if !ok || !r.split.Load() {
		return placer.Result{}, false
	}
	r.neighbours.Spend(n.FailureDomain, cpu)
	r.Metrics.Count("retry", "spilled")
	r.Log.WithField("job", job.ID).WithField("failureDomain", n.FailureDomain).WithField("freeCpu", n.FreeCPU).WithField("ageMs", n.AgeMs).Info("relayer: job goes to another failure domain")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.keepAlive(ctx, cancel, n.Owner)
	result, err := r.call(ctx, n.Owner, job, nil)
	switch {
	case errors.Is(err, messenger.ErrNotSent):
		return placer.Result{}, false
	case err != nil:
		return placer.Result{Err: messenger.NewError(messenger.OwnerUnreachable, err.Error())}, true
	case result.Moved && len(result.Placements) > 0:
		return placer.Result{Err: messenger.NewError(messenger.TargetLost, "the owner in the other failure domain stopped")}, true
	case result.Moved:
		return placer.Result{}, false
	}
	return result, true
}

// keepAlive shows the owner in another failure domain that this entry lives,
// and calls lost when that owner does not answer.
func (r *Relayer) keepAlive(ctx context.Context, lost func(), address string) {
	misses := 0
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, pingTimeout)
		status, err := r.Peers.Call(call, http.MethodPost, "http://"+address+"/peer/v1/beat", r.beat(), &beat{})
		cancel()
		if err == nil && status == http.StatusOK {
			misses = 0
		} else if misses++; misses >= aliveMisses {
			lost()
			return
		}
		select {
		case <-time.After(aliveEvery):
		case <-ctx.Done():
		}
	}
}
