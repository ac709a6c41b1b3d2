package dispatcher

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// eventRun drives an entry with generated events and records what it observed.
type eventRun struct {
	e              *entryUnderTest
	started        map[string]int
	running        []StartTask
	waiters        map[Waiter]string
	answers        map[Waiter]messenger.Answer
	tasks          map[string]int
	reportedNotRun map[string]bool
	subs           []messenger.Submission
	violations     []string
}

func newEventRun(t *testing.T) *eventRun {
	t.Helper()
	return &eventRun{
		e: newEntry(t), started: map[string]int{}, waiters: map[Waiter]string{},
		answers: map[Waiter]messenger.Answer{}, tasks: map[string]int{}, reportedNotRun: map[string]bool{},
	}
}

func (r *eventRun) reportViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// checkCommands checks the commands of one event against the invariants.
func (r *eventRun) checkCommands(cmds []Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case StartTask:
			r.started[cmd.Request.TaskID]++
			if r.started[cmd.Request.TaskID] > 1 {
				r.reportViolation("task %s was started twice", cmd.Request.TaskID)
			}
			if r.reportedNotRun[cmd.JobID] {
				r.reportViolation("job %s started after it was reported as not run", cmd.JobID)
			}
			r.running = append(r.running, cmd)
		case Reply:
			if a, ok := cmd.Value.(messenger.Answer); ok {
				r.checkAnswer(cmd.Waiter, a)
			}
		}
	}
}

func (r *eventRun) checkAnswer(w Waiter, a messenger.Answer) {
	if _, twice := r.answers[w]; twice {
		r.reportViolation("waiter %d was answered twice", w)
	}
	r.answers[w] = a
	if want := r.waiters[w]; want != "" && a.ID != want {
		r.reportViolation("waiter %d of job %s got the answer of %s", w, want, a.ID)
	}
	if a.Outcome == messenger.Complete && len(a.Results) != r.tasks[a.ID] {
		r.reportViolation("job %s has %d tasks and %d results", a.ID, r.tasks[a.ID], len(a.Results))
	}
	for i, result := range a.Results {
		if want := fmt.Sprintf(`"%s/%d"`, a.ID, i); string(result) != want {
			r.reportViolation("result %d of job %s is %s", i, a.ID, result)
		}
	}
	if a.Error != nil && a.Error.Ran == messenger.DidNotRun {
		r.reportedNotRun[a.ID] = true
		for task, n := range r.started {
			if n > 0 && strings.HasPrefix(task, a.ID+"/") {
				r.reportViolation("job %s was reported as not run, but %s had started", a.ID, task)
			}
		}
	}
}

// step converts a generated number to an event and applies it.
func (r *eventRun) step(n int) {
	e := r.e
	pick := n / 16
	switch n % 16 {
	case 0, 1, 2, 3:
		payloads := make([]string, 1+pick%6)
		for i := range payloads {
			payloads[i] = fmt.Sprint(i)
		}
		requestType := []string{"stock-check", "firm-booking", "archive"}[pick%3]
		sub := e.submission(e.newID(), requestType, payloads...)
		sub.DeadlineMs = int64(200 + pick%5000)
		r.subs = append(r.subs, sub)
		r.submit(sub)
	case 4, 5:
		if len(r.subs) > 0 {
			r.submit(r.subs[pick%len(r.subs)])
		}
	case 6:
		if len(r.subs) > 0 {
			sub := r.subs[pick%len(r.subs)]
			id, _ := e.s.cfg.Signer.Parse(sub.ID)
			e.waiter++
			r.waiters[e.waiter] = sub.ID
			r.checkCommands(e.update(Cancel{Waiter: e.waiter, Text: sub.ID, ID: id}))
		}
	case 7:
		r.checkCommands(e.advance(time.Duration(pick%400) * time.Millisecond))
	default:
		if len(r.running) > 0 {
			r.endTask(pick%len(r.running), n%16-8)
		}
	}
}

func (r *eventRun) submit(sub messenger.Submission) {
	r.tasks[sub.ID] = len(sub.Tasks)
	r.waiters[r.e.waiter+1] = sub.ID
	_, cmds := r.e.submit(sub)
	r.checkCommands(cmds)
}

// endTask ends the i-th running task. how selects the result: a busy reply (0), a
// start that was not sent (1), a lost connection (2), a failure (3) or, for any
// other value, success.
func (r *eventRun) endTask(i, how int) {
	st := r.running[i]
	r.running = append(r.running[:i], r.running[i+1:]...)
	switch how {
	case 0:
		r.started[st.Request.TaskID]--
		r.checkCommands(r.e.endTask(st, errorReply(messenger.TaskErrorBusy, false), nil))
	case 1:
		r.started[st.Request.TaskID]--
		r.checkCommands(r.e.endTask(st, messenger.TaskReply{}, &Failure{NotSent: true}))
	case 2:
		r.checkCommands(r.e.endTask(st, messenger.TaskReply{}, &Failure{Text: "EOF"}))
	case 3:
		r.checkCommands(r.e.endTask(st, errorReply(messenger.TaskErrorFailed, true), nil))
	default:
		r.checkCommands(r.e.endTask(st, successReply(`"`+st.Request.TaskID+`"`), nil))
	}
}

// endAll ends all running tasks and checks that every waiter got an answer.
func (r *eventRun) endAll() {
	for len(r.running) > 0 {
		r.endTask(0, 7)
	}
	r.checkCommands(r.e.advance(11 * time.Second))
	for len(r.running) > 0 {
		r.endTask(0, 7)
	}
	for w, id := range r.waiters {
		if _, ok := r.answers[w]; !ok {
			r.reportViolation("waiter %d of job %s got no answer", w, id)
		}
	}
	if n := r.e.s.jobs.InProgress() + len(r.e.s.runningTasks); n != 0 {
		r.reportViolation("%d jobs or tasks are still in progress", n)
	}
}

// TestGeneratedEvents guards against sequences of events that violate an
// invariant: second starts, partial answers, answers of another job, false
// statements that work did not run, and requests without an answer.
func TestGeneratedEvents(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260102)
	parameters.MinSuccessfulTests = 150
	parameters.MaxSize = 400
	properties := gopter.NewProperties(parameters)
	properties.Property("invariants hold", prop.ForAll(
		func(steps []int) string {
			r := newEventRun(t)
			for _, n := range steps {
				r.step(n)
			}
			r.endAll()
			return strings.Join(r.violations, "; ")
		},
		gen.SliceOf(gen.IntRange(0, 1<<20)),
	))
	properties.TestingRun(t)
}

// TestReplay guards against a reducer that depends on anything but its events:
// a replay of a recorded run must return the same commands.
func TestReplay(t *testing.T) {
	s := New(testStart, testSettings())
	var file bytes.Buffer
	log, err := NewEventLog(&file, testStart, testSettings())
	if err != nil {
		t.Fatal(err)
	}
	r := newEventRun(t)
	recorded := 0
	r.e.s = s
	r.e.record = func(now time.Time, msg Msg, cmds []Cmd) {
		recorded++
		log.Write(now, msg, cmds)
	}
	r.e.now = testStart
	r.e.makeReady()
	for n := range 600 {
		r.step(n * 7919 % (1 << 20))
	}
	r.endAll()
	replayed, err := Replay(bytes.NewReader(file.Bytes()), func(time.Time, Msg, []Cmd) {})
	if err != nil || replayed != recorded {
		t.Fatalf("replayed %d of %d events: %v", replayed, recorded, err)
	}
	t.Run("a changed event is detected", func(t *testing.T) {
		changed := bytes.Replace(file.Bytes(), []byte(`"requestType":"archive"`), []byte(`"requestType":"missing"`), 1)
		if _, err := Replay(bytes.NewReader(changed), func(time.Time, Msg, []Cmd) {}); err == nil {
			t.Error("the replay of a changed log succeeded")
		}
	})
}
