package registrar

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const (
	testAnswerRetention = 5 * time.Second
	testMaxAnswerBytes  = 20_000
)

// registrarModel drives a registrar and tracks its jobs.
type registrarModel struct {
	r          *Registrar
	now        time.Time
	all        []*Job
	running    []*Job
	violations []string
}

func (r *registrarModel) reportViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func payload(n int) json.RawMessage { return json.RawMessage(strings.Repeat("1", n)) }

func (r *registrarModel) step(n int) {
	kind, v := n%6, n/6
	switch kind {
	case 0, 1:
		j := &Job{ID: fmt.Sprint("job", len(r.all)), Deadline: r.now.Add(time.Duration(v%9000) * time.Millisecond)}
		for k := range v % 4 {
			j.Payloads = append(j.Payloads, payload(v%700+k))
		}
		r.r.Add(j)
		r.all, r.running = append(r.all, j), append(r.running, j)
	case 2, 3:
		if len(r.running) > 0 {
			r.finish(r.running[v%len(r.running)], v)
		}
	case 4:
		r.now = r.now.Add(time.Duration(v%4000) * time.Millisecond)
		r.finishOverdue()
	case 5:
		r.r.Evict(r.now)
	}
	r.check()
}

func (r *registrarModel) finish(j *Job, v int) {
	a := messenger.Answer{ID: j.ID, Outcome: messenger.Complete}
	if v%3 == 0 {
		a.Outcome, a.Error = messenger.Failed, messenger.NewError(messenger.TaskFailed, string(payload(v%500)))
	} else {
		a.Results = []json.RawMessage{payload(v % 9000), payload(v % 50)}
	}
	for i, other := range r.running {
		if other == j {
			r.running = append(r.running[:i], r.running[i+1:]...)
			break
		}
	}
	r.r.Finish(r.now, j, a)
}

// finishOverdue finishes the overdue jobs, which must be returned in the order
// of their deadlines.
func (r *registrarModel) finishOverdue() {
	var last time.Time
	for j := r.r.NextOverdue(r.now); j != nil; j = r.r.NextOverdue(r.now) {
		if j.Deadline.Before(last) || j.Deadline.After(r.now) {
			r.reportViolation("%s with deadline %s comes after %s, at %s", j.ID, j.Deadline, last, r.now)
		}
		last = j.Deadline
		r.finish(j, 0)
	}
	for _, j := range r.running {
		if !j.Deadline.After(r.now) {
			r.reportViolation("%s is overdue and was not reported", j.ID)
		}
	}
}

// check compares the registrar's counters with what its jobs hold.
func (r *registrarModel) check() {
	total, kept := int64(0), int64(0)
	for _, j := range r.all {
		held := int64(jobOverhead)
		for _, p := range j.Payloads {
			held += int64(len(p)) + taskOverhead
		}
		if r.r.Find(j.ID) == nil {
			if !j.Finished() {
				r.reportViolation("%s was dropped before it finished", j.ID)
			}
			continue
		}
		if j.Finished() {
			held = answerOverhead
			for _, result := range j.Answer.Results {
				held += int64(len(result)) + resultOverhead
			}
			if j.Answer.Error != nil {
				held += int64(len(j.Answer.Error.Message))
			}
			kept += held
		}
		total += held
	}
	if r.r.HeldBytes != total || r.r.InProgress() != len(r.running) {
		r.reportViolation("counted %d bytes and %d jobs, held %d and %d", r.r.HeldBytes, r.r.InProgress(), total, len(r.running))
	}
	if kept > testMaxAnswerBytes {
		r.reportViolation("%d bytes of answers are kept, over the limit", kept)
	}
}

// TestRegistrarProperties guards against a byte counter that drifts until every
// job is refused, and against answers kept beyond their limits.
func TestRegistrarProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(6)
	parameters.MinSuccessfulTests, parameters.MaxSize = 300, 300
	properties := gopter.NewProperties(parameters)
	properties.Property("byte counts, limits and deadlines are correct", prop.ForAll(func(steps []int) string {
		r := &registrarModel{r: New(Issuer{}, testAnswerRetention, testMaxAnswerBytes), now: testStart}
		for _, n := range steps {
			if r.step(n); len(r.violations) > 0 {
				return r.violations[0]
			}
		}
		r.now = r.now.Add(time.Minute)
		r.finishOverdue()
		r.r.Evict(r.now.Add(time.Minute))
		if r.check(); r.r.HeldBytes != 0 || len(r.r.jobs) != 0 || len(r.r.finished) != 0 {
			r.reportViolation("%d bytes and %d jobs are left after all was evicted", r.r.HeldBytes, len(r.r.jobs))
		}
		return strings.Join(r.violations, "; ")
	}, gen.SliceOf(gen.IntRange(0, 1<<20))))
	properties.TestingRun(t)
}
