package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/publisher"
)

const (
	// dialTimeout bounds one connection, replyTimeout one question to an entry.
	dialTimeout  = 2 * time.Second
	replyTimeout = 3 * time.Second
	// logPause is the time between two attempts while the log does not answer.
	logPause = 200 * time.Millisecond
)

// inForce is the configuration in force by the log. Author is empty if the log
// no longer shows who proposed it.
type inForce struct {
	Accepted follower.Accepted
	Author   string
}

// String returns the version and the change.
func (f inForce) String() string {
	if f.Accepted.Version == 0 {
		return "no configuration yet"
	}
	text := fmt.Sprintf("version %d, change %s", f.Accepted.Version, f.Accepted.ChangeID)
	if f.Author != "" {
		text += " by " + f.Author
	}
	return text
}

func newClient() messenger.Client {
	return messenger.Client{Transport: messenger.NewTransport(2, dialTimeout)}
}

func newLog(s Settings) publisher.Log {
	return publisher.Log{Client: newClient(), Platform: s.Platform, Stream: follower.Stream}
}

// pause waits before another attempt, and fails when ctx is done.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readLog returns what is in force by the log. It tries until --timeout.
func readLog(ctx context.Context, cmd *cli.Command, s Settings) (inForce, error) {
	if s.Platform == "" {
		return inForce{}, usage("the platform's address is missing; give --platform or \"platform\" in the settings")
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	authors := make(map[string]string)
	reader := publisher.NewReader(newLog(s), 0)
	reader.Observe = func(_ int64, r follower.Record) {
		if r.Kind == follower.Change && authors[r.ChangeID] == "" {
			authors[r.ChangeID] = r.Author
		}
	}
	for {
		step, err := reader.Follow(ctx, time.Now())
		if err == nil {
			return inForce{Accepted: step.Present, Author: authors[step.Present.ChangeID]}, nil
		}
		if errors.Is(err, publisher.ErrNoStart) || pause(ctx, logPause) != nil {
			return inForce{}, exit(exitRefused, err)
		}
	}
}

// shellQuote quotes an argument for a command line.
func shellQuote(s string) string {
	if s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_/:", r)
	}) {
		return s
	}
	return "'" + strings.ReplaceAll(s, "'", `'\''`) + "'"
}
