package worker

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Counters tell what a target has done since its start. MaxInFlight is the
// largest number of tasks at one time.
type Counters struct {
	Starts          int64 `json:"starts"`
	Ends            int64 `json:"ends"`
	Failed          int64 `json:"failed"`
	BusyRefusals    int64 `json:"busyRefusals"`
	LeavingRefusals int64 `json:"leavingRefusals"`
	LapsedRefusals  int64 `json:"lapsedRefusals"`
	BadTasks        int64 `json:"badTasks"`
	CutReplies      int64 `json:"cutReplies"`
	StatusRequests  int64 `json:"statusRequests"`
	MaxInFlight     int   `json:"maxInFlight"`
}

// Add returns the sum of both counters, and the larger MaxInFlight.
func (c Counters) Add(o Counters) Counters {
	return Counters{
		Starts:          c.Starts + o.Starts,
		Ends:            c.Ends + o.Ends,
		Failed:          c.Failed + o.Failed,
		BusyRefusals:    c.BusyRefusals + o.BusyRefusals,
		LeavingRefusals: c.LeavingRefusals + o.LeavingRefusals,
		LapsedRefusals:  c.LapsedRefusals + o.LapsedRefusals,
		BadTasks:        c.BadTasks + o.BadTasks,
		CutReplies:      c.CutReplies + o.CutReplies,
		StatusRequests:  c.StatusRequests + o.StatusRequests,
		MaxInFlight:     max(c.MaxInFlight, o.MaxInFlight),
	}
}

// Condition is the row of one target in GET /control. LeaseMs is the time left
// of its lease, 0 if it holds none.
type Condition struct {
	VM       messenger.VM `json:"vm"`
	InFlight int          `json:"inFlight"`
	LeaseMs  int64        `json:"leaseMs"`
	Faults   Faults       `json:"faults"`
	Counters Counters     `json:"counters"`
}

// Condition describes the target at the time now.
func (w *Worker) Condition(now time.Time) Condition {
	left := max(0, w.leaseEnds.Sub(now).Milliseconds())
	if w.leaseEnds.IsZero() {
		left = 0
	}
	return Condition{VM: w.Row(), InFlight: w.inFlight, LeaseMs: left, Faults: w.faults, Counters: w.counters}
}
