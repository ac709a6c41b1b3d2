// Command godwit-platform simulates the platform that godwit-entry uses, for
// tests: an append-only log with offsets, an eventually consistent VM list,
// leases and usage reports. All state is in memory, and faults can be injected
// at run time. It does not simulate the operators' platform that
// godwit-platform-entry uses; package standin/fleet/listener does.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/standin/platform/keeper"
	"github.com/godwitrelay/godwitrelay/standin/platform/listener"
)

const logPrefix = "platform: "

// shutdownTimeout bounds the graceful shutdown of requests in progress.
const shutdownTimeout = 5 * time.Second

const description = `Serves POST and GET /v1/log/{stream}, GET /v1/vms, POST /v1/leases, and
POST and GET /v1/usage on one address. POST /control changes faults, delays
and limits at run time; GET /control returns them together with counters.
All state is kept in memory and lost when the process exits. The protocol is
documented in docs/protocols.md.

The settings file is JSON with comments. Every field except listen is
optional. The defaults are:

  {
    "listen": "127.0.0.1:8900",  // IP address and port
    "logLevel": "info",          // info, error, warning, debug
    "retentionMs": 600000,       // retention of log records
    "appendsPerSecond": 300,     // rate limit over all streams; 429 above it
    "maxRecordBytes": 1048576,   // maximum record size
    "maxStreamBytes": 67108864,  // the oldest records are dropped first
    "maxPageRecords": 1000,      // maximum records per page
    "appendDelayMs": 3,          // latency of an append
    "readDelayMs": 0,            // latency of a read
    "listLagMs": 1000,           // propagation delay of the VM list
    "maxLeaseMs": 60000,         // maximum lease duration
    "usageLagMs": 2000,          // delay until a usage report is logged
    "usageShuffleMs": 1000,      // maximum random delay added to it
    "usageRepeatPercent": 5,     // percentage of reports logged twice
    "seed": 1                    // random number generator seed
  }`

func main() {
	cmd := &cli.Command{
		Name:        "godwit-platform",
		Usage:       "simulated platform: log, VM list, leases, usage reports",
		UsageText:   "godwit-platform --settings FILE",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c.String("settings")) },
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := cmd.Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "godwit-platform: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, path string) error {
	s := settings{Settings: keeper.DefaultSettings()}
	if err := loader.Load(path, &s); err != nil {
		return err
	}
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return errors.Wrap(err, "parsing logLevel")
	}
	logrus.SetLevel(level)
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	server := &http.Server{
		Handler:           listener.New(ctx, keeper.New(s.Settings)).Handler(),
		ReadHeaderTimeout: 10 * time.Second,
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(socket) }()
	logrus.Infof("%slistening on %s", logPrefix, socket.Addr())
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serving HTTP")
	case <-ctx.Done():
	}
	logrus.Infof("%sshutting down", logPrefix)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(stopCtx), "shutting down")
}
