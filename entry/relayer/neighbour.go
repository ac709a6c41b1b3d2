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
// what fits there. In a failure domain with groups without a recent report, it
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
				Group: b.View.Group, FailureDomain: b.View.From.FailureDomain, Parts: b.Layout.Parts, Owner: address, FreeCPU: b.FreeCPU, Room: b.Room,
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

// offers holds the other worker groups to which a job has been offered.
type offers struct {
	// began is when the caller's request arrived.
	began time.Time
	// tried are the groups that have not taken the job.
	tried []string
	// returned is set once the job is back in its own group after other groups, which its
	// owner had named, did not take it.
	returned bool
}

// submission returns the job as it is sent to the owner of its own group.
func (o *offers) submission(now time.Time, entry string, job placer.Job, placements []placer.Placement) submission {
	s := submission{Entry: entry, Job: job, Placements: placements, MayMove: !o.returned && len(placements) == 0}
	if o.returned {
		s.SpentMs, s.RefusedBy = now.Sub(o.began).Milliseconds(), o.tried
	}
	return s
}

// findElsewhere returns the name of another group in which a job that arrives at this
// owner fits, or "".
func (r *Relayer) findElsewhere(now time.Time, msg placer.Submit) string {
	if !msg.MayMove || msg.Offered || len(msg.Placements) > 0 || !spiller.InTime(msg.Job, msg.Spent) || r.groups.current().Layout.Parts == 0 {
		return ""
	}
	n, _ := r.neighbours.Choose(now, msg.Job, "", nil, rand.Float64())
	return n.Group
}

// recordRefusals records the groups that did not take a job which this owner has sent
// there, so that it sends them no others until their next report.
func (r *Relayer) recordRefusals(now time.Time, s submission) {
	for _, group := range s.RefusedBy[:min(len(s.RefusedBy), spiller.MaxOffers)] {
		r.neighbours.Refused(now, group, s.Job)
	}
}

// offer submits a job that was refused in this worker group, or that the owner sends to
// the preferred one, to another group, and to a second one if the first does not take it.
// It reports false if no group has taken the job; it has then not run.
func (r *Relayer) offer(ctx context.Context, o *offers, job placer.Job, preferred string) (placer.Result, bool) {
	reason := "refused"
	if preferred != "" {
		reason = "waiting"
	}
	deadline := time.Now().Add(time.Duration(job.RemainingMs) * time.Millisecond)
	for ctx.Err() == nil && len(o.tried) < spiller.MaxOffers && r.groups.current().Layout.Parts != 0 {
		now := time.Now()
		job.RemainingMs = deadline.Sub(now).Milliseconds()
		if !spiller.InTime(job, now.Sub(o.began)) {
			r.Metrics.Count("offerWithheld", "late")
			return placer.Result{}, false
		}
		n, ok := r.neighbours.Choose(now, job, preferred, o.tried, rand.Float64())
		if !ok {
			r.Metrics.Count("offerWithheld", "noGroup")
			return placer.Result{}, false
		}
		result, refusal := r.offerTo(ctx, o, n, job, reason)
		if refusal == "" {
			return result, true
		}
		o.tried = append(o.tried, n.Group)
		r.neighbours.Refused(time.Now(), n.Group, job)
		r.Metrics.Count("offerRefusal", refusal)
		r.Log.WithFields(logrus.Fields{"job": job.ID, "group": n.Group, "owner": n.Owner, "reason": refusal, "spentMs": time.Since(o.began).Milliseconds()}).
			Info("relayer: another worker group did not take a job")
	}
	return placer.Result{}, false
}

// offerTo offers a job to a group. If the group has not taken it, so that it has not run,
// offerTo returns why.
func (r *Relayer) offerTo(ctx context.Context, o *offers, n spiller.Neighbour, job placer.Job, reason string) (result placer.Result, refusal string) {
	if !r.greet(ctx, n.Owner) {
		return placer.Result{}, "noReply"
	}
	request := r.attestations.NewRequest(job.ID)
	request.WaitAt(n.Owner)
	defer request.End()
	spent := time.Since(o.began).Milliseconds()
	r.neighbours.Sent(time.Now(), n.Group, job)
	r.Metrics.Count("retry", "spilled")
	r.Metrics.Count("offer", reason)
	r.Log.WithFields(logrus.Fields{
		"job": job.ID, "group": n.Group, "owner": n.Owner, "reason": reason, "spentMs": spent, "fits": n.Room.FittingTasks(job), "freeCpu": n.FreeCPU, "ageMs": n.AgeMs,
	}).Info("relayer: spilling job to another worker group")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.sendKeepAlives(ctx, cancel, n.Owner)
	result, err := r.sendJob(ctx, n.Owner, submission{Entry: r.Self.Address, Job: job, Offered: true, SpentMs: spent})
	switch {
	case errors.Is(err, messenger.ErrNotSent):
		return placer.Result{}, "notSent"
	case err != nil:
		return placer.Result{Err: messenger.NewError(messenger.OwnerUnreachable, "the owner of worker group "+n.Group+" returned no result: "+err.Error())}, ""
	case result.Moved && len(result.Placements) > 0:
		return placer.Result{Err: messenger.NewError(messenger.TargetLost, "the owner of the other worker group stopped")}, ""
	case result.Moved || result.Elsewhere != "":
		return placer.Result{}, "moved"
	case result.Err != nil && result.Err.Ran == messenger.DidNotRun:
		return placer.Result{}, string(result.Err.Kind)
	}
	return result, ""
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
