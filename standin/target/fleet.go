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
	// platformDialTimeout bounds connection setup to the platform.
	platformDialTimeout = time.Second
	// shutdownTimeout bounds the graceful shutdown of each target's HTTP server.
	shutdownTimeout = 10 * time.Second
)

// fleet holds all targets of the process and their reporters.
type fleet struct {
	settings   settings
	history    *recorder.Recorder
	servers    []*listener.Server
	reporters  []*reporter.Reporter
	reporterWG sync.WaitGroup
}

// newFleet creates all targets and opens their listening sockets.
func newFleet(s settings) (*fleet, error) {
	f := &fleet{settings: s}
	if s.HistoryFile != "" {
		file, err := os.OpenFile(s.HistoryFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, errors.Wrap(err, "opening history file")
		}
		f.history = &recorder.Recorder{Process: s.Process, Out: file}
	}
	var random [8]byte
	_, _ = rand.Read(random[:])
	prefix := hex.EncodeToString(random[:])
	client := messenger.Client{Transport: messenger.NewTransport(64, platformDialTimeout)}
	for _, g := range s.Targets {
		for i, vm := range g.vms() {
			leaseRequired := s.Lease != nil && s.Lease.RequiredForTasks
			w := worker.New(vm, leaseRequired, s.Seed+uint64(len(f.servers)))
			server, err := listener.NewServerAt(w, g.listenAddress(i), int(g.MaxConnections), prefix, f.history)
			if err != nil {
				return nil, err
			}
			f.servers = append(f.servers, server)
			if s.Platform != "" {
				f.reporters = append(f.reporters, newReporter(s, server, client))
			}
		}
	}
	return f, nil
}

func newReporter(s settings, server *listener.Server, client messenger.Client) *reporter.Reporter {
	r := &reporter.Reporter{
		Client:         client,
		Platform:       s.Platform,
		Target:         server,
		ReportInterval: time.Duration(s.UsageReportMs) * time.Millisecond,
		VMChanged:      server.VMChanged(),
	}
	if s.Lease != nil {
		r.LeaseTTL = time.Duration(s.Lease.TTLMs) * time.Millisecond
		r.LeaseInterval = time.Duration(s.Lease.RenewMs) * time.Millisecond
	}
	return r
}

// start serves all targets and runs their reporters until ctx is done.
func (f *fleet) start(ctx context.Context) {
	for _, server := range f.servers {
		go server.Serve()
	}
	for _, r := range f.reporters {
		f.reporterWG.Go(func() { r.Run(ctx) })
	}
}

// stop marks all targets as leaving, waits for the notice period and for running
// tasks, and shuts the targets down. stopReporters cancels the context passed
// to start.
func (f *fleet) stop(stopReporters context.CancelFunc) {
	f.history.Record(time.Now(), recorder.Record{Event: recorder.StopStarted})
	for _, server := range f.servers {
		server.Leave(time.Now())
	}
	time.Sleep(time.Duration(f.settings.LeavingNoticeMs) * time.Millisecond)
	aborted := f.stopServers()
	stopReporters()
	f.reporterWG.Wait()
	var finishWG sync.WaitGroup
	for _, r := range f.reporters {
		finishWG.Go(func() { r.Finish(context.Background()) })
	}
	finishWG.Wait()
	f.history.Record(time.Now(), recorder.Record{Event: recorder.StopEnded, Count: aborted})
}

// stopServers waits for the tasks of all targets and returns the number of
// targets that were not shut down gracefully.
func (f *fleet) stopServers() int {
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		aborted int
	)
	for _, server := range f.servers {
		wg.Go(func() {
			if err := server.Stop(shutdownTimeout); err != nil {
				logrus.Warnf("%s%v", logPrefix, err)
				mu.Lock()
				aborted++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return aborted
}
