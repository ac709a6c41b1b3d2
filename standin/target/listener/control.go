package listener

import (
	"net/http"
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/standin/target/worker"
)

// maxControlBytes bounds the body of POST /control.
const maxControlBytes = 1 << 20

// TargetCondition is the row of one target in a [Condition].
type TargetCondition struct {
	worker.Condition
	Connections GateCounters `json:"connections"`
}

// Condition answers GET /control and POST /control. Totals sums the counters
// of all targets.
type Condition struct {
	Targets []TargetCondition `json:"targets"`
	Totals  worker.Counters   `json:"totals"`
}

// Control returns the handler of the control address of hosts.
func Control(hosts []*Host) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		messenger.Reply(w, http.StatusOK, condition(hosts))
	})
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var c worker.Change
		err := messenger.Decode(r.Body, maxControlBytes, &c)
		if err == nil {
			err = change(hosts, c)
		}
		if err != nil {
			messenger.Reply(w, err.Status(), err)
			return
		}
		messenger.Reply(w, http.StatusOK, condition(hosts))
	})
	return mux
}

func change(hosts []*Host, c worker.Change) *messenger.Error {
	var f loader.Faults
	c.Check(&f)
	for _, address := range c.Targets {
		if !slices.ContainsFunc(hosts, func(h *Host) bool { return h.address == address }) {
			f.Add("targets", address, "an address of this process")
		}
	}
	if err := f.Err(); err != nil {
		return messenger.NewError(messenger.BadRequest, err.Error())
	}
	for _, h := range hosts {
		if len(c.Targets) > 0 && !slices.Contains(c.Targets, h.address) {
			continue
		}
		if err := h.control(c); err != nil {
			return messenger.NewError(messenger.Internal, err.Error())
		}
	}
	return nil
}

func (h *Host) control(c worker.Change) error {
	h.mu.Lock()
	before := h.worker.Row()
	leaves := h.worker.Control(c)
	after := h.worker.Row()
	h.mu.Unlock()
	switch {
	case leaves:
		h.announce(time.Now())
	case before != after:
		select {
		case h.changed <- struct{}{}:
		default:
		}
	}
	if c.CutConnections {
		h.gate.CutAll()
	}
	if c.RefuseConnections != nil {
		return h.gate.SetRefusing(*c.RefuseConnections)
	}
	return nil
}

func condition(hosts []*Host) Condition {
	out := Condition{Targets: []TargetCondition{}}
	now := time.Now()
	for _, h := range hosts {
		h.mu.Lock()
		row := h.worker.Condition(now)
		h.mu.Unlock()
		out.Targets = append(out.Targets, TargetCondition{Condition: row, Connections: h.gate.Counters()})
		out.Totals = out.Totals.Add(row.Counters)
	}
	return out
}
