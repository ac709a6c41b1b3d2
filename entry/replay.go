package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/entry/dispatcher"
)

// replayCommand returns the subcommand that replays a recorded event log.
func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "run the events of an eventFile through the reducer again",
		ArgsUsage: "FILE",
		Description: "Prints events and commands whose text contains --grep, and fails where the commands\n" +
			"differ from those of the recorded run.",
		Flags: []cli.Flag{&cli.StringFlag{Name: "grep", Usage: "print events and commands that contain `TEXT`, for example a job id"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return errors.New("replay requires exactly one FILE")
			}
			return replay(c.Args().First(), c.String("grep"))
		},
	}
}

func replay(path, grep string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "event log")
	}
	defer f.Close()
	n, err := dispatcher.Replay(f, func(now time.Time, msg dispatcher.Msg, cmds []dispatcher.Cmd) {
		if grep == "" {
			return
		}
		printMatch(now, "event  ", msg, grep)
		for _, cmd := range cmds {
			printMatch(now, "command", cmd, grep)
		}
	})
	fmt.Printf("replayed %d events\n", n)
	return err
}

func printMatch(now time.Time, what string, v any, grep string) {
	text, err := json.Marshal(v)
	if err == nil && strings.Contains(string(text), grep) {
		fmt.Printf("%s %s %s %s\n", now.Format("15:04:05.000000"), what, reflect.TypeOf(v).Name(), text)
	}
}
