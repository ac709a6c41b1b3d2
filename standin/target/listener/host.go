// Package listener serves stand-in targets over HTTP. Decisions are in package
// worker; this package runs the tasks, keeps the history and carries out
// faults of connections.
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

// Host runs one target: its socket, its tasks and its reports. Make one with
// [NewHost].
type Host struct {
	address  string
	gate     *Gate
	server   *http.Server
	history  *recorder.Recorder
	changed  chan struct{}
	stopping chan struct{}
	tasks    sync.WaitGroup

	mu     sync.Mutex
	worker *worker.Worker
	usage  reporter.Batch
}

// NewHost opens the socket of a target with room for maxConnections. Prefix
// makes the ids of its usage reports unique. History may be nil.
func NewHost(w *worker.Worker, maxConnections int, prefix string, history *recorder.Recorder) (*Host, error) {
	return NewHostAt(w, w.Row().Address, maxConnections, prefix, history)
}

// NewHostAt is [NewHost] for a target whose socket is not opened at the address
// that the VM list announces.
func NewHostAt(w *worker.Worker, listen string, maxConnections int, prefix string, history *recorder.Recorder) (*Host, error) {
	vm := w.Row()
	gate, err := Open(listen, maxConnections)
	if err != nil {
		return nil, errors.Wrapf(err, "target %s", vm.Address)
	}
	h := &Host{
		address:  vm.Address,
		gate:     gate,
		history:  history,
		changed:  make(chan struct{}, 1),
		stopping: make(chan struct{}),
		worker:   w,
		usage:    reporter.Batch{Prefix: prefix + "-" + vm.Address, Service: vm.Service, Target: vm.Address},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks", h.task)
	mux.HandleFunc("GET /v1/status", h.status)
	h.server = &http.Server{Handler: mux, ConnState: gate.ConnState, ReadHeaderTimeout: 10 * time.Second}
	return h, nil
}

// Address returns the address of the target.
func (h *Host) Address() string { return h.address }

// Serve answers requests until [Host.Stop].
func (h *Host) Serve() {
	if err := h.server.Serve(h.gate); err != nil && !errors.Is(err, http.ErrServerClosed) {
		logrus.Errorf("%s%s: %v", logPrefix, h.address, err)
	}
}

// Changed gives a value when the row of the VM list has changed.
func (h *Host) Changed() <-chan struct{} { return h.changed }

// Leave makes the target refuse new tasks for good and records that it is
// leaving.
func (h *Host) Leave(now time.Time) {
	h.mu.Lock()
	leaves := h.worker.Leave()
	h.mu.Unlock()
	if leaves {
		h.announce(now)
	}
}

// Stop waits until every task has ended and every reply is written, then
// closes the socket. The wait bounds the time for the last replies to be read
// by their callers, not the tasks. Call Leave before.
func (h *Host) Stop(wait time.Duration) error {
	h.tasks.Wait()
	close(h.stopping)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return errors.Wrapf(h.server.Shutdown(ctx), "target %s", h.address)
}

// Row returns the row for the VM list, and whether the lease is renewed.
func (h *Host) Row() (messenger.VM, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.worker.Row(), h.worker.Renews()
}

// Granted records a lease asked for at the time sent.
func (h *Host) Granted(sent time.Time, ttl time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.worker.Granted(sent, ttl)
}

// CloseReport turns the usage so far into a report.
func (h *Host) CloseReport() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.usage.Close()
}

// NextReport returns the oldest usage report that is not confirmed.
func (h *Host) NextReport() (messenger.UsageReport, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usage.Next()
}

// ConfirmReport removes a report that the platform has taken.
func (h *Host) ConfirmReport(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.usage.Confirm(id)
}

func (h *Host) announce(now time.Time) {
	h.history.Record(now, recorder.Record{Event: recorder.TargetLeaving, Target: h.address})
	select {
	case h.changed <- struct{}{}:
	default:
	}
}
