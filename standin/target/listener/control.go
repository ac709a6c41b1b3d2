package listener

import (
	"net/http"
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/standin/target/worker"
)

// maxControlBytes limits the body of POST /control.
const maxControlBytes = 1 << 20

// TargetControlStatus describes one target in a [ControlStatus].
type TargetControlStatus struct {
	worker.ControlStatus
	Connections ConnCounters `json:"connections"`
}

// ControlStatus is the response to GET /control and POST /control. Totals
// combines the counters of all targets with [worker.Counters.Add].
type ControlStatus struct {
	Targets []TargetControlStatus `json:"targets"`
	Totals  worker.Counters       `json:"totals"`
}

// ControlHandler returns the handler of the control API for servers.
func ControlHandler(servers []*Server) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		messenger.WriteJSON(w, http.StatusOK, controlStatus(servers))
	})
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var c worker.ControlRequest
		err := messenger.DecodeJSON(r.Body, maxControlBytes, &c)
		if err == nil {
			err = applyControl(servers, c)
		}
		if err != nil {
			messenger.WriteJSON(w, err.Status(), err)
			return
		}
		messenger.WriteJSON(w, http.StatusOK, controlStatus(servers))
	})
	return mux
}

func applyControl(servers []*Server, c worker.ControlRequest) *messenger.Error {
	var f loader.Problems
	c.Check(&f)
	for _, address := range c.Targets {
		if !slices.ContainsFunc(servers, func(s *Server) bool { return s.address == address }) {
			f.Add("targets", address, "the address of a target in this process")
		}
	}
	if err := f.Err(); err != nil {
		return messenger.NewError(messenger.BadRequest, err.Error())
	}
	for _, s := range servers {
		if len(c.Targets) > 0 && !slices.Contains(c.Targets, s.address) {
			continue
		}
		if err := s.applyControl(c); err != nil {
			return messenger.NewError(messenger.Internal, err.Error())
		}
	}
	return nil
}

func (s *Server) applyControl(c worker.ControlRequest) error {
	s.mu.Lock()
	before := s.worker.VM()
	startedLeaving := s.worker.ApplyControl(c)
	after := s.worker.VM()
	s.mu.Unlock()
	switch {
	case startedLeaving:
		s.announceLeaving(time.Now())
	case before != after:
		select {
		case s.vmChanged <- struct{}{}:
		default:
		}
	}
	if c.CutConnections {
		s.listener.CloseAllConns()
	}
	if c.RefuseConnections != nil {
		return s.listener.SetRefusing(*c.RefuseConnections)
	}
	return nil
}

func controlStatus(servers []*Server) ControlStatus {
	out := ControlStatus{Targets: []TargetControlStatus{}}
	now := time.Now()
	for _, s := range servers {
		s.mu.Lock()
		status := s.worker.ControlStatus(now)
		s.mu.Unlock()
		out.Targets = append(out.Targets, TargetControlStatus{ControlStatus: status, Connections: s.listener.Counters()})
		out.Totals = out.Totals.Add(status.Counters)
	}
	return out
}
