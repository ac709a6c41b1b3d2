package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// The exit codes.
const (
	exitDone     = 0
	exitRefused  = 1
	exitUsage    = 2
	exitLost     = 3
	exitUnknown  = 4
	exitDisagree = 5
)

const description = `The sheet is a CSV file; docs/sheet.md describes it. An accepted change is a
version of the configuration; versions only grow.

Exit codes:
  0  done; for apply: the change is in force
  1  refused: the sheet has faults, or the other side refused or does not answer
  2  wrong usage
  3  the change lost a race: look at "diff" and apply again
  4  the fate of the change is unknown: run the printed command again
  5  the entries do not agree on the version in force, or not all answer`

const applyDescription = `Checks SHEET, appends the change to the log and reads its fate back. The change
is accepted only if BASE is still in force when it arrives; so a change made on
an older configuration never undoes another operator's change. Without --base
the base is the change in force when the command starts.

The command survives lost replies of the log: it looks for its change id, and
appends the same change again only while the log does not hold it. If the log
does not answer within --timeout, the exit code is 4 and the command to run again
is printed; it never publishes the change a second time.`

// exitError is an error with the exit code that belongs to it.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func exit(code int, err error) error { return &exitError{code: code, err: err} }

func usage(format string, args ...any) error { return exit(exitUsage, errors.Newf(format, args...)) }

// run runs the program with the given arguments, the first of which is its
// name, and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newCommand()
	root.Writer, root.ErrWriter = out, errOut
	err := root.Run(ctx, args)
	if err == nil {
		return exitDone
	}
	printf(errOut, "godwitctl: %v\n", err)
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitRefused
}

func newCommand() *cli.Command {
	root := &cli.Command{
		Name:        "godwitctl",
		Usage:       "check, publish and show the configuration of godwitrelay",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read settings from `FILE` (JSON with comments)", Sources: cli.EnvVars("GODWITCTL_SETTINGS")},
			&cli.StringFlag{Name: "platform", Usage: "`IP:PORT` of the platform; overrides the settings"},
			&cli.StringSliceFlag{Name: "entry", Usage: "operator `IP:PORT` of an entry, repeatable; overrides the settings"},
			&cli.StringFlag{Name: "author", Usage: "`NAME` recorded with changes; overrides the settings"},
			&cli.DurationFlag{Name: "timeout", Usage: "how long to go on when the log does not answer", Value: 15 * time.Second},
		},
		Commands: []*cli.Command{
			{Name: "check", Usage: "check a sheet and list every fault", ArgsUsage: "SHEET", Action: checkCommand},
			{Name: "diff", Usage: "compare a sheet with the version in force", ArgsUsage: "SHEET", Action: diffCommand},
			{
				Name: "apply", Usage: "put a sheet in force", ArgsUsage: "SHEET", Action: applyCommand,
				Description: applyDescription,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "base", Usage: "the `CHANGEID` that must be in force; empty for the first change of all"},
					&cli.StringFlag{Name: "change-id", Usage: "run a former apply with this `CHANGEID` again; needs --base"},
					&cli.BoolFlag{Name: "wait", Usage: "wait until every entry has the version, and print the time it took"},
					&cli.DurationFlag{Name: "wait-timeout", Usage: "how long --wait waits", Value: 30 * time.Second},
				},
			},
			{
				Name: "show", Usage: "show the version in force by the log and by each entry", Action: showCommand,
				Flags: []cli.Flag{&cli.BoolFlag{Name: "sheet", Usage: "print the configuration in force as a sheet instead"}},
			},
			{
				Name: "status", Usage: "show readiness, members, services and targets of the entries", Action: statusCommand,
				Flags: []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print the entries' answers as JSON, one a line"}},
			},
			{Name: "drain", Usage: "ask an entry to stop without interrupting work", ArgsUsage: "ENTRY", Action: drainCommand},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usage("unknown command %q; see --help", cmd.Args().First())
			}
			return usage("no command given; see --help")
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	for _, cmd := range append(root.Commands, root) {
		cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return usage("%v; see --help", err)
		}
	}
	return root
}

// printf writes to the operator's terminal. An error means that nobody reads it,
// and is dropped.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// oneArgument returns the only argument of the command.
func oneArgument(cmd *cli.Command, what string) (string, error) {
	if cmd.NArg() != 1 {
		return "", usage("%s takes one argument, %s", cmd.Name, what)
	}
	return cmd.Args().First(), nil
}

func noArgument(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usage("%s takes no argument; got %q", cmd.Name, cmd.Args().First())
	}
	return nil
}
