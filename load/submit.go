package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// submitCommand returns the command that submits one job and prints its answer.
// It is a minimal caller for trying out a deployment and an example of the use
// of job ids.
func submitCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit one job through an entry and print its answer",
		ArgsUsage: "PAYLOAD [PAYLOAD ...]",
		Description: "Each PAYLOAD is the JSON payload of one task. With --again the same job is also\n" +
			"submitted to those entries; each must return the same answer without running it again.\n\n" +
			"Example:\n" +
			"  godwit-load submit --entry 127.0.0.1:7101 --again 127.0.0.1:7103 --service orders \\\n" +
			"    --type firm-booking --team restaurants '{\"runMs\":50,\"value\":\"table 7\"}'",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "`ADDRESS` at which the entry serves callers", Required: true},
			&cli.StringSliceFlag{Name: "again", Usage: "`ADDRESS` at which another entry serves callers, to resubmit the job to; may be repeated"},
			&cli.StringFlag{Name: "service", Usage: "service `NAME`", Required: true},
			&cli.StringFlag{Name: "type", Usage: "request type `NAME`", Required: true},
			&cli.StringFlag{Name: "team", Usage: "team `NAME`", Required: true},
			&cli.IntFlag{Name: "deadline-ms", Usage: "deadline `TIME` from receipt", Value: 10_000},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.New("submit requires at least one PAYLOAD")
			}
			sub := messenger.Submission{
				Team: c.String("team"), Service: c.String("service"), RequestType: c.String("type"),
				DeadlineMs: int64(c.Int("deadline-ms")), Wait: true,
			}
			for i, text := range c.Args().Slice() {
				if !json.Valid([]byte(text)) {
					return errors.Newf("payload %d is not valid JSON: %s", i, text)
				}
				sub.Tasks = append(sub.Tasks, json.RawMessage(text))
			}
			return submit(ctx, out, sub, c.String("entry"), c.StringSlice("again"))
		},
	}
}

func submit(ctx context.Context, out io.Writer, sub messenger.Submission, entry string, others []string) error {
	var client messenger.Client
	var ids messenger.IDsReply
	if _, err := client.Call(ctx, http.MethodPost, "http://"+entry+"/v1/ids", messenger.IDsRequest{Count: 1}, &ids); err != nil {
		return errors.Wrap(err, "requesting a job id")
	}
	if len(ids.IDs) != 1 {
		return errors.Newf("entry %s returned %d job ids, expected 1", entry, len(ids.IDs))
	}
	sub.ID = ids.IDs[0]
	for _, address := range append([]string{entry}, others...) {
		var answer messenger.Answer
		status, err := client.Call(ctx, http.MethodPost, "http://"+address+"/v1/jobs", sub, &answer)
		if err != nil {
			return errors.Wrapf(err, "submitting to %s", address)
		}
		text, err := json.Marshal(answer)
		if err != nil {
			return errors.Wrap(err, "encoding the answer")
		}
		fmt.Fprintf(out, "%s %d %s\n", address, status, text)
		if answer.Error != nil {
			return answer.Error
		}
	}
	return nil
}
