package keeper

import (
	"encoding/json"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// maxPageBytes limits the total record size of a page, to stay well below the
// 64 MiB response limit of clients. A page that starts at an existing record
// contains at least that record, whatever its size.
const maxPageBytes = 8 << 20

type storedRecord struct {
	appendedAt time.Time
	value      json.RawMessage
}

// Stream is an append-only sequence of records. Offsets start at 0 and are never
// reused. The zero value is an empty stream.
type Stream struct {
	firstOffset int64
	records     []storedRecord
	bytes       int64
}

// Append adds a record and returns its offset.
func (s *Stream) Append(now time.Time, value json.RawMessage) int64 {
	s.records = append(s.records, storedRecord{appendedAt: now, value: value})
	s.bytes += int64(len(value))
	return s.nextOffset() - 1
}

// Trim drops records that have reached the retention at the time now, and the
// oldest records while the stream exceeds maxBytes.
func (s *Stream) Trim(now time.Time, retention time.Duration, maxBytes int64) {
	n := 0
	for n < len(s.records) && (now.Sub(s.records[n].appendedAt) >= retention || s.bytes > maxBytes) {
		s.bytes -= int64(len(s.records[n].value))
		s.records[n].value = nil
		n++
	}
	s.records = s.records[n:]
	s.firstOffset += int64(n)
}

// Page returns at most limit records, starting at the offset from or at the
// oldest retained record, whichever is later.
func (s *Stream) Page(now time.Time, from int64, limit int) messenger.LogPage {
	page := messenger.LogPage{First: s.firstOffset, Next: s.nextOffset(), Records: []messenger.LogRecord{}}
	bytes := 0
	for offset := max(from, s.firstOffset); offset < s.nextOffset() && len(page.Records) < limit; offset++ {
		r := s.records[offset-s.firstOffset]
		bytes += len(r.value)
		if bytes > maxPageBytes && len(page.Records) > 0 {
			break
		}
		age := now.Sub(r.appendedAt).Milliseconds()
		page.Records = append(page.Records, messenger.LogRecord{Offset: offset, AgeMs: age, Value: r.value})
	}
	return page
}

func (s *Stream) nextOffset() int64 { return s.firstOffset + int64(len(s.records)) }
