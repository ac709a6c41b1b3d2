package caller

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/load/generator"
)

func newWorkload(t *testing.T, edit func(*generator.Settings)) *generator.Generator {
	t.Helper()
	s := generator.Settings{Seed: 5, MixName: "namta", Slots: 40, LoadPercent: 50, DurationMs: 10_000}
	if edit != nil {
		edit(&s)
	}
	var f loader.Problems
	s.Check(&f)
	if err := f.Err(); err != nil {
		t.Fatal(err)
	}
	return generator.New(s)
}

// runWorkload submits all jobs of a workload and returns the finished jobs by
// index.
func runWorkload(t *testing.T, g *generator.Generator, s Submitter) map[int]FinishedJob {
	t.Helper()
	var mu sync.Mutex
	done := map[int]FinishedJob{}
	OpenLoop{Submitter: s, MaxInFlight: 10_000, OnFinished: func(f FinishedJob) {
		mu.Lock()
		defer mu.Unlock()
		if _, twice := done[f.Job.Index]; twice {
			t.Errorf("job %d finished twice", f.Job.Index)
		}
		done[f.Job.Index] = f
	}}.Run(t.Context(), g)
	return done
}

func checkAll(t *testing.T, finished map[int]FinishedJob, check func(FinishedJob) string) {
	t.Helper()
	if len(finished) < 20 {
		t.Fatalf("only %d jobs finished", len(finished))
	}
	for _, f := range finished {
		if text := check(f); text != "" {
			t.Fatalf("job %d: %s (%+v)", f.Job.Index, text, f.Attempt)
		}
	}
}

// checkIdealResponse checks that the job is complete and that its response time
// is the run time of its longest task: fakeNetwork has no round-trip time, so this
// is the ideal that package meter defines.
func checkIdealResponse(f FinishedJob) string {
	if f.Attempt.Outcome != messenger.Complete || f.Attempt.Violation != "" {
		return "not complete"
	}
	if f.Response != f.Job.LongestRun() {
		return "response " + f.Response.String() + " for a longest task of " + f.Job.LongestRun().String()
	}
	return ""
}

func newTestPool(n fakeNetwork, history *recorder.Recorder) *Pool {
	return NewPool(PoolSettings{Transport: n, Entries: slices.Sorted(maps.Keys(n)), Sessions: 4, IDBatch: 8, History: history})
}

// TestPoolWithHealthyEntries guards against a caller that adds latency of its
// own, submits jobs without ids, uses ids at an entry that did not issue them,
// or sends one message per id.
func TestPoolWithHealthyEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := &fakeEntry{name: "a"}, &fakeEntry{name: "b"}
		var history bytes.Buffer
		p := newTestPool(fakeNetwork{"a": a, "b": b}, &recorder.Recorder{Process: "load", Out: &history})
		p.Prefetch(t.Context())
		done := runWorkload(t, newWorkload(t, nil), p)
		checkAll(t, done, checkIdealResponse)
		for _, e := range []*fakeEntry{a, b} {
			for _, sub := range e.submissions {
				if !strings.HasPrefix(sub.ID, e.name+"-") {
					t.Fatalf("entry %s received id %q", e.name, sub.ID)
				}
			}
		}
		if ids := p.Totals().Messages["ids"]; ids > 3*4 {
			t.Errorf("%d id requests by 4 sessions", ids)
		}
		lines := strings.Count(history.String(), "\n")
		if lines != 2*len(done) {
			t.Errorf("the history has %d lines for %d jobs", lines, len(done))
		}
	})
}

// TestStallShowsInEveryResponse guards against coordinated omission: the
// response time of every job that arrives while the entry is stalled must
// include the time from its intended arrival to the end of the stall.
func TestStallShowsInEveryResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stallStart := time.Now().Add(4 * time.Second)
		e := &fakeEntry{name: "a", stallStart: stallStart, stallEnd: stallStart.Add(3 * time.Second)}
		p := newTestPool(fakeNetwork{"a": e}, nil)
		p.Prefetch(t.Context())
		delayed := 0
		checkAll(t, runWorkload(t, newWorkload(t, nil), p), func(f FinishedJob) string {
			wait := 7*time.Second - f.Job.ArrivesAt
			if f.Job.ArrivesAt < 4*time.Second || wait <= 0 {
				return checkIdealResponse(f)
			}
			delayed++
			if f.Response != wait+f.Job.LongestRun() {
				return "response " + f.Response.String() + " does not include the stall"
			}
			return ""
		})
		if delayed < 10 {
			t.Errorf("only %d jobs were delayed by the stall", delayed)
		}
	})
}

// TestViolations guards against counting answers that break the API contract as
// valid.
func TestViolations(t *testing.T) {
	cases := map[string]func(*messenger.Answer){
		"swapped results": func(a *messenger.Answer) {
			a.Results[0], a.Results[1] = a.Results[1], a.Results[0]
		},
		"missing result":     func(a *messenger.Answer) { a.Results = a.Results[1:] },
		"result twice":       func(a *messenger.Answer) { a.Results[1] = a.Results[0] },
		"empty result":       func(a *messenger.Answer) { a.Results[1] = json.RawMessage(`null`) },
		"other job's answer": func(a *messenger.Answer) { a.ID = "other" },
		"failed with results": func(a *messenger.Answer) {
			a.Outcome, a.Error = messenger.Failed, messenger.NewError(messenger.TaskFailed, "")
		},
		"refused without error": func(a *messenger.Answer) { a.Outcome, a.Results = messenger.Refused, nil },
		"in progress":           func(a *messenger.Answer) { a.Outcome, a.Results = messenger.InProgress, nil },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEntry{name: "a", modifyAnswer: func(a *messenger.Answer) {
					if len(a.Results) > 1 {
						change(a)
					}
				}}
				done := runWorkload(t, newWorkload(t, nil), newTestPool(fakeNetwork{"a": e}, nil))
				checkAll(t, done, func(f FinishedJob) string {
					if (f.Attempt.Violation != "") != (len(f.Job.RunMs) > 1) {
						return "violation missed or reported for a valid answer"
					}
					return ""
				})
			})
		})
	}
}

// TestSessionsFailOver guards against losing jobs that were provably not sent
// or not run, and against sessions that stay with an unreachable or stopping
// entry.
func TestSessionsFailOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		good := &fakeEntry{name: "b"}
		stopping := &fakeEntry{name: "a", modifyAnswer: func(a *messenger.Answer) {
			*a = messenger.NewRefusal(a.ID, messenger.NewError(messenger.Draining, ""))
		}}
		p := NewPool(PoolSettings{Transport: fakeNetwork{"a": stopping, "b": good}, Entries: []string{"a", "dead", "b"}, Sessions: 6, IDBatch: 8})
		done := runWorkload(t, newWorkload(t, nil), p)
		checkAll(t, done, func(f FinishedJob) string {
			if f.Attempt.Outcome != messenger.Complete || f.Attempt.Violation != "" {
				return "not complete"
			}
			return ""
		})
		if n := len(stopping.submissions); n == 0 || n > len(done)/2 {
			t.Errorf("the stopping entry received %d of %d jobs", n, len(done))
		}
	})
}

// TestResubmissionsAndCancellations guards against resubmissions that are not
// sent, or that use another id or other tasks, and against cancellations that are
// not counted.
func TestResubmissionsAndCancellations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := &fakeEntry{name: "a"}, &fakeEntry{name: "b"}
		p := newTestPool(fakeNetwork{"a": a, "b": b}, nil)
		done := runWorkload(t, newWorkload(t, func(s *generator.Settings) {
			s.ResubmitPercent = 30
			s.Cancellations = generator.Cancellations{EveryMs: 2000, WindowMs: 300, Percent: 100}
		}), p)
		totals := p.Totals()
		resubmitted := 0
		for _, f := range done {
			if f.Job.ResubmitAfter > 0 {
				resubmitted++
			}
		}
		byID := map[string]messenger.Submission{}
		for _, sub := range append(slices.Clone(a.submissions), b.submissions...) {
			first, seen := byID[sub.ID]
			if seen && payloadDigest(first.Tasks) != payloadDigest(sub.Tasks) {
				t.Errorf("id %s was submitted with other tasks", sub.ID)
			}
			byID[sub.ID] = sub
		}
		if n := len(a.submissions) + len(b.submissions) - len(byID); n != resubmitted || n == 0 {
			t.Errorf("%d of %d resubmissions arrived", n, resubmitted)
		}
		if n := totals.FollowUps["resubmission complete"]; n != int64(resubmitted) {
			t.Errorf("%d of %d resubmissions were answered complete", n, resubmitted)
		}
		if totals.Messages["cancel"] == 0 {
			t.Error("no cancellation was counted")
		}
	})
}

// TestDirectRespectsSlots guards against a baseline that overcommits a target
// or starts a task twice.
func TestDirectRespectsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, tasks, started := fakeNetwork{}, 0, 0
		targets := []*fakeTarget{{slots: 8}, {slots: 8}, {slots: 8}, {slots: 8}, {slots: 8}}
		var addresses []string
		for i, target := range targets {
			addresses = append(addresses, string(rune('p'+i)))
			n[addresses[i]] = target
		}
		done := runWorkload(t, newWorkload(t, func(s *generator.Settings) { s.LoadPercent = 95 }), NewDirect(n, addresses, 8))
		checkAll(t, done, func(f FinishedJob) string {
			tasks += len(f.Job.RunMs)
			if f.Attempt.Outcome != messenger.Complete || f.Attempt.Violation != "" || f.Response < f.Job.LongestRun() {
				return "not complete, or faster than its longest task"
			}
			return ""
		})
		for _, target := range targets {
			started += target.started
			if target.refused > 0 {
				t.Errorf("a target refused %d tasks", target.refused)
			}
		}
		if started != tasks {
			t.Errorf("%d starts for %d tasks", started, tasks)
		}
	})
}

// TestDirectReportsFailures guards against jobs that never finish, or whose
// failure kind is not reported, when targets fail or deadlines pass.
func TestDirectReportsFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fakeNetwork{"p": &fakeTarget{slots: 4}, "q": &fakeTarget{slots: 4, broken: true}}
		kinds := map[messenger.ErrorKind]int{}
		for _, f := range runWorkload(t, newWorkload(t, func(s *generator.Settings) { s.LoadPercent = 200 }), NewDirect(n, []string{"p", "q"}, 4)) {
			kinds[f.Attempt.Kind]++
		}
		if kinds[messenger.TaskFailed] == 0 || kinds[messenger.DeadlineExceeded] == 0 {
			t.Errorf("failure kinds: %v", kinds)
		}
	})
}
