// Command godwit-load drives entries and targets with an open-loop workload
// and measures response times, messages and capacity.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/load/driver"
)

func main() {
	logrus.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newCommand(os.Stdout).Run(ctx, os.Args)
	stop()
	if err != nil {
		// Printed directly because logrus would escape the line breaks of a
		// multi-line error.
		fmt.Fprintf(os.Stderr, "godwit-load: %v\n", err)
		os.Exit(1)
	}
}

// newCommand returns the root command. Results are written to out unless a flag
// names a file.
func newCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "godwit-load",
		Usage: "measure entries and targets under load",
		Description: "Settings are read from the JSON file (comments allowed) given by --settings. Flags\n" +
			"take precedence over the file. All invalid settings are reported together. Results are JSON.",
		Writer: out,
		Commands: []*cli.Command{
			runCommand(out),
			submitCommand(out),
			compareCommand(out),
			plotCommand(),
			capacityCommand(out),
			packCommand(out),
		},
	}
}

// overriddenSettings are run settings that command-line flags override before
// validation.
type overriddenSettings struct {
	*driver.Settings
	applyFlags func()
}

// Check applies the flags and validates the result.
func (o *overriddenSettings) Check(f *loader.Problems) {
	o.applyFlags()
	o.Settings.Check(f)
}

// writeResult writes v as indented JSON to the file at path, or to out if path
// is empty. It creates the file's directory if needed.
func writeResult(out io.Writer, path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encoding the result")
	}
	data = append(data, '\n')
	if path == "" {
		_, err = out.Write(data)
		return errors.Wrap(err, "writing the result")
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "creating the result directory")
	}
	return errors.Wrap(os.WriteFile(path, data, 0o644), "writing the result")
}
