package follower

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const (
	// renewalDivisor sets the age at which a starting point is renewed: one third
	// of the retention time. If the log is unavailable then, two thirds of the
	// retention time remain for retries.
	renewalDivisor = 3
	// jitterDivisor sets the maximum jitter as a fraction of the retention time.
	// Because of the jitter, usually one reader publishes a snapshot and the
	// others see it before they would publish one.
	jitterDivisor = 6
	// maxUrgentJitter limits the jitter once the starting point has expired.
	// Until a new one is published, operators cannot apply changes and VMs cannot
	// start from the log.
	maxUrgentJitter = 10 * time.Second
	// maxReplayRecords is the number of records after which a starting point is
	// renewed regardless of its age, to limit how much a reader without state has
	// to read. maxLengthJitter limits the jitter in that case.
	maxReplayRecords = 256
	maxLengthJitter  = time.Minute
	// sampleDivisor sets the minimum interval between two age samples as a
	// fraction of the retention time.
	sampleDivisor = 60
)

// startingPoint tracks the newest point from which a reader without state can
// replay the log. offset is the first record that such a reader needs: 0, or the
// offset after the ReadThrough of a snapshot.
type startingPoint struct {
	retention time.Duration
	known     bool
	expired   bool
	offset    int64
	// unknownSince is the time at which the reader first found no starting point.
	unknownSince time.Time
	// tooLongSince is the time at which the reader first found at least
	// maxReplayRecords records after the starting point.
	tooLongSince time.Time
	ageSamples   []ageSample
}

// ageSample holds the time at which the record at offset was written.
type ageSample struct {
	offset    int64
	writtenAt time.Time
}

// observePage updates the retention time, the age samples and the starting point
// from a page.
func (s *startingPoint) observePage(now time.Time, page messenger.LogPage) {
	s.retention = time.Duration(page.RetentionMs) * time.Millisecond
	s.applyRetention(page.First)
	for _, r := range page.Records {
		writtenAt := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		if n := len(s.ageSamples); n > 0 {
			last := s.ageSamples[n-1]
			if r.Offset <= last.offset || writtenAt.Sub(last.writtenAt) < s.retention/sampleDivisor {
				continue
			}
		}
		s.ageSamples = append(s.ageSamples, ageSample{offset: r.Offset, writtenAt: writtenAt})
	}
	if page.First == 0 {
		s.advanceTo(0)
	}
	if !s.known && s.unknownSince.IsZero() {
		s.unknownSince = now
	}
}

// advanceTo makes offset the starting point, unless the current one is at least
// as new or the age of the record at offset is unknown.
func (s *startingPoint) advanceTo(offset int64) {
	if s.known && offset <= s.offset {
		return
	}
	if _, ok := s.writtenAt(offset); !ok {
		return
	}
	s.known, s.expired, s.offset = true, false, offset
	s.unknownSince, s.tooLongSince = time.Time{}, time.Time{}
}

// checkReplayLength records when the distance from the starting point to next,
// the next offset to apply, reaches maxReplayRecords.
func (s *startingPoint) checkReplayLength(now time.Time, next int64) {
	if s.known && s.tooLongSince.IsZero() && next-s.offset >= maxReplayRecords {
		s.tooLongSince = now
	}
}

// applyRetention drops the starting point if it is before first, the oldest
// offset that the log retains, and every sample older than the newest one at or
// before first.
func (s *startingPoint) applyRetention(first int64) {
	if s.known && s.offset < first {
		s.known, s.expired = false, true
	}
	for len(s.ageSamples) > 1 && s.ageSamples[1].offset <= first {
		s.ageSamples = s.ageSamples[1:]
	}
}

// writtenAt returns a lower bound of the time at which the record at offset was
// written, or false if no sample covers it.
func (s *startingPoint) writtenAt(offset int64) (time.Time, bool) {
	for i := len(s.ageSamples) - 1; i >= 0; i-- {
		if s.ageSamples[i].offset <= offset {
			return s.ageSamples[i].writtenAt, true
		}
	}
	return time.Time{}, false
}

// SnapshotDue returns the time at which this reader should publish a snapshot,
// or false if there is nothing to publish. The time is a third of the retention
// time after the newest starting point was written, plus a jitter of up to a
// sixth of the retention time. random, from 0 to 1, selects the jitter. The time
// moves forward when another reader's snapshot is applied.
//
// A reader that has not seen a starting point, because it adopted its state from
// a peer, waits for the jitter only. The jitter is at most maxUrgentJitter if the
// starting point has expired. Once maxReplayRecords records follow the starting
// point, the snapshot is due within maxLengthJitter.
//
// A change is not a starting point: whether it was accepted depends on the
// records before it.
func (s *State) SnapshotDue(random float64) (time.Time, bool) {
	if s.positionLost || s.accepted.Version == 0 || s.startingPoint.retention <= 0 {
		return time.Time{}, false
	}
	maxJitter := s.startingPoint.retention / jitterDivisor
	if s.startingPoint.expired {
		maxJitter = min(maxJitter, maxUrgentJitter)
	}
	jitter := time.Duration(random * float64(maxJitter))
	if !s.startingPoint.known {
		return s.startingPoint.unknownSince.Add(jitter), true
	}
	writtenAt, ok := s.startingPoint.writtenAt(s.startingPoint.offset)
	if !ok {
		return time.Time{}, false
	}
	due := writtenAt.Add(s.startingPoint.retention/renewalDivisor + jitter)
	if s.startingPoint.tooLongSince.IsZero() {
		return due, true
	}
	lengthDue := s.startingPoint.tooLongSince.Add(time.Duration(random * float64(min(maxJitter, maxLengthJitter))))
	if lengthDue.Before(due) {
		due = lengthDue
	}
	return due, true
}

// SnapshotRecord returns a snapshot of the version in force.
func (s *State) SnapshotRecord() Record {
	return Record{
		Kind:          Snapshot,
		ChangeID:      s.accepted.ChangeID,
		Version:       s.accepted.Version,
		ReadThrough:   s.accepted.ReadThrough,
		Configuration: s.accepted.Configuration,
	}
}

// Retention returns the retention time that the most recent page reported.
func (s *State) Retention() time.Duration { return s.startingPoint.retention }
