package follower

import (
	"math"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// A window is a range of consecutive offsets that is searched for a snapshot.
// initialWindow is the size of the first window, which ends with the newest
// record. Each further window is windowGrowth times as large. Readers publish
// a snapshot at least every maxReplayRecords records, so two windows usually
// suffice. Reading the whole log is expensive: at the design scale it grows by
// about 85 MB a day.
const (
	initialWindow = 64
	windowGrowth  = 4
)

// snapshotSearch determines the order in which a reader without a position
// (see [State]) searches the log for a snapshot. It visits windows from newest
// to oldest, and the records within a window in ascending order. After the
// oldest window it continues with newly appended records.
type snapshotSearch struct {
	// initialSize is the size of the first window.
	initialSize int64
	// size is the size of the current window, which spans the offsets from start
	// up to but not including end. nextOffset is the next offset to read.
	size, start, end, nextOffset int64
	// initialEnd is the end of the first window. Records from there on were
	// appended after the search began.
	initialEnd int64
}

// begin starts a search over the offsets that page reports.
func (s *snapshotSearch) begin(page messenger.LogPage) {
	s.size = s.initialSize
	s.initialEnd, s.end = page.Next, page.Next
	s.start = max(page.First, s.end-s.size)
	s.nextOffset = s.start
}

// advance moves past the records of a page without a usable snapshot.
func (s *snapshotSearch) advance(page messenger.LogPage) {
	for _, r := range page.Records {
		if r.Offset == s.nextOffset {
			s.nextOffset++
		}
	}
	s.nextOffset = max(s.nextOffset, page.First)
	for s.nextOffset >= s.end {
		s.nextWindow(page.First)
	}
}

// nextWindow moves to the next older window, or to newly appended records if
// there is none.
func (s *snapshotSearch) nextWindow(first int64) {
	if s.start <= first {
		s.nextOffset, s.end = max(s.nextOffset, s.initialEnd), math.MaxInt64
		return
	}
	if s.size < math.MaxInt64/windowGrowth {
		s.size *= windowGrowth
	}
	s.end = s.start
	s.start = max(first, s.end-s.size)
	s.nextOffset = s.start
}
