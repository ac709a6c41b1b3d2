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
	path, err := oneArgument(cmd, "SHEET")
	if err != nil {
		return err
	}
	settings, err := loadSettings(cmd)
	if err != nil {
		return err
	}
	if err := checkApply(cmd, settings); err != nil {
		return err
	}
	cfg, err := readSheet(path)
	if err != nil {
		return err
	}
	history, err := settings.openHistory()
	if err != nil {
		return exit(exitRefused, errors.Wrap(err, "opening the history file"))
	}
	a := &apply{cmd: cmd, settings: settings, path: path}
	if history != nil {
		defer history.Close()
		a.history.Out = history
	}
	a.history.Process = "godwitctl-" + settings.Author
	return a.run(ctx, cfg)
}

func checkApply(cmd *cli.Command, s Settings) error {
	switch {
	case s.Platform == "":
		return usage("the platform's address is missing; give --platform or \"platform\" in the settings")
	case s.Author == "":
		return usage("the author is missing; give --author or \"author\" in the settings")
	case cmd.IsSet("change-id") && !cmd.IsSet("base"):
		return usage("--change-id needs the --base of the former command")
	case cmd.IsSet("change-id") && cmd.String("change-id") == "":
		return usage("--change-id is empty")
	case cmd.Bool("wait") && len(s.Entries) == 0:
		return usage("--wait needs entries; give --entry or \"entries\" in the settings")
	}
	return nil
}

// apply is one run of the command apply.
type apply struct {
	cmd      *cli.Command
	settings Settings
	path     string
	history  recorder.Recorder
	began    time.Time
}

func (a *apply) printf(format string, args ...any) {
	printf(a.cmd.Root().Writer, format+"\n", args...)
}

func (a *apply) run(ctx context.Context, cfg planner.Configuration) error {
	p := publisher.Proposal{
		ChangeID:      a.cmd.String("change-id"),
		Base:          a.cmd.String("base"),
		Author:        a.settings.Author,
		Configuration: cfg,
		Again:         a.cmd.IsSet("change-id"),
	}
	if !p.Again {
		p.ChangeID = publisher.NewChangeID()
		done, err := a.chooseBase(ctx, &p)
		if done || err != nil {
			return err
		}
	}
	a.printf("proposing change %s on base %s", p.ChangeID, baseName(p.Base))
	a.history.Record(time.Now(), recorder.Record{Event: recorder.ChangeProposed, ChangeID: p.ChangeID, Base: p.Base})
	a.began = time.Now()
	limited, cancel := context.WithTimeout(ctx, a.cmd.Duration("timeout"))
	defer cancel()
	applier := publisher.Applier{
		Log:   newLog(a.settings),
		Now:   time.Now,
		Pause: func(ctx context.Context) error { return pause(ctx, logPause) },
	}
	return a.report(ctx, p, applier.Apply(limited, p))
}

// chooseBase takes the base from the command line or from the log, and prints
// what the sheet changes. It reports whether there is nothing to do.
func (a *apply) chooseBase(ctx context.Context, p *publisher.Proposal) (bool, error) {
	now, err := readLog(ctx, a.cmd, a.settings)
	if err != nil {
		if errors.Is(err, publisher.ErrNoStart) {
			return false, err
		}
		return false, exit(exitUnknown, errors.Wrap(err, "nothing was written; run the same command again: the log does not answer"))
	}
	a.printf("in force: %s", now)
	if !a.cmd.IsSet("base") {
		p.Base = now.Accepted.ChangeID
	}
	if p.Base != now.Accepted.ChangeID {
		return false, nil
	}
	lines := planner.Diff(now.Accepted.Configuration, p.Configuration)
	printDiff(a.cmd.Root().Writer, lines)
	if len(lines) > 0 || now.Accepted.Version == 0 {
		return false, nil
	}
	a.printf("nothing was written")
	a.began = time.Now()
	return true, a.wait(ctx, now.Accepted.Version)
}

func baseName(base string) string {
	if base == "" {
		return "(none)"
	}
	return base
}

// report prints the fate and returns the error with its exit code.
func (a *apply) report(ctx context.Context, p publisher.Proposal, fate publisher.Fate) error {
	switch fate.Verdict {
	case publisher.InForce:
		a.history.Record(time.Now(), recorder.Record{Event: recorder.ChangeAccepted, ChangeID: p.ChangeID, Version: fate.Version})
		a.printf("in force as version %d after %s", fate.Version, since(a.began))
		if fate.Present.Version > fate.Version {
			a.printf("version %d, change %s, came into force after it", fate.Present.Version, fate.Present.ChangeID)
		}
		return a.wait(ctx, fate.Version)
	case publisher.LostRace:
		a.history.Record(time.Now(), recorder.Record{Event: recorder.ChangeLost, ChangeID: p.ChangeID})
		return exit(exitLost, errors.Newf("%s; version %d, change %s, is in force: look at \"godwitctl diff\" and apply again",
			lostTo(p, fate), fate.Present.Version, fate.Present.ChangeID))
	case publisher.NotAccepted:
		return exit(exitRefused, errors.Newf("refused: %s", fate.Reason))
	case publisher.Unknown:
	}
	written := "nothing was written"
	if fate.Sent {
		written = "the change may come into force"
	}
	return exit(exitUnknown, errors.Newf("unknown: %s; %s; run again:\n  %s", fate.Reason, written, a.again(p)))
}

// again returns the command that finds out the fate of the change.
func (a *apply) again(p publisher.Proposal) string {
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

// lostTo names the change that was faster.
func lostTo(p publisher.Proposal, fate publisher.Fate) string {
	switch {
	case fate.WinnerID == "":
		return "lost: the base " + baseName(p.Base) + " is not in force"
	case fate.WinnerAuthor == "":
		return "lost to change " + fate.WinnerID
	}
	return "lost to change " + fate.WinnerID + " by " + fate.WinnerAuthor
}

func since(began time.Time) time.Duration { return time.Since(began).Round(time.Millisecond) }

// wait returns when every entry has the version, if --wait is given.
func (a *apply) wait(ctx context.Context, version int64) error {
	if !a.cmd.Bool("wait") {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.cmd.Duration("wait-timeout"))
	defer cancel()
	for {
		missing := 0
		reports := askEntries(ctx, a.settings.Entries)
		for _, r := range reports {
			if r.err != nil || r.status.ConfigVersion < version {
				missing++
			}
		}
		if missing == 0 {
			a.printf("all %d entries have version %d or a later one after %s", len(reports), version, since(a.began))
			return nil
		}
		if pause(ctx, waitPause) != nil {
			printEntries(a.cmd.Root().Writer, reports)
			return exit(exitDisagree, errors.Newf("version %d is in force, but %d of %d entries did not report it within %s",
				version, missing, len(reports), a.cmd.Duration("wait-timeout")))
		}
	}
}
