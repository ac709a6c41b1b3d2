package worker

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Counters are cumulative since the target started, except for MaxInFlight, which
// is the maximum number of concurrent tasks.
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

// Add returns the sum of each counter of c and o, and the larger MaxInFlight.
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

// ControlStatus describes one target in the response to GET /control. LeaseMs is
// the remaining lease time, or 0 if the target holds no lease.
type ControlStatus struct {
	VM       messenger.VM `json:"vm"`
	InFlight int          `json:"inFlight"`
	LeaseMs  int64        `json:"leaseMs"`
	Faults   Faults       `json:"faults"`
	Counters Counters     `json:"counters"`
}

// ControlStatus returns the state, faults and counters at the time now.
func (w *Worker) ControlStatus(now time.Time) ControlStatus {
	left := max(0, w.leaseExpires.Sub(now).Milliseconds())
	if w.leaseExpires.IsZero() {
		left = 0
	}
	return ControlStatus{VM: w.VM(), InFlight: w.inFlight, LeaseMs: left, Faults: w.faults, Counters: w.counters}
}
