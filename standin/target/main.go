// Command godwit-target is a stand-in for targets: one process hosts many of
// them, each with its own address, slots and faults that can be switched while
// it runs.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/standin/target/listener"
)

// gcPercent trades memory, of which a target needs little, for processor time.
const gcPercent = 400

const description = `Each target serves POST /v1/tasks and GET /v1/status on its own address. A
task's payload is {"runMs": 50, "value": ...}; the target holds a slot for
that time and answers {"value": ..., "taskId": ...}. POST /control on the
control address changes faults while it runs; GET /control shows them with
counters. docs/protocols.md has the whole protocol.

SIGTERM announces that all targets are leaving, finishes the tasks in
progress and ends the process. A second signal does not cut tasks off.

The settings file is JSON with comments:

  {
    "control": "127.0.0.1:8950",
    "logLevel": "info",               // info, error, warning, debug
    "process": "targets",             // name in the history
    "historyFile": "targets.jsonl",   // none if left out
    "platform": "127.0.0.1:8900",     // none if left out
    "lease": {                        // none if left out
      "ttlMs": 10000,
      "renewMs": 2500,
      "guardsWork": true              // no work without a lease
    },
    "usageReportMs": 1000,            // one report per target
    "leavingNoticeMs": 3000,          // least time from SIGTERM to the end
    "processors": 2,                  // threads that run at once
    "seed": 1,
    "targets": [{
      "firstAddress": "127.0.0.1:9000",  // or "addresses": [...]
      "count": 50,                       // consecutive ports
      "service": "orders",
      "failureDomain": "kalimati",
      "region": "bagmati",
      "slots": 8,
      "maxConnections": 60,
      "memoryMB": 4096
    }]
  }`

func main() {
	cmd := &cli.Command{
		Name:        "godwit-target",
		Usage:       "stand-in hosting many targets in one process",
		UsageText:   "godwit-target --settings FILE",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c.String("settings")) },
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "godwit-target: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, path string) error {
	var s settings
	if err := loader.Load(path, &s); err != nil {
		return err
	}
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	logrus.SetLevel(level)
	runtime.GOMAXPROCS(int(s.Processors))
	debug.SetGCPercent(gcPercent)
	// The channel stays registered, so that later signals don't end the process.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Control)
	if err != nil {
		return errors.Wrap(err, "control address")
	}
	f, err := newFleet(s)
	if err != nil {
		return err
	}
	control := &http.Server{Handler: listener.Control(f.hosts), ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- control.Serve(socket) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.start(ctx)
	logrus.Infof("%s%d targets ready, control address %s", logPrefix, len(f.hosts), socket.Addr())
	select {
	case err := <-failed:
		return errors.Wrap(err, "control listener")
	case sig := <-signals:
		logrus.Infof("%s%v: leaving, finishing the tasks in progress", logPrefix, sig)
	}
	f.stop(cancel)
	logrus.Infof("%sstopped", logPrefix)
	return control.Close()
}
