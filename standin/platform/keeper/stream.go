package keeper

import (
	"encoding/json"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// maxPageBytes bounds the record bytes of one page, so that a page stays far
// below the 64 MiB that a client reads. A page holds at least one record.
const maxPageBytes = 8 << 20

type storedRecord struct {
	at    time.Time
	value json.RawMessage
}

// Stream is one append-only sequence of records. Offsets start at 0 and are
// never used again. The zero value is empty.
type Stream struct {
	first   int64
	records []storedRecord
	bytes   int64
}

// Append adds a record and returns its offset.
func (s *Stream) Append(now time.Time, value json.RawMessage) int64 {
	s.records = append(s.records, storedRecord{at: now, value: value})
	s.bytes += int64(len(value))
	return s.next() - 1
}

// Forget drops records that are older than retention at the time now, and the
// oldest ones while the stream is over maxBytes.
func (s *Stream) Forget(now time.Time, retention time.Duration, maxBytes int64) {
	n := 0
	for n < len(s.records) && (now.Sub(s.records[n].at) >= retention || s.bytes > maxBytes) {
		s.bytes -= int64(len(s.records[n].value))
		s.records[n].value = nil
		n++
	}
	s.records = s.records[n:]
	s.first += int64(n)
}

// Page returns at most limit records from the offset from, or from the oldest
// one still kept.
func (s *Stream) Page(now time.Time, from int64, limit int) messenger.LogPage {
	page := messenger.LogPage{First: s.first, Next: s.next(), Records: []messenger.LogRecord{}}
	bytes := 0
	for offset := max(from, s.first); offset < s.next() && len(page.Records) < limit; offset++ {
		r := s.records[offset-s.first]
		bytes += len(r.value)
		if bytes > maxPageBytes && len(page.Records) > 0 {
			break
		}
		age := now.Sub(r.at).Milliseconds()
		page.Records = append(page.Records, messenger.LogRecord{Offset: offset, AgeMs: age, Value: r.value})
	}
	return page
}

func (s *Stream) next() int64 { return s.first + int64(len(s.records)) }
