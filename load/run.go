package main

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/load/driver"
)

const runDescription = `Submits jobs at random times that do not depend on answers (Poisson arrivals,
with optional bursts). Response times count from the intended arrival. Every
answer is checked against the job; a wrong or partial one is a violation and
makes the exit status 1.

Modes: "entries" sends jobs through entries; "direct" sends the same tasks
straight to targets with perfect knowledge of their slots. With both, rounds
alternate them and the result states the time that entries add.

Addresses are IP:port, or IP:port+n for n consecutive ports.

Example:
  godwit-load run --mix namta --load 80 --duration-ms 20000 \
    --entries 127.0.0.1:7000+6 --targets 127.0.0.1:9000+50 \
    --mode direct --mode entries --rounds 3 --out out/run.json

Further fields of the settings file: customMix, slots, slotsPerTarget,
declaredErrorMax, bursts {everyMs, forMs, factor}, cancellations {everyMs,
windowMs, percent}, resubmitPercent, sessions, idBatch, maxInFlight,
historyPayloads.`

func runCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "run",
		Usage:       "send one workload and report response times and messages",
		Description: runDescription,
		Flags: append(runFlags(),
			&cli.StringFlag{Name: "out", Usage: "write the result to `FILE` instead of standard output"},
			&cli.BoolFlag{Name: "summary", Usage: "print a table after the result"}),
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
				return errors.Newf("%d violations", n)
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
		&cli.Int64Flag{Name: "warmup-ms", HideDefault: true, Usage: "leave the first `TIME` out of the figures"},
		&cli.Uint64Flag{Name: "seed", HideDefault: true, Usage: "`SEED` of the first round"},
		&cli.FloatFlag{Name: "time-scale", HideDefault: true, Usage: "multiply run times and deadlines by `FACTOR` (default: 1)"},
		&cli.StringSliceFlag{Name: "entries", Usage: "caller `ADDRESS` of entries; may be repeated"},
		&cli.StringSliceFlag{Name: "targets", Usage: "`ADDRESS` of targets; may be repeated"},
		&cli.Int64Flag{Name: "slots", HideDefault: true, Usage: "slots of all targets (default: targets times slotsPerTarget)"},
		&cli.StringSliceFlag{Name: "mode", Usage: "entries or direct; may be repeated"},
		&cli.Int64Flag{Name: "rounds", HideDefault: true, Usage: "`NUMBER` of rounds (default: 1)"},
		&cli.StringSliceFlag{Name: "metrics", Usage: "operator `ADDRESS` of entries, to count messages"},
		&cli.StringSliceFlag{Name: "target-controls", Usage: "`ADDRESS` of target processes with GET /control"},
		&cli.StringFlag{Name: "history", Usage: "append the history of the run to `FILE`"},
		&cli.StringFlag{Name: "label", Usage: "`VERSION` under test, copied to the result"},
	}
}

// runSettings reads the settings file, if any, applies the flags and checks
// the result.
func runSettings(c *cli.Command) (driver.Settings, error) {
	var s driver.Settings
	settings := &runOverlay{&s, func() { applyRunFlags(c, &s) }}
	path := c.String("settings")
	if path == "" {
		err := loader.Parse("from flags", []byte("{}"), settings)
		return s, err
	}
	err := loader.Load(path, settings)
	return s, err
}

func applyRunFlags(c *cli.Command, s *driver.Settings) {
	set(c, "mix", c.String, &s.MixName)
	set(c, "load", c.Float, &s.LoadPercent)
	set(c, "duration-ms", c.Int64, &s.DurationMs)
	set(c, "warmup-ms", c.Int64, &s.WarmupMs)
	set(c, "seed", c.Uint64, &s.Seed)
	set(c, "time-scale", c.Float, &s.TimeScale)
	set(c, "entries", c.StringSlice, &s.Entries)
	set(c, "targets", c.StringSlice, &s.Targets)
	set(c, "slots", c.Int64, &s.Slots)
	set(c, "mode", c.StringSlice, &s.Modes)
	set(c, "rounds", c.Int64, &s.Rounds)
	set(c, "metrics", c.StringSlice, &s.Metrics)
	set(c, "target-controls", c.StringSlice, &s.TargetControls)
	set(c, "history", c.String, &s.HistoryFile)
	set(c, "label", c.String, &s.Label)
}

// set copies the flag's value if the flag was given.
func set[T any](c *cli.Command, name string, get func(string) T, to *T) {
	if c.IsSet(name) {
		*to = get(name)
	}
}
