package placer_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// defaultHistories is the number of generated histories in a run. GODWIT_SEEDS
// overrides it for manual searches.
const defaultHistories = 60

// regressionSeeds are the seeds of histories that once failed.
var regressionSeeds = []int64{
	// A start was rejected because of its fence while a hold was pending. The
	// response to that hold was dropped, and the worker was never claimed
	// again.
	1025,
	// A worker's restart was reported after a start in its new incarnation. The
	// run was considered ended and was started a second time while it was
	// running.
	45,
	// Two unanswered starts of a task were executed after their worker had
	// restarted and no longer knew that their run numbers were stopped.
	67,
}

// TestInvariants guards against violations: concurrent runs of a task, "did not
// run" answers for jobs that ran, requests with no answer or two, and workers
// that stay occupied. The histories include lost, late and unanswered requests,
// workers that restart or are disconnected, callers that disconnect, and
// changes of owner.
func TestInvariants(t *testing.T) {
	seeds := append([]int64(nil), regressionSeeds...)
	for seed := range int64(historyCount()) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomHistory(t, seed)
		})
	}
}

// historyCount returns the number of histories a test generates.
func historyCount() int {
	if n, err := strconv.Atoi(os.Getenv("GODWIT_SEEDS")); err == nil {
		return n
	}
	return defaultHistories
}

func runRandomHistory(t *testing.T, seed int64) {
	// 12 workers and 2 entries that can own them.
	s := newSimulation(seed, 12, 2)
	r := s.random
	s.faults = faultRates{lostStarts: 0.02 * r.Float64(), delayedStarts: 0.05 * r.Float64(), lostStartReplies: 0.03 * r.Float64(), lostStops: 0.4 * r.Float64()}
	current := s.owners[0]
	s.currentOwner, s.reclaimWorkers = current, true
	wallMs := int64(1_700_000_000_000)
	s.deliver(current, placer.Claim{WallMs: wallMs})
	s.run(50 * time.Millisecond)
	for i := range 400 {
		s.run(time.Duration(r.Int63n(int64(40 * time.Millisecond))))
		tasks := 1 + r.Intn(6)
		if r.Intn(20) == 0 {
			tasks = 12
		}
		work := time.Duration(20+r.Intn(400)) * time.Millisecond
		task := executor.Task{CPU: 17000 + r.Int63n(24000), Duration: work, Hangs: r.Intn(50) == 0, Fails: r.Intn(50) == 0}
		id := fmt.Sprintf("j%04d", i)
		waiter := s.lastWaiter + 1
		s.submit(current, newJob(id, tasks, task.CPU, work.Milliseconds()), task)
		switch r.Intn(40) {
		case 0:
			s.schedule(time.Duration(r.Intn(200))*time.Millisecond, func(time.Time) {
				s.deliver(current, placer.Cancel{JobID: id, Waiter: waiter})
			})
		case 1:
			m := s.machines[r.Intn(len(s.machines))]
			m.Restart(s.now)
		case 2:
			m := s.machines[r.Intn(len(s.machines))]
			m.unreachableFrom[current] = true
			disconnectedOwner := current
			s.schedule(time.Duration(r.Intn(3000))*time.Millisecond, func(time.Time) { delete(m.unreachableFrom, disconnectedOwner) })
		case 3:
			next := s.owners[0]
			if next == current {
				next = s.owners[1]
			}
			wallMs += 1000
			s.currentOwner = next
			s.changeOwner(current, next, wallMs, r.Intn(4))
			current = next
		}
	}
	s.faults = faultRates{}
	s.run(20 * time.Second)
	s.checkFinalState(t, current)
}

// changeOwner moves the workers from one owner to another: by a planned
// handover, by a claim while the previous owner is still active, after a crash
// of the previous owner that leaves its jobs unanswered, or with a pause after
// the release.
func (s *simulation) changeOwner(from, to *owner, wallMs int64, mode int) {
	switch mode {
	case 0:
		s.deliver(to, placer.Claim{WallMs: wallMs})
		s.deliver(from, placer.Release{Moved: true, Reason: "a planned change"})
		s.resubmitMoved(to)
	case 1:
		s.deliver(to, placer.Claim{WallMs: wallMs})
		s.schedule(300*time.Millisecond, func(time.Time) {
			if s.currentOwner != from {
				s.deliver(from, placer.Release{Reason: "another entry owns the workers"})
			}
		})
	case 2:
		from.state = placer.New(uint64(s.random.Int63()))
		s.deliver(from, placer.WorkersListed{Workers: s.workerList()})
		s.run(time.Duration(s.random.Intn(600)) * time.Millisecond)
		s.deliver(to, placer.Claim{WallMs: wallMs})
		s.resubmitUnanswered(to)
	default:
		s.deliver(from, placer.Release{Reason: "the process was suspended"})
		s.run(100 * time.Millisecond)
		s.deliver(to, placer.Claim{WallMs: wallMs})
	}
}

func (s *simulation) resubmitMoved(to *owner) {
	for _, id := range sortedIDs(s.jobs) {
		j := s.jobs[id]
		if n := len(j.answers); n > 0 && j.answers[n-1].Moved {
			placements := j.answers[n-1].Placements
			s.submit(to, j.job, j.task, placements...)
		}
	}
}

// resubmitUnanswered submits unanswered and moved jobs to an owner that does
// not know their runs.
func (s *simulation) resubmitUnanswered(to *owner) {
	for _, id := range sortedIDs(s.jobs) {
		if j := s.jobs[id]; len(j.answers) == 0 || j.answers[len(j.answers)-1].Moved {
			s.submit(to, j.job, j.task, placer.UnknownPlacements(j.job.Tasks, nil)...)
		}
	}
}

// checkFinalState checks that there are no violations after all faults have
// ended and the last job has had time to end.
func (s *simulation) checkFinalState(t *testing.T, current *owner) {
	t.Helper()
	for _, p := range s.finalViolations(current) {
		t.Error(p)
	}
	if t.Failed() {
		for _, line := range s.logLines {
			t.Log(line)
		}
	}
}

// finalViolations returns all violations seen by callers and workers so far. It
// adds jobs without a final answer, jobs and runs that are still in progress,
// and a failure to run one more wide job.
func (s *simulation) finalViolations(current *owner) []string {
	list := slices.Clone(s.violations)
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	for _, id := range sortedIDs(s.jobs) {
		j := s.jobs[id]
		if len(j.answers) == 0 {
			add("job %s has no answer", id)
			continue
		}
		if j.answers[len(j.answers)-1].Moved {
			add("job %s was moved and not answered", id)
		}
	}
	if all, waiting := current.state.Jobs(); all != 0 || waiting != 0 {
		add("%d jobs are in progress, %d wait", all, waiting)
	}
	for _, m := range s.machines {
		if runs := m.Runs(s.now); len(runs) != 0 {
			add("worker %s still runs %v", m.id, runs)
		}
	}
	wide := s.submit(current, newJob(fmt.Sprintf("j%04d", len(s.jobs)), 8, 27000, 60), executor.Task{CPU: 27000, Duration: 60 * time.Millisecond})
	s.run(time.Second)
	if len(wide.answers) != 1 || !wide.answers[0].Completed {
		add("a wide job after the faults was not completed: %+v", wide.answers)
	}
	return list
}

func sortedIDs(jobs map[string]*submittedJob) []string {
	list := make([]string, 0, len(jobs))
	for i := range len(jobs) {
		list = append(list, fmt.Sprintf("j%04d", i))
	}
	return list
}

// TestUnansweredStartIsNotRefused guards against answering "did not run" for a
// job whose start request was not answered.
func TestUnansweredStartIsNotRefused(t *testing.T) {
	s := newSimulation(1, 3, 1)
	s.deliver(s.owners[0], placer.Claim{WallMs: 1_700_000_000_000})
	s.run(50 * time.Millisecond)
	s.faults = faultRates{delayedStarts: 1}
	j := s.submit(s.owners[0], newJob("j0000", 2, 27000, 60), executor.Task{CPU: 27000, Duration: 60 * time.Millisecond})
	s.run(20 * time.Second)
	s.checkMayHaveRun(t, j)
}

// checkMayHaveRun checks that a job got one answer, an error that leaves open
// whether the job ran.
func (s *simulation) checkMayHaveRun(t *testing.T, j *submittedJob) {
	t.Helper()
	for _, v := range s.violations {
		t.Error(v)
	}
	if len(j.answers) != 1 || j.answers[0].Err == nil || j.answers[0].Err.Ran != messenger.MayHaveRun {
		t.Errorf("job %s: answers %+v, want one error with %s", j.job.ID, j.answers, messenger.MayHaveRun)
	}
}
