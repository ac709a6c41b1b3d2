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

var startTime = time.Unix(1_700_000_000, 0)

func newWorker(slots int, leaseRequired bool) *worker.Worker {
	return worker.New(worker.Identity{Role: messenger.TargetVM, Address: "127.0.0.1:9000", Service: "orders", Slots: slots}, leaseRequired, 1)
}

func request(payload string) messenger.TaskRequest {
	return messenger.TaskRequest{TaskID: "job/3", Service: "orders", Payload: json.RawMessage(payload)}
}

func ptr[T any](v T) *T { return &v }

func wantStarted(t *testing.T, p worker.Plan) worker.Plan {
	t.Helper()
	if p.Refusal != nil {
		t.Fatalf("task was refused: %+v", p.Refusal)
	}
	return p
}

func wantRefused(t *testing.T, w *worker.Worker, p worker.Plan, kind messenger.TaskErrorKind, status int) {
	t.Helper()
	if p.Refusal == nil || p.Refusal.Kind != kind || p.Refusal.Started {
		t.Fatalf("got refusal %+v, want %s, not started", p.Refusal, kind)
	}
	if got, _ := w.Refuse(request(""), p.Refusal); got != status {
		t.Fatalf("got status %d, want %d", got, status)
	}
}

const taskPayload = `{"runMs": 50, "value": [1, "a"]}`

func TestStart(t *testing.T) {
	t.Run("a task runs for its time and returns its value", func(t *testing.T) {
		w := newWorker(1, false)
		p := wantStarted(t, w.Start(startTime, request(taskPayload)))
		if p.RunFor != 50*time.Millisecond || p.JobID != "job" || p.Task != 3 {
			t.Fatalf("got plan %+v", p)
		}
		status, reply := w.End(request(taskPayload), p, p.RunFor)
		if status != http.StatusOK || string(reply.Result) != `{"value":[1,"a"],"taskId":"job/3"}` || reply.RunMs != 50 || reply.Status.InFlight != 0 {
			t.Fatalf("got status %d, reply %+v", status, reply)
		}
	})
	t.Run("without a free slot", func(t *testing.T) {
		w := newWorker(1, false)
		p := wantStarted(t, w.Start(startTime, request(taskPayload)))
		wantRefused(t, w, w.Start(startTime, request(taskPayload)), messenger.TaskErrorBusy, 503)
		w.End(request(taskPayload), p, p.RunFor)
		wantStarted(t, w.Start(startTime, request(taskPayload)))
	})
	t.Run("while leaving", func(t *testing.T) {
		w := newWorker(1, false)
		w.Leave()
		w.ApplyControl(worker.ControlRequest{Leaving: ptr(false)})
		wantRefused(t, w, w.Start(startTime, request(taskPayload)), messenger.TaskErrorLeaving, 503)
	})
	t.Run("without a lease", func(t *testing.T) {
		w := newWorker(2, true)
		wantRefused(t, w, w.Start(startTime, request(taskPayload)), messenger.TaskErrorLeaseLapsed, 503)
		w.RecordLease(startTime, time.Second)
		wantStarted(t, w.Start(startTime.Add(999*time.Millisecond), request(taskPayload)))
		wantRefused(t, w, w.Start(startTime.Add(time.Second), request(taskPayload)), messenger.TaskErrorLeaseLapsed, 503)
	})
	t.Run("malformed", func(t *testing.T) {
		w := newWorker(1, false)
		for _, payload := range []string{`{}`, `{"runMs": -1}`, `{"runMs": "x"}`, `[]`, ``, `{"runMs": 1, "other": 2}`} {
			wantRefused(t, w, w.Start(startTime, request(payload)), messenger.TaskErrorBadTask, 400)
		}
		for _, id := range []string{"", "job", "/1", "job/x", "job/-1"} {
			r := request(taskPayload)
			r.TaskID = id
			wantRefused(t, w, w.Start(startTime, r), messenger.TaskErrorBadTask, 400)
		}
		other := request(taskPayload)
		other.Service = "other"
		wantRefused(t, w, w.Start(startTime, other), messenger.TaskErrorBadTask, 400)
	})
}

func TestFaults(t *testing.T) {
	t.Run("a broken target fails every task immediately, marked as started", func(t *testing.T) {
		w := newWorker(1, false)
		w.ApplyControl(worker.ControlRequest{Broken: ptr(true)})
		p := wantStarted(t, w.Start(startTime, request(taskPayload)))
		status, reply := w.End(request(taskPayload), p, 0)
		if p.RunFor != 0 || status != 500 || reply.Error == nil || reply.Error.Kind != messenger.TaskErrorFailed || !reply.Error.Started {
			t.Fatalf("got plan %+v, status %d, reply %+v", p, status, reply)
		}
	})
	t.Run("disconnects affect only the requested number of tasks", func(t *testing.T) {
		w := newWorker(3, false)
		w.ApplyControl(worker.ControlRequest{CloseAfterRead: ptr(int64(1)), CloseMidReply: ptr(int64(1))})
		for i, want := range []worker.Disconnect{worker.DisconnectAfterRead, worker.DisconnectMidReply, worker.NoDisconnect} {
			if p := wantStarted(t, w.Start(startTime, request(taskPayload))); p.Disconnect != want {
				t.Fatalf("task %d: got disconnect %d, want %d", i, p.Disconnect, want)
			}
		}
	})
	t.Run("slow tasks and delayed replies", func(t *testing.T) {
		w := newWorker(1, false)
		w.ApplyControl(worker.ControlRequest{SlowFactor: ptr(2.5), ReplyDelayMs: ptr(int64(7))})
		p := wantStarted(t, w.Start(startTime, request(taskPayload)))
		if p.RunFor != 125*time.Millisecond || p.ReplyDelay != 7*time.Millisecond {
			t.Fatalf("got plan %+v", p)
		}
	})
}

// TestSlotsAreNeverExceeded guards against slots that leak or are assigned
// twice when task starts, refusals and slot count changes are interleaved.
func TestSlotsAreNeverExceeded(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(7)
	properties := gopter.NewProperties(params)
	properties.Property("a task starts if and only if a slot is free", prop.ForAll(func(steps []int) bool {
		w := newWorker(4, false)
		var running []worker.Plan
		for _, step := range steps {
			switch {
			case step < 6:
				slots := w.Status().Slots
				p := w.Start(startTime, request(taskPayload))
				if (p.Refusal == nil) != (len(running) < slots) {
					return false
				}
				if p.Refusal == nil {
					running = append(running, p)
				}
			case step < 9 && len(running) > 0:
				w.End(request(taskPayload), running[0], 0)
				running = running[1:]
			case step == 9:
				w.ApplyControl(worker.ControlRequest{Slots: ptr(int64(len(steps) % 6))})
			}
			if w.Status().InFlight != len(running) {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(0, 9))))
	properties.TestingRun(t)
}
