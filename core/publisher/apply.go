package publisher

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// changeIDLength is the length of a new change id, which holds 80 random bits.
const changeIDLength = 16

// NewChangeID returns a random id for a new change.
func NewChangeID() string { return strings.ToLower(rand.Text()[:changeIDLength]) }

// ApplyStatus is the outcome of a proposed change, as far as it is known.
type ApplyStatus string

// Statuses of a proposed change.
const (
	// InForce: the change was accepted as ApplyResult.Version.
	InForce ApplyStatus = "inForce"
	// LostRace: the change was not accepted because its base is not in force,
	// usually because another change with the same base was accepted first.
	LostRace ApplyStatus = "lostRace"
	// NotAccepted: the change was rejected and will never come into force.
	NotAccepted ApplyStatus = "notAccepted"
	// Unknown: the log does not show whether the change was accepted, so it may
	// still come into force. Retry with the same change id, base and
	// configuration.
	Unknown ApplyStatus = "unknown"
)

// Proposal is a change to apply. Base is the id of the change that the operator
// saw in force, or empty for the very first change. Resubmitted must be set if an
// earlier call with the same ChangeID may have written the record.
type Proposal struct {
	ChangeID      string
	Base          string
	Author        string
	Configuration planner.Configuration
	Resubmitted   bool
}

// record returns the change record that proposes p.
func (p Proposal) record() follower.Record {
	return follower.Record{
		Kind: follower.Change, ChangeID: p.ChangeID, Base: p.Base,
		Author: p.Author, Configuration: p.Configuration,
	}
}

// ApplyResult is the result of [Applier.Apply].
type ApplyResult struct {
	Status ApplyStatus
	// Version is the version assigned to the change. Set for InForce.
	Version int64
	// WinnerID and WinnerAuthor identify the change that came into force instead.
	// Set for LostRace, unless the part of the log that was read does not show
	// that change.
	WinnerID     string
	WinnerAuthor string
	// MayBeWritten reports whether the record may have been written.
	MayBeWritten bool
	// Current is the configuration in force as of the last successful read of the
	// log.
	Current follower.Accepted
	// Reason explains the statuses NotAccepted and Unknown.
	Reason string
}

// Applier appends changes to the log and finds out whether they were accepted.
type Applier struct {
	Log Log
	// Now returns the current time.
	Now func() time.Time
	// Backoff waits before the next attempt after a log failure. It returns an error
	// to stop retrying, for example when the context is done.
	Backoff func(ctx context.Context) error
}

// Apply appends the change, unless the log already shows its outcome, and reads
// the log until the outcome is known or the context or Backoff stops the retries.
// Only the log determines whether an append took effect: after a failure, Apply
// reads the log and appends the same record again only if it is missing. A record
// that is written twice is accepted at most once, because its base is no longer
// in force after the first time.
func (a Applier) Apply(ctx context.Context, p Proposal) ApplyResult {
	if reason := validateProposal(p); reason != "" {
		return ApplyResult{Status: NotAccepted, Reason: reason}
	}
	run := &applyRun{Applier: a, proposal: p, history: newHistory()}
	run.reader = NewReader(a.Log, 0)
	run.reader.OnRecord = run.history.addRecord
	if p.Resubmitted {
		// An earlier call may have written the change long ago.
		run.reader.SearchFromOldest()
	}
	result := ApplyResult{MayBeWritten: p.Resubmitted}
	for {
		err := run.attempt(ctx, &result)
		if result.Status != "" {
			return result
		}
		if err == nil {
			continue
		}
		if a.Backoff(ctx) != nil {
			result.Status, result.Reason = Unknown, err.Error()
			return result
		}
	}
}

// validateProposal returns the reason why readers of the log would skip the
// record, or an empty string if they would not.
func validateProposal(p Proposal) string {
	switch {
	case p.ChangeID == "" || len(p.ChangeID) > follower.MaxIDBytes:
		return errors.Newf("the change id is %d bytes long; it must have 1 to %d bytes", len(p.ChangeID), follower.MaxIDBytes).Error()
	case p.ChangeID == p.Base:
		return "the change has itself as its base"
	}
	if err := p.Configuration.Validate(); err != nil {
		return err.Error()
	}
	return ""
}

// applyRun holds the state of one call of Apply.
type applyRun struct {
	Applier
	proposal Proposal
	reader   *Reader
	history  *history
}

// attempt reads the log to its end and sets the status. If the log does not
// determine one, attempt appends the change. It returns an error if the log failed.
func (a *applyRun) attempt(ctx context.Context, result *ApplyResult) error {
	followed, err := a.reader.Follow(ctx, a.Now())
	a.history.addResults(followed.ChangeResults)
	if errors.Is(err, ErrNoStartingPoint) && !result.MayBeWritten {
		result.Status, result.Reason = NotAccepted, err.Error()
		return err
	}
	if err != nil {
		return err
	}
	result.Current = followed.Current
	if a.resolve(result); result.Status != "" {
		return nil
	}
	_, err = a.Log.Append(ctx, a.proposal.record())
	if errors.Is(err, ErrRefused) && !result.MayBeWritten {
		result.Status, result.Reason = NotAccepted, err.Error()
		return err
	}
	if !errors.IsAny(err, messenger.ErrNotSent, ErrRefused, ErrRateLimited) {
		result.MayBeWritten = true
	}
	return err
}

// resolve sets the status that follows from the log, or Unknown if the log does
// not show the outcome. The status stays empty only while the base of the change
// is in force.
func (a *applyRun) resolve(result *ApplyResult) {
	p := a.proposal
	versions, successors := a.history.acceptedChain(result.Current)
	seen, logged := a.history.changes[p.ChangeID]
	version, accepted := versions[p.ChangeID]
	successor, hasSuccessor := successors[p.Base]
	if reason := a.reusedChangeID(result.Current); reason != "" {
		result.Status, result.Reason = NotAccepted, reason
		return
	}
	_, applied := a.history.accepted[p.ChangeID]
	switch {
	case accepted && logged && seen.ambiguous && !applied:
		result.Status = Unknown
		result.Reason = "the log contains the change id " + p.ChangeID + " with different contents"
	case accepted:
		result.Status, result.Version = InForce, version
	case hasSuccessor:
		result.Status, result.WinnerID = LostRace, successor
		result.WinnerAuthor = a.history.changes[successor].author
	case p.Base == result.Current.ChangeID:
	case result.MayBeWritten:
		result.Status = Unknown
		result.Reason = fmt.Sprintf("the base %q is not in force, and no change that followed it was found in the log", p.Base)
	default:
		// The change has not been written, and its base is not in force.
		result.Status = LostRace
	}
}

// reusedChangeID returns an error text if the change id was already used with a
// different base or configuration.
func (a *applyRun) reusedChangeID(current follower.Accepted) string {
	p := a.proposal
	proposed := digest(p.Base, p.Configuration)
	seen, logged := a.history.changes[p.ChangeID]
	change, accepted := a.history.accepted[p.ChangeID]
	differs := logged && !seen.ambiguous && seen.digest != proposed
	if accepted {
		differs = change.digest != proposed
	} else if current.ChangeID == p.ChangeID {
		differs = differs || digest("", current.Configuration) != digest("", p.Configuration)
	}
	if !differs {
		return ""
	}
	text := "the change id " + p.ChangeID + " was already used with a different base or configuration"
	if seen.author != "" && !seen.ambiguous && seen.digest != proposed {
		text += "; author: " + seen.author
	}
	return text
}
