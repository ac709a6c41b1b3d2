// Package listener serves simulated targets over HTTP. Package worker implements
// the state of a target; this package runs tasks, records the history and
// injects connection faults.
package listener

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/standin/target/reporter"
	"github.com/godwitrelay/godwitrelay/standin/target/worker"
)

const logPrefix = "target: "

// Server runs one target: its listening socket, tasks and usage reports. Use
// [NewServer] to create one.
type Server struct {
	address    string
	listener   *LimitListener
	httpServer *http.Server
	history    *recorder.Recorder
	vmChanged  chan struct{}
	stopping   chan struct{}
	tasks      sync.WaitGroup

	mu     sync.Mutex
	worker *worker.Worker
	usage  reporter.Batch
}

// NewServer opens the listening socket of a target, limited to maxConnections.
// idPrefix makes the ids of its usage reports unique. History may be nil.
func NewServer(w *worker.Worker, maxConnections int, idPrefix string, history *recorder.Recorder) (*Server, error) {
	return NewServerAt(w, w.VM().Address, maxConnections, idPrefix, history)
}

// NewServerAt is like [NewServer] for a target whose listen address differs from
// the address announced in the VM list.
func NewServerAt(w *worker.Worker, listen string, maxConnections int, idPrefix string, history *recorder.Recorder) (*Server, error) {
	vm := w.VM()
	listener, err := Listen(listen, maxConnections)
	if err != nil {
		return nil, errors.Wrapf(err, "target %s", vm.Address)
	}
	s := &Server{
		address:   vm.Address,
		listener:  listener,
		history:   history,
		vmChanged: make(chan struct{}, 1),
		stopping:  make(chan struct{}),
		worker:    w,
		usage:     reporter.Batch{IDPrefix: idPrefix + "-" + vm.Address, Service: vm.Service, Target: vm.Address},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks", s.handleTask)
	mux.HandleFunc("GET /v1/status", s.handleStatus)
	s.httpServer = &http.Server{Handler: mux, ConnState: listener.ConnState, ReadHeaderTimeout: 10 * time.Second}
	return s, nil
}

// Address returns the address of the target.
func (s *Server) Address() string { return s.address }

// Serve handles requests until [Server.Stop] is called.
func (s *Server) Serve() {
	if err := s.httpServer.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		logrus.Errorf("%sserving %s: %v", logPrefix, s.address, err)
	}
}

// VMChanged returns a channel that receives a value when the description of the
// target that [Server.VM] returns has changed.
func (s *Server) VMChanged() <-chan struct{} { return s.vmChanged }

// Leave makes the target refuse new tasks permanently and records in the history
// that it is leaving.
func (s *Server) Leave(now time.Time) {
	s.mu.Lock()
	startedLeaving := s.worker.Leave()
	s.mu.Unlock()
	if startedLeaving {
		s.announceLeaving(now)
	}
}

// Stop waits until every task has ended, then shuts down the HTTP server. The
// timeout bounds the shutdown, during which the last replies are sent; it does
// not limit tasks. Call [Server.Leave] first.
func (s *Server) Stop(timeout time.Duration) error {
	s.tasks.Wait()
	close(s.stopping)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return errors.Wrapf(s.httpServer.Shutdown(ctx), "target %s", s.address)
}

// VM describes the target for the platform's VM list, and reports whether to renew
// the target's lease.
func (s *Server) VM() (messenger.VM, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.worker.VM(), s.worker.RenewsLease()
}

// RecordLease records a lease of duration ttl that the platform granted. sent is
// the time of the request.
func (s *Server) RecordLease(sent time.Time, ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.worker.RecordLease(sent, ttl)
}

// QueueReport queues a report of the accumulated usage.
func (s *Server) QueueReport() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.QueueReport()
}

// NextReport returns the oldest unconfirmed usage report.
func (s *Server) NextReport() (messenger.UsageReport, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage.Next()
}

// ConfirmReport removes a report that the platform has accepted.
func (s *Server) ConfirmReport(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.Confirm(id)
}

func (s *Server) announceLeaving(now time.Time) {
	s.history.Record(now, recorder.Record{Event: recorder.TargetLeaving, Target: s.address})
	select {
	case s.vmChanged <- struct{}{}:
	default:
	}
}
