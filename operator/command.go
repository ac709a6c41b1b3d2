package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// The exit codes of godwitctl; the command description documents them.
const (
	exitOK           = 0
	exitFailure      = 1
	exitUsage        = 2
	exitLost         = 3
	exitUnknown      = 4
	exitInconsistent = 5
)

const description = `The sheet is a CSV file; docs/sheet.md describes its format. Each accepted change
creates a new version of the configuration, with a higher number than all before.

Exit codes:
  0  success; for apply: the change is in force
  1  failure: the sheet is invalid, or the platform or an entry rejected the
     request or did not answer
  2  usage error
  3  another change was accepted first: review "diff" and apply again
  4  for apply: the outcome of the change is unknown, or the log could not be
     read: run the printed command, or the same command again if none is printed
  5  some entries did not report their status or the expected version`

const applyDescription = `Validates SHEET, appends the change to the log and reads the outcome from the
log. The change is accepted only if BASE is still in force when it arrives, so a
change based on an older configuration never undoes another operator's change.
Without --base, the base is the change in force when the command starts.

The command tolerates lost replies from the log: it searches the log for its
change ID and appends the change again only if it is not found. If the outcome
remains unknown, for example because the log does not answer within --timeout,
the exit code is 4 and the command prints a command that resumes the change.
Running it never publishes the change twice. If the log could not be read before
the change was proposed, the exit code is also 4, but nothing was written and no
command is printed: run the same command again.`

// codedError is an error with a process exit code.
type codedError struct {
	code int
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }
func (e *codedError) Unwrap() error { return e.err }

func withExitCode(code int, err error) error { return &codedError{code: code, err: err} }

func usageError(format string, args ...any) error {
	return withExitCode(exitUsage, errors.Newf(format, args...))
}

// run executes the command line args, which starts with the program name, and
// returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newCommand()
	root.Writer, root.ErrWriter = out, errOut
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	printf(errOut, "godwitctl: %v\n", err)
	var coded *codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitFailure
}

func newCommand() *cli.Command {
	root := &cli.Command{
		Name:        "godwitctl",
		Usage:       "validate, publish and display the configuration of godwitrelay",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read settings from `FILE` (JSON with comments)", Sources: cli.EnvVars("GODWITCTL_SETTINGS")},
			&cli.StringFlag{Name: "platform", Usage: "address (`IP:PORT`) of the platform; overrides the settings"},
			&cli.StringSliceFlag{Name: "entry", Usage: "address (`IP:PORT`) at which an entry serves the operator API, repeatable; overrides the settings"},
			&cli.StringFlag{Name: "author", Usage: "`NAME` recorded with changes; overrides the settings"},
			&cli.DurationFlag{Name: "timeout", Usage: "how long to retry while the log does not answer, or, for drain, to wait for the entry's reply", Value: 15 * time.Second},
		},
		Commands: []*cli.Command{
			{Name: "check", Usage: "validate a sheet and list all errors", ArgsUsage: "SHEET", Action: checkCommand},
			{Name: "diff", Usage: "compare a sheet with the version in force", ArgsUsage: "SHEET", Action: diffCommand},
			{
				Name: "apply", Usage: "put a sheet in force", ArgsUsage: "SHEET", Action: applyCommand,
				Description: applyDescription,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "base", Usage: "the `CHANGEID` that must be in force; empty for the very first change"},
					&cli.StringFlag{Name: "change-id", Usage: "resume an earlier apply with this `CHANGEID`; requires --base"},
					&cli.BoolFlag{Name: "wait", Usage: "wait until all entries have the version and print how long it took"},
					&cli.DurationFlag{Name: "wait-timeout", Usage: "how long --wait waits", Value: 30 * time.Second},
				},
			},
			{
				Name: "show", Usage: "show the version in force according to the log and to each entry", Action: showCommand,
				Flags: []cli.Flag{&cli.BoolFlag{Name: "sheet", Usage: "print the configuration in force as a sheet"}},
			},
			{
				Name: "status", Usage: "show readiness, members, services and targets of the entries", Action: statusCommand,
				Flags: []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print the status of each entry as a line of JSON"}},
			},
			{Name: "drain", Usage: "make an entry finish its work and exit", ArgsUsage: "ENTRY", Action: drainCommand},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usageError("unknown command %q; see --help", cmd.Args().First())
			}
			return usageError("no command given; see --help")
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	for _, cmd := range append(root.Commands, root) {
		cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return usageError("%v; see --help", err)
		}
	}
	return root
}

// printf writes output for the operator. Write errors are ignored: if a write
// fails, nobody is reading the output.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// singleArgument returns the argument of a command that takes exactly one.
func singleArgument(cmd *cli.Command, argName string) (string, error) {
	if cmd.NArg() != 1 {
		return "", usageError("%s takes exactly one argument: %s", cmd.Name, argName)
	}
	return cmd.Args().First(), nil
}

func noArguments(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageError("%s takes no arguments; got %q", cmd.Name, cmd.Args().First())
	}
	return nil
}
