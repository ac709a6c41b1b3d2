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
	// dialTimeout limits connecting, replyTimeout a whole request to an entry.
	dialTimeout  = 2 * time.Second
	replyTimeout = 3 * time.Second
	// logRetryInterval is the delay between attempts while the log is unavailable.
	logRetryInterval = 200 * time.Millisecond
)

// logState is the configuration in force according to the log. Author is empty
// if the log no longer holds the change.
type logState struct {
	Accepted follower.Accepted
	Author   string
}

// String describes the version, its change and its author.
func (s logState) String() string {
	if s.Accepted.Version == 0 {
		return "no configuration yet"
	}
	text := fmt.Sprintf("version %d, change %s", s.Accepted.Version, s.Accepted.ChangeID)
	if s.Author != "" {
		text += " by " + s.Author
	}
	return text
}

func newClient() messenger.Client {
	return messenger.Client{Transport: messenger.NewTransport(2, dialTimeout)}
}

func newLog(s Settings) publisher.Log {
	return publisher.Log{Client: newClient(), Platform: s.Platform, Stream: follower.Stream}
}

// sleep waits for d. It returns an error if ctx is done first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readLog reads the configuration in force from the log, and retries until
// --timeout if the log is unavailable.
func readLog(ctx context.Context, cmd *cli.Command, s Settings) (logState, error) {
	if s.Platform == "" {
		return logState{}, usageError("the platform address is missing; set --platform or \"platform\" in the settings")
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	authors := make(map[string]string)
	reader := publisher.NewReader(newLog(s), 0)
	reader.OnRecord = func(_ int64, r follower.Record) {
		if r.Kind == follower.Change && authors[r.ChangeID] == "" {
			authors[r.ChangeID] = r.Author
		}
	}
	for {
		step, err := reader.Follow(ctx, time.Now())
		if err == nil {
			return logState{Accepted: step.Current, Author: authors[step.Current.ChangeID]}, nil
		}
		if errors.Is(err, publisher.ErrNoStartingPoint) || sleep(ctx, logRetryInterval) != nil {
			return logState{}, withExitCode(exitFailure, err)
		}
	}
}

// shellQuote quotes s for a POSIX shell if necessary.
func shellQuote(s string) string {
	if s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_/:", r)
	}) {
		return s
	}
	return "'" + strings.ReplaceAll(s, "'", `'\''`) + "'"
}
