package placer

import (
	"hash/fnv"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// handleClaim makes this entry the owner, or reclaims the workers that another
// owner took over.
func (s *State) handleClaim(now time.Time, msg Claim) {
	s.raiseFence(msg)
	s.orphansMatchedBy, s.foundOrphanedAt = now.Add(orphanMatchTimeout), time.Time{}
	if at := msg.PreviousOwnerHeardAt; !at.IsZero() {
		s.foundOrphanedAt = at.Add(-orphanStopAllowance)
	}
	if !s.isOwner {
		s.isOwner, s.contested = true, msg.Contested
		s.log("became the owner of the workers", map[string]any{"fence": s.fence, "contested": msg.Contested, "workers": len(s.sortedWorkers)})
		for _, w := range s.sortedWorkers {
			s.logAppeared(w)
		}
	}
	s.contested = s.contested && msg.Contested
	for _, w := range s.sortedWorkers {
		if w.phase == released {
			w.nextHoldAt = now
		}
	}
	s.sendDueHolds(now)
}

// raiseFence ensures that the fence of new claims is higher than all known
// fences. After a rejection it increases in growing steps, because a worker
// does not report the highest fence it has seen. Steps are in milliseconds and
// are added to the upper bits of the fence; the suffix in the low bits stays.
func (s *State) raiseFence(msg Claim) {
	fence := max(msg.WallMs, msg.HighestKnownFence>>fenceSuffixBits+1)<<fenceSuffixBits | s.fenceSuffix
	if s.fenceRejected {
		s.fenceRejected = false
		fence = max(fence, s.fence+s.fenceStep<<fenceSuffixBits)
		s.fenceStep *= 2
	}
	s.fence = max(s.fence, fence)
}

// handleRelease gives up all workers. Jobs either move to the next owner, or
// are answered with TargetLost, because the outcome of their runs is unknown,
// or with NoTarget if no start was requested.
func (s *State) handleRelease(now time.Time, msg Release) {
	if !s.isOwner {
		return
	}
	s.isOwner = false
	for _, j := range s.sortedJobs() {
		if msg.Moved {
			s.emit(Answer{j.waiter, Result{Moved: true, Placements: s.placements(now, j)}})
		} else {
			s.answerReleased(j, messenger.TargetLost, msg.Reason)
		}
	}
	s.jobs, s.waiting = map[string]*job{}, nil
	for _, w := range s.sortedWorkers {
		w.phase, w.unansweredHolds, w.holdPending, w.lost, w.refused = released, 0, false, false, false
		w.resetRuns()
	}
	s.log("released the workers", map[string]any{"moved": msg.Moved, "reason": msg.Reason})
}

// answerReleased answers a job whose runs this entry no longer controls.
func (s *State) answerReleased(j *job, kind messenger.ErrorKind, reason string) {
	if !j.startRequested {
		kind = messenger.NoTarget
	}
	s.emit(Answer{j.waiter, Result{Err: messenger.NewError(kind, reason)}})
}

// sendDueHolds sends a hold to every worker that is due for one. The first hold
// to a released worker that may be claimed is the claim.
func (s *State) sendDueHolds(now time.Time) {
	for _, w := range s.sortedWorkers {
		if w.phase == released && s.canClaim(now, w) {
			if !s.contested {
				s.orphansMatchedBy = now.Add(orphanMatchTimeout)
			}
			w.phase, w.fence, w.claimedAt = claiming, s.fence, now
			w.resetRuns()
		}
		if w.phase != released && !w.holdPending && !now.Before(w.nextHoldAt) {
			s.sendHold(now, w)
		}
	}
}

// canClaim reports whether a worker may be claimed now. While ownership is
// contested, one worker of each failure domain is claimed first, so that no more
// than one worker per failure domain is taken over from a live competing owner.
// If the competing owner reaches the worker, it reclaims it before
// contestedClaimDelay has passed, and the others are left to it.
func (s *State) canClaim(now time.Time, w *worker) bool {
	if w.removed || now.Before(w.nextHoldAt) {
		return false
	}
	if !s.contested {
		return true
	}
	for _, other := range s.sortedWorkers {
		if other == w || other.FailureDomain != w.FailureDomain || other.phase == released {
			continue
		}
		if other.phase == owned && other.unansweredHolds == 0 && other.claimSettled() {
			// No other owner reclaimed this worker in time.
			return true
		}
		if other.unansweredHolds == 0 {
			// The claim of this worker is undecided.
			return false
		}
		// A worker that does not answer shows nothing about other owners, so
		// another one is claimed instead.
	}
	return true
}

// claimSettled reports whether a competing owner would have reclaimed the worker by
// its last response.
func (w *worker) claimSettled() bool {
	return w.answeredAt.Sub(w.claimedAt) >= contestedClaimDelay
}

func (s *State) sendHold(now time.Time, w *worker) {
	wait := idleHoldWait
	switch {
	case w.clockReadAt.IsZero() || w.phase == claiming || w.runsUnknown || w.unansweredHolds > 0:
		wait = 0
	case s.contested:
		wait = contestedHoldWait
	case len(w.runs) > 0:
		wait = activeHoldWait
	}
	w.holdPending = true
	s.emit(Hold{
		Worker: w.ID, Address: w.Address, Fence: w.fence, LastEnd: w.lastEndIndex,
		UntilMs: w.renewLease(now), Wait: w.spread(wait), Sent: now,
	})
}

// spread shortens the wait of a hold by a share that depends on the worker.
func (w *worker) spread(wait time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(w.ID))
	percent := int64(100 - h.Sum32()%holdSpreadPercent)
	return time.Duration(wait.Milliseconds()*percent/100) * time.Millisecond
}

// probe requests the lists of a worker without waiting for the pending hold.
func (s *State) probe(now time.Time, w *worker) {
	w.probedAt = now
	s.emit(Hold{
		Worker: w.ID, Address: w.Address, Fence: w.fence, LastEnd: w.lastEndIndex,
		UntilMs: w.renewLease(now), Sent: now, Probe: true,
	})
}

func (s *State) handleHoldResponse(now time.Time, msg HoldResponse) {
	w := s.workers[msg.Worker]
	if w == nil || w.phase == released || msg.Fence != w.fence {
		return
	}
	if msg.Probe {
		// Only the regular hold decides whether a worker is lost.
		if msg.Result == HoldAnswered && w.phase == owned && msg.StartedAtMs == w.StartedAtMs && !w.runsUnknown && !w.overtaken(msg) {
			w.answeredAt, w.workerClockMs, w.clockReadAt = now, msg.ClockMs, now
			s.reconcile(now, w, msg)
		}
		return
	}
	if !w.holdPending {
		return
	}
	w.holdPending = false
	switch msg.Result {
	case HoldFenced:
		s.handleFenced(now, w)
		return
	case HoldNoAnswer, HoldRefused, HoldWrongWorker:
		s.handleUnansweredHold(now, w, msg.Result)
		return
	case HoldAnswered:
	}
	if w.lost {
		s.log("worker answers again", map[string]any{"worker": w.ID, "unanswered": w.unansweredHolds})
	}
	w.lost, w.refused = false, false
	if msg.StartedAtMs > 0 && msg.StartedAtMs != w.StartedAtMs && s.handleWorkerRestart(now, w, msg.StartedAtMs) {
		w.unansweredHolds, w.answeredAt, w.workerClockMs, w.clockReadAt = 0, now, msg.ClockMs, now
		s.sendHold(now, w)
		return
	}
	w.runsUnknown = false
	if w.phase == claiming && w.fence == s.fence {
		s.fenceStep = initialFenceStep
	}
	overtaken := w.phase == owned && w.overtaken(msg)
	w.phase, w.unansweredHolds, w.answeredAt = owned, 0, now
	if !overtaken {
		w.workerClockMs, w.clockReadAt = msg.ClockMs, now
		s.reconcile(now, w, msg)
	}
	if s.isOwner {
		s.sendHold(now, w)
	}
}

// overtaken reports whether a response is older than one that has arrived before it, on
// another connection. Its lists show runs that have ended since.
func (w *worker) overtaken(msg HoldResponse) bool {
	return msg.StartedAtMs > 0 && msg.StartedAtMs == w.StartedAtMs && msg.ClockMs < w.workerClockMs
}

// handleFenced handles a worker that another owner has taken over.
func (s *State) handleFenced(now time.Time, w *worker) {
	s.log("another owner took a worker", map[string]any{"worker": w.ID, "fence": w.fence, "unanswered": w.unansweredHolds})
	s.emit(Count{"worker", "fenced"})
	s.fenceRejected = true
	// The other owner may move its jobs to this one.
	s.orphansMatchedBy = now.Add(orphanMatchTimeout)
	s.awaitRunsOn(now, w)
	if w.lost {
		// This entry could not reach the worker. The new owner is on the worker's
		// side of a partition. Once the entries are in contact, the new owner
		// releases its workers and moves its jobs here. Reclaiming the worker before
		// that would end those jobs, so this entry waits for reclaimDelay.
		// WorkerTakenOver is not emitted because it may cause a Claim, which reclaims
		// released workers immediately.
		w.phase, w.holdPending, w.unansweredHolds, w.lost, w.refused, w.nextHoldAt = released, false, 0, false, false, now.Add(reclaimDelay)
		w.resetRuns()
		return
	}
	// A hold with the rejected fence may still be pending; its response is
	// ignored.
	w.phase, w.holdPending, w.refused, w.nextHoldAt = released, false, false, now.Add(holdRetryInterval)
	w.resetRuns()
	// This entry had not given up the worker, and its jobs wait for their runs
	// there. The elector decides whether this entry reclaims the worker now or
	// steps down.
	s.emit(WorkerTakenOver{Worker: w.ID})
}

func (s *State) handleUnansweredHold(now time.Time, w *worker, result HoldResult) {
	if result == HoldWrongWorker {
		// The worker that the starts were sent to is gone.
		s.lateStarts.removeWorker(w)
	}
	w.unansweredHolds++
	w.nextHoldAt = now
	if w.unansweredHolds > 1 {
		w.nextHoldAt = now.Add(holdRetryInterval)
	}
	if s.contested && w.phase == claiming {
		// The worker may be on the other side of a partition. After the
		// partition heals, the owners should discover each other before one
		// takes over workers from the other.
		w.nextHoldAt = now.Add(reclaimDelay)
	}
	if w.unresponsive(now) && !w.lost {
		w.lost = true
		s.log("worker does not answer", map[string]any{
			"worker": w.ID, "result": string(result), "ageMs": now.Sub(w.answeredAt).Milliseconds(), "runs": len(w.runs),
		})
		s.emit(Count{"worker", "silent"})
	}
	if w.lost && result == HoldRefused {
		s.recordCrash(now, w)
	}
	w.refused = w.refused || result == HoldRefused
	if w.lost || w.refused {
		s.stopBesideLateStarts(now, w)
	}
	if w.lost && (result == HoldRefused || now.Sub(w.answeredAt) >= giveUpAfter) {
		s.failJobsOn(now, w, "the worker does not answer")
	}
	if result == HoldWrongWorker && w.phase == owned {
		s.handleWorkerReplacement(now, w)
	}
	if w.unansweredHolds > lostAfterHolds && now.Sub(w.answeredAt) > lateStartPeriod {
		w.resetRuns()
	}
}

// handleWorkerRestart handles a worker that restarted under the same id and
// numbers the ends of its runs from the beginning. Known runs that belong to
// the new incarnation appear in its list of runs; runs of the previous one are
// gone. It reports whether the list has to be requested again.
func (s *State) handleWorkerRestart(now time.Time, w *worker, startedAtMs int64) bool {
	known := w.StartedAtMs > 0
	if known {
		s.recordCrash(now, w)
	}
	w.StartedAtMs, w.lastEndIndex, w.health = startedAtMs, 0, health{}
	w.unmatchedEnds = map[RunKey]runEnd{}
	if !known {
		return false
	}
	s.log("worker restarted", map[string]any{"worker": w.ID, "runs": len(w.runs), "bornMs": startedAtMs})
	// The restarted worker no longer knows its fence and the run numbers that
	// were stopped, so it executes late starts sent to its previous incarnation
	// until it sees a higher fence. Only a list requested from then on is
	// conclusive.
	s.fence += 1 << fenceSuffixBits
	w.fence, w.runsUnknown = s.fence, true
	return true
}

// handleWorkerReplacement handles a different worker at the address. No earlier
// run exists on it.
func (s *State) handleWorkerReplacement(now time.Time, w *worker) {
	s.log("address is served by another worker", map[string]any{"worker": w.ID, "address": w.Address, "runs": len(w.runs)})
	runs := sortedRuns(w)
	w.resetRuns()
	w.clockReadAt, w.health = time.Time{}, health{}
	for _, r := range runs {
		s.handleRunEnd(now, w, r, EndExpired)
	}
}

// awaitRunsOn makes jobs wait for their runs on a worker that another owner
// took over. One of the two owners yields shortly, and the runs continue.
func (s *State) awaitRunsOn(now time.Time, w *worker) {
	for _, r := range sortedRuns(w) {
		if r.job == nil {
			continue
		}
		t := &r.job.tasks[r.taskIndex]
		t.run, t.awaitedRun, t.awaitingSince, t.ownerConflict = nil, &RunKey{r.key.Task, r.key.Number}, now, true
		s.adoptionDeadline = now.Add(2 * adoptionTimeout)
	}
}

// failJobsOn fails the jobs with runs on an unreachable worker. The runs stay
// recorded so that they can be stopped when the worker responds again.
func (s *State) failJobsOn(now time.Time, w *worker, reason string) {
	for _, r := range sortedRuns(w) {
		switch j := r.job; {
		case j == nil:
		case s.crashes.perTask[r.key.Task] >= maxCrashes:
			s.finishJob(now, j, Result{Failed: true})
		default:
			s.failJob(now, j, messenger.TargetLost, reason)
		}
	}
}
