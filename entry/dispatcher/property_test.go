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

// history is what a generated run did and saw.
type history struct {
	e       *entryUnderTest
	started map[string]int
	running []StartTask
	waiters map[Waiter]string
	answers map[Waiter]messenger.Answer
	tasks   map[string]int
	notRun  map[string]bool
	subs    []messenger.Submission
	faults  []string
}

func newHistory(t *testing.T) *history {
	t.Helper()
	return &history{
		e: newEntry(t), started: map[string]int{}, waiters: map[Waiter]string{},
		answers: map[Waiter]messenger.Answer{}, tasks: map[string]int{}, notRun: map[string]bool{},
	}
}

func (h *history) fault(format string, args ...any) {
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

// observe checks the commands of one event against what must always hold.
func (h *history) observe(cmds []Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case StartTask:
			h.started[cmd.Request.TaskID]++
			if h.started[cmd.Request.TaskID] > 1 {
				h.fault("task %s has started twice", cmd.Request.TaskID)
			}
			if h.notRun[cmd.JobID] {
				h.fault("job %s started after it was said not to run", cmd.JobID)
			}
			h.running = append(h.running, cmd)
		case Reply:
			if a, ok := cmd.Value.(messenger.Answer); ok {
				h.answered(cmd.Waiter, a)
			}
		}
	}
}

func (h *history) answered(w Waiter, a messenger.Answer) {
	if _, twice := h.answers[w]; twice {
		h.fault("waiter %d was answered twice", w)
	}
	h.answers[w] = a
	if want := h.waiters[w]; want != "" && a.ID != want {
		h.fault("waiter %d of job %s got the answer of %s", w, want, a.ID)
	}
	if a.Outcome == messenger.Complete && len(a.Results) != h.tasks[a.ID] {
		h.fault("job %s has %d tasks and %d results", a.ID, h.tasks[a.ID], len(a.Results))
	}
	for i, result := range a.Results {
		if want := fmt.Sprintf(`"%s/%d"`, a.ID, i); string(result) != want {
			h.fault("result %d of job %s is %s", i, a.ID, result)
		}
	}
	if a.Error != nil && a.Error.Ran == messenger.DidNotRun {
		h.notRun[a.ID] = true
		for task, n := range h.started {
			if n > 0 && strings.HasPrefix(task, a.ID+"/") {
				h.fault("job %s was said not to run, but %s had started", a.ID, task)
			}
		}
	}
}

// step plays one generated number as an event.
func (h *history) step(n int) {
	e := h.e
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
		h.subs = append(h.subs, sub)
		h.submit(sub)
	case 4, 5:
		if len(h.subs) > 0 {
			h.submit(h.subs[pick%len(h.subs)])
		}
	case 6:
		if len(h.subs) > 0 {
			sub := h.subs[pick%len(h.subs)]
			id, _ := e.s.cfg.Signer.Parse(sub.ID)
			e.waiter++
			h.waiters[e.waiter] = sub.ID
			h.observe(e.do(Cancel{Waiter: e.waiter, Text: sub.ID, ID: id}))
		}
	case 7:
		h.observe(e.pass(time.Duration(pick%400) * time.Millisecond))
	default:
		if len(h.running) > 0 {
			h.finish(pick%len(h.running), n%16-8)
		}
	}
}

func (h *history) submit(sub messenger.Submission) {
	h.tasks[sub.ID] = len(sub.Tasks)
	h.waiters[h.e.waiter+1] = sub.ID
	_, cmds := h.e.submit(sub)
	h.observe(cmds)
}

// finish ends the i-th running task: mostly well, sometimes with a refusal, a
// failure or a lost connection.
func (h *history) finish(i, how int) {
	st := h.running[i]
	h.running = append(h.running[:i], h.running[i+1:]...)
	switch how {
	case 0:
		h.started[st.Request.TaskID]--
		h.observe(h.e.end(st, refusal(messenger.Busy, false), nil))
	case 1:
		h.started[st.Request.TaskID]--
		h.observe(h.e.end(st, messenger.TaskReply{}, &Failure{NotSent: true}))
	case 2:
		h.observe(h.e.end(st, messenger.TaskReply{}, &Failure{Text: "EOF"}))
	case 3:
		h.observe(h.e.end(st, refusal(messenger.TaskFault, true), nil))
	default:
		h.observe(h.e.end(st, done(`"`+st.Request.TaskID+`"`), nil))
	}
}

// settle ends all that is running and checks that everybody got an answer.
func (h *history) settle() {
	for len(h.running) > 0 {
		h.finish(0, 7)
	}
	h.observe(h.e.pass(11 * time.Second))
	for len(h.running) > 0 {
		h.finish(0, 7)
	}
	for w, id := range h.waiters {
		if _, ok := h.answers[w]; !ok {
			h.fault("waiter %d of job %s got no answer", w, id)
		}
	}
	if n := h.e.s.jobs.InProgress() + len(h.e.s.held); n != 0 {
		h.fault("%d jobs or tasks are left over", n)
	}
}

// Guards against any order of events that breaks what must always hold: second
// starts, partial or foreign answers, false statements that work did not run,
// and requests without an answer.
func TestGeneratedEvents(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260102)
	parameters.MinSuccessfulTests = 150
	parameters.MaxSize = 400
	properties := gopter.NewProperties(parameters)
	properties.Property("what must always hold", prop.ForAll(
		func(steps []int) string {
			h := newHistory(t)
			for _, n := range steps {
				h.step(n)
			}
			h.settle()
			return strings.Join(h.faults, "; ")
		},
		gen.SliceOf(gen.IntRange(0, 1<<20)),
	))
	properties.TestingRun(t)
}

// Guards against a reducer that reads anything but its events: a recorded run
// must replay with the same commands.
func TestReplay(t *testing.T) {
	s := New(testStart, testSettings())
	var file bytes.Buffer
	log, err := NewEventLog(&file, testStart, testSettings())
	if err != nil {
		t.Fatal(err)
	}
	h := newHistory(t)
	recorded := 0
	h.e.s = s
	h.e.record = func(now time.Time, msg Msg, cmds []Cmd) {
		recorded++
		log.Write(now, msg, cmds)
	}
	h.e.now = testStart
	h.e.begin()
	for n := range 600 {
		h.step(n * 7919 % (1 << 20))
	}
	h.settle()
	replayed, err := Replay(bytes.NewReader(file.Bytes()), func(time.Time, Msg, []Cmd) {})
	if err != nil || replayed != recorded {
		t.Fatalf("replayed %d of %d events: %v", replayed, recorded, err)
	}
	t.Run("a changed event is noticed", func(t *testing.T) {
		changed := bytes.Replace(file.Bytes(), []byte(`"requestType":"archive"`), []byte(`"requestType":"missing"`), 1)
		if _, err := Replay(bytes.NewReader(changed), func(time.Time, Msg, []Cmd) {}); err == nil {
			t.Error("the replay of a changed log succeeded")
		}
	})
}
