package main

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/load/packer"
)

// packCommand returns the command that reads entry logs and computes an upper
// bound on the credit that could have been earned, split by queue.
func packCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "pack",
		Usage:     "compute an upper bound on the credit that could have been earned with the jobs in entry logs",
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
