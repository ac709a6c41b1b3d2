package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/load/prober"
)

const capacityDescription = `Measures the resource usage of one entry process and fits lines to it by least
squares. The entry's targets must honour the payload's runMs, as godwit-target
does. With --merge, combines the result files given as arguments, for series that
need a separate process for each size.

Settings file (JSON with comments; omit measurements that are not needed):
  {
    "entry": "127.0.0.1:7000", "metrics": "127.0.0.1:7200", "mix": "namta", "slots": 400,
    "starts": {"tasksPerS": [500, 1000, 2000], "tasksPerJob": [1, 10], "stepMs": 5000},
    "waiting": {"tasks": [5000, 10000, 20000], "tasksPerJob": [1, 100], "holdMs": 20000},
    "idle": {"dimension": "targets", "size": 50, "forMs": 10000}
  }`

func capacityCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "capacity",
		Usage:       "measure CPU time per start and memory per waiting task of one entry",
		UsageText:   "godwit-load capacity --settings FILE [--out FILE]\ngodwit-load capacity --merge [--out FILE] RESULT...",
		Description: capacityDescription,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read settings from `FILE`"},
			&cli.BoolFlag{Name: "merge", Usage: "combine result files and refit their series"},
			&cli.StringFlag{Name: "out", Usage: "write the result to `FILE` instead of standard output"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			report, err := measureCapacity(ctx, c)
			if err != nil {
				return err
			}
			return writeResult(out, c.String("out"), report)
		},
	}
}

func measureCapacity(ctx context.Context, c *cli.Command) (prober.Report, error) {
	if c.Bool("merge") {
		return mergeReports(c.Args().Slice())
	}
	var s prober.Settings
	if c.String("settings") == "" {
		return prober.Report{}, errors.New("either --settings or --merge is required")
	}
	if err := loader.Load(c.String("settings"), &s); err != nil {
		return prober.Report{}, err
	}
	return prober.Run(ctx, s)
}

func mergeReports(paths []string) (prober.Report, error) {
	if len(paths) == 0 {
		return prober.Report{}, errors.New("no result files to merge")
	}
	var reports []prober.Report
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return prober.Report{}, errors.Wrap(err, "reading a result file")
		}
		var r prober.Report
		if err := json.Unmarshal(data, &r); err != nil {
			return prober.Report{}, errors.Wrapf(err, "reading %s", path)
		}
		reports = append(reports, r)
	}
	return prober.Merge(reports), nil
}
