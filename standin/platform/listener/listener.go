// Package listener serves the simulated platform over HTTP. Package keeper
// implements its state; this package synchronizes access to it and implements
// delays, dropped replies and outages.
package listener

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/standin/platform/keeper"
)

// maxBodyBytes limits request bodies other than log records.
const maxBodyBytes = 64 << 10

// Server is the HTTP API of a platform. Use [New] to create one.
type Server struct {
	// stopCtx ends requests that are blocked by a delay or an outage.
	stopCtx context.Context

	mu    sync.Mutex
	state *keeper.State
}

// New returns a server for state. Requests that are blocked by a delay or an
// outage end when stopCtx is done.
func New(stopCtx context.Context, state *keeper.State) *Server {
	return &Server{stopCtx: stopCtx, state: state}
}

// Handler returns the handler for all endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log/{stream}", s.handleAppend)
	mux.HandleFunc("GET /v1/log/{stream}", s.handlePage)
	mux.HandleFunc("GET /v1/vms", s.handleVMs)
	mux.HandleFunc("POST /v1/leases", s.handleLease)
	mux.HandleFunc("POST /v1/usage", s.handleUsageReport)
	mux.HandleFunc("GET /v1/usage", s.handleUsageTotals)
	mux.HandleFunc("POST /control", s.handleControl)
	mux.HandleFunc("GET /control", s.handleControlStatus)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		replyError(w, messenger.NewError(messenger.NotFound, ""))
	})
	return mux
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	stream, err := streamName(r)
	if err != nil {
		replyError(w, err)
		return
	}
	value, err := readRecord(r, s.maxRecordBytes())
	if err != nil {
		replyError(w, err)
		return
	}
	if !s.checkOutage(w, r, keeper.LogComponent) {
		return
	}
	// Like a write to a slow store, an append takes effect after its delay even
	// if the client has disconnected.
	s.sleep(s.appendDelay())
	s.mu.Lock()
	offset, loseReply, err := s.state.Append(time.Now(), stream, value)
	s.mu.Unlock()
	switch {
	case loseReply:
		// Makes net/http close the connection without a response or a log message.
		panic(http.ErrAbortHandler)
	case err != nil && err.Kind == messenger.Overloaded:
		messenger.WriteJSON(w, http.StatusTooManyRequests, err)
	case err != nil:
		replyError(w, err)
	default:
		messenger.WriteJSON(w, http.StatusOK, messenger.AppendReply{Offset: offset})
	}
}

func (s *Server) handlePage(w http.ResponseWriter, r *http.Request) {
	stream, err := streamName(r)
	if err != nil {
		replyError(w, err)
		return
	}
	from, errFrom := queryNumber(r, "from")
	limit, errLimit := queryNumber(r, "limit")
	if errFrom != nil || errLimit != nil {
		replyError(w, messenger.NewError(messenger.BadRequest, "from and limit must be non-negative integers"))
		return
	}
	if !s.checkOutage(w, r, keeper.LogComponent) {
		return
	}
	s.sleep(s.readDelay())
	s.mu.Lock()
	page := s.state.Page(time.Now(), stream, from, int(min(limit, 1<<30)))
	s.mu.Unlock()
	messenger.WriteJSON(w, http.StatusOK, page)
}

func (s *Server) handleVMs(w http.ResponseWriter, r *http.Request) {
	if !s.checkOutage(w, r, keeper.VMsComponent) {
		return
	}
	s.mu.Lock()
	list := s.state.VMs(time.Now())
	s.mu.Unlock()
	messenger.WriteJSON(w, http.StatusOK, list)
}

func (s *Server) handleLease(w http.ResponseWriter, r *http.Request) {
	var in messenger.LeaseRequest
	if err := messenger.DecodeJSON(r.Body, maxBodyBytes, &in); err != nil {
		replyError(w, err)
		return
	}
	if !s.checkOutage(w, r, keeper.LeasesComponent) {
		return
	}
	s.mu.Lock()
	out, err := s.state.Lease(time.Now(), in)
	s.mu.Unlock()
	if err != nil {
		replyError(w, err)
		return
	}
	messenger.WriteJSON(w, http.StatusOK, out)
}

func (s *Server) handleUsageReport(w http.ResponseWriter, r *http.Request) {
	var in messenger.UsageReport
	if err := messenger.DecodeJSON(r.Body, maxBodyBytes, &in); err != nil {
		replyError(w, err)
		return
	}
	if !s.checkOutage(w, r, keeper.UsageComponent) {
		return
	}
	s.mu.Lock()
	err := s.state.AddUsageReport(time.Now(), in)
	s.mu.Unlock()
	if err != nil {
		replyError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleUsageTotals(w http.ResponseWriter, r *http.Request) {
	if !s.checkOutage(w, r, keeper.UsageComponent) {
		return
	}
	s.mu.Lock()
	totals := s.state.UsageTotals(time.Now())
	s.mu.Unlock()
	messenger.WriteJSON(w, http.StatusOK, totals)
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	var in keeper.ControlRequest
	if err := messenger.DecodeJSON(r.Body, maxBodyBytes, &in); err != nil {
		replyError(w, err)
		return
	}
	s.mu.Lock()
	now := time.Now()
	err := s.state.ApplyControl(now, in)
	out := s.state.ControlStatus(now)
	s.mu.Unlock()
	if err != nil {
		replyError(w, messenger.NewError(messenger.BadRequest, err.Error()))
		return
	}
	messenger.WriteJSON(w, http.StatusOK, out)
}

func (s *Server) handleControlStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	out := s.state.ControlStatus(time.Now())
	s.mu.Unlock()
	messenger.WriteJSON(w, http.StatusOK, out)
}

// checkOutage simulates the outage of a component, if any, and reports whether
// to handle the request. Call it after the body has been read: net/http detects
// a client disconnect only then.
func (s *Server) checkOutage(w http.ResponseWriter, r *http.Request, component keeper.Component) bool {
	s.mu.Lock()
	outage := s.state.CheckOutage(component)
	s.mu.Unlock()
	switch outage {
	case keeper.Refuse:
		replyError(w, messenger.NewError(messenger.NotReady, "platform component "+string(component)+" is unavailable"))
		return false
	case keeper.Hang:
		select {
		case <-r.Context().Done():
		case <-s.stopCtx.Done():
		}
		panic(http.ErrAbortHandler)
	default:
		return true
	}
}

func (s *Server) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.stopCtx.Done():
	}
}

func (s *Server) appendDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.AppendDelay()
}

func (s *Server) readDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.ReadDelay()
}

func (s *Server) maxRecordBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.MaxRecordBytes()
}

func streamName(r *http.Request) (string, *messenger.Error) {
	var f loader.Problems
	name := r.PathValue("stream")
	f.CheckName("stream", name)
	if err := f.Err(); err != nil {
		return "", messenger.NewError(messenger.BadRequest, err.Error())
	}
	return name, nil
}

func queryNumber(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err == nil && n < 0 {
		err = strconv.ErrRange
	}
	return n, err
}

func replyError(w http.ResponseWriter, e *messenger.Error) { messenger.WriteJSON(w, e.Status(), e) }
