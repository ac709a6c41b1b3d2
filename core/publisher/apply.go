package publisher

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// changeIDChars is the length of a new change id: 80 random bits.
const changeIDChars = 16

// NewChangeID draws the id of a new change.
func NewChangeID() string { return strings.ToLower(rand.Text()[:changeIDChars]) }

// Verdict is what is known about a proposed change.
type Verdict string

// The verdicts.
const (
	// InForce: the change was accepted as Fate.Version.
	InForce Verdict = "inForce"
	// LostRace: another change with the same base was accepted first.
	LostRace Verdict = "lostRace"
	// NotAccepted: the change was refused and will never come into force.
	NotAccepted Verdict = "notAccepted"
	// Unknown: the log did not answer in time. The change may come into force.
	// Apply it again with the same change id, base and content.
	Unknown Verdict = "unknown"
)

// Proposal is a change to apply. Base is the change that the operator saw in
// force, empty for the first change of all. Again is set when a former call
// with the same ChangeID may have written the record.
type Proposal struct {
	ChangeID      string
	Base          string
	Author        string
	Configuration planner.Configuration
	Again         bool
}

func (p Proposal) record() follower.Record {
	return follower.Record{
		Kind: follower.Change, ChangeID: p.ChangeID, Base: p.Base,
		Author: p.Author, Configuration: p.Configuration,
	}
}

// Fate is the result of [Applier.Apply].
type Fate struct {
	Verdict Verdict
	// Version is the number that the change got. Set for InForce.
	Version int64
	// WinnerID and WinnerAuthor name the change that came into force instead,
	// as far as it was read. Both are empty if the base was followed longer ago.
	// Set for LostRace.
	WinnerID     string
	WinnerAuthor string
	// Sent is set when the record may have been written.
	Sent bool
	// Present is what is in force now, as of the last successful reading.
	Present follower.Accepted
	// Reason explains NotAccepted and Unknown.
	Reason string
}

// Applier proposes changes and reads their fate back.
type Applier struct {
	Log Log
	// Now returns the present time.
	Now func() time.Time
	// Pause waits before another attempt after a failure of the log. It returns
	// an error to give up, as when the context is done.
	Pause func(ctx context.Context) error
}

// Apply appends the change, unless the log shows that it was decided before,
// and reads until its fate is known or the context or Pause ends it. Whether an
// append had an effect is learned from the log alone: after a failure the log
// is read, and only if the change is not in it, the same record is appended
// again. A record that is written twice counts once, because after the first
// one its base is not in force any more.
func (a Applier) Apply(ctx context.Context, p Proposal) Fate {
	if reason := checkProposal(p); reason != "" {
		return Fate{Verdict: NotAccepted, Reason: reason}
	}
	run := &application{Applier: a, proposal: p, history: newHistory()}
	run.reader = NewReader(a.Log, 0)
	run.reader.Observe = run.history.observe
	if p.Again {
		// The change may be far back in the log.
		run.reader.SearchFromOldest()
	}
	fate := Fate{Sent: p.Again}
	for {
		err := run.attempt(ctx, &fate)
		if fate.Verdict != "" {
			return fate
		}
		if err == nil {
			continue
		}
		if a.Pause(ctx) != nil {
			fate.Verdict, fate.Reason = Unknown, err.Error()
			return fate
		}
	}
}

// checkProposal returns why the readers of the log would skip the record.
func checkProposal(p Proposal) string {
	switch {
	case p.ChangeID == "" || len(p.ChangeID) > follower.MaxIDBytes:
		return errors.Newf("the change id has %d bytes; allowed: 1 to %d", len(p.ChangeID), follower.MaxIDBytes).Error()
	case p.ChangeID == p.Base:
		return "the change names itself as its base"
	}
	if err := p.Configuration.Sound(); err != nil {
		return err.Error()
	}
	return ""
}

// application is one call of Apply.
type application struct {
	Applier
	proposal Proposal
	reader   *Reader
	history  *history
}

// attempt reads the log to its end, judges the change, and appends it if it is
// undecided. An error means that the log failed.
func (a *application) attempt(ctx context.Context, fate *Fate) error {
	step, err := a.reader.Follow(ctx, a.Now())
	a.history.fold(step.Fates)
	if errors.Is(err, ErrNoStart) && !fate.Sent {
		fate.Verdict, fate.Reason = NotAccepted, err.Error()
		return err
	}
	if err != nil {
		return err
	}
	fate.Present = step.Present
	if a.judge(fate); fate.Verdict != "" {
		return nil
	}
	_, err = a.Log.Append(ctx, a.proposal.record())
	if errors.Is(err, ErrRefused) && !fate.Sent {
		fate.Verdict, fate.Reason = NotAccepted, err.Error()
		return err
	}
	if !errors.IsAny(err, messenger.ErrNotSent, ErrRefused, ErrBusy) {
		fate.Sent = true
	}
	return err
}

// judge sets the verdict if the log decides it. The change is undecided only
// while its base is in force.
func (a *application) judge(fate *Fate) {
	p := a.proposal
	versions, next := a.history.chain(fate.Present)
	seen, logged := a.history.changes[p.ChangeID]
	version, accepted := versions[p.ChangeID]
	winner, raced := next[p.Base]
	if reason := a.otherContent(fate.Present); reason != "" {
		fate.Verdict, fate.Reason = NotAccepted, reason
		return
	}
	_, folded := a.history.won[p.ChangeID]
	switch {
	case accepted && logged && seen.ambiguous && !folded:
		fate.Verdict = Unknown
		fate.Reason = "the log holds the change id " + p.ChangeID + " with different contents"
	case accepted:
		fate.Verdict, fate.Version = InForce, version
	case raced:
		fate.Verdict, fate.WinnerID = LostRace, winner
		fate.WinnerAuthor = a.history.changes[winner].author
	case p.Base == fate.Present.ChangeID:
	case fate.Sent:
		fate.Verdict = Unknown
		fate.Reason = "the base " + p.Base + " is not in force, and the log no longer shows what followed it"
	default:
		// Nothing was written yet, and the base is not in force any more.
		fate.Verdict = LostRace
	}
}

// otherContent returns a text if the change id belongs to another content.
func (a *application) otherContent(present follower.Accepted) string {
	p := a.proposal
	own := digest(p.Base, p.Configuration)
	seen, logged := a.history.changes[p.ChangeID]
	won, accepted := a.history.won[p.ChangeID]
	other := logged && !seen.ambiguous && seen.digest != own
	if accepted {
		other = won.digest != own
	} else if present.ChangeID == p.ChangeID {
		other = other || digest("", present.Configuration) != digest("", p.Configuration)
	}
	if !other {
		return ""
	}
	return "the change id " + p.ChangeID + " was used for another base or content; its author is " + seen.author
}
