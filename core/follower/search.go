package follower

import (
	"math"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// firstWindow is the number of newest records that are searched first. Each
// further window has windowGrowth times as many. Readers publish a snapshot at
// least every snapshotRecords records, so that two windows are usually enough;
// at the design scale the whole log has some 85 MB a day.
const (
	firstWindow  = 64
	windowGrowth = 4
)

// search is the order in which a reader without a position reads the log for a
// snapshot: window by window from the newest records to the oldest, each window
// upwards, and after the oldest one whatever is appended.
type search struct {
	// window is the size of the first window.
	window int64
	// size is the size of the present window, low its first offset, end the
	// offset after its last one, and scan the next offset to read.
	size, low, end, scan int64
	// tail is the offset after the first window.
	tail int64
}

// begin starts a search in a log as page shows it.
func (s *search) begin(page messenger.LogPage) {
	s.size = s.window
	s.tail, s.end = page.Next, page.Next
	s.low = max(page.First, s.end-s.size)
	s.scan = s.low
}

// advance notes that the page's records hold no usable snapshot.
func (s *search) advance(page messenger.LogPage) {
	for _, r := range page.Records {
		if r.Offset == s.scan {
			s.scan++
		}
	}
	s.scan = max(s.scan, page.First)
	for s.scan >= s.end {
		s.next(page.First)
	}
}

// next goes on to the next older window, or to what was appended.
func (s *search) next(first int64) {
	if s.low <= first {
		s.scan, s.end = max(s.scan, s.tail), math.MaxInt64
		return
	}
	if s.size < math.MaxInt64/windowGrowth {
		s.size *= windowGrowth
	}
	s.end = s.low
	s.low = max(first, s.end-s.size)
	s.scan = s.low
}
