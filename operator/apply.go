package main

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/godwitrelay/godwitrelay/core/planner"
	"github.com/godwitrelay/godwitrelay/core/publisher"
	"github.com/godwitrelay/godwitrelay/core/recorder"
)

func applyCommand(ctx context.Context, cmd *cli.Command) error {
	path, err := singleArgument(cmd, "SHEET")
	if err != nil {
		return err
	}
	settings, err := loadSettings(cmd)
	if err != nil {
		return err
	}
	if err := validateApply(cmd, settings); err != nil {
		return err
	}
	cfg, err := readSheet(path)
	if err != nil {
		return err
	}
	history, err := settings.openHistory()
	if err != nil {
		return withExitCode(exitFailure, errors.Wrap(err, "opening the history file"))
	}
	a := &applyRun{cmd: cmd, settings: settings, path: path}
	if history != nil {
		defer history.Close()
		a.history.Out = history
	}
	a.history.Process = "godwitctl-" + settings.Author
	return a.run(ctx, cfg)
}

func validateApply(cmd *cli.Command, s Settings) error {
	switch {
	case s.Platform == "":
		return usageError("the platform address is missing; set --platform or \"platform\" in the settings")
	case s.Author == "":
		return usageError("the author is missing; set --author or \"author\" in the settings")
	case cmd.IsSet("change-id") && !cmd.IsSet("base"):
		return usageError("--change-id requires the --base of the original command")
	case cmd.IsSet("change-id") && cmd.String("change-id") == "":
		return usageError("--change-id must not be empty")
	case cmd.Bool("wait") && len(s.Entries) == 0:
		return usageError("--wait requires entries; set --entry or \"entries\" in the settings")
	}
	return nil
}

// applyRun is the state of one execution of the apply command.
type applyRun struct {
	cmd       *cli.Command
	settings  Settings
	path      string
	history   recorder.Recorder
	startedAt time.Time
}

func (a *applyRun) printf(format string, args ...any) {
	printf(a.cmd.Root().Writer, format+"\n", args...)
}

func (a *applyRun) run(ctx context.Context, cfg planner.Configuration) error {
	p := publisher.Proposal{
		ChangeID:      a.cmd.String("change-id"),
		Base:          a.cmd.String("base"),
		Author:        a.settings.Author,
		Configuration: cfg,
		Resubmitted:   a.cmd.IsSet("change-id"),
	}
	if !p.Resubmitted {
		p.ChangeID = publisher.NewChangeID()
		done, err := a.resolveBase(ctx, &p)
		if done || err != nil {
			return err
		}
	}
	a.printf("proposing change %s on base %s", p.ChangeID, baseLabel(p.Base))
	a.history.Record(time.Now(), recorder.Record{Event: recorder.ChangeProposed, ChangeID: p.ChangeID, Base: p.Base})
	a.startedAt = time.Now()
	applyCtx, cancel := context.WithTimeout(ctx, a.cmd.Duration("timeout"))
	defer cancel()
	applier := publisher.Applier{
		Log:     newLog(a.settings),
		Now:     time.Now,
		Backoff: func(ctx context.Context) error { return sleep(ctx, logRetryInterval) },
	}
	return a.reportOutcome(ctx, p, applier.Apply(applyCtx, p))
}

// resolveBase sets the base of p to the change in force, unless --base is given.
// If the base is in force, it also prints the differences between the sheet and
// the configuration in force. It returns true if there is nothing to apply; with
// --wait it has then waited for the entries. An empty --base is the base of the
// very first change, for a log without an accepted change.
//
// If the log cannot be read within --timeout, the exit code is exitUnknown
// although nothing was written, because the remedy is the same as for an unknown
// outcome: run a command that reads the log again.
func (a *applyRun) resolveBase(ctx context.Context, p *publisher.Proposal) (bool, error) {
	current, err := readLog(ctx, a.cmd, a.settings)
	if err != nil {
		if errors.Is(err, publisher.ErrNoStartingPoint) {
			return false, err
		}
		return false, withExitCode(exitUnknown, errors.Newf("%w; nothing was written, run the same command again", err))
	}
	a.printf("in force: %s", current)
	if !a.cmd.IsSet("base") {
		p.Base = current.Accepted.ChangeID
	}
	if p.Base != current.Accepted.ChangeID {
		return false, nil
	}
	lines := planner.Diff(current.Accepted.Configuration, p.Configuration)
	printDiff(a.cmd.Root().Writer, lines)
	if len(lines) > 0 || current.Accepted.Version == 0 {
		return false, nil
	}
	a.printf("nothing was written")
	a.startedAt = time.Now()
	return true, a.waitForEntries(ctx, current.Accepted.Version)
}

func baseLabel(base string) string {
	if base == "" {
		return "(none)"
	}
	return base
}

// reportOutcome prints the outcome of the proposal. Unless the change is in
// force, it returns an error with the exit code. An unknown outcome has the same
// exit code whether or not the change may have been written, because the printed
// command resumes it safely in both cases: it appends the change only if the log
// does not contain it.
func (a *applyRun) reportOutcome(ctx context.Context, p publisher.Proposal, outcome publisher.ApplyResult) error {
	switch outcome.Status {
	case publisher.InForce:
		a.history.Record(time.Now(), recorder.Record{Event: recorder.ChangeAccepted, ChangeID: p.ChangeID, Version: outcome.Version})
		a.printf("in force as version %d after %s", outcome.Version, elapsedSince(a.startedAt))
		if outcome.Current.Version > outcome.Version {
			a.printf("superseded by version %d, change %s", outcome.Current.Version, outcome.Current.ChangeID)
		}
		return a.waitForEntries(ctx, outcome.Version)
	case publisher.LostRace:
		a.history.Record(time.Now(), recorder.Record{Event: recorder.ChangeLost, ChangeID: p.ChangeID})
		return withExitCode(exitLost, errors.Newf("%s; version %d, change %s, is in force: review \"godwitctl diff\" and apply again",
			describeConflict(p, outcome), outcome.Current.Version, outcome.Current.ChangeID))
	case publisher.NotAccepted:
		return withExitCode(exitFailure, errors.Newf("the proposed change %s was refused: %s", p.ChangeID, outcome.Reason))
	case publisher.Unknown:
	}
	written := "nothing was written"
	if outcome.MayBeWritten {
		written = "the change may still come into force"
	}
	return withExitCode(exitUnknown, errors.Newf("the outcome of change %s is unknown: %s; %s; to resume, run:\n  %s",
		p.ChangeID, outcome.Reason, written, a.retryCommand(p)))
}

// retryCommand returns the command line that resumes the change.
func (a *applyRun) retryCommand(p publisher.Proposal) string {
	args := []string{"godwitctl"}
	if path := a.cmd.String("settings"); path != "" {
		args = append(args, "--settings", path)
	}
	if a.cmd.IsSet("platform") {
		args = append(args, "--platform", a.settings.Platform)
	}
	args = append(args, "--author", p.Author, "apply", "--change-id", p.ChangeID, "--base", p.Base, a.path)
	for i := range args {
		args[i] = shellQuote(args[i])
	}
	return strings.Join(args, " ")
}

// describeConflict names the change that was accepted instead of p, if known.
func describeConflict(p publisher.Proposal, outcome publisher.ApplyResult) string {
	switch {
	case outcome.WinnerID == "":
		return "lost: the base " + baseLabel(p.Base) + " is not in force"
	case outcome.WinnerAuthor == "":
		return "lost to change " + outcome.WinnerID
	}
	return "lost to change " + outcome.WinnerID + " by " + outcome.WinnerAuthor
}

func elapsedSince(start time.Time) time.Duration { return time.Since(start).Round(time.Millisecond) }

// waitForEntries returns when every entry has the version or a later one. It
// returns at once without --wait.
func (a *applyRun) waitForEntries(ctx context.Context, version int64) error {
	if !a.cmd.Bool("wait") {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.cmd.Duration("wait-timeout"))
	defer cancel()
	for {
		missing := 0
		reports := queryEntries(ctx, a.settings.Entries)
		for _, r := range reports {
			if r.err != nil || r.status.ConfigVersion < version {
				missing++
			}
		}
		if missing == 0 {
			a.printf("all %d entries have version %d or a later one after %s", len(reports), version, elapsedSince(a.startedAt))
			return nil
		}
		if sleep(ctx, entryPollInterval) != nil {
			printEntries(a.cmd.Root().Writer, reports)
			return withExitCode(exitInconsistent, errors.Newf("version %d is in force, but %d of %d entries did not report it within %s",
				version, missing, len(reports), a.cmd.Duration("wait-timeout")))
		}
	}
}
