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
	err := program(os.Stdout).Run(ctx, os.Args)
	stop()
	if err != nil {
		// A fault list has several lines, which logrus would escape.
		fmt.Fprintf(os.Stderr, "godwit-load: %v\n", err)
		os.Exit(1)
	}
}

// program returns the command line. Results go to out unless a file is named.
func program(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "godwit-load",
		Usage: "measure entries and targets under load",
		Description: "Settings are JSON with comments, given by --settings. Flags take precedence over\n" +
			"the file. All faults of the settings are reported together. Results are JSON.",
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

// runOverlay is run settings that flags change before they are checked.
type runOverlay struct {
	*driver.Settings
	flags func()
}

// Check applies the flags and checks the result.
func (o *runOverlay) Check(f *loader.Faults) {
	o.flags()
	o.Settings.Check(f)
}

// writeResult writes v as indented JSON to the file at path, or to out if path
// is empty.
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
		return errors.Wrap(err, "making the folder of the result")
	}
	return errors.Wrap(os.WriteFile(path, data, 0o644), "writing the result")
}
