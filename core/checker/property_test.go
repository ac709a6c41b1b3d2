package checker

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
)

// logs of a generated history.
const (
	callerLog = iota
	entryLog
	secondEntryLog
	targetLog
	operatorLog
)

// world makes a good history: jobs that complete, fail, are refused or are
// submitted again, two operators that race, a planned stop, a leaving target.
type world struct {
	rng *rand.Rand
	h   History
}

func goodHistory(seed int64) History {
	w := &world{rng: rand.New(rand.NewSource(seed)), h: History{log("caller"), log("entry"), log("entry2"), log("target"), log("operator")}}
	w.add(targetLog, recorder.Record{Event: recorder.TargetLeaving, Target: "old"})
	for i, n := 0, 1+w.rng.Intn(12); i < n; i++ {
		w.addJob(i)
	}
	w.addComplete("fixed", "fixed", 2)
	w.refuse("fixedRefusal", "refused")
	w.addChanges()
	w.add(entryLog, event(recorder.StopBegun), event(recorder.StopEnded))
	return w.h
}

func (w *world) add(log int, records ...recorder.Record) {
	w.h[log].Records = append(w.h[log].Records, records...)
}

func (w *world) addJob(i int) {
	request, job := fmt.Sprintf("r%d", i), fmt.Sprintf("j%d", i)
	switch w.rng.Intn(4) {
	case 0:
		w.addComplete(request, job, 1+w.rng.Intn(5))
	case 1:
		w.refuse(request, job)
		w.addComplete(request, job+"b", 1)
	case 2:
		w.add(callerLog, submitted(request, job, i))
		w.add(entryLog, sent(job))
		w.add(targetLog, started(job, 0, int64(i)))
		w.add(callerLog, unanswered(request, job, messenger.Failed, messenger.TargetLost, messenger.MayHaveRun))
	default:
		w.addComplete(request, job, 2)
		again := firm(submitted(request, job, 0, 1))
		w.add(callerLog, again, complete(request, job, 0, 1))
	}
}

func (w *world) addComplete(request, job string, tasks int) {
	numbers := make([]int, tasks)
	for i := range numbers {
		numbers[i] = i
		w.add(entryLog, sent(job))
		w.add(targetLog, started(job, i, int64(i)))
	}
	w.add(callerLog, firm(submitted(request, job, numbers...)), complete(request, job, numbers...))
}

func (w *world) refuse(request, job string) {
	w.add(callerLog, firm(submitted(request, job, 1)), unanswered(request, job, messenger.Refused, messenger.Overloaded, messenger.DidNotRun))
}

// addChanges lets two operators race on each base. Entries skip versions.
func (w *world) addChanges() {
	base := ""
	for v := int64(1); v <= int64(2+w.rng.Intn(4)); v++ {
		a, b := fmt.Sprintf("a%d", v), fmt.Sprintf("b%d", v)
		if w.rng.Intn(2) == 0 {
			a, b = b, a
		}
		w.add(operatorLog, change(proposed, b, base, 0), change(proposed, a, base, 0))
		if w.rng.Intn(4) > 0 {
			w.add(operatorLog, change(lostRace, b, "", 0))
		}
		w.add(operatorLog, change(told, a, "", v))
		w.add(entryLog, change(inForce, a, "", v))
		if w.rng.Intn(2) == 0 {
			w.add(secondEntryLog, change(inForce, a, "", v))
		}
		base = a
	}
}

// mutations break one point each. Every generated history has the records that
// they need.
var mutations = []struct {
	name  string
	point Point
	apply func(w *world)
}{
	{"a task starts again", StartsOnce, func(w *world) { w.add(targetLog, w.pick(targetLog, recorder.TaskStarted)) }},
	{"a result is dropped", WholeOrFailed, func(w *world) {
		w.edit(callerLog, func(r *recorder.Record) { r.Results = r.Results[1:] })
	}},
	{"a result is another's", OwnAnswer, func(w *world) {
		w.edit(callerLog, func(r *recorder.Record) { r.Results = append(values(99), r.Results[1:]...) })
	}},
	{"a refused job starts", RefusedNotRun, func(w *world) { w.add(targetLog, started("refused", 0, 0)) }},
	{"firm work runs again", RunsOnce, func(w *world) { w.add(targetLog, started("fixed", 1, 0)) }},
	{"a task starts on a target that left", LeavingNoWork, func(w *world) {
		w.add(targetLog, recorder.Record{Event: recorder.TaskStarted, JobID: "late", Target: "old", AtUs: 5_000_001})
	}},
	{"a stop cuts off a request", GracefulStop, func(w *world) {
		records := w.h[entryLog].Records
		records[len(records)-1].Count = 1
	}},
	{"an answer is missing at a stop", GracefulStop, func(w *world) {
		w.add(callerLog, submitted("x", "x", 1))
		w.h[entryLog].Records = append([]recorder.Record{sent("x")}, w.h[entryLog].Records...)
	}},
	{"an entry goes back", ConfigurationIn, func(w *world) {
		w.add(entryLog, change(inForce, w.first().ChangeID, "", 1))
	}},
	{"a second winner", ConfigurationIn, func(w *world) {
		first := w.first()
		first.ChangeID = map[byte]string{'a': "b1", 'b': "a1"}[first.ChangeID[0]]
		w.add(secondEntryLog, first)
	}},
	{"a change is told lost on its own base", ConfigurationIn, func(w *world) {
		records := w.h[operatorLog].Records
		last := records[len(records)-1]
		w.add(operatorLog, change(proposed, "z", last.ChangeID, 0), change(lostRace, "z", "", 0))
	}},
}

func (w *world) pick(log int, e recorder.Event) recorder.Record {
	var list []recorder.Record
	for _, r := range w.h[log].Records {
		if r.Event == e {
			list = append(list, r)
		}
	}
	return list[w.rng.Intn(len(list))]
}

func (w *world) first() recorder.Record { return *firstOf(w.h[entryLog], inForce) }

func firstOf(l Log, e recorder.Event) *recorder.Record { return &find(l, e).Record }

// edit changes one complete answer.
func (w *world) edit(log int, f func(*recorder.Record)) {
	var at []int
	for i, r := range w.h[log].Records {
		if r.Event == recorder.JobAnswered && r.Outcome == messenger.Complete {
			at = append(at, i)
		}
	}
	f(&w.h[log].Records[at[w.rng.Intn(len(at))]])
}

func parameters() *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(20261204)
	p.MinSuccessfulTests = 200
	return p
}

// TestGoodHistories guards against a checker that rejects what may happen.
func TestGoodHistories(t *testing.T) {
	properties := gopter.NewProperties(parameters())
	properties.Property("a good history passes", prop.ForAll(func(seed int64) string {
		return describe(Check(goodHistory(seed), Options{}))
	}, gen.Int64()))
	properties.TestingRun(t)
}

// TestMutations guards against a checker that misses one wrong record among
// many good ones.
func TestMutations(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			properties := gopter.NewProperties(parameters())
			properties.Property("is caught", prop.ForAll(func(seed int64) bool {
				w := &world{rng: rand.New(rand.NewSource(seed)), h: goodHistory(seed)}
				m.apply(w)
				return hasPoint(Check(w.h, Options{}), m.point)
			}, gen.Int64()))
			properties.TestingRun(t)
		})
	}
}

func describe(list []Violation) string {
	if len(list) == 0 {
		return ""
	}
	return list[0].String()
}

func hasPoint(list []Violation, p Point) bool {
	for _, v := range list {
		if v.Point == p {
			return true
		}
	}
	return false
}
