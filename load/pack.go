package main

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/load/packer"
)

// packCommand returns the command that reads entry logs and prints, for each
// queue, the share of its credit that the completed jobs earned and the share
// that the best schedule earns (see [packer.Pack]).
func packCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "pack",
		Usage:     "for each queue in a LOG of entries, print the share of jobs completed and the share that the best schedule completes in time, weighted by credit (more for larger jobs); only the sum of the latter over the queues is an upper bound",
		ArgsUsage: "LOG",
		Action: func(_ context.Context, cmd *cli.Command) error {
			f, err := os.Open(cmd.Args().First())
			if err != nil {
				return errors.Wrap(err, "opening the log")
			}
			defer f.Close()
			jobs, capacities, err := packer.Read(f)
			if err != nil {
				return err
			}
			return writeResult(out, "", packer.Pack(jobs, capacities))
		},
	}
}
