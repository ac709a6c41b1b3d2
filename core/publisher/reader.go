package publisher

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// ErrNoStart marks a log that has forgotten its beginning and holds no usable
// snapshot: the configuration can only be learned from a peer.
var ErrNoStart = errors.New("the log has forgotten its beginning and holds no usable snapshot")

const (
	// pageRecords is the number of records asked for at once. With the largest
	// record of follower.MaxRecordBytes a page may be over the client's limit of
	// 64 MiB; Reader halves the number then.
	pageRecords = 256
	// snapshotRetry is the time between two attempts of one reader to publish a
	// snapshot. With a short retention it is a hundredth of that.
	snapshotRetry = 5 * time.Second
)

// Step is what one call of [Reader.Follow] found.
type Step struct {
	// Changed is set when Present has a higher version than before.
	Changed bool
	Present follower.Accepted
	Fates   []follower.Fate
	Skipped []follower.Skip
}

// Reader follows the configuration log. Follow must be called by one goroutine
// at a time; the other methods may be called at any time.
type Reader struct {
	Log Log
	// Random, from 0 to 1, picks this reader's delay among those of all
	// readers before it publishes a snapshot.
	Random float64
	// Observe, if set, is called with every well-formed record that is read,
	// also with those before the position, and possibly more than once.
	Observe func(offset int64, r follower.Record)

	mu       sync.Mutex
	state    *follower.State
	shown    follower.Accepted
	retry    time.Time
	caughtUp bool
}

// NewReader returns a reader that has read nothing.
func NewReader(log Log, random float64) *Reader {
	return &Reader{Log: log, Random: random, state: follower.New(), shown: follower.Accepted{ReadThrough: -1}}
}

// Present returns the configuration in force as of the last time that the end
// of the log was reached or a peer was ahead. A version that was folded on the
// way to the end is not shown, because a later one may be in force already.
func (r *Reader) Present() follower.Accepted {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shown
}

// Adopt takes the configuration of a peer and reports whether it changed what
// is in force.
func (r *Reader) Adopt(peer follower.Accepted) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Adopt(peer)
	// What was folded but not shown yet is shown if the peer has nothing newer.
	present := r.state.Present()
	if peer.Version < 1 || present.Version < peer.Version || present.Version <= r.shown.Version {
		return false
	}
	r.shown = present
	return true
}

// Counts returns the number of skipped records and of contradictions so far.
func (r *Reader) Counts() (skipped, conflicts int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Skipped(), r.state.Conflicts()
}

// Follow reads the log from the present offset to its end and folds it. After
// an error marked ErrNoStart, what is in force stays, and the next call looks
// for a snapshot in what was appended since.
func (r *Reader) Follow(ctx context.Context, now time.Time) (Step, error) {
	var step Step
	limit := pageRecords
	if r.fresh() {
		// The first page tells where the log begins and ends.
		limit = 1
	}
	for {
		from := r.want()
		page, err := r.Log.Read(ctx, from, limit)
		if errors.Is(err, errBadReply) && ctx.Err() == nil && limit > 1 {
			limit /= 2
			continue
		}
		if err != nil {
			return r.end(step, false), err
		}
		if from == 0 {
			limit = pageRecords
		}
		r.observe(page)
		done, err := r.fold(&step, now, from, page)
		if done || err != nil {
			return r.end(step, done), err
		}
	}
}

// fresh reports whether nothing has been read yet.
func (r *Reader) fresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Want() == 0
}

// SearchFromOldest makes the reader read every record that the log still keeps,
// for Observe. Without it a reader without state looks for a snapshot among the
// newest records first.
func (r *Reader) SearchFromOldest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.SearchFromOldest()
}

func (r *Reader) want() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.caughtUp = false
	return r.state.Want()
}

// fold folds one page and reports whether the end of the log was reached.
func (r *Reader) fold(step *Step, now time.Time, from int64, page messenger.LogPage) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	res, err := r.state.Fold(now, page)
	step.Fates = append(step.Fates, res.Fates...)
	step.Skipped = append(step.Skipped, res.Skipped...)
	switch {
	case err != nil || res.CaughtUp:
		return res.CaughtUp, err
	case !r.state.Positioned() && r.state.Want() >= page.Next:
		return false, errors.WithStack(ErrNoStart)
	case r.state.Want() == from:
		return false, errors.Newf("the log has records up to offset %d and returns none from %d", page.Next-1, from)
	}
	return false, nil
}

func (r *Reader) end(step Step, caughtUp bool) Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.caughtUp = caughtUp
	if caughtUp {
		present := r.state.Present()
		step.Changed = present.Version > r.shown.Version
		r.shown = present
	}
	step.Present = r.shown
	return step
}

func (r *Reader) observe(page messenger.LogPage) {
	if r.Observe == nil {
		return
	}
	for _, rec := range page.Records {
		if parsed, err := follower.Parse(rec.Offset, rec.Value); err == nil {
			r.Observe(rec.Offset, parsed)
		}
	}
}

// PublishSnapshot appends a snapshot of the version in force if one is due, and
// reports whether it tried. Call it after [Reader.Follow]; it does nothing
// unless that call reached the end of the log. A lost reply needs no care: the
// next call of Follow reads the snapshot, or it is written again later.
func (r *Reader) PublishSnapshot(ctx context.Context, now time.Time) (bool, error) {
	record, ok := r.dueSnapshot(now)
	if !ok {
		return false, nil
	}
	_, err := r.Log.Append(ctx, record)
	return true, errors.Wrapf(err, "publishing a snapshot of version %d", record.Version)
}

func (r *Reader) dueSnapshot(now time.Time) (follower.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	due, ok := r.state.SnapshotDue(r.Random)
	if !ok || !r.caughtUp || now.Before(due) || now.Before(r.retry) {
		return follower.Record{}, false
	}
	r.retry = now.Add(min(snapshotRetry, r.state.Retention()/100))
	return r.state.SnapshotRecord(), true
}
