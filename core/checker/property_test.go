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

// Indexes of the logs in a generated history.
const (
	callerLog = iota
	entryLog
	secondEntryLog
	targetLog
	operatorLog
)

// historyBuilder generates a valid history: jobs that complete, fail, are
// refused or are resubmitted, concurrent changes of the configuration, a planned
// stop and a leaving target.
type historyBuilder struct {
	rng     *rand.Rand
	history History
}

func validHistory(seed int64) History {
	b := &historyBuilder{rng: rand.New(rand.NewSource(seed)), history: History{newLog("caller"), newLog("entry"), newLog("entry2"), newLog("target"), newLog("operator")}}
	b.add(targetLog, recorder.Record{Event: recorder.TargetLeaving, Target: "old"})
	for i, n := 0, 1+b.rng.Intn(12); i < n; i++ {
		b.addJob(i)
	}
	b.addCompleteJob("fixed", "fixed", 2)
	b.addRefusedJob("fixedRefusal", "refused")
	b.addChanges()
	b.add(entryLog, newEvent(recorder.StopStarted), newEvent(recorder.StopEnded))
	return b.history
}

func (b *historyBuilder) add(log int, records ...recorder.Record) {
	b.history[log].Records = append(b.history[log].Records, records...)
}

// addJob adds a job that completes, fails, is refused and resubmitted under a new
// id, or is submitted again under the same id.
func (b *historyBuilder) addJob(i int) {
	request, job := fmt.Sprintf("r%d", i), fmt.Sprintf("j%d", i)
	switch b.rng.Intn(4) {
	case 0:
		b.addCompleteJob(request, job, 1+b.rng.Intn(5))
	case 1:
		b.addRefusedJob(request, job)
		b.addCompleteJob(request, job+"b", 1)
	case 2:
		b.add(callerLog, newSubmission(request, job, i))
		b.add(entryLog, newTaskSent(job))
		b.add(targetLog, newTaskStart(job, 0, int64(i)))
		b.add(callerLog, errorAnswer(request, job, messenger.Failed, messenger.TargetLost, messenger.MayHaveRun))
	default:
		b.addCompleteJob(request, job, 2)
		resubmission := nonIdempotent(newSubmission(request, job, 0, 1))
		b.add(callerLog, resubmission, completeAnswer(request, job, 0, 1))
	}
}

func (b *historyBuilder) addCompleteJob(request, job string, tasks int) {
	numbers := make([]int, tasks)
	for i := range numbers {
		numbers[i] = i
		b.add(entryLog, newTaskSent(job))
		b.add(targetLog, newTaskStart(job, i, int64(i)))
	}
	b.add(callerLog, nonIdempotent(newSubmission(request, job, numbers...)), completeAnswer(request, job, numbers...))
}

func (b *historyBuilder) addRefusedJob(request, job string) {
	b.add(callerLog, nonIdempotent(newSubmission(request, job, 1)), errorAnswer(request, job, messenger.Refused, messenger.Overloaded, messenger.DidNotRun))
}

// addChanges adds several versions. For each of them, two changes are proposed
// on the same base, and one of the two is accepted. The first entry puts every
// version in force, the second only some of them.
func (b *historyBuilder) addChanges() {
	base := ""
	for v := int64(1); v <= int64(2+b.rng.Intn(4)); v++ {
		winner, loser := fmt.Sprintf("a%d", v), fmt.Sprintf("b%d", v)
		if b.rng.Intn(2) == 0 {
			winner, loser = loser, winner
		}
		b.add(operatorLog, newChange(proposed, loser, base, 0), newChange(proposed, winner, base, 0))
		if b.rng.Intn(4) > 0 {
			b.add(operatorLog, newChange(lost, loser, "", 0))
		}
		b.add(operatorLog, newChange(accepted, winner, "", v))
		b.add(entryLog, newChange(inForce, winner, "", v))
		if b.rng.Intn(2) == 0 {
			b.add(secondEntryLog, newChange(inForce, winner, "", v))
		}
		base = winner
	}
}

// Each mutation turns a valid history into one that violates a property. Every
// generated history has the records that the mutations modify.
var mutations = []struct {
	name     string
	property Property
	apply    func(b *historyBuilder)
}{
	{"a task starts twice", TaskAtMostOnce, func(b *historyBuilder) { b.add(targetLog, b.randomRecord(targetLog, recorder.TaskStarted)) }},
	{"a result is dropped", AllOrNothing, func(b *historyBuilder) {
		b.editCompleteAnswer(callerLog, func(r *recorder.Record) { r.Results = r.Results[1:] })
	}},
	{"a result belongs to another request", ResultsMatchRequest, func(b *historyBuilder) {
		b.editCompleteAnswer(callerLog, func(r *recorder.Record) { r.Results = append(valuePayloads(99), r.Results[1:]...) })
	}},
	{"a refused job starts", RefusedNotRun, func(b *historyBuilder) { b.add(targetLog, newTaskStart("refused", 0, 0)) }},
	{"non-idempotent work runs twice", WorkAtMostOnce, func(b *historyBuilder) { b.add(targetLog, newTaskStart("fixed", 1, 0)) }},
	{"a task starts on a leaving target", NoStartAfterLeaving, func(b *historyBuilder) {
		b.add(targetLog, recorder.Record{Event: recorder.TaskStarted, JobID: "late", Target: "old", AtUs: 5_000_001})
	}},
	{"a stop interrupts a request", GracefulStop, func(b *historyBuilder) {
		records := b.history[entryLog].Records
		records[len(records)-1].Count = 1
	}},
	{"an answer is missing at a stop", GracefulStop, func(b *historyBuilder) {
		b.add(callerLog, newSubmission("x", "x", 1))
		b.history[entryLog].Records = append([]recorder.Record{newTaskSent("x")}, b.history[entryLog].Records...)
	}},
	{"an entry reverts to an older version", ConsistentConfiguration, func(b *historyBuilder) {
		b.add(entryLog, newChange(inForce, b.firstVersionInForce().ChangeID, "", 1))
	}},
	{"two changes have the same version", ConsistentConfiguration, func(b *historyBuilder) {
		first := b.firstVersionInForce()
		first.ChangeID = map[byte]string{'a': "b1", 'b': "a1"}[first.ChangeID[0]]
		b.add(secondEntryLog, first)
	}},
	{"a change is reported lost although its base is in force", ConsistentConfiguration, func(b *historyBuilder) {
		records := b.history[operatorLog].Records
		last := records[len(records)-1]
		b.add(operatorLog, newChange(proposed, "z", last.ChangeID, 0), newChange(lost, "z", "", 0))
	}},
}

func (b *historyBuilder) randomRecord(log int, e recorder.Event) recorder.Record {
	var list []recorder.Record
	for _, r := range b.history[log].Records {
		if r.Event == e {
			list = append(list, r)
		}
	}
	return list[b.rng.Intn(len(list))]
}

func (b *historyBuilder) firstVersionInForce() recorder.Record {
	return *firstRecord(b.history[entryLog], inForce)
}

func firstRecord(l Log, e recorder.Event) *recorder.Record { return &findFirst(l, e).Record }

// editCompleteAnswer modifies a random answer with the outcome Complete in a log.
func (b *historyBuilder) editCompleteAnswer(log int, modify func(*recorder.Record)) {
	var indexes []int
	for i, r := range b.history[log].Records {
		if r.Event == recorder.JobAnswered && r.Outcome == messenger.Complete {
			indexes = append(indexes, i)
		}
	}
	modify(&b.history[log].Records[indexes[b.rng.Intn(len(indexes))]])
}

func testParameters() *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(20261204)
	p.MinSuccessfulTests = 200
	return p
}

// TestValidHistories guards against a checker that rejects a valid history.
func TestValidHistories(t *testing.T) {
	properties := gopter.NewProperties(testParameters())
	properties.Property("a valid history passes", prop.ForAll(func(seed int64) string {
		return firstMessage(Check(validHistory(seed), Options{}))
	}, gen.Int64()))
	properties.TestingRun(t)
}

// TestMutations guards against a checker that misses a single wrong record in
// an otherwise valid history.
func TestMutations(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			properties := gopter.NewProperties(testParameters())
			properties.Property("the violation is reported", prop.ForAll(func(seed int64) bool {
				b := &historyBuilder{rng: rand.New(rand.NewSource(seed)), history: validHistory(seed)}
				m.apply(b)
				return hasViolation(Check(b.history, Options{}), m.property)
			}, gen.Int64()))
			properties.TestingRun(t)
		})
	}
}

func firstMessage(violations []Violation) string {
	if len(violations) == 0 {
		return ""
	}
	return violations[0].String()
}

func hasViolation(violations []Violation, p Property) bool {
	for _, v := range violations {
		if v.Property == p {
			return true
		}
	}
	return false
}
