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

const compareDescription = `Runs one workload against every variant of a bench file under every condition,
in alternating order over at least 3 rounds with the same seeds. Writes one
JSON file per run and summary.json with median, smallest and largest value of
each figure.

A script that starts variants one after another selects single runs with
--variant, --condition and --round, and makes the summary with --summary-only.

Bench file (JSON with comments):
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
			&cli.StringFlag{Name: "bench", Usage: "read the bench from `FILE`", Required: true},
			&cli.StringFlag{Name: "variant", Usage: "run only the variant `NAME`"},
			&cli.StringFlag{Name: "condition", Usage: "run only the condition `NAME`"},
			&cli.IntFlag{Name: "round", Usage: "run only round `NUMBER`, counted from 0", Value: -1, HideDefault: true},
			&cli.BoolFlag{Name: "summary-only", Usage: "run nothing and sum up the results that are there"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return compare(ctx, c, out) },
	}
}

func compare(ctx context.Context, c *cli.Command, out io.Writer) error {
	var b comparer.Bench
	if err := loader.Load(c.String("bench"), &b); err != nil {
		return err
	}
	violations := int64(0)
	if !c.Bool("summary-only") {
		sel := comparer.Selection{Variant: c.String("variant"), Condition: c.String("condition"), Round: c.Int("round")}
		var err error
		if violations, err = comparer.Run(ctx, b, sel); err != nil {
			return err
		}
	}
	summary, err := comparer.Summarize(b)
	if err != nil {
		return err
	}
	if c.Bool("summary-only") {
		return writeResult(out, "", summary)
	}
	if violations > 0 {
		return errors.Newf("%d violations", violations)
	}
	return nil
}

func plotCommand() *cli.Command {
	return &cli.Command{
		Name:  "plot",
		Usage: "draw the summary of a comparison as a PNG",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "summary", Usage: "read the summary from `FILE`", Required: true},
			&cli.StringFlag{Name: "out", Usage: "write the picture to `FILE`", Required: true},
			&cli.StringSliceFlag{Name: "figure", Usage: "draw the figure `NAME`; may be repeated", Value: plotter.DefaultFigures},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			summary, err := comparer.ReadSummary(c.String("summary"))
			if err != nil {
				return err
			}
			file, err := os.Create(c.String("out"))
			if err != nil {
				return errors.Wrap(err, "creating the picture")
			}
			if err := plotter.Draw(file, summary, c.StringSlice("figure")); err != nil {
				file.Close()
				return err
			}
			return errors.Wrap(file.Close(), "writing the picture")
		},
	}
}
