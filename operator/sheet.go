package main

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/core/planner"
)

// readSheet reads, parses and validates the sheet at path.
func readSheet(path string) (planner.Configuration, error) {
	f, err := os.Open(path)
	if err != nil {
		return planner.Configuration{}, withExitCode(exitFailure, errors.Wrap(err, "reading the sheet"))
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, planner.MaxSheetBytes+1))
	if err != nil {
		return planner.Configuration{}, withExitCode(exitFailure, errors.Wrap(err, "reading the sheet"))
	}
	cfg, err := planner.ParseSheet(data)
	if err != nil {
		return planner.Configuration{}, withExitCode(exitFailure, errors.Wrap(err, path))
	}
	return cfg, nil
}

func checkCommand(_ context.Context, cmd *cli.Command) error {
	path, err := singleArgument(cmd, "SHEET")
	if err != nil {
		return err
	}
	cfg, err := readSheet(path)
	if err != nil {
		return err
	}
	printf(cmd.Root().Writer, "%s: no faults; budget %d slots, %d failure domains, %d services, %d teams\n",
		path, cfg.BudgetSlots, len(cfg.FailureDomains), len(cfg.Services), len(cfg.Teams))
	return nil
}

func diffCommand(ctx context.Context, cmd *cli.Command) error {
	path, err := singleArgument(cmd, "SHEET")
	if err != nil {
		return err
	}
	settings, err := loadSettings(cmd)
	if err != nil {
		return err
	}
	cfg, err := readSheet(path)
	if err != nil {
		return err
	}
	current, err := readLog(ctx, cmd, settings)
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	printf(out, "in force: %s\n", current)
	printDiff(out, planner.Diff(current.Accepted.Configuration, cfg))
	printf(out, "to apply on this base: --base %s\n", shellQuote(current.Accepted.ChangeID))
	return nil
}

func printDiff(out io.Writer, lines []string) {
	if len(lines) == 0 {
		printf(out, "the sheet changes nothing\n")
	}
	for _, l := range lines {
		printf(out, "  %s\n", l)
	}
}
