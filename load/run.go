package main

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/load/driver"
)

const runDescription = `Submits jobs in an open loop: arrival times are random (Poisson, with optional
bursts) and do not depend on answers. Response times are measured from the
intended arrival. Every answer is checked against its job; an incorrect or
partial answer is a violation, and any violation makes the exit status 1.

Modes: "entries" submits jobs through entries; "direct" sends the same tasks
directly to targets with complete knowledge of their free slots. If both are
given, every round runs both and the result reports the latency that entries add.

Addresses are IP:port, or IP:port+n for n consecutive ports.

Example:
  godwit-load run --mix namta --load 80 --duration-ms 20000 \
    --entries 127.0.0.1:7000+6 --targets 127.0.0.1:9000+50 \
    --mode direct --mode entries --rounds 3 --out out/run.json

Additional fields of the settings file: customMix, slots, slotsPerTarget,
declaredErrorMax, bursts {everyMs, forMs, factor}, cancellations {everyMs,
windowMs, percent}, resubmitPercent, sessions, idBatch, maxInFlight,
historyPayloads.`

func runCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "run",
		Usage:       "run one workload and report response times and message counts",
		Description: runDescription,
		Flags: append(runFlags(),
			&cli.StringFlag{Name: "out", Usage: "write the result to `FILE` instead of standard output"},
			&cli.BoolFlag{Name: "summary", Usage: "print a summary table after the result"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := runSettings(c)
			if err != nil {
				return err
			}
			reports, err := driver.Run(ctx, settings)
			if err != nil {
				return err
			}
			if err := writeResult(out, c.String("out"), reports); err != nil {
				return err
			}
			if c.Bool("summary") {
				printSummary(out, reports)
			}
			if n := reports.Violations(); n > 0 {
				return errors.Newf("%d violations of the API contract", n)
			}
			return nil
		},
	}
}

func runFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "read settings from `FILE` (JSON with comments)"},
		&cli.StringFlag{Name: "mix", Usage: "workload `NAME`: smokehouse or namta (default: smokehouse)"},
		&cli.FloatFlag{Name: "load", HideDefault: true, Usage: "load in `PERCENT` of the slots' capacity (default: 80)"},
		&cli.Int64Flag{Name: "duration-ms", HideDefault: true, Usage: "`TIME` during which jobs arrive (default: 20000)"},
		&cli.Int64Flag{Name: "warmup-ms", HideDefault: true, Usage: "exclude the first `TIME` from the figures"},
		&cli.Uint64Flag{Name: "seed", HideDefault: true, Usage: "`SEED` of the first round"},
		&cli.FloatFlag{Name: "time-scale", HideDefault: true, Usage: "multiply run times and deadlines by `FACTOR` (default: 1)"},
		&cli.StringSliceFlag{Name: "entries", Usage: "`ADDRESS` at which an entry serves callers; may be repeated"},
		&cli.StringSliceFlag{Name: "targets", Usage: "`ADDRESS` of targets; may be repeated"},
		&cli.Int64Flag{Name: "slots", HideDefault: true, Usage: "total number of slots of all targets (default: targets times slotsPerTarget)"},
		&cli.StringSliceFlag{Name: "mode", Usage: "entries or direct; may be repeated"},
		&cli.Int64Flag{Name: "rounds", HideDefault: true, Usage: "`NUMBER` of rounds (default: 1)"},
		&cli.StringSliceFlag{Name: "metrics", Usage: "`ADDRESS` at which an entry serves GET /metrics, for message counts; may be repeated"},
		&cli.StringSliceFlag{Name: "target-controls", Usage: "`ADDRESS` of target processes that serve GET /control; may be repeated"},
		&cli.StringFlag{Name: "history", Usage: "append the history of the run to `FILE`"},
		&cli.StringFlag{Name: "label", Usage: "`VERSION` under test, recorded in the result"},
	}
}

// runSettings reads the settings file, if any, applies the flags and validates
// the result.
func runSettings(c *cli.Command) (driver.Settings, error) {
	var s driver.Settings
	settings := &overriddenSettings{&s, func() { applyRunFlags(c, &s) }}
	path := c.String("settings")
	if path == "" {
		err := loader.Parse("from flags", []byte("{}"), settings)
		return s, err
	}
	err := loader.Load(path, settings)
	return s, err
}

func applyRunFlags(c *cli.Command, s *driver.Settings) {
	applyFlag(c, "mix", c.String, &s.MixName)
	applyFlag(c, "load", c.Float, &s.LoadPercent)
	applyFlag(c, "duration-ms", c.Int64, &s.DurationMs)
	applyFlag(c, "warmup-ms", c.Int64, &s.WarmupMs)
	applyFlag(c, "seed", c.Uint64, &s.Seed)
	applyFlag(c, "time-scale", c.Float, &s.TimeScale)
	applyFlag(c, "entries", c.StringSlice, &s.Entries)
	applyFlag(c, "targets", c.StringSlice, &s.Targets)
	applyFlag(c, "slots", c.Int64, &s.Slots)
	applyFlag(c, "mode", c.StringSlice, &s.Modes)
	applyFlag(c, "rounds", c.Int64, &s.Rounds)
	applyFlag(c, "metrics", c.StringSlice, &s.Metrics)
	applyFlag(c, "target-controls", c.StringSlice, &s.TargetControls)
	applyFlag(c, "history", c.String, &s.HistoryFile)
	applyFlag(c, "label", c.String, &s.Label)
}

// applyFlag copies the value of the named flag to dst if the flag was given.
func applyFlag[T any](c *cli.Command, name string, get func(string) T, dst *T) {
	if c.IsSet(name) {
		*dst = get(name)
	}
}
