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

func workload(t *testing.T, edit func(*generator.Settings)) *generator.Generator {
	t.Helper()
	s := generator.Settings{Seed: 5, MixName: "namta", Slots: 40, LoadPercent: 50, DurationMs: 10_000}
	if edit != nil {
		edit(&s)
	}
	var f loader.Faults
	s.Check(&f)
	if err := f.Err(); err != nil {
		t.Fatal(err)
	}
	return generator.New(s)
}

// play runs a workload and returns the finished jobs by index.
func play(t *testing.T, g *generator.Generator, s Submitter) map[int]Finished {
	t.Helper()
	var mu sync.Mutex
	done := map[int]Finished{}
	Loop{Submitter: s, MaxInFlight: 10_000, Done: func(f Finished) {
		mu.Lock()
		defer mu.Unlock()
		if _, twice := done[f.Job.Index]; twice {
			t.Errorf("job %d ended twice", f.Job.Index)
		}
		done[f.Job.Index] = f
	}}.Run(t.Context(), g)
	return done
}

func wantAll(t *testing.T, done map[int]Finished, check func(Finished) string) {
	t.Helper()
	if len(done) < 20 {
		t.Fatalf("only %d jobs ended", len(done))
	}
	for _, f := range done {
		if text := check(f); text != "" {
			t.Fatalf("job %d: %s (%+v)", f.Job.Index, text, f.Attempt)
		}
	}
}

func completeInIdealTime(f Finished) string {
	if f.Attempt.Outcome != messenger.Complete || f.Attempt.Violation != "" {
		return "not complete"
	}
	if f.Response != f.Job.Longest() {
		return "response " + f.Response.String() + " for a longest task of " + f.Job.Longest().String()
	}
	return ""
}

func pool(n network, history *recorder.Recorder) *Pool {
	return NewPool(PoolSettings{Transport: n, Entries: slices.Sorted(maps.Keys(n)), Sessions: 4, Batch: 8, History: history})
}

// Guards against a caller that adds time of its own, sends jobs without ids,
// uses ids at an entry that did not issue them, or spends a message per id.
func TestPoolAgainstHealthyEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := &fakeEntry{name: "a"}, &fakeEntry{name: "b"}
		var history bytes.Buffer
		p := pool(network{"a": a, "b": b}, &recorder.Recorder{Process: "load", Out: &history})
		p.Prefetch(t.Context())
		done := play(t, workload(t, nil), p)
		wantAll(t, done, completeInIdealTime)
		for _, e := range []*fakeEntry{a, b} {
			for _, sub := range e.seen {
				if !strings.HasPrefix(sub.ID, e.name+"-") {
					t.Fatalf("entry %s received id %q", e.name, sub.ID)
				}
			}
		}
		if ids := p.Totals().Messages["ids"]; ids > 3*4 {
			t.Errorf("%d requests for ids by 4 sessions", ids)
		}
		lines := strings.Count(history.String(), "\n")
		if lines != 2*len(done) {
			t.Errorf("the history has %d lines for %d jobs", lines, len(done))
		}
	})
}

// Guards against hiding a stall: every job that arrives while the entry holds
// its answers must show the time from its intended arrival to the stall's end.
func TestStallShowsInEveryResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from := time.Now().Add(4 * time.Second)
		e := &fakeEntry{name: "a", stallFrom: from, stallTo: from.Add(3 * time.Second)}
		p := pool(network{"a": e}, nil)
		p.Prefetch(t.Context())
		stalled := 0
		wantAll(t, play(t, workload(t, nil), p), func(f Finished) string {
			wait := 7*time.Second - f.Job.At
			if f.Job.At < 4*time.Second || wait <= 0 {
				return completeInIdealTime(f)
			}
			stalled++
			if f.Response != wait+f.Job.Longest() {
				return "response " + f.Response.String() + " hides the stall"
			}
			return ""
		})
		if stalled < 10 {
			t.Errorf("only %d jobs met the stall", stalled)
		}
	})
}

// Guards against answers that violate the contract being counted as complete.
func TestViolations(t *testing.T) {
	cases := map[string]func(*messenger.Answer){
		"swapped results": func(a *messenger.Answer) {
			a.Results[0], a.Results[1] = a.Results[1], a.Results[0]
		},
		"missing result":     func(a *messenger.Answer) { a.Results = a.Results[1:] },
		"result twice":       func(a *messenger.Answer) { a.Results[1] = a.Results[0] },
		"empty result":       func(a *messenger.Answer) { a.Results[1] = json.RawMessage(`null`) },
		"other job's answer": func(a *messenger.Answer) { a.ID = "other" },
		"results of a failure": func(a *messenger.Answer) {
			a.Outcome, a.Error = messenger.Failed, messenger.NewError(messenger.TaskFailed, "")
		},
		"refused without why": func(a *messenger.Answer) { a.Outcome, a.Results = messenger.Refused, nil },
		"in progress":         func(a *messenger.Answer) { a.Outcome, a.Results = messenger.InProgress, nil },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEntry{name: "a", change: func(a *messenger.Answer) {
					if len(a.Results) > 1 {
						change(a)
					}
				}}
				done := play(t, workload(t, nil), pool(network{"a": e}, nil))
				wantAll(t, done, func(f Finished) string {
					if (f.Attempt.Violation != "") != (len(f.Job.RunMs) > 1) {
						return "violation not judged right"
					}
					return ""
				})
			})
		})
	}
}

// Guards against losing jobs that were provably not sent or not run, and
// against keeping a session at an entry that is gone.
func TestSessionsLeaveDeadAndStoppingEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		good := &fakeEntry{name: "b"}
		stopping := &fakeEntry{name: "a", change: func(a *messenger.Answer) {
			*a = messenger.Refusal(a.ID, messenger.NewError(messenger.Draining, ""))
		}}
		p := NewPool(PoolSettings{Transport: network{"a": stopping, "b": good}, Entries: []string{"a", "dead", "b"}, Sessions: 6, Batch: 8})
		done := play(t, workload(t, nil), p)
		wantAll(t, done, func(f Finished) string {
			if f.Attempt.Outcome != messenger.Complete || f.Attempt.Violation != "" {
				return "not complete"
			}
			return ""
		})
		if n := len(stopping.seen); n == 0 || n > len(done)/2 {
			t.Errorf("the stopping entry received %d of %d jobs", n, len(done))
		}
	})
}

// Guards against resubmissions that go to the same entry or carry another id
// or other tasks, and against cancellations that are not sent or not counted.
func TestResubmissionsAndCancellations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := &fakeEntry{name: "a"}, &fakeEntry{name: "b"}
		p := pool(network{"a": a, "b": b}, nil)
		done := play(t, workload(t, func(s *generator.Settings) {
			s.ResubmitPercent = 30
			s.Cancellations = generator.Cancellations{EveryMs: 2000, WindowMs: 300, Percent: 100}
		}), p)
		totals := p.Totals()
		resubmitted := 0
		for _, f := range done {
			if f.Job.Resubmit > 0 {
				resubmitted++
			}
		}
		atOther := map[string]messenger.Submission{}
		for _, sub := range append(slices.Clone(a.seen), b.seen...) {
			first, seen := atOther[sub.ID]
			if seen && digest(first.Tasks) != digest(sub.Tasks) {
				t.Errorf("id %s was submitted with other tasks", sub.ID)
			}
			atOther[sub.ID] = sub
		}
		if n := len(a.seen) + len(b.seen) - len(atOther); n != resubmitted || n == 0 {
			t.Errorf("%d of %d resubmissions arrived", n, resubmitted)
		}
		if n := totals.Repeats["resubmission complete"]; n != int64(resubmitted) {
			t.Errorf("%d of %d resubmissions were answered", n, resubmitted)
		}
		if totals.Messages["cancel"] == 0 {
			t.Error("no cancellation was sent")
		}
	})
}

// Guards against a reference that overbooks a target or starts a task twice.
func TestDirectKnowsTheSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, tasks, started := network{}, 0, 0
		targets := []*fakeTarget{{slots: 8}, {slots: 8}, {slots: 8}, {slots: 8}, {slots: 8}}
		var addresses []string
		for i, target := range targets {
			addresses = append(addresses, string(rune('p'+i)))
			n[addresses[i]] = target
		}
		done := play(t, workload(t, func(s *generator.Settings) { s.LoadPercent = 95 }), NewDirect(n, addresses, 8))
		wantAll(t, done, func(f Finished) string {
			tasks += len(f.Job.RunMs)
			if f.Attempt.Outcome != messenger.Complete || f.Attempt.Violation != "" || f.Response < f.Job.Longest() {
				return "not complete in possible time"
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
			t.Errorf("%d starts of %d tasks", started, tasks)
		}
	})
}

// Guards against jobs that never end when targets fail or time runs out.
func TestDirectReportsFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network{"p": &fakeTarget{slots: 4}, "q": &fakeTarget{slots: 4, broken: true}}
		kinds := map[messenger.Kind]int{}
		for _, f := range play(t, workload(t, func(s *generator.Settings) { s.LoadPercent = 200 }), NewDirect(n, []string{"p", "q"}, 4)) {
			kinds[f.Attempt.Kind]++
		}
		if kinds[messenger.TaskFailed] == 0 || kinds[messenger.DeadlineExceeded] == 0 {
			t.Errorf("kinds of failures: %v", kinds)
		}
	})
}
