package relayer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/entry/spiller"
)

const (
	// keepAliveInterval is the interval between keep-alives to the owner of
	// another worker group while it runs a job of this entry. An owner cancels
	// the jobs of entries that send it no ping for 700 ms.
	keepAliveInterval = 150 * time.Millisecond
	// maxKeepAliveMisses is the number of consecutive keep-alives without a reply
	// after which that owner is considered lost.
	maxKeepAliveMisses = 2
	// greetTimeout limits how long a job that this group has refused waits for the owner
	// of another one.
	greetTimeout = 100 * time.Millisecond
)

// pingNeighbours asks the neighbours, the owners of other worker groups, for
// their free CPU. In a failure domain with groups without a recent report, it
// pings a random entry, whose reply names an owner. Only an owner does so.
func (r *Relayer) pingNeighbours(now time.Time) {
	group, members := r.groups.current(), r.members.Load()
	if group.Layout.Parts == 0 || !r.IsOwner() || members == nil {
		return
	}
	addresses := map[string]bool{}
	missing := map[string]int{group.FailureDomain: group.Layout.Parts - 1}
	for _, n := range r.neighbours.List(now) {
		if n.AgeMs >= 2*spiller.PollInterval.Milliseconds() {
			continue
		}
		addresses[n.Owner] = true
		if _, ok := missing[n.FailureDomain]; !ok {
			missing[n.FailureDomain] = max(n.Parts, 1)
		}
		missing[n.FailureDomain]--
	}
	for _, i := range rand.Perm(len(*members)) {
		m := (*members)[i]
		if left, ok := missing[m.FailureDomain]; m.Address != r.Self.Address && (!ok || left > 0) {
			missing[m.FailureDomain] = 0
			addresses[m.Address] = true
		}
	}
	for address := range addresses {
		go r.ping(address)
	}
}

// updateNeighbours records what a heartbeat reply reports about other worker
// groups.
func (r *Relayer) updateNeighbours(address string, b heartbeat) {
	now, group := time.Now(), r.groups.current()
	switch {
	case group.Layout.Parts == 0:
	case b.View.Group != group.Name():
		if b.View.ClaimedAtMs != 0 {
			// The sender is the owner of its group.
			back := r.neighbours.Record(now, spiller.Neighbour{
				Group: b.View.Group, FailureDomain: b.View.From.FailureDomain, Parts: b.Layout.Parts, Owner: address, FreeCPU: b.FreeCPU,
			})
			if back && r.IsOwner() {
				r.handOnCancellings(now, address)
			}
		} else if b.View.Owner != "" && r.IsOwner() {
			go r.ping(b.View.Owner)
		}
	default:
		for _, n := range b.Neighbours {
			if n.Group != group.Name() {
				r.neighbours.Record(now, n)
			}
		}
	}
}

// spill submits a job that was refused in this worker group to another one.
func (r *Relayer) spill(ctx context.Context, job placer.Job) (placer.Result, bool) {
	cpu := job.Resources.CPU * int64(job.Tasks)
	n, ok := r.neighbours.Choose(time.Now(), cpu)
	if !ok || r.groups.current().Layout.Parts == 0 {
		return placer.Result{}, false
	}
	if !r.greet(ctx, n.Owner) {
		return placer.Result{}, false
	}
	request := r.attestations.NewRequest(job.ID)
	request.WaitAt(n.Owner)
	defer request.End()
	r.neighbours.Deduct(n.Group, cpu)
	r.Metrics.Count("retry", "spilled")
	r.Log.WithFields(logrus.Fields{"job": job.ID, "group": n.Group, "owner": n.Owner, "freeCpu": n.FreeCPU, "ageMs": n.AgeMs}).Info("relayer: spilling job to another worker group")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.sendKeepAlives(ctx, cancel, n.Owner)
	result, err := r.sendJob(ctx, n.Owner, job, nil)
	switch {
	case errors.Is(err, messenger.ErrNotSent):
		return placer.Result{}, false
	case err != nil:
		return placer.Result{Err: messenger.NewError(messenger.OwnerUnreachable, "the owner of worker group "+n.Group+" returned no result: "+err.Error())}, true
	case result.Moved && len(result.Placements) > 0:
		return placer.Result{Err: messenger.NewError(messenger.TargetLost, "the owner of the other worker group stopped")}, true
	case result.Moved:
		return placer.Result{}, false
	}
	return result, true
}

// greet reports whether the owner of another worker group answers, so that a job which
// is held up on the way to it can be told from one that was sent just now.
func (r *Relayer) greet(ctx context.Context, address string) bool {
	if _, ok := r.attestations.Stamp(time.Now(), address); ok {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	_, err := r.beat(ctx, address)
	return err == nil
}

// sendKeepAlives sends keep-alives to the owner of another worker group, and
// calls onLost when that owner stops replying.
func (r *Relayer) sendKeepAlives(ctx context.Context, onLost func(), address string) {
	misses := 0
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, pingTimeout)
		_, err := r.beat(call, address)
		cancel()
		if err == nil {
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
