// Command godwit-target simulates targets for tests. One process hosts many
// targets, each with its own address, slots and faults, which can be changed at
// run time.
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

// gcPercent trades memory for CPU time; targets use little memory.
const gcPercent = 400

const description = `Each target serves POST /v1/tasks and GET /v1/status on its own address. A
task's payload is {"runMs": 50, "value": ...}; the target occupies a slot for
runMs and returns {"value": ..., "taskId": ...}. POST /control on the control
address changes faults at run time; GET /control returns them together with
counters. The protocol is documented in docs/protocols.md.

On SIGTERM, all targets announce that they are leaving and finish running
tasks before the process exits. A second signal does not interrupt tasks.

The settings file is JSON with comments:

  {
    "control": "127.0.0.1:8950",
    "logLevel": "info",               // info, error, warning, debug
    "process": "targets",             // process name in the history
    "historyFile": "targets.jsonl",   // optional
    "platform": "127.0.0.1:8900",     // optional
    "lease": {                        // optional
      "ttlMs": 10000,
      "renewMs": 2500,
      "guardsWork": true              // refuse tasks without a lease
    },
    "usageReportMs": 1000,            // report interval of each target
    "leavingNoticeMs": 3000,          // minimum time from SIGTERM to exit
    "processors": 2,                  // GOMAXPROCS
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
		Usage:       "simulates many targets in one process",
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
		return errors.Wrap(err, "parsing logLevel")
	}
	logrus.SetLevel(level)
	runtime.GOMAXPROCS(int(s.Processors))
	debug.SetGCPercent(gcPercent)
	// The channel stays registered so that further signals do not terminate the
	// process during shutdown.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Control)
	if err != nil {
		return errors.Wrap(err, "listening on control address")
	}
	f, err := newFleet(s)
	if err != nil {
		return err
	}
	control := &http.Server{Handler: listener.ControlHandler(f.servers), ReadHeaderTimeout: 10 * time.Second}
	serveErr := make(chan error, 1)
	go func() { serveErr <- control.Serve(socket) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.start(ctx)
	logrus.Infof("%s%d targets ready, control address %s", logPrefix, len(f.servers), socket.Addr())
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serving control address")
	case sig := <-signals:
		logrus.Infof("%sreceived %v: leaving, waiting for running tasks", logPrefix, sig)
	}
	f.stop(cancel)
	logrus.Infof("%sstopped", logPrefix)
	return control.Close()
}
