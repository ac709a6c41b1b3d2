package listener

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/standin/target/worker"
)

// maxTaskBytes bounds the body of POST /v1/tasks.
const maxTaskBytes = 1 << 20

func (h *Host) task(w http.ResponseWriter, r *http.Request) {
	var in messenger.TaskRequest
	if err := messenger.Decode(r.Body, maxTaskBytes, &in); err != nil {
		h.mu.Lock()
		status, reply := h.worker.Malformed(err.Message)
		h.mu.Unlock()
		messenger.Reply(w, status, reply)
		return
	}
	started := time.Now()
	h.mu.Lock()
	plan := h.worker.Start(started, in)
	if plan.Refusal != nil {
		status, reply := h.worker.Refuse(in, plan.Refusal)
		h.mu.Unlock()
		answer(w, status, reply)
		return
	}
	// Under the lock: once Leave has returned, no task is added while Stop waits.
	h.tasks.Add(1)
	h.mu.Unlock()
	h.record(started, recorder.TaskStarted, plan)
	if plan.Cut == worker.CutAfterRead {
		go func() {
			defer h.tasks.Done()
			h.run(in, plan, started)
		}()
		// The server closes the connection without a reply and without a log line.
		panic(http.ErrAbortHandler)
	}
	defer h.tasks.Done()
	status, reply := h.run(in, plan, started)
	pause(plan.ReplyDelay)
	if plan.Cut == worker.CutMidReply {
		cutReply(w, status, reply)
	}
	answer(w, status, reply)
}

// answer sends a reply. A leaving target closes the connection after it, so
// that fewer connections are open when the process ends.
func answer(w http.ResponseWriter, status int, reply messenger.TaskReply) {
	if reply.Status.Leaving {
		w.Header().Set("Connection", "close")
	}
	messenger.Reply(w, status, reply)
}

// run holds the slot for the run time of the task and ends it. A task runs to
// its end even if its caller has gone.
func (h *Host) run(in messenger.TaskRequest, plan worker.Plan, started time.Time) (int, messenger.TaskReply) {
	pause(plan.RunFor)
	now := time.Now()
	ran := now.Sub(started)
	h.record(now, recorder.TaskEnded, plan)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.usage.Add(ran)
	return h.worker.End(in, plan, ran)
}

func (h *Host) record(now time.Time, event recorder.Event, plan worker.Plan) {
	h.history.Record(now, recorder.Record{Event: event, JobID: plan.JobID, Task: plan.Task, Target: h.address})
}

func (h *Host) status(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	answers := h.worker.Probe()
	status := h.worker.Status()
	h.mu.Unlock()
	if !answers {
		select {
		case <-r.Context().Done():
		case <-h.stopping:
		}
		panic(http.ErrAbortHandler)
	}
	messenger.Reply(w, http.StatusOK, status)
}

// cutReply sends the head and half of the body of a reply and breaks off.
func cutReply(w http.ResponseWriter, status int, reply messenger.TaskReply) {
	var body bytes.Buffer
	if err := json.NewEncoder(&body).Encode(reply); err == nil {
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
		w.WriteHeader(status)
		_, _ = w.Write(body.Bytes()[:body.Len()/2])
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}

func pause(d time.Duration) {
	if d > 0 {
		time.Sleep(d)
	}
}
