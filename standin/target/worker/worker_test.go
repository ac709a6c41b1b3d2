package worker_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/standin/target/worker"
)

var start = time.Unix(1_700_000_000, 0)

func newWorker(slots int, guards bool) *worker.Worker {
	return worker.New(worker.Identity{Role: messenger.TargetVM, Address: "127.0.0.1:9000", Service: "orders", Slots: slots}, guards, 1)
}

func request(payload string) messenger.TaskRequest {
	return messenger.TaskRequest{TaskID: "job/3", Service: "orders", Payload: json.RawMessage(payload)}
}

func ptr[T any](v T) *T { return &v }

func wantStarted(t *testing.T, p worker.Plan) worker.Plan {
	t.Helper()
	if p.Refusal != nil {
		t.Fatalf("refused: %+v", p.Refusal)
	}
	return p
}

func wantRefused(t *testing.T, w *worker.Worker, p worker.Plan, kind messenger.TaskErrorKind, status int) {
	t.Helper()
	if p.Refusal == nil || p.Refusal.Kind != kind || p.Refusal.Started {
		t.Fatalf("got %+v, want %s, not started", p.Refusal, kind)
	}
	if got, _ := w.Refuse(request(""), p.Refusal); got != status {
		t.Fatalf("status %d, want %d", got, status)
	}
}

const work = `{"runMs": 50, "value": [1, "a"]}`

func TestStart(t *testing.T) {
	t.Run("a task runs for its time and returns its value", func(t *testing.T) {
		w := newWorker(1, false)
		p := wantStarted(t, w.Start(start, request(work)))
		if p.RunFor != 50*time.Millisecond || p.JobID != "job" || p.Task != 3 {
			t.Fatalf("plan %+v", p)
		}
		status, reply := w.End(request(work), p, p.RunFor)
		if status != http.StatusOK || string(reply.Result) != `{"value":[1,"a"],"taskId":"job/3"}` || reply.RunMs != 50 || reply.Status.InFlight != 0 {
			t.Fatalf("status %d reply %+v", status, reply)
		}
	})
	t.Run("without a free slot", func(t *testing.T) {
		w := newWorker(1, false)
		p := wantStarted(t, w.Start(start, request(work)))
		wantRefused(t, w, w.Start(start, request(work)), messenger.Busy, 503)
		w.End(request(work), p, p.RunFor)
		wantStarted(t, w.Start(start, request(work)))
	})
	t.Run("while leaving", func(t *testing.T) {
		w := newWorker(1, false)
		w.Leave()
		w.Control(worker.Change{Leaving: ptr(false)})
		wantRefused(t, w, w.Start(start, request(work)), messenger.Leaving, 503)
	})
	t.Run("without a lease", func(t *testing.T) {
		w := newWorker(2, true)
		wantRefused(t, w, w.Start(start, request(work)), messenger.LeaseLapsed, 503)
		w.Granted(start, time.Second)
		wantStarted(t, w.Start(start.Add(999*time.Millisecond), request(work)))
		wantRefused(t, w, w.Start(start.Add(time.Second), request(work)), messenger.LeaseLapsed, 503)
	})
	t.Run("malformed", func(t *testing.T) {
		w := newWorker(1, false)
		for _, payload := range []string{`{}`, `{"runMs": -1}`, `{"runMs": "x"}`, `[]`, ``, `{"runMs": 1, "other": 2}`} {
			wantRefused(t, w, w.Start(start, request(payload)), messenger.BadTask, 400)
		}
		for _, id := range []string{"", "job", "/1", "job/x", "job/-1"} {
			r := request(work)
			r.TaskID = id
			wantRefused(t, w, w.Start(start, r), messenger.BadTask, 400)
		}
		other := request(work)
		other.Service = "other"
		wantRefused(t, w, w.Start(start, other), messenger.BadTask, 400)
	})
}

func TestFaults(t *testing.T) {
	t.Run("a broken target fails every task at once, as started", func(t *testing.T) {
		w := newWorker(1, false)
		w.Control(worker.Change{Broken: ptr(true)})
		p := wantStarted(t, w.Start(start, request(work)))
		status, reply := w.End(request(work), p, 0)
		if p.RunFor != 0 || status != 500 || reply.Error == nil || reply.Error.Kind != messenger.TaskFault || !reply.Error.Started {
			t.Fatalf("plan %+v status %d reply %+v", p, status, reply)
		}
	})
	t.Run("cuts concern the next tasks only", func(t *testing.T) {
		w := newWorker(3, false)
		w.Control(worker.Change{CloseAfterRead: ptr(int64(1)), CloseMidReply: ptr(int64(1))})
		for i, want := range []worker.Cut{worker.CutAfterRead, worker.CutMidReply, worker.NoCut} {
			if p := wantStarted(t, w.Start(start, request(work))); p.Cut != want {
				t.Fatalf("task %d: cut %d, want %d", i, p.Cut, want)
			}
		}
	})
	t.Run("slow and delayed", func(t *testing.T) {
		w := newWorker(1, false)
		w.Control(worker.Change{SlowFactor: ptr(2.5), ReplyDelayMs: ptr(int64(7))})
		p := wantStarted(t, w.Start(start, request(work)))
		if p.RunFor != 125*time.Millisecond || p.ReplyDelay != 7*time.Millisecond {
			t.Fatalf("plan %+v", p)
		}
	})
}

// Guards against a slot that is lost or given out twice when tasks, refusals
// and changes of the slot count alternate.
func TestSlotsAreNeverExceeded(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(7)
	properties := gopter.NewProperties(params)
	properties.Property("starts match free slots", prop.ForAll(func(steps []int) bool {
		w := newWorker(4, false)
		var running []worker.Plan
		for _, step := range steps {
			switch {
			case step < 6:
				slots := w.Status().Slots
				p := w.Start(start, request(work))
				if (p.Refusal == nil) != (len(running) < slots) {
					return false
				}
				if p.Refusal == nil {
					running = append(running, p)
				}
			case step < 9 && len(running) > 0:
				w.End(request(work), running[0], 0)
				running = running[1:]
			case step == 9:
				w.Control(worker.Change{Slots: ptr(int64(len(steps) % 6))})
			}
			if w.Status().InFlight != len(running) {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(0, 9))))
	properties.TestingRun(t)
}
