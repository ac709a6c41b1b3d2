package main

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/load/comparer"
	"github.com/godwitrelay/godwitrelay/load/plotter"
)

const compareDescription = `Runs one workload against every variant in a benchmark file under every
condition. The order of variants rotates over at least 3 rounds, and all variants
use the same seeds. Writes one JSON file per run, and summary.json with the
median, minimum and maximum of each figure.

A script that starts the variants itself selects single runs with --variant,
--condition and --round, and writes the summary with --summary-only.

Benchmark file (JSON with comments):
  {
    "out": "out/bench",
    "rounds": 3,
    "run": { /* settings as for godwit-load run */ },
    "variants": [
      {"name": "broker", "entries": ["127.0.0.1:7000+6"], "metrics": ["127.0.0.1:7200+6"]},
      {"name": "random", "entries": ["127.0.0.1:7010+6"], "settings": {"routing": "random"}},
      {"name": "direct", "mode": "direct"}
    ],
    "conditions": [
      {"name": "load80", "loadPercent": 80},
      {"name": "targetBroken",
       "during": [{"atMs": 3000, "address": "127.0.0.1:8950", "body": {"targets": ["127.0.0.1:9000"], "broken": true}}],
       "after": [{"address": "127.0.0.1:8950", "body": {"targets": ["127.0.0.1:9000"], "broken": false}}]}
    ]
  }`

func compareCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "compare",
		Usage:       "compare variants under several conditions",
		Description: compareDescription,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bench", Usage: "read the benchmark from `FILE`", Required: true},
			&cli.StringFlag{Name: "variant", Usage: "run only the variant `NAME`"},
			&cli.StringFlag{Name: "condition", Usage: "run only the condition `NAME`"},
			&cli.IntFlag{Name: "round", Usage: "run only round `NUMBER`, counted from 0", Value: -1, HideDefault: true},
			&cli.BoolFlag{Name: "summary-only", Usage: "summarize existing results without running anything"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return runComparison(ctx, c, out) },
	}
}

func runComparison(ctx context.Context, c *cli.Command, out io.Writer) error {
	var bench comparer.Bench
	if err := loader.Load(c.String("bench"), &bench); err != nil {
		return err
	}
	violations := int64(0)
	if !c.Bool("summary-only") {
		selection := comparer.Selection{Variant: c.String("variant"), Condition: c.String("condition"), Round: c.Int("round")}
		var err error
		if violations, err = comparer.Run(ctx, bench, selection); err != nil {
			return err
		}
	}
	summary, err := comparer.Summarize(bench)
	if err != nil {
		return err
	}
	if c.Bool("summary-only") {
		return writeResult(out, "", summary)
	}
	if violations > 0 {
		return errors.Newf("%d violations of the API contract", violations)
	}
	return nil
}

func plotCommand() *cli.Command {
	return &cli.Command{
		Name:  "plot",
		Usage: "plot the summary of a comparison as a PNG",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "summary", Usage: "read the summary from `FILE`", Required: true},
			&cli.StringFlag{Name: "out", Usage: "write the image to `FILE`", Required: true},
			&cli.StringSliceFlag{Name: "figure", Usage: "plot the figure `NAME`; may be repeated", Value: plotter.DefaultFigures},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			summary, err := comparer.ReadSummary(c.String("summary"))
			if err != nil {
				return err
			}
			file, err := os.Create(c.String("out"))
			if err != nil {
				return errors.Wrap(err, "creating the image file")
			}
			if err := plotter.Draw(file, summary, c.StringSlice("figure")); err != nil {
				file.Close()
				return err
			}
			return errors.Wrap(file.Close(), "writing the image file")
		},
	}
}
