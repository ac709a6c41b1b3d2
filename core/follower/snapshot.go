package follower

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const (
	// snapshotAge is the divisor of the retention time after which a starting
	// point is renewed: two thirds of the retention remain for outages.
	snapshotAge = 3
	// snapshotSpread is the divisor of the retention time over which readers
	// spread their snapshots, so that usually one of them writes it and the
	// others see it in time.
	snapshotSpread = 6
	// urgentSpread is the largest delay when the log has forgotten the last
	// starting point. Until there is a new one no operator can apply a change
	// and no VM can start from the log.
	urgentSpread = 10 * time.Second
	// snapshotRecords is the number of records after which a starting point is
	// renewed whatever its age, so that readers without state have little to
	// read. lengthSpread is the largest delay then.
	snapshotRecords = 256
	lengthSpread    = time.Minute
	// markSpacing is the divisor of the retention time between two remembered
	// ages of records.
	markSpacing = 60
)

// start is the newest place from which a reader without state could begin: the
// offset of the first record that it must still be able to read. That is 0, or
// the offset after the ReadThrough of a snapshot.
type start struct {
	retention time.Duration
	known     bool
	forgotten bool
	from      int64
	// unknownSince is when the reader first had no starting point to name.
	unknownSince time.Time
	// longSince is when the reader first saw snapshotRecords records after the
	// starting point.
	longSince time.Time
	marks     []mark
}

// mark remembers when the record at offset was written.
type mark struct {
	offset int64
	born   time.Time
}

// note remembers the ages of a page's records.
func (s *start) note(now time.Time, page messenger.LogPage) {
	s.retention = time.Duration(page.RetentionMs) * time.Millisecond
	s.forget(page.First)
	for _, r := range page.Records {
		born := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		if n := len(s.marks); n > 0 {
			last := s.marks[n-1]
			if r.Offset <= last.offset || born.Sub(last.born) < s.retention/markSpacing {
				continue
			}
		}
		s.marks = append(s.marks, mark{offset: r.Offset, born: born})
	}
	if page.First == 0 {
		s.offer(0)
	}
	if !s.known && s.unknownSince.IsZero() {
		s.unknownSince = now
	}
}

// offer names a starting point. Ones older than the present one, and ones whose
// age is not known, are passed over.
func (s *start) offer(from int64) {
	if s.known && from <= s.from {
		return
	}
	if _, ok := s.born(from); !ok {
		return
	}
	s.known, s.forgotten, s.from = true, false, from
	s.unknownSince, s.longSince = time.Time{}, time.Time{}
}

// measure notes at the time now that the reader folds the offset next as the
// next one.
func (s *start) measure(now time.Time, next int64) {
	if s.known && s.longSince.IsZero() && next-s.from >= snapshotRecords {
		s.longSince = now
	}
}

// forget drops what the log no longer keeps.
func (s *start) forget(first int64) {
	if s.known && s.from < first {
		s.known, s.forgotten = false, true
	}
	for len(s.marks) > 1 && s.marks[1].offset <= first {
		s.marks = s.marks[1:]
	}
}

// born returns a time at or before the one at which the record at offset was
// written.
func (s *start) born(offset int64) (time.Time, bool) {
	for i := len(s.marks) - 1; i >= 0; i-- {
		if s.marks[i].offset <= offset {
			return s.marks[i].born, true
		}
	}
	return time.Time{}, false
}

// SnapshotDue returns the time at which this reader should publish a snapshot,
// and false if there is nothing to publish. The time is a third of the
// retention after the newest starting point was written, plus a delay of up to
// a sixth of the retention; random, from 0 to 1, picks the delay. It moves on
// when another reader's snapshot has been folded. A reader that knows of no
// starting point, because it learned its state from a peer, waits for the delay
// alone. If the log has forgotten the last one, the delay is at most
// urgentSpread. After snapshotRecords records it is due early, within
// lengthSpread.
//
// A recent change is no starting point by itself: without what came before it a
// reader can't tell whether it was accepted.
func (s *State) SnapshotDue(random float64) (time.Time, bool) {
	if s.lost || s.accepted.Version == 0 || s.start.retention <= 0 {
		return time.Time{}, false
	}
	spread := s.start.retention / snapshotSpread
	if s.start.forgotten {
		spread = min(spread, urgentSpread)
	}
	delay := time.Duration(random * float64(spread))
	if !s.start.known {
		return s.start.unknownSince.Add(delay), true
	}
	born, ok := s.start.born(s.start.from)
	if !ok {
		return time.Time{}, false
	}
	due := born.Add(s.start.retention/snapshotAge + delay)
	if s.start.longSince.IsZero() {
		return due, true
	}
	long := s.start.longSince.Add(time.Duration(random * float64(min(spread, lengthSpread))))
	if long.Before(due) {
		due = long
	}
	return due, true
}

// SnapshotRecord returns the record that publishes the present version.
func (s *State) SnapshotRecord() Record {
	return Record{
		Kind:          Snapshot,
		ChangeID:      s.accepted.ChangeID,
		Version:       s.accepted.Version,
		ReadThrough:   s.accepted.ReadThrough,
		Configuration: s.accepted.Configuration,
	}
}

// Retention returns how long the log keeps records, as its last page said.
func (s *State) Retention() time.Duration { return s.start.retention }
