// Command godwit-platform is a stand-in for the platform: an append-only log
// with offsets, a lagging VM list, leases and usage reports, all kept in
// memory, with faults that can be switched while it runs.
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

// stopWait bounds how long a stop waits for requests in progress.
const stopWait = 5 * time.Second

const description = `Serves POST and GET /v1/log/{stream}, GET /v1/vms, POST /v1/leases,
POST and GET /v1/usage on one address. POST /control changes faults, delays
and limits while it runs; GET /control shows them with counters. Everything
is kept in memory and lost when the process ends. docs/protocols.md has the
whole protocol.

The settings file is JSON with comments. Every field may be left out but
listen. The defaults are:

  {
    "listen": "127.0.0.1:8900",  // IP number and port
    "logLevel": "info",          // info, error, warning, debug
    "retentionMs": 600000,       // how long a log record is kept
    "appendsPerSecond": 300,     // over all streams; more is answered 429
    "maxRecordBytes": 1048576,   // largest record
    "maxStreamBytes": 67108864,  // oldest records of a stream go first
    "maxPageRecords": 1000,      // longest page
    "appendDelayMs": 3,          // time of one append
    "readDelayMs": 0,            // time of one read
    "listLagMs": 1000,           // lag of the VM list
    "maxLeaseMs": 60000,         // longest lease
    "usageLagMs": 2000,          // lag of usage reports in the log
    "usageShuffleMs": 1000,      // random lag on top
    "usageRepeatPercent": 5,     // reports that show twice in the log
    "seed": 1                    // source of randomness
  }`

func main() {
	cmd := &cli.Command{
		Name:        "godwit-platform",
		Usage:       "stand-in for the platform: log, VM list, leases, usage reports",
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
		return errors.Wrap(err, "log level")
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
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(socket) }()
	logrus.Infof("%slistening on %s", logPrefix, socket.Addr())
	select {
	case err := <-failed:
		return errors.Wrap(err, "serving")
	case <-ctx.Done():
	}
	logrus.Infof("%sstopping", logPrefix)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopWait)
	defer cancel()
	return errors.Wrap(server.Shutdown(stopCtx), "stopping")
}
