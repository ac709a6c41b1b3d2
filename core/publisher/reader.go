package publisher

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// ErrNoStartingPoint means that a reader cannot continue because the log has removed the
// record that it needs next, and that it found no snapshot to start from instead.
// Until a snapshot is appended, the reader can obtain the configuration in force
// only from a peer, see [Reader.Adopt].
var ErrNoStartingPoint = errors.New("the log retains neither its first record nor a usable snapshot")

const (
	// pageRecords is the number of records requested per page. With records of up
	// to follower.MaxRecordBytes, a page may exceed the client's limit of 64 MiB.
	// Reader then halves the number.
	pageRecords = 256
	// snapshotRetry is the minimum time between two attempts of a reader to publish
	// a snapshot. If a hundredth of the retention time is shorter, that is used
	// instead.
	snapshotRetry = 5 * time.Second
)

// FollowResult is the result of one call of [Reader.Follow].
type FollowResult struct {
	// Changed reports whether Current has a higher version than before.
	Changed       bool
	Current       follower.Accepted
	ChangeResults []follower.ChangeResult
	Skipped       []follower.SkippedRecord
}

// Reader follows the configuration log. Follow must be called by one goroutine
// at a time; the other methods may be called at any time.
type Reader struct {
	Log Log
	// Random, from 0 to 1, selects the jitter of this reader before it publishes a
	// snapshot.
	Random float64
	// OnRecord, if set, is called with every valid record that is read, including
	// records before the reader's position. It may be called more than once for
	// the same record.
	OnRecord func(offset int64, r follower.Record)

	mu           sync.Mutex
	state        *follower.State
	visible      follower.Accepted
	nextSnapshot time.Time
	caughtUp     bool
}

// NewReader returns a reader that has not read any record.
func NewReader(log Log, random float64) *Reader {
	return &Reader{Log: log, Random: random, state: follower.New(), visible: follower.Accepted{ReadThrough: -1}}
}

// Current returns the configuration in force as of the last time that the reader
// reached the end of the log or adopted a newer state from a peer. It does not
// return versions that were applied before the end was reached, because a later
// one may be in force already.
func (r *Reader) Current() follower.Accepted {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.visible
}

// Adopt takes over the state of a peer and reports whether Current changed.
func (r *Reader) Adopt(peer follower.Accepted) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Adopt(peer)
	// A version that was applied but is not visible yet becomes visible if the
	// peer has no newer one.
	current := r.state.Current()
	if peer.Version < 1 || current.Version < peer.Version || current.Version <= r.visible.Version {
		return false
	}
	r.visible = current
	return true
}

// Counts returns the number of skipped records and of conflicts so far.
func (r *Reader) Counts() (skipped, conflicts int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Skipped(), r.state.Conflicts()
}

// Follow reads the log from the current offset to its end and applies the records.
// After an error marked as ErrNoStartingPoint, the configuration in force is
// unchanged, and the next call searches newly appended records for a snapshot.
func (r *Reader) Follow(ctx context.Context, now time.Time) (FollowResult, error) {
	var result FollowResult
	limit := pageRecords
	if r.nothingRead() {
		// The first page only serves to learn where the log begins and ends.
		limit = 1
	}
	for {
		from := r.nextOffset()
		page, err := r.Log.Read(ctx, from, limit)
		if errors.Is(err, errInvalidReply) && ctx.Err() == nil && limit > 1 {
			limit /= 2
			continue
		}
		if err != nil {
			return r.finish(result, false), err
		}
		if from == 0 {
			limit = pageRecords
		}
		r.reportRecords(page)
		done, err := r.applyPage(&result, now, from, page)
		if done || err != nil {
			return r.finish(result, done), err
		}
	}
}

// nothingRead reports whether no record has been applied yet.
func (r *Reader) nothingRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.NextOffset() == 0
}

// SearchFromOldest makes the reader read every record that the log retains and pass
// it to OnRecord. By default, a reader without state searches the newest records
// first for a snapshot.
func (r *Reader) SearchFromOldest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.SearchFromOldest()
}

// nextOffset returns the offset at which the next page must start. It also clears
// caughtUp, because this call of Follow has not reached the end of the log yet.
func (r *Reader) nextOffset() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.caughtUp = false
	return r.state.NextOffset()
}

// applyPage applies one page and reports whether the end of the log was reached.
func (r *Reader) applyPage(result *FollowResult, now time.Time, from int64, page messenger.LogPage) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	applied, err := r.state.ApplyPage(now, page)
	result.ChangeResults = append(result.ChangeResults, applied.ChangeResults...)
	result.Skipped = append(result.Skipped, applied.Skipped...)
	switch {
	case err != nil || applied.CaughtUp:
		return applied.CaughtUp, err
	case !r.state.HasPosition() && r.state.NextOffset() >= page.Next:
		return false, errors.WithStack(ErrNoStartingPoint)
	case r.state.NextOffset() == from:
		return false, errors.Newf("the log has records up to offset %d but returns none from offset %d", page.Next-1, from)
	}
	return false, nil
}

// finish completes the result of Follow. If the end of the log was reached, the
// state becomes visible to Current.
func (r *Reader) finish(result FollowResult, caughtUp bool) FollowResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.caughtUp = caughtUp
	if caughtUp {
		current := r.state.Current()
		result.Changed = current.Version > r.visible.Version
		r.visible = current
	}
	result.Current = r.visible
	return result
}

// reportRecords passes the valid records of a page to OnRecord.
func (r *Reader) reportRecords(page messenger.LogPage) {
	if r.OnRecord == nil {
		return
	}
	for _, rec := range page.Records {
		if parsed, err := follower.Parse(rec.Offset, rec.Value); err == nil {
			r.OnRecord(rec.Offset, parsed)
		}
	}
}

// PublishSnapshot appends a snapshot of the version in force if one is due at the
// time now, see [follower.State.SnapshotDue]. It reports whether it sent the
// append to the log, even if that failed. Call it after [Reader.Follow]; it does
// nothing unless that call reached the end of the log. A lost reply is harmless:
// if the snapshot was written, the next call of Follow reads it; if not, it is
// published again later.
func (r *Reader) PublishSnapshot(ctx context.Context, now time.Time) (bool, error) {
	record, ok := r.dueSnapshot(now)
	if !ok {
		return false, nil
	}
	_, err := r.Log.Append(ctx, record)
	return true, errors.Wrapf(err, "publishing snapshot of version %d", record.Version)
}

// dueSnapshot returns the snapshot to publish at the time now, or false if none
// is due. It does not return another one for snapshotRetry or a hundredth of the
// retention time, whichever is shorter.
func (r *Reader) dueSnapshot(now time.Time) (follower.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	due, ok := r.state.SnapshotDue(r.Random)
	if !ok || !r.caughtUp || now.Before(due) || now.Before(r.nextSnapshot) {
		return follower.Record{}, false
	}
	r.nextSnapshot = now.Add(min(snapshotRetry, r.state.Retention()/100))
	return r.state.SnapshotRecord(), true
}
