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

// maxTaskBytes limits the body of POST /v1/tasks.
const maxTaskBytes = 1 << 20

func (s *Server) handleTask(w http.ResponseWriter, r *http.Request) {
	var in messenger.TaskRequest
	if err := messenger.DecodeJSON(r.Body, maxTaskBytes, &in); err != nil {
		s.mu.Lock()
		status, reply := s.worker.RefuseMalformed(err.Message)
		s.mu.Unlock()
		messenger.WriteJSON(w, status, reply)
		return
	}
	started := time.Now()
	s.mu.Lock()
	plan := s.worker.Start(started, in)
	if plan.Refusal != nil {
		status, reply := s.worker.Refuse(in, plan.Refusal)
		s.mu.Unlock()
		sendReply(w, status, reply)
		return
	}
	// Must hold the lock: after Leave returns, no task may be added while Stop
	// waits for s.tasks.
	s.tasks.Add(1)
	s.mu.Unlock()
	s.recordTask(started, recorder.TaskStarted, plan)
	if plan.Disconnect == worker.DisconnectAfterRead {
		go func() {
			defer s.tasks.Done()
			s.runTask(in, plan, started)
		}()
		// Makes net/http close the connection without a response or a log message.
		panic(http.ErrAbortHandler)
	}
	defer s.tasks.Done()
	status, reply := s.runTask(in, plan, started)
	sleep(plan.ReplyDelay)
	if plan.Disconnect == worker.DisconnectMidReply {
		truncateReply(w, status, reply)
	}
	sendReply(w, status, reply)
}

// sendReply sends a reply. A leaving target also closes the connection, to reduce
// the number of connections that are open when the process exits.
func sendReply(w http.ResponseWriter, status int, reply messenger.TaskReply) {
	if reply.Status.Leaving {
		w.Header().Set("Connection", "close")
	}
	messenger.WriteJSON(w, status, reply)
}

// runTask occupies the slot for the run time of the task and then completes the
// task. A task runs to completion even if its caller disconnects.
func (s *Server) runTask(in messenger.TaskRequest, plan worker.Plan, started time.Time) (int, messenger.TaskReply) {
	sleep(plan.RunFor)
	now := time.Now()
	elapsed := now.Sub(started)
	s.recordTask(now, recorder.TaskEnded, plan)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.Add(elapsed)
	return s.worker.End(in, plan, elapsed)
}

func (s *Server) recordTask(now time.Time, event recorder.Event, plan worker.Plan) {
	s.history.Record(now, recorder.Record{Event: event, JobID: plan.JobID, Task: plan.Task, Target: s.address})
}

func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	answers := s.worker.AcceptStatusRequest()
	status := s.worker.Status()
	s.mu.Unlock()
	if !answers {
		select {
		case <-r.Context().Done():
		case <-s.stopping:
		}
		panic(http.ErrAbortHandler)
	}
	messenger.WriteJSON(w, http.StatusOK, status)
}

// truncateReply sends the headers and half of the body of a reply, then closes
// the connection. It does not return: it panics with [http.ErrAbortHandler].
func truncateReply(w http.ResponseWriter, status int, reply messenger.TaskReply) {
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

func sleep(d time.Duration) {
	if d > 0 {
		time.Sleep(d)
	}
}
