package worker

import (
	"fmt"

	"github.com/godwitrelay/godwitrelay/core/loader"
)

// Faults are the faults of a target that are switched on. FreezeLease stops
// the renewal of the lease. CloseAfterRead and CloseMidReply count the tasks
// that are still to meet them.
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

// Change is the body of POST /control. Targets lists addresses; without it the
// change concerns all targets of the process. Only the fields that are present
// change anything. CutConnections closes every open connection once.
type Change struct {
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

// Check records every value of c that is out of its range.
func (c Change) Check(f *loader.Faults) {
	check := func(field string, n *int64, high int64) {
		if n != nil {
			value := *n
			f.Range(field, &value, 0, 0, high)
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

// Control applies c, which must have passed [Change.Check], and reports
// whether the target began to leave.
func (w *Worker) Control(c Change) (leaves bool) {
	was := w.leaving
	if c.Slots != nil {
		w.slots = int(*c.Slots)
	}
	set(&w.leaving, c.Leaving)
	w.leaving = w.leaving || w.stopping
	set(&w.faults.Broken, c.Broken)
	set(&w.faults.FailPercent, c.FailPercent)
	set(&w.faults.SlowFactor, c.SlowFactor)
	set(&w.faults.SlowPercent, c.SlowPercent)
	set(&w.faults.CloseAfterRead, c.CloseAfterRead)
	set(&w.faults.CloseMidReply, c.CloseMidReply)
	set(&w.faults.ReplyDelayMs, c.ReplyDelayMs)
	set(&w.faults.ReplyJitterMs, c.ReplyJitterMs)
	set(&w.faults.HangStatus, c.HangStatus)
	set(&w.faults.RefuseConnections, c.RefuseConnections)
	set(&w.faults.FreezeLease, c.FreezeLease)
	return w.leaving && !was
}

func set[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}
