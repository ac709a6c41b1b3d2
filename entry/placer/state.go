package placer

import (
	"sort"
	"strings"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/adviser"
)

// State is the reducer. Use [New] to create one.
type State struct {
	// RemoteFactor is how many times as long a task takes on another rack than that of
	// its job, if it is above 1.
	RemoteFactor float64
	// WithoutLookahead is set if waiting jobs are placed in the order of the queue,
	// whatever their size.
	WithoutLookahead bool

	fenceSuffix   int64
	workers       map[string]*worker
	sortedWorkers []*worker
	jobs          map[string]*job
	waiting       []*job
	runTimes      runTimeEstimator
	factors       lastingFactors
	forecast      forecast
	startOutcomes map[outcomeClass]*outcomeCounts
	shares        servedShares
	adviser       adviser.Adviser
	// admitsAll is set by tests that measure what becomes of jobs that would be refused
	// on arrival for lack of room.
	admitsAll  bool
	crashes    crashLog
	lateStarts lateStartLog

	isOwner bool
	// contested is set while another owner may exist. A later claim that is not
	// contested clears it.
	contested bool
	fence     int64
	// fenceRejected is set when a worker rejects a fence, until the next
	// [Claim]. That claim then raises the fence by at least fenceStep, in
	// milliseconds of the wall clock part of the fence.
	fenceRejected bool
	fenceStep     int64
	// needsPlacement is set if jobs or free resources were added since the last
	// placement.
	needsPlacement bool
	// responseTime is how long workers currently take to respond.
	responseTime time.Duration
	// orphansMatchedBy is the time from which a run found on a worker is stopped if
	// no job has been matched with it.
	orphansMatchedBy time.Time
	// foundOrphanedAt is the earliest time at which a run that is found on a worker may
	// have lost its job, or zero if it is unknown.
	foundOrphanedAt time.Time
	// adoptionDeadline is the time after which no job waits for runs of a
	// previous owner or on a worker that another owner took over.
	adoptionDeadline time.Time
	cmds             []Cmd
}

// New returns a state that owns no workers. The low bits of suffix become the
// low bits of its fences, to distinguish them from those of other entries.
func New(suffix uint64) *State {
	return &State{
		fenceSuffix: int64(suffix & (1<<fenceSuffixBits - 1)),
		workers:     map[string]*worker{}, jobs: map[string]*job{}, fenceStep: initialFenceStep,
		runTimes: runTimeEstimator{},
	}
}

// Update handles an event and returns the resulting effects in order.
func (s *State) Update(now time.Time, msg Msg) []Cmd {
	s.cmds = nil
	switch msg := msg.(type) {
	case WorkersListed:
		s.updateWorkers(now, msg.Workers)
	case Claim:
		s.handleClaim(now, msg)
	case Release:
		s.handleRelease(now, msg)
	case Submit:
		s.handleSubmit(now, msg)
	case Cancel:
		s.handleCancel(now, msg)
	case EntryLost:
		s.handleEntryLost(now, msg.Entry)
	case JobsAttested:
		s.handleJobsAttested(now, msg)
	case HoldResponse:
		s.handleHoldResponse(now, msg)
	case StartResponse:
		s.handleStartResponse(now, msg)
	case StopResponse:
		s.handleStopResponse(now, msg)
	case ProcessResumed:
		s.handleProcessResumed(now, msg)
	case CrashesReported:
		s.handleCrashesReported(now, msg.Crashes)
	case FactorsReported:
		s.handleFactorsReported(now, msg.Factors)
	case Tick:
		s.responseTime = msg.ResponseTime
		s.handleTick(now)
		s.needsPlacement = true
	}
	s.placeWaiting(now)
	return s.cmds
}

// IsOwner reports whether this entry owns the workers.
func (s *State) IsOwner() bool { return s.isOwner }

// Jobs returns the number of unanswered jobs, and how many of them are in the
// queue.
func (s *State) Jobs() (all, waiting int) { return len(s.jobs), len(s.waiting) }

// HasJob reports whether a job is in progress on this entry.
func (s *State) HasJob(jobID string) bool { return s.jobs[jobID] != nil }

// EntryOfJob returns the entry that submitted a job in progress, and whether it is.
func (s *State) EntryOfJob(jobID string) (string, bool) {
	if j := s.jobs[jobID]; j != nil {
		return j.entry, true
	}
	return "", false
}

// FreeCPU returns the free CPU of the workers that accept tasks without a
// limit, in thousandths of a core, or 0 while jobs in the queue wait for them. It
// leaves out workers on probation, which accept one task at a time.
func (s *State) FreeCPU(now time.Time) int64 {
	for _, j := range s.waiting {
		if s.runnableTasks(now, j) > 0 {
			return 0
		}
	}
	var sum int64
	for _, w := range s.sortedWorkers {
		if w.schedulable(now) && w.health.maxRuns(now) < 0 {
			sum += w.freeResources().CPU
		}
	}
	return sum
}

// Fence returns the highest fence this entry has used in a claim.
func (s *State) Fence() int64 { return s.fence }

// ReachableWorkers returns the number of reachable workers and the total number
// of workers.
func (s *State) ReachableWorkers(now time.Time) (reachable, all int) {
	for _, w := range s.sortedWorkers {
		if w.removed {
			continue
		}
		all++
		if w.reachable(now) {
			reachable++
		}
	}
	return reachable, all
}

func (s *State) emit(cmd Cmd) { s.cmds = append(s.cmds, cmd) }

func (s *State) log(text string, fields map[string]any) { s.emit(Log{Text: text, Fields: fields}) }

// updateWorkers applies a new list of workers. A worker that is no longer listed is
// kept while it has runs or a pending hold, or may execute a late start.
func (s *State) updateWorkers(now time.Time, list []Worker) {
	present := make(map[string]bool, len(list))
	var appeared, left []string
	for _, listed := range list {
		present[listed.ID] = true
		w := s.workers[listed.ID]
		if w == nil {
			w = newWorker(listed)
			s.workers[listed.ID] = w
			s.sortedWorkers = append(s.sortedWorkers, w)
			appeared = append(appeared, listed.ID)
			if s.isOwner {
				s.logAppeared(w)
			}
		}
		if listed.Draining && !w.Draining && s.isOwner {
			s.log("worker is draining", map[string]any{"worker": listed.ID})
		}
		// The worker reports its own start time; the list may be outdated.
		listed.StartedAtMs = w.StartedAtMs
		w.Worker, w.removed, w.unlistedAt = listed, false, time.Time{}
	}
	for _, w := range s.sortedWorkers {
		if !present[w.ID] && w.unlistedAt.IsZero() {
			w.unlistedAt = now
			left = append(left, w.ID)
		}
		w.removed = !w.unlistedAt.IsZero() && !w.keepUnlisted(now)
	}
	sort.Slice(s.sortedWorkers, func(a, b int) bool { return s.sortedWorkers[a].ID < s.sortedWorkers[b].ID })
	if len(appeared) > 0 || len(left) > 0 {
		s.log("list of workers changed", map[string]any{"workers": len(list), "appeared": summarize(appeared), "left": summarize(left)})
	}
	if s.isOwner {
		s.sendDueHolds(now)
	}
}

func (s *State) logAppeared(w *worker) {
	s.log("worker appeared", map[string]any{"worker": w.ID, "failureDomain": w.FailureDomain, "cpu": w.Resources.CPU})
}

// maxLoggedIDs is the maximum number of ids in a log line.
const maxLoggedIDs = 8

// summarize returns a list of ids for a log line: all of them, or their number if
// there are many.
func summarize(ids []string) any {
	if len(ids) > maxLoggedIDs {
		return len(ids)
	}
	return strings.Join(ids, " ")
}

func (s *State) handleTick(now time.Time) {
	for _, j := range s.sortedJobs() {
		if !now.Before(j.deadline) {
			s.failJob(now, j, messenger.DeadlineExceeded, "the caller's deadline has passed")
			continue
		}
		if j.attestationAge(now) >= jobTimeout {
			s.failJob(now, j, messenger.OwnerUnreachable, "the caller's entry has not attested that it waits for the job")
			continue
		}
		s.failUnresolvedJob(now, j)
	}
	for _, w := range s.sortedWorkers {
		if !w.unlistedAt.IsZero() && !w.removed && !w.keepUnlisted(now) {
			w.removed = true
			s.log("worker was removed", map[string]any{"worker": w.ID, "runs": len(w.runs)})
		}
		s.tickWorker(now, w)
	}
	s.lateStarts.prune(now)
	s.pruneWorkers()
	if now.Sub(s.factors.estimatedAt) >= factorInterval {
		s.updateFactors(now)
	}
	if s.crashes.prune(now) {
		s.emit(CrashesChanged{})
	}
	if s.isOwner {
		s.sendDueHolds(now)
	}
}

// sortedJobs returns the jobs in a fixed order, so that replaying recorded
// events is deterministic.
func (s *State) sortedJobs() []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

func (s *State) tickWorker(now time.Time, w *worker) {
	for key, end := range w.unmatchedEnds {
		if now.Sub(end.at) > endRetention {
			delete(w.unmatchedEnds, key)
		}
	}
	if w.phase != owned {
		return
	}
	if now.Sub(w.answeredAt) >= probeAfter+s.responseTime && now.Sub(w.probedAt) >= probeInterval+probeBackoff*s.responseTime && s.hasOverdueRun(now, w) {
		s.probe(now, w)
	}
	for _, r := range sortedRuns(w) {
		switch {
		case r.job == nil && r.state == running && s.orphanExpired(now, w):
			s.log("stopping a run without a job", map[string]any{"task": r.key.Task, "run": r.key.Number, "worker": w.ID})
			s.stopRun(now, w, r)
		case r.state == stopping || r.state == unconfirmed:
			s.sendStop(now, w, r)
		case r.state == running && r.job != nil && s.isHung(w.answeredAt, w, r):
			// Progress is known only up to the worker's last response.
			s.stopHungRun(now, w, r)
		}
	}
}

// hasOverdueRun reports whether any run should have ended by now. If a hold is
// lost, the ends it would have returned are otherwise detected only after its
// timeout, and the resources of those runs stay idle until then.
func (s *State) hasOverdueRun(now time.Time, w *worker) bool {
	for _, r := range w.runs {
		if r.job != nil && r.state == running && now.Sub(r.startedAt) > time.Duration(overdueFactor*float64(r.expectedRunTime))+overdueGrace+s.responseTime {
			return true
		}
	}
	return false
}

func sortedRuns(w *worker) []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	sortRuns(list)
	return list
}

func sortRuns(list []*run) {
	sort.Slice(list, func(a, b int) bool {
		if list[a].key.Task != list[b].key.Task {
			return list[a].key.Task < list[b].key.Task
		}
		return list[a].key.Number < list[b].key.Number
	})
}

// pruneWorkers removes unlisted workers that have neither runs nor a pending hold,
// and can't execute a late start.
func (s *State) pruneWorkers() {
	kept := s.sortedWorkers[:0]
	for _, w := range s.sortedWorkers {
		if w.removed && len(w.runs) == 0 && w.lateStarts == 0 && !w.holdPending {
			delete(s.workers, w.ID)
			continue
		}
		kept = append(kept, w)
	}
	s.sortedWorkers = kept
}

// handleProcessResumed releases all workers after the process was suspended.
// Another entry may own them by now, and the leases have expired. No hold is
// sent, and so no worker is claimed, before the next [Claim].
func (s *State) handleProcessResumed(now time.Time, msg ProcessResumed) {
	if s.isOwner {
		s.log("released all workers after the process was suspended", map[string]any{"gapMs": msg.Gap.Milliseconds(), "jobs": len(s.jobs)})
	}
	s.handleRelease(now, Release{Reason: "the process was suspended"})
}
