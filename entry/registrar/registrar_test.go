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
	testAnswerKeep  = 5 * time.Second
	testAnswerBytes = 20_000
)

// jobsRun drives a registrar.
type jobsRun struct {
	r       *Registrar
	now     time.Time
	all     []*Job
	running []*Job
	faults  []string
}

func (r *jobsRun) fault(format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

func text(n int) json.RawMessage { return json.RawMessage(strings.Repeat("1", n)) }

func (r *jobsRun) step(n int) {
	kind, v := n%6, n/6
	switch kind {
	case 0, 1:
		j := &Job{ID: fmt.Sprint("job", len(r.all)), Deadline: r.now.Add(time.Duration(v%9000) * time.Millisecond)}
		for k := range v % 4 {
			j.Payloads = append(j.Payloads, text(v%700+k))
		}
		r.r.Add(j)
		r.all, r.running = append(r.all, j), append(r.running, j)
	case 2, 3:
		if len(r.running) > 0 {
			r.finish(r.running[v%len(r.running)], v)
		}
	case 4:
		r.now = r.now.Add(time.Duration(v%4000) * time.Millisecond)
		r.expire()
	case 5:
		r.r.Evict(r.now)
	}
	r.check()
}

func (r *jobsRun) finish(j *Job, v int) {
	a := messenger.Answer{ID: j.ID, Outcome: messenger.Complete}
	if v%3 == 0 {
		a.Outcome, a.Error = messenger.Failed, messenger.NewError(messenger.TaskFailed, string(text(v%500)))
	} else {
		a.Results = []json.RawMessage{text(v % 9000), text(v % 50)}
	}
	for i, other := range r.running {
		if other == j {
			r.running = append(r.running[:i], r.running[i+1:]...)
			break
		}
	}
	r.r.Finish(r.now, j, a)
}

// expire finishes what is overdue, which must come in the order of deadlines.
func (r *jobsRun) expire() {
	var last time.Time
	for j := r.r.Overdue(r.now); j != nil; j = r.r.Overdue(r.now) {
		if j.Deadline.Before(last) || j.Deadline.After(r.now) {
			r.fault("%s with deadline %s comes after %s, at %s", j.ID, j.Deadline, last, r.now)
		}
		last = j.Deadline
		r.finish(j, 0)
	}
	for _, j := range r.running {
		if !j.Deadline.After(r.now) {
			r.fault("%s is overdue and was not reported", j.ID)
		}
	}
}

// check compares the registrar's counts with what its jobs hold.
func (r *jobsRun) check() {
	total, kept := int64(0), int64(0)
	for _, j := range r.all {
		held := int64(jobOverhead)
		for _, p := range j.Payloads {
			held += int64(len(p)) + taskOverhead
		}
		if r.r.Find(j.ID) == nil {
			if !j.Finished() {
				r.fault("%s was dropped before its end", j.ID)
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
	if r.r.Bytes != total || r.r.InProgress() != len(r.running) {
		r.fault("counts %d bytes and %d jobs, holds %d and %d", r.r.Bytes, r.r.InProgress(), total, len(r.running))
	}
	if kept > testAnswerBytes {
		r.fault("keeps %d bytes of answers", kept)
	}
}

// Guards against a count of bytes that drifts until every job is refused, and
// against answers kept over their limits.
func TestRegistrarProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(6)
	parameters.MinSuccessfulTests, parameters.MaxSize = 300, 300
	properties := gopter.NewProperties(parameters)
	properties.Property("bytes, limits and deadlines are kept", prop.ForAll(func(steps []int) string {
		r := &jobsRun{r: New(Issuer{}, testAnswerKeep, testAnswerBytes), now: testStart}
		for _, n := range steps {
			if r.step(n); len(r.faults) > 0 {
				return r.faults[0]
			}
		}
		r.now = r.now.Add(time.Minute)
		r.expire()
		r.r.Evict(r.now.Add(time.Minute))
		if r.check(); r.r.Bytes != 0 || len(r.r.jobs) != 0 || len(r.r.ended) != 0 {
			r.fault("%d bytes and %d jobs are left after all was evicted", r.r.Bytes, len(r.r.jobs))
		}
		return strings.Join(r.faults, "; ")
	}, gen.SliceOf(gen.IntRange(0, 1<<20))))
	properties.TestingRun(t)
}
