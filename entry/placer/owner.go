package placer

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// claim makes this entry the owner, or claims again the workers that another
// owner took.
func (s *State) claim(now time.Time, msg Claim) {
	s.raiseFence(msg)
	if !s.owning {
		s.owning, s.contested = true, msg.Contested
		s.log("owner of the workers", map[string]any{"fence": s.fence, "contested": msg.Contested, "workers": len(s.order)})
	}
	s.contested = s.contested && msg.Contested
	for _, w := range s.order {
		if w.phase == released {
			w.retryAt = now
		}
	}
	s.holdAll(now)
}

// raiseFence makes sure that the fence of new claims is above all that are
// known. After a refusal it climbs in growing steps, since a worker does not
// say which fence it has seen.
func (s *State) raiseFence(msg Claim) {
	fence := max(msg.WallMs, msg.Above>>fenceSaltBits+1)<<fenceSaltBits | s.salt
	if s.refused {
		s.refused = false
		fence = max(fence, s.fence+s.climb<<fenceSaltBits)
		s.climb *= 2
	}
	s.fence = max(s.fence, fence)
}

// release gives up all workers. Jobs move to the successor, or end without an
// answer about their runs.
func (s *State) release(msg Release) {
	if !s.owning {
		return
	}
	s.owning = false
	for _, j := range s.sortedJobs() {
		if msg.Moved {
			s.do(Answer{j.waiter, Result{Moved: true, Placements: j.placements()}})
		} else {
			s.abandon(j, messenger.TargetLost, msg.Reason)
		}
	}
	s.jobs, s.waiting = map[string]*job{}, nil
	for _, w := range s.order {
		w.phase, w.unanswered, w.holding, w.lost = released, 0, false, false
		w.forget()
	}
	s.log("released the workers", map[string]any{"moved": msg.Moved, "reason": msg.Reason})
}

// abandon answers a job whose runs are out of this entry's control.
func (s *State) abandon(j *job, kind messenger.Kind, reason string) {
	if !j.offered {
		kind = messenger.NoTarget
	}
	s.do(Answer{j.waiter, Result{Err: messenger.NewError(kind, reason)}})
}

// holdAll sends a hold to every worker that is due for one.
func (s *State) holdAll(now time.Time) {
	for _, w := range s.order {
		if w.phase == released && s.mayClaim(now, w) {
			w.phase, w.fence, w.claimedAt = claiming, s.fence, now
			w.forget()
		}
		if w.phase != released && !w.holding && !now.Before(w.retryAt) {
			s.hold(now, w)
		}
	}
}

// mayClaim tells whether a worker may be claimed now. While ownership is
// contested, one worker of a failure domain goes first.
func (s *State) mayClaim(now time.Time, w *worker) bool {
	if w.gone || now.Before(w.retryAt) {
		return false
	}
	if !s.contested {
		return true
	}
	for _, o := range s.order {
		if o == w || o.FailureDomain != w.FailureDomain || o.phase == released {
			continue
		}
		if o.phase == owned && o.unanswered == 0 && o.answeredAt.Sub(o.claimedAt) >= contestedFor {
			return true
		}
		if o.unanswered == 0 {
			return false
		}
	}
	return true
}

func (s *State) hold(now time.Time, w *worker) {
	wait := holdWait
	switch {
	case w.clockAt.IsZero() || w.phase == claiming || w.unlisted || w.unanswered > 0:
		wait = 0
	case s.contested:
		wait = contestedWait
	case len(w.runs) > 0:
		wait = busyWait
	}
	w.holding = true
	s.do(Hold{
		Worker: w.ID, Address: w.Address, Fence: w.fence, LastEnd: w.lastEnd,
		UntilMs: w.until(now, leaseFor), Wait: wait, Sent: now,
	})
}

// look asks for the lists of a worker beside the hold that waits.
func (s *State) look(now time.Time, w *worker) {
	w.lookedAt = now
	s.do(Hold{
		Worker: w.ID, Address: w.Address, Fence: w.fence, LastEnd: w.lastEnd,
		UntilMs: w.until(now, leaseFor), Sent: now, Look: true,
	})
}

func (s *State) held(now time.Time, msg Held) {
	w := s.workers[msg.Worker]
	if w == nil || w.phase == released || msg.Fence != w.fence {
		return
	}
	if msg.Look {
		// Only the hold that waits tells whether a worker is lost.
		if msg.Result == HoldAnswered && w.phase == owned && msg.BornMs == w.BornMs && !w.unlisted {
			w.answeredAt, w.clockMs, w.clockAt = now, msg.ClockMs, now
			s.reconcile(now, w, msg)
		}
		return
	}
	if !w.holding {
		return
	}
	w.holding = false
	switch msg.Result {
	case HoldFenced:
		s.fenced(now, w)
		return
	case HoldNoAnswer, HoldOtherLife:
		s.unanswered(now, w, msg.Result)
		return
	case HoldAnswered:
	}
	if w.lost {
		s.log("worker answers again", map[string]any{"worker": w.ID, "unanswered": w.unanswered})
	}
	w.lost = false
	if msg.BornMs > 0 && msg.BornMs != w.BornMs && s.reborn(w, msg.BornMs) {
		w.unanswered, w.answeredAt, w.clockMs, w.clockAt = 0, now, msg.ClockMs, now
		s.hold(now, w)
		return
	}
	w.unlisted = false
	if w.phase == claiming && w.fence == s.fence {
		s.climb = fenceStep
	}
	w.phase, w.unanswered, w.answeredAt = owned, 0, now
	w.clockMs, w.clockAt = msg.ClockMs, now
	s.reconcile(now, w, msg)
	if s.owning {
		s.hold(now, w)
	}
}

// fenced handles a worker that another owner has taken.
func (s *State) fenced(now time.Time, w *worker) {
	s.log("another owner took a worker", map[string]any{"worker": w.ID, "fence": w.fence, "unanswered": w.unanswered})
	s.do(Count{"worker", "fenced"})
	s.refused = true
	s.awaitRuns(now, w)
	if w.lost {
		// The worker was out of reach, and an owner on its side of a partition
		// serves it. That one yields in good order when the entries meet; a
		// claim now would end its jobs.
		w.phase, w.holding, w.unanswered, w.lost, w.retryAt = released, false, 0, false, now.Add(reunionFor)
		w.forget()
		return
	}
	// A hold under the refused fence may still be open; its answer is ignored.
	w.phase, w.holding, w.retryAt = released, false, now.Add(retryHold)
	w.forget()
	s.do(Deposed{Worker: w.ID})
}

func (s *State) unanswered(now time.Time, w *worker, result HoldResult) {
	w.unanswered++
	w.retryAt = now
	if w.unanswered > 1 {
		w.retryAt = now.Add(retryHold)
	}
	if s.contested && w.phase == claiming {
		// Out of reach, perhaps beyond a partition: when it heals, the owners
		// should meet before one takes workers from the other.
		w.retryAt = now.Add(reunionFor)
	}
	if w.silent(now) && !w.lost {
		w.lost = true
		s.log("worker does not answer", map[string]any{
			"worker": w.ID, "result": string(result), "ageMs": now.Sub(w.answeredAt).Milliseconds(), "runs": len(w.runs),
		})
		s.do(Count{"worker", "silent"})
		s.loseRuns(now, w, "the worker does not answer")
	}
	if result == HoldOtherLife && w.phase == owned {
		s.replaced(now, w)
	}
	if w.unanswered > silentHolds && now.Sub(w.answeredAt) > stopFor {
		w.forget()
	}
}

// reborn handles a worker that started anew under its id: its ends are counted
// anew. Its list of runs tells which known ones belong to the new life; those
// of before are gone. It reports whether the list has to be asked for again.
func (s *State) reborn(w *worker, bornMs int64) bool {
	known := w.BornMs > 0
	w.BornMs, w.lastEnd, w.health = bornMs, 0, health{}
	w.ends = map[RunKey]endRecord{}
	if !known {
		return false
	}
	s.log("worker started anew", map[string]any{"worker": w.ID, "runs": len(w.runs), "bornMs": bornMs})
	// It has forgotten its fence and the numbers that were stopped, so late
	// starts of its former life are carried out until it sees a higher fence.
	// Only a list from then on tells which runs exist.
	s.fence += 1 << fenceSaltBits
	w.fence, w.unlisted = s.fence, true
	return true
}

// replaced handles another worker at the address: nothing of before runs.
func (s *State) replaced(now time.Time, w *worker) {
	s.log("another worker answers at the address", map[string]any{"worker": w.ID, "address": w.Address, "runs": len(w.runs)})
	runs := sortedRuns(w)
	w.forget()
	w.clockAt, w.health = time.Time{}, health{}
	for _, r := range runs {
		s.ended(now, w, r, EndLapsed)
	}
}

// awaitRuns has the jobs with runs on a worker that another owner took wait for
// them: of two owners one yields within moments, and the runs go on.
func (s *State) awaitRuns(now time.Time, w *worker) {
	for _, r := range sortedRuns(w) {
		if r.job == nil {
			continue
		}
		t := &r.job.tasks[r.task]
		t.run, t.awaits, t.awaitFrom, t.rival = nil, &RunKey{r.key.Task, r.key.Number}, now, true
		s.awaitsUntil = now.Add(2 * adoptFor)
	}
}

// loseRuns ends the jobs with runs on a worker that is out of control. The runs
// stay known, to be stopped when the worker answers.
func (s *State) loseRuns(now time.Time, w *worker, reason string) {
	for _, r := range sortedRuns(w) {
		if j := r.job; j != nil {
			s.fail(now, j, messenger.TargetLost, reason)
		}
	}
}
