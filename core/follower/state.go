package follower

import (
	"math"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Outcome is what the fold made of a change record.
type Outcome string

// The outcomes. Repeated: the change was in force already. Lost: its base was
// not in force.
const (
	Won      Outcome = "won"
	Lost     Outcome = "lost"
	Repeated Outcome = "repeated"
)

// Fate tells what became of the change record at Offset. Version and InForce
// are the version and the change in force after it.
type Fate struct {
	Offset   int64
	ChangeID string
	Base     string
	Author   string
	Outcome  Outcome
	Version  int64
	InForce  string
}

// Skip names a record that was not folded and the reason.
type Skip struct {
	Offset int64
	Reason string
}

// Result is what one page changed.
type Result struct {
	// Changed is set when a higher version came into force.
	Changed bool
	// Fates has one element per change record that was folded, by offset.
	Fates []Fate
	// Skipped lists malformed records, and snapshots that contradict the fold.
	Skipped []Skip
	// CaughtUp is set when every record that the log had was folded.
	CaughtUp bool
}

// State is one reader of the configuration log. Make one with [New].
//
// The reader has a position when it knows what was in force after every record
// up to Accepted.ReadThrough. Only then does it fold changes, each one directly
// after the one before. When the log has forgotten the next record, the
// position is lost: the reader keeps what it has and looks for a snapshot with
// every record after its ReadThrough still visible, or adopts the state of a
// peer. Whether a change is accepted depends only on the record and on the
// change in force, never on records that another reader may not have seen; so
// all readers with a position at the same offset agree.
type State struct {
	accepted Accepted
	lost     bool
	search   search
	judged   int64
	skipped  int64
	conflict int64
	start    start
}

// New returns a reader that has read nothing.
func New() *State {
	return &State{accepted: Accepted{ReadThrough: -1}, search: search{window: firstWindow}}
}

// SearchFromOldest makes the reader look for a snapshot from the oldest record
// on, so that it sees every record that the log still keeps.
func (s *State) SearchFromOldest() { s.search.window = math.MaxInt64 }

// Present returns the configuration in force. Version is 0 if there is none.
// The maps of the configuration must not be written to.
func (s *State) Present() Accepted { return s.accepted }

// Want returns the offset from which the next page must be read.
func (s *State) Want() int64 {
	if s.lost {
		return s.search.scan
	}
	return s.accepted.ReadThrough + 1
}

// Positioned reports whether the reader can fold changes. A reader without a
// position waits for a usable snapshot or for a peer.
func (s *State) Positioned() bool { return !s.lost }

// Skipped returns the number of records that were skipped so far.
func (s *State) Skipped() int64 { return s.skipped }

// Conflicts returns how often a snapshot or a peer contradicted the fold. Any
// value above 0 is a fault of a writer of the log.
func (s *State) Conflicts() int64 { return s.conflict }

// Fold takes a page of the log that was read from Want at the time now. Offsets
// that were folded before are passed over, and a page that is older than the
// position changes nothing. An error means that the page has a gap that the
// log's retention does not explain; what was folded before the gap stays.
func (s *State) Fold(now time.Time, page messenger.LogPage) (Result, error) {
	var res Result
	before := s.accepted.Version
	records := parsePage(page)
	s.skip(&res, records)
	s.start.note(now, page)
	if page.First > s.accepted.ReadThrough+1 {
		if !s.lost {
			s.lost = true
			s.search.begin(page)
		}
		s.find(&res, page, records)
	}
	err := s.foldRecords(&res, records)
	s.start.measure(now, s.accepted.ReadThrough+1)
	res.Changed = s.accepted.Version > before
	res.CaughtUp = !s.lost && s.accepted.ReadThrough+1 >= page.Next
	return res, err
}

// Adopt takes the state of a peer and reports whether a higher version came
// into force. A peer at the same version that has read further gives its
// position only. A peer that contradicts the fold is refused and counted.
func (s *State) Adopt(peer Accepted) bool {
	if peer.Version < 1 || peer.ChangeID == "" || peer.Version > peer.ReadThrough+1 || peer.Configuration.Sound() != nil {
		return false
	}
	if peer.Version < s.accepted.Version {
		return false
	}
	if s.contradicts(peer) || (peer.Version > s.accepted.Version && peer.ReadThrough <= s.accepted.ReadThrough) {
		s.conflict++
		return false
	}
	if peer.ReadThrough <= s.accepted.ReadThrough {
		return false
	}
	changed := peer.Version > s.accepted.Version
	s.accepted = peer
	s.lost = false
	return changed
}

// parsed is a record of a page, or the reason why it is malformed.
type parsed struct {
	offset int64
	record Record
	err    error
}

func parsePage(page messenger.LogPage) []parsed {
	list := make([]parsed, 0, len(page.Records))
	for _, r := range page.Records {
		p := parsed{offset: r.Offset}
		p.record, p.err = Parse(r.Offset, r.Value)
		list = append(list, p)
	}
	return list
}

// skip counts the malformed records, each one once.
func (s *State) skip(res *Result, records []parsed) {
	for _, p := range records {
		if p.offset < s.judged {
			continue
		}
		s.judged = p.offset + 1
		if p.err != nil {
			s.skipped++
			res.Skipped = append(res.Skipped, Skip{Offset: p.offset, Reason: p.err.Error()})
		}
	}
}

// find looks for the usable snapshot with the highest ReadThrough in a page, and
// takes its state and its position.
func (s *State) find(res *Result, page messenger.LogPage, records []parsed) {
	best := -1
	for i, p := range records {
		if p.err != nil || p.record.Kind != Snapshot || p.record.ReadThrough+1 < page.First {
			continue
		}
		if s.contradicts(stateOf(p.record)) || p.record.Version < s.accepted.Version {
			s.refuse(res, p)
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
	s.accepted = stateOf(records[best].record)
	s.lost = false
	s.start.offer(s.accepted.ReadThrough + 1)
}

// foldRecords folds the records directly after the position.
func (s *State) foldRecords(res *Result, records []parsed) error {
	if s.lost {
		return nil
	}
	for _, p := range records {
		next := s.accepted.ReadThrough + 1
		switch {
		case p.offset < next:
			continue
		case p.offset > next && p.offset == records[0].offset:
			// The page starts after the position, as it does when a snapshot
			// was found whose ReadThrough lies before the page.
			return nil
		case p.offset > next:
			return errors.Newf("the log's page has a gap: offset %d is followed by %d", next-1, p.offset)
		}
		s.foldRecord(res, p)
		s.accepted.ReadThrough = p.offset
	}
	return nil
}

func (s *State) foldRecord(res *Result, p parsed) {
	if p.err != nil {
		return
	}
	r := p.record
	if r.Kind == Snapshot {
		// A snapshot changes nothing for a reader with a position. It can only
		// speak of versions up to the present one.
		if r.Version > s.accepted.Version || s.contradicts(stateOf(r)) {
			s.refuse(res, p)
			return
		}
		s.start.offer(r.ReadThrough + 1)
		return
	}
	fate := Fate{Offset: p.offset, ChangeID: r.ChangeID, Base: r.Base, Author: r.Author, Outcome: Lost}
	switch {
	case r.ChangeID == s.accepted.ChangeID:
		fate.Outcome = Repeated
	case r.Base == s.accepted.ChangeID:
		fate.Outcome = Won
		s.accepted.Version++
		s.accepted.ChangeID = r.ChangeID
		s.accepted.Configuration = r.Configuration
	}
	fate.Version, fate.InForce = s.accepted.Version, s.accepted.ChangeID
	res.Fates = append(res.Fates, fate)
}

// refuse counts a snapshot that contradicts the fold.
func (s *State) refuse(res *Result, p parsed) {
	s.conflict++
	s.skipped++
	res.Skipped = append(res.Skipped, Skip{
		Offset: p.offset,
		Reason: errors.Newf("the snapshot says version %d is change %q; in force is version %d, change %q",
			p.record.Version, p.record.ChangeID, s.accepted.Version, s.accepted.ChangeID).Error(),
	})
}

// contradicts reports whether other gives the present version another content.
func (s *State) contradicts(other Accepted) bool {
	if other.Version != s.accepted.Version {
		return false
	}
	return other.ChangeID != s.accepted.ChangeID || !reflect.DeepEqual(other.Configuration, s.accepted.Configuration)
}

func stateOf(snapshot Record) Accepted {
	return Accepted{
		Version:       snapshot.Version,
		ChangeID:      snapshot.ChangeID,
		ReadThrough:   snapshot.ReadThrough,
		Configuration: snapshot.Configuration,
	}
}
