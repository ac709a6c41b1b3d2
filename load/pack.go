package main

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/load/packer"
)

// packCommand returns the command that computes from entry logs an upper bound
// on the jobs that could have been served.
func packCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "pack",
		Usage:     "compute an upper bound on the jobs in entry logs that could have been served",
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
