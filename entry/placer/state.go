package placer

import (
	"sort"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// State is the reducer. Make one with [New].
type State struct {
	salt    int64
	workers map[string]*worker
	order   []*worker
	jobs    map[string]*job
	waiting []*job
	times   estimator

	owning    bool
	contested bool
	fence     int64
	// refused tells that a worker has seen a higher fence, and climb by how much
	// the next claim raises it, in milliseconds of the clock.
	refused bool
	climb   int64
	// changed tells that jobs or room were added since the last placement.
	changed bool
	// awaitsUntil is when no job awaits runs of an earlier owner any more.
	awaitsUntil time.Time
	cmds        []Cmd
}

// New returns a state that owns nothing. The low bits of salt keep its fences
// apart from those of other entries.
func New(salt uint64) *State {
	return &State{
		salt:    int64(salt & (1<<fenceSaltBits - 1)),
		workers: map[string]*worker{}, jobs: map[string]*job{}, climb: fenceStep,
		times: estimator{},
	}
}

// Update handles one event and returns the effects in order.
func (s *State) Update(now time.Time, msg Msg) []Cmd {
	s.cmds = nil
	switch msg := msg.(type) {
	case Listed:
		s.listed(now, msg.Workers)
	case Claim:
		s.claim(now, msg)
	case Release:
		s.release(msg)
	case Submit:
		s.submit(now, msg)
	case Cancel:
		s.cancel(now, msg)
	case EntryLost:
		s.entryLost(now, msg.Entry)
	case Held:
		s.held(now, msg)
	case Started:
		s.startAnswered(now, msg)
	case Stopped:
		s.stopAnswered(now, msg)
	case Resumed:
		s.resumed(msg)
	case Tick:
		s.tick(now)
		s.changed = true
	}
	s.place(now)
	return s.cmds
}

// Owning tells whether this entry owns the workers.
func (s *State) Owning() bool { return s.owning }

// Jobs returns the number of jobs without an answer, and how many of them
// wait for a place.
func (s *State) Jobs() (all, waiting int) { return len(s.jobs), len(s.waiting) }

// Has tells whether a job is in progress here.
func (s *State) Has(jobID string) bool { return s.jobs[jobID] != nil }

// FreeCPU returns the free room of the workers that take tasks, in thousandths
// of a core, or 0 while jobs wait for room.
func (s *State) FreeCPU(now time.Time) int64 {
	if len(s.waiting) > 0 {
		return 0
	}
	var sum int64
	for _, w := range s.order {
		if w.usable(now) && w.health.limit(now) < 0 {
			sum += w.free().CPU
		}
	}
	return sum
}

// Fence returns the highest fence that this entry has claimed with.
func (s *State) Fence() int64 { return s.fence }

// Reached returns how many workers are owned and answer, and how many there
// are.
func (s *State) Reached(now time.Time) (reachable, all int) {
	for _, w := range s.order {
		if w.gone {
			continue
		}
		all++
		if w.reachable(now) {
			reachable++
		}
	}
	return reachable, all
}

func (s *State) do(cmd Cmd) { s.cmds = append(s.cmds, cmd) }

func (s *State) log(text string, fields map[string]any) { s.do(Log{Text: text, Fields: fields}) }

// listed takes over a new list of workers. A worker that left the list is kept
// while runs on it are open.
func (s *State) listed(now time.Time, list []Worker) {
	seen := make(map[string]bool, len(list))
	for _, v := range list {
		seen[v.ID] = true
		w := s.workers[v.ID]
		if w == nil {
			w = newWorker(v)
			s.workers[v.ID] = w
			s.order = append(s.order, w)
			sort.Slice(s.order, func(a, b int) bool { return s.order[a].ID < s.order[b].ID })
			s.log("worker appeared", map[string]any{"worker": v.ID, "failureDomain": v.FailureDomain, "cpu": v.Room.CPU})
		}
		if v.Draining && !w.Draining {
			s.log("worker is draining", map[string]any{"worker": v.ID})
		}
		// The worker itself tells which life it is in; its record may be old.
		v.BornMs = w.BornMs
		w.Worker, w.gone = v, false
	}
	for _, w := range s.order {
		if !seen[w.ID] && !w.gone {
			w.gone = true
			s.log("worker left the list", map[string]any{"worker": w.ID, "runs": len(w.runs)})
		}
	}
	if s.owning {
		s.holdAll(now)
	}
}

func (s *State) tick(now time.Time) {
	for _, j := range s.sortedJobs() {
		if !now.Before(j.deadline) {
			s.fail(now, j, messenger.DeadlineExceeded, "the caller's time is over")
			continue
		}
		s.expireAwaited(now, j)
	}
	for _, w := range s.order {
		s.tickWorker(now, w)
	}
	s.removeGone()
	if s.owning {
		s.holdAll(now)
	}
}

// sortedJobs returns the jobs in a fixed order, so that a recorded list of
// events replays exactly.
func (s *State) sortedJobs() []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

func (s *State) tickWorker(now time.Time, w *worker) {
	for key, end := range w.ends {
		if now.Sub(end.at) > keepEnds {
			delete(w.ends, key)
		}
	}
	if w.phase != owned {
		return
	}
	if now.Sub(w.answeredAt) >= lookAfter && now.Sub(w.lookedAt) >= lookEvery && overdue(now, w) {
		s.look(now, w)
	}
	for _, r := range sortedRuns(w) {
		switch {
		case r.job == nil && r.state == running && now.Sub(r.since) > adoptFor:
			s.log("stopping a run without a job", map[string]any{"task": r.key.Task, "run": r.key.Number, "worker": w.ID})
			s.stop(now, w, r)
		case r.state == stopping || r.state == unsure:
			s.repeatStop(now, w, r)
		case r.state == running && r.job != nil && s.times.hung(now, r):
			s.hung(now, w, r)
		}
	}
}

// overdue tells whether a run should have ended by now. The load pattern it
// answers: some holds are lost, and the ends that they would list are seen only
// after their time-out, with the room of the runs idle.
func overdue(now time.Time, w *worker) bool {
	for _, r := range w.runs {
		if r.job != nil && r.state == running && now.Sub(r.since) > time.Duration(overdueFactor*float64(r.expected))+overdueGrace {
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
	sort.Slice(list, func(a, b int) bool {
		if list[a].key.Task != list[b].key.Task {
			return list[a].key.Task < list[b].key.Task
		}
		return list[a].key.Number < list[b].key.Number
	})
	return list
}

// removeGone forgets workers that left the list and have no runs.
func (s *State) removeGone() {
	kept := s.order[:0]
	for _, w := range s.order {
		if w.gone && len(w.runs) == 0 && !w.holding {
			delete(s.workers, w.ID)
			continue
		}
		kept = append(kept, w)
	}
	s.order = kept
}

// resumed drops all beliefs after the process stood still: another entry may
// own the workers by now, and leases have ended.
func (s *State) resumed(msg Resumed) {
	if s.owning {
		s.log("gave up all workers after a pause", map[string]any{"gapMs": msg.Gap.Milliseconds(), "jobs": len(s.jobs)})
	}
	s.release(Release{Reason: "the process stood still"})
}
