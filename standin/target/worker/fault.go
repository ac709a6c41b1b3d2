package worker

import (
	"fmt"

	"github.com/godwitrelay/godwitrelay/core/loader"
)

// Faults are the faults injected into a target. Broken makes every task fail as
// soon as it has started. SlowFactor multiplies the run time of SlowPercent of the
// tasks. CloseAfterRead and CloseMidReply are the numbers of upcoming tasks
// affected. HangStatus leaves status requests without a response,
// RefuseConnections closes the listening socket, and FreezeLease stops lease
// renewal.
type Faults struct {
	Broken            bool    `json:"broken"`
	FailPercent       int64   `json:"failPercent"`
	SlowFactor        float64 `json:"slowFactor"`
	SlowPercent       int64   `json:"slowPercent"`
	CloseAfterRead    int64   `json:"closeAfterRead"`
	CloseMidReply     int64   `json:"closeMidReply"`
	ReplyDelayMs      int64   `json:"replyDelayMs"`
	ReplyJitterMs     int64   `json:"replyJitterMs"`
	HangStatus        bool    `json:"hangStatus"`
	RefuseConnections bool    `json:"refuseConnections"`
	FreezeLease       bool    `json:"freezeLease"`
}

// ControlRequest is the body of POST /control. Targets lists the addresses of the
// targets to change; if empty, all targets of the process change. Absent fields
// leave their settings unchanged. CutConnections closes all open connections
// once.
type ControlRequest struct {
	Targets           []string `json:"targets,omitempty"`
	Slots             *int64   `json:"slots,omitempty"`
	Leaving           *bool    `json:"leaving,omitempty"`
	Broken            *bool    `json:"broken,omitempty"`
	FailPercent       *int64   `json:"failPercent,omitempty"`
	SlowFactor        *float64 `json:"slowFactor,omitempty"`
	SlowPercent       *int64   `json:"slowPercent,omitempty"`
	CloseAfterRead    *int64   `json:"closeAfterRead,omitempty"`
	CloseMidReply     *int64   `json:"closeMidReply,omitempty"`
	ReplyDelayMs      *int64   `json:"replyDelayMs,omitempty"`
	ReplyJitterMs     *int64   `json:"replyJitterMs,omitempty"`
	HangStatus        *bool    `json:"hangStatus,omitempty"`
	RefuseConnections *bool    `json:"refuseConnections,omitempty"`
	FreezeLease       *bool    `json:"freezeLease,omitempty"`
	CutConnections    bool     `json:"cutConnections,omitempty"`
}

// Check records every value of c that is out of range.
func (c ControlRequest) Check(f *loader.Problems) {
	check := func(field string, n *int64, high int64) {
		if n != nil {
			value := *n
			f.CheckRange(field, &value, 0, 0, high)
		}
	}
	check("slots", c.Slots, 10_000)
	check("failPercent", c.FailPercent, 100)
	check("slowPercent", c.SlowPercent, 100)
	check("closeAfterRead", c.CloseAfterRead, 1_000_000_000)
	check("closeMidReply", c.CloseMidReply, 1_000_000_000)
	check("replyDelayMs", c.ReplyDelayMs, maxRunMs)
	check("replyJitterMs", c.ReplyJitterMs, maxRunMs)
	const maxSlowFactor = 1000
	if c.SlowFactor != nil && (*c.SlowFactor < 0 || *c.SlowFactor > maxSlowFactor) {
		f.Add("slowFactor", *c.SlowFactor, fmt.Sprintf("0 to %d", maxSlowFactor))
	}
}

// ApplyControl applies c, which must have passed [ControlRequest.Check], and
// reports whether the target started leaving.
func (w *Worker) ApplyControl(c ControlRequest) (startedLeaving bool) {
	wasLeaving := w.leaving
	if c.Slots != nil {
		w.slots = int(*c.Slots)
	}
	setIfPresent(&w.leaving, c.Leaving)
	w.leaving = w.leaving || w.stopping
	setIfPresent(&w.faults.Broken, c.Broken)
	setIfPresent(&w.faults.FailPercent, c.FailPercent)
	setIfPresent(&w.faults.SlowFactor, c.SlowFactor)
	setIfPresent(&w.faults.SlowPercent, c.SlowPercent)
	setIfPresent(&w.faults.CloseAfterRead, c.CloseAfterRead)
	setIfPresent(&w.faults.CloseMidReply, c.CloseMidReply)
	setIfPresent(&w.faults.ReplyDelayMs, c.ReplyDelayMs)
	setIfPresent(&w.faults.ReplyJitterMs, c.ReplyJitterMs)
	setIfPresent(&w.faults.HangStatus, c.HangStatus)
	setIfPresent(&w.faults.RefuseConnections, c.RefuseConnections)
	setIfPresent(&w.faults.FreezeLease, c.FreezeLease)
	return w.leaving && !wasLeaving
}

func setIfPresent[T any](dst, src *T) {
	if src != nil {
		*dst = *src
	}
}
