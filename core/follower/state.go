package follower

import (
	"math"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Outcome is the result of applying a change record.
type Outcome string

// Outcomes of a change: Won if it came into force, Lost if its base was not in
// force, and Repeated if it was in force already.
const (
	Won      Outcome = "won"
	Lost     Outcome = "lost"
	Repeated Outcome = "repeated"
)

// ChangeResult is the result of applying the change record at Offset. Version
// and InForce are the version and the id of the change in force afterwards.
type ChangeResult struct {
	Offset   int64
	ChangeID string
	Base     string
	Author   string
	Outcome  Outcome
	Version  int64
	InForce  string
}

// SkippedRecord identifies a record that was not applied and gives the reason.
type SkippedRecord struct {
	Offset int64
	Reason string
}

// Result is the result of applying one page.
type Result struct {
	// Changed reports whether a higher version came into force.
	Changed bool
	// ChangeResults has one element per applied change record, in offset order.
	ChangeResults []ChangeResult
	// Skipped lists malformed records and snapshots that conflict with the
	// reader's state.
	Skipped []SkippedRecord
	// CaughtUp reports whether the reader reached the end of the log.
	CaughtUp bool
}

// State is the state of one reader of the configuration log. Use [New] to create
// one.
//
// A reader reads the log in pages, see [messenger.LogPage]. It has a position
// if it knows the configuration in force after all records up to
// Accepted.ReadThrough. Only then does it apply changes, in offset order and
// without gaps. If the log no longer retains the next record, the reader loses
// its position. It then keeps the configuration it has, and either searches
// for a snapshot after whose ReadThrough the log is complete or adopts the
// state of a peer.
//
// Whether a change is accepted depends only on its record and on the change in
// force, never on records that another reader may not have seen. Readers with a
// position at the same offset therefore agree.
type State struct {
	accepted     Accepted
	positionLost bool
	search       snapshotSearch
	// checkedEnd is the offset after the newest record that reportMalformed
	// has checked.
	checkedEnd    int64
	skipped       int64
	conflicts     int64
	startingPoint startingPoint
}

// New returns the state of a reader that has not read any record.
func New() *State {
	return &State{accepted: Accepted{ReadThrough: -1}, search: snapshotSearch{initialSize: initialWindow}}
}

// SearchFromOldest makes the reader search for a snapshot from the oldest record
// on, so that it reads every record that the log retains.
func (s *State) SearchFromOldest() { s.search.initialSize = math.MaxInt64 }

// Current returns the configuration in force. Version is 0 if there is none.
// Callers must not modify the maps of the configuration.
func (s *State) Current() Accepted { return s.accepted }

// NextOffset returns the offset at which the next page must start.
func (s *State) NextOffset() int64 {
	if s.positionLost {
		return s.search.nextOffset
	}
	return s.accepted.ReadThrough + 1
}

// HasPosition reports whether the reader has a position. Without one it applies
// no changes until it finds a usable snapshot or adopts the state of a peer.
func (s *State) HasPosition() bool { return !s.positionLost }

// Skipped returns the number of records skipped so far.
func (s *State) Skipped() int64 { return s.skipped }

// Conflicts returns the number of snapshots and peer states that conflicted with
// the reader's state. A value above 0 means that some writer of the log is
// faulty.
func (s *State) Conflicts() int64 { return s.conflicts }

// ApplyPage applies a page that was read from the offset NextOffset at the time
// now. Records that were applied before are ignored, so that pages may arrive
// late or repeatedly. If the log still retains the record that follows the
// position but the page starts after it, none of the page's records are applied.
// ApplyPage returns an error if records are missing between records of the page;
// the records before the gap remain applied.
func (s *State) ApplyPage(now time.Time, page messenger.LogPage) (Result, error) {
	var res Result
	before := s.accepted.Version
	records := parsePage(page)
	s.reportMalformed(&res, records)
	s.startingPoint.observePage(now, page)
	if page.First > s.accepted.ReadThrough+1 {
		if !s.positionLost {
			s.positionLost = true
			s.search.begin(page)
		}
		s.findSnapshot(&res, page, records)
	}
	err := s.applyRecords(&res, records)
	s.startingPoint.checkReplayLength(now, s.accepted.ReadThrough+1)
	res.Changed = s.accepted.Version > before
	res.CaughtUp = !s.positionLost && s.accepted.ReadThrough+1 >= page.Next
	return res, err
}

// Adopt takes over the state of a peer and reports whether a higher version came
// into force. If the peer has the same version but has read further, only its
// position is taken over. A conflicting peer state is rejected and counted.
func (s *State) Adopt(peer Accepted) bool {
	if peer.Version < 1 || peer.ChangeID == "" || peer.Version > peer.ReadThrough+1 || peer.Configuration.Validate() != nil {
		return false
	}
	if peer.Version < s.accepted.Version {
		return false
	}
	if s.conflictsWith(peer) || (peer.Version > s.accepted.Version && peer.ReadThrough <= s.accepted.ReadThrough) {
		s.conflicts++
		return false
	}
	if peer.ReadThrough <= s.accepted.ReadThrough {
		return false
	}
	changed := peer.Version > s.accepted.Version
	s.accepted = peer
	s.positionLost = false
	return changed
}

// parsedRecord is a record of a page, or the error if the record is malformed.
type parsedRecord struct {
	offset int64
	record Record
	err    error
}

// parsePage parses the records of a page.
func parsePage(page messenger.LogPage) []parsedRecord {
	list := make([]parsedRecord, 0, len(page.Records))
	for _, r := range page.Records {
		p := parsedRecord{offset: r.Offset}
		p.record, p.err = Parse(r.Offset, r.Value)
		list = append(list, p)
	}
	return list
}

// reportMalformed counts the malformed records and adds them to res.Skipped. It
// ignores records up to the highest offset checked so far, so that each one is
// counted at most once.
func (s *State) reportMalformed(res *Result, records []parsedRecord) {
	for _, p := range records {
		if p.offset < s.checkedEnd {
			continue
		}
		s.checkedEnd = p.offset + 1
		if p.err != nil {
			s.skipped++
			res.Skipped = append(res.Skipped, SkippedRecord{Offset: p.offset, Reason: p.err.Error()})
		}
	}
}

// findSnapshot takes over the state and position of the usable snapshot with the
// highest ReadThrough in a page. A snapshot is usable if the log retains all
// records after its ReadThrough. If there is none, the search advances.
func (s *State) findSnapshot(res *Result, page messenger.LogPage, records []parsedRecord) {
	best := -1
	for i, p := range records {
		if p.err != nil || p.record.Kind != Snapshot || p.record.ReadThrough+1 < page.First {
			continue
		}
		if s.conflictsWith(acceptedFrom(p.record)) || p.record.Version < s.accepted.Version {
			s.rejectSnapshot(res, p)
			continue
		}
		if best < 0 || p.record.ReadThrough >= records[best].record.ReadThrough {
			best = i
		}
	}
	if best < 0 {
		s.search.advance(page)
		return
	}
	s.accepted = acceptedFrom(records[best].record)
	s.positionLost = false
	s.startingPoint.advanceTo(s.accepted.ReadThrough + 1)
}

// applyRecords applies the records that directly follow the position.
func (s *State) applyRecords(res *Result, records []parsedRecord) error {
	if s.positionLost {
		return nil
	}
	for _, p := range records {
		next := s.accepted.ReadThrough + 1
		switch {
		case p.offset < next:
			continue
		case p.offset > next && p.offset == records[0].offset:
			// The page starts after the record that follows the position, for
			// example because the position was taken over from a snapshot in
			// the page whose ReadThrough precedes the page.
			return nil
		case p.offset > next:
			return errors.Newf("log page has a gap: offset %d is followed by offset %d", next-1, p.offset)
		}
		s.applyRecord(res, p)
		s.accepted.ReadThrough = p.offset
	}
	return nil
}

// applyRecord applies the record that directly follows the position.
func (s *State) applyRecord(res *Result, p parsedRecord) {
	if p.err != nil {
		return
	}
	r := p.record
	if r.Kind == Snapshot {
		// A snapshot does not change the state of a reader with a position. Its
		// version must not exceed the version in force.
		if r.Version > s.accepted.Version || s.conflictsWith(acceptedFrom(r)) {
			s.rejectSnapshot(res, p)
			return
		}
		s.startingPoint.advanceTo(r.ReadThrough + 1)
		return
	}
	result := ChangeResult{Offset: p.offset, ChangeID: r.ChangeID, Base: r.Base, Author: r.Author, Outcome: Lost}
	switch {
	case r.ChangeID == s.accepted.ChangeID:
		result.Outcome = Repeated
	case r.Base == s.accepted.ChangeID:
		result.Outcome = Won
		s.accepted.Version++
		s.accepted.ChangeID = r.ChangeID
		s.accepted.Configuration = r.Configuration
	}
	result.Version, result.InForce = s.accepted.Version, s.accepted.ChangeID
	res.ChangeResults = append(res.ChangeResults, result)
}

// rejectSnapshot counts and skips a snapshot that conflicts with the reader's
// state.
func (s *State) rejectSnapshot(res *Result, p parsedRecord) {
	s.conflicts++
	s.skipped++
	res.Skipped = append(res.Skipped, SkippedRecord{
		Offset: p.offset,
		Reason: errors.Newf("conflicting snapshot: it has version %d, change %q; in force is version %d, change %q",
			p.record.Version, p.record.ChangeID, s.accepted.Version, s.accepted.ChangeID).Error(),
	})
}

// conflictsWith reports whether other has the same version as the state in force
// but a different change or configuration.
func (s *State) conflictsWith(other Accepted) bool {
	if other.Version != s.accepted.Version {
		return false
	}
	return other.ChangeID != s.accepted.ChangeID || !reflect.DeepEqual(other.Configuration, s.accepted.Configuration)
}

// acceptedFrom returns the state that a snapshot describes.
func acceptedFrom(snapshot Record) Accepted {
	return Accepted{
		Version:       snapshot.Version,
		ChangeID:      snapshot.ChangeID,
		ReadThrough:   snapshot.ReadThrough,
		Configuration: snapshot.Configuration,
	}
}
