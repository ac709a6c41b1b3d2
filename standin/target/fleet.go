package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/standin/target/listener"
	"github.com/godwitrelay/godwitrelay/standin/target/reporter"
	"github.com/godwitrelay/godwitrelay/standin/target/worker"
)

const (
	logPrefix = "target: "
	// platformTimeout bounds a new connection to the platform.
	platformTimeout = time.Second
	// shutdownWait bounds the wait for replies that are being written.
	shutdownWait = 10 * time.Second
)

// fleet is the targets of one process with their reporters.
type fleet struct {
	settings  settings
	history   *recorder.Recorder
	hosts     []*listener.Host
	reporters []*reporter.Reporter
	running   sync.WaitGroup
}

// newFleet opens the sockets of all targets.
func newFleet(s settings) (*fleet, error) {
	f := &fleet{settings: s}
	if s.HistoryFile != "" {
		file, err := os.OpenFile(s.HistoryFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, errors.Wrap(err, "opening the history")
		}
		f.history = &recorder.Recorder{Process: s.Process, Out: file}
	}
	var random [8]byte
	_, _ = rand.Read(random[:])
	prefix := hex.EncodeToString(random[:])
	client := messenger.Client{Transport: messenger.NewTransport(64, platformTimeout)}
	for _, g := range s.Targets {
		for i, vm := range g.vms() {
			guards := s.Lease != nil && s.Lease.GuardsWork
			w := worker.New(vm, guards, s.Seed+uint64(len(f.hosts)))
			h, err := listener.NewHostAt(w, g.listen(i), int(g.MaxConnections), prefix, f.history)
			if err != nil {
				return nil, err
			}
			f.hosts = append(f.hosts, h)
			if s.Platform != "" {
				f.reporters = append(f.reporters, newReporter(s, h, client))
			}
		}
	}
	return f, nil
}

func newReporter(s settings, h *listener.Host, client messenger.Client) *reporter.Reporter {
	r := &reporter.Reporter{
		Client:      client,
		Platform:    s.Platform,
		Target:      h,
		ReportEvery: time.Duration(s.UsageReportMs) * time.Millisecond,
		Changed:     h.Changed(),
	}
	if s.Lease != nil {
		r.LeaseTTL = time.Duration(s.Lease.TTLMs) * time.Millisecond
		r.LeaseEvery = time.Duration(s.Lease.RenewMs) * time.Millisecond
	}
	return r
}

// start serves all targets and their reporters, which run until ctx ends.
func (f *fleet) start(ctx context.Context) {
	for _, h := range f.hosts {
		go h.Serve()
	}
	for _, r := range f.reporters {
		f.running.Go(func() { r.Run(ctx) })
	}
}

// stop announces that all targets are leaving, waits for the notice time and
// for their tasks, and ends them. stopReporters ends the context of start.
func (f *fleet) stop(stopReporters context.CancelFunc) {
	f.history.Record(time.Now(), recorder.Record{Event: recorder.StopBegun})
	for _, h := range f.hosts {
		h.Leave(time.Now())
	}
	time.Sleep(time.Duration(f.settings.LeavingNoticeMs) * time.Millisecond)
	cut := f.stopHosts()
	stopReporters()
	f.running.Wait()
	var last sync.WaitGroup
	for _, r := range f.reporters {
		last.Go(func() { r.Finish(context.Background()) })
	}
	last.Wait()
	f.history.Record(time.Now(), recorder.Record{Event: recorder.StopEnded, Count: cut})
}

// stopHosts waits for the tasks of all targets and returns the number of
// targets whose connections could not be ended in order.
func (f *fleet) stopHosts() int {
	var (
		all sync.WaitGroup
		mu  sync.Mutex
		cut int
	)
	for _, h := range f.hosts {
		all.Go(func() {
			if err := h.Stop(shutdownWait); err != nil {
				logrus.Warnf("%s%v", logPrefix, err)
				mu.Lock()
				cut++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return cut
}
