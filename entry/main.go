// Command godwit-entry is the entry process that runs on every entry VM. It
// accepts jobs from callers, places their tasks on targets and returns the
// results.
package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/core/identifier"
	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/entry/dispatcher"
	"github.com/godwitrelay/godwitrelay/entry/exporter"
	"github.com/godwitrelay/godwitrelay/entry/limiter"
	"github.com/godwitrelay/godwitrelay/entry/listener"
	"github.com/godwitrelay/godwitrelay/entry/runner"
)

const (
	dialTimeout = 500 * time.Millisecond
	// targetConnections, peerConnections and, in newRunner, 2 for the platform
	// bound the idle connections kept per address. A target closes connections
	// beyond about 60, which loses the tasks on them. With 8 entries, 4 idle
	// connections each and 8 busy slots stay below that.
	targetConnections = 4
	peerConnections   = 64
	shutdownTimeout   = 10 * time.Second
	// gcPercent trades memory for CPU time, because most of the heap is garbage
	// from finished requests.
	gcPercent = 200
	// memoryLimitRatio is the soft memory limit of the Go runtime, as a fraction of
	// limits.memoryMb. The rest is for the program and for garbage that is not collected
	// yet.
	memoryLimitRatio = 0.6
)

func main() {
	app := &cli.Command{
		Name:  "godwit-entry",
		Usage: "accept jobs, place their tasks on targets, and answer",
		Description: "Runs until SIGTERM, SIGINT or POST /operator/v1/drain, then finishes what is in progress.\n" +
			"The settings file is JSON with comments; docs/operators.md describes every field.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the settings `FILE`"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Commands: []*cli.Command{replayCommand()},
		Action: func(_ context.Context, c *cli.Command) error {
			var cfg settings
			if c.String("settings") == "" {
				return errors.New("--settings is missing; see --help")
			}
			if err := loader.Load(c.String("settings"), &cfg); err != nil {
				return err
			}
			if c.Bool("check") {
				return nil
			}
			return run(cfg)
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		logrus.Errorf("entry: %v", err)
		os.Exit(1)
	}
}

func run(cfg settings) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(cfg.Limits.MemoryMB<<20)))
	}
	log := logrus.New()
	level, err := logrus.ParseLevel(cfg.LogLevel)
	if err != nil {
		return errors.Wrap(err, "logLevel")
	}
	log.SetLevel(level)
	history, err := openHistory(cfg)
	if err != nil {
		return err
	}
	r, err := newRunner(cfg, log, history)
	if err != nil {
		return err
	}
	servers, err := listen(cfg, newListener(cfg, r), r.Metrics, log)
	if err != nil {
		return err
	}
	for _, s := range servers {
		go s.serve(log)
	}
	go stopOnSignal(r, log)
	log.Infof("entry: %s serves callers on %s, peers on %s, operators on %s", cfg.Name, cfg.CallerAddress, cfg.PeerAddress, cfg.OperatorAddress)
	go r.Run()
	<-r.Drained()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			log.Warnf("entry: shutting down %s: %v", s.Addr, err)
		}
		_ = s.Close()
	}
	r.Stop()
	log.Info("entry: stopped")
	return nil
}

// stopOnSignal starts a planned stop on the first signal. Further signals are
// logged and have no effect: the stop is in progress, and exiting at once would
// interrupt jobs whose callers would then not know whether they had run.
func stopOnSignal(r *runner.Runner, log *logrus.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	for s := range signals {
		log.Infof("entry: received %s", s)
		r.Post(dispatcher.Drain{})
	}
}

func openHistory(cfg settings) (*recorder.Recorder, error) {
	if cfg.HistoryFile == "" {
		return nil, nil
	}
	f, err := os.OpenFile(cfg.HistoryFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "historyFile")
	}
	return &recorder.Recorder{Process: cfg.Name, Out: f}, nil
}

func newRunner(cfg settings, log *logrus.Logger, history *recorder.Recorder) (*runner.Runner, error) {
	start, reducerSettings := time.Now(), dispatcherSettings(cfg)
	var events *dispatcher.EventLog
	if cfg.EventFile != "" {
		f, err := os.OpenFile(cfg.EventFile, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "eventFile")
		}
		if events, err = dispatcher.NewEventLog(f, start, reducerSettings); err != nil {
			return nil, err
		}
	}
	plan := cfg.Limits.plan()
	newClient := func(maxIdlePerHost int, replies limiter.Share) messenger.Client {
		return messenger.Client{Transport: limiter.NewReplyTransport(messenger.NewTransport(maxIdlePerHost, dialTimeout), replies)}
	}
	r := &runner.Runner{
		State:           dispatcher.New(start, reducerSettings),
		Targets:         newClient(targetConnections, plan.PeerReplies),
		Peers:           newClient(peerConnections, plan.PeerReplies),
		Platform:        newClient(2, plan.StoreReplies),
		PlatformAddress: cfg.Platform,
		Metrics:         exporter.New(), History: history, Events: events, Log: log,
	}
	r.Init()
	return r, nil
}

func newListener(cfg settings, r *runner.Runner) *listener.Listener {
	l := &listener.Listener{
		Runner: r, Signer: identifier.Signer{Key: cfg.key}, Metrics: r.Metrics,
		MaxBodyBytes: cfg.Limits.BodyBytes, MaxPeerBodyBytes: cfg.Limits.plan().Peers.MaxBody(), MaxTasks: int(cfg.Limits.TasksPerJob),
		BodyReadTimeout: ms(cfg.Limits.BodyReadMs), MaxDeadline: ms(cfg.Limits.MaxDeadlineMs),
	}
	l.CallerPlaces.Limit = limiter.Share{Connections: int(cfg.Limits.Connections)}.Places()
	l.PeerPlaces.Limit = limiter.Share{Connections: int(cfg.Limits.PeerConnections)}.Places()
	return l
}

// dispatcherSettings returns the dispatcher settings of a new incarnation.
func dispatcherSettings(cfg settings) dispatcher.Settings {
	incarnation := randomUint64()
	return dispatcher.Settings{
		Self:          messenger.Member{Address: cfg.PeerAddress, Incarnation: incarnation},
		FailureDomain: cfg.FailureDomain, Region: cfg.Region,
		Signer: identifier.Signer{Key: cfg.key},
		Seeds:  cfg.Seeds, RemoteSeeds: cfg.RemoteSeeds,
		DefaultDeadline: ms(cfg.Limits.DefaultDeadlineMs), MaxDeadline: ms(cfg.Limits.MaxDeadlineMs),
		MaxTasks: int(cfg.Limits.TasksPerJob), MaxHeldBytes: cfg.Limits.HeldBytes,
		AnswerKeep: ms(cfg.AnswerKeepMs), AnswerBytes: cfg.Limits.AnswerBytes,
		IDKeep: ms(cfg.IDKeepMs), BalancerNotice: ms(cfg.BalancerNotice), StopLinger: ms(cfg.StopLingerMs),
		LeaseTTL: ms(cfg.LeaseMs), Broker: cfg.Broker, Gossiper: cfg.Gossiper, Seed: incarnation,
	}
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}
