package follower

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

const retention = time.Hour

var epoch = time.Unix(1_800_000_000, 0)

func config(budget int) planner.Configuration {
	return planner.Configuration{BudgetSlots: budget, FailureDomains: []string{"a"}}
}

// fakeLog is a log with retention by hand, and what a reader from offset 0
// without losses makes of it: states[i] is in force after offset i.
type fakeLog struct {
	values []json.RawMessage
	born   []time.Time
	states []Accepted
	first  int64
}

func (l *fakeLog) present() Accepted {
	if len(l.states) == 0 {
		return Accepted{ReadThrough: -1}
	}
	return l.states[len(l.states)-1]
}

func (l *fakeLog) stateAt(offset int64) Accepted {
	if offset < 0 {
		return Accepted{ReadThrough: -1}
	}
	return l.states[offset]
}

// append adds a value. valid tells that it is a well-formed record r. The fold
// here is written apart from the one under test.
func (l *fakeLog) append(now time.Time, value []byte, r Record, valid bool) {
	state := l.present()
	if valid && r.Kind == Change && r.Base == state.ChangeID && r.ChangeID != state.ChangeID {
		state.Version++
		state.ChangeID = r.ChangeID
		state.Configuration = r.Configuration
	}
	state.ReadThrough = int64(len(l.values))
	l.values = append(l.values, value)
	l.born = append(l.born, now)
	l.states = append(l.states, state)
}

func (l *fakeLog) add(now time.Time, r Record) {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	l.append(now, value, r, true)
}

func (l *fakeLog) page(now time.Time, from int64, limit int) messenger.LogPage {
	p := messenger.LogPage{First: l.first, Next: int64(len(l.values)), RetentionMs: retention.Milliseconds()}
	for o := max(from, l.first); o < p.Next && len(p.Records) < limit; o++ {
		p.Records = append(p.Records, messenger.LogRecord{Offset: o, AgeMs: now.Sub(l.born[o]).Milliseconds(), Value: l.values[o]})
	}
	return p
}

func (l *fakeLog) snapshotAt(readThrough int64) Record {
	s := l.stateAt(readThrough)
	return Record{Kind: Snapshot, ChangeID: s.ChangeID, Version: s.Version, ReadThrough: readThrough, Configuration: s.Configuration}
}

// reader is a State, a page that it asked for earlier, and what it has shown.
type reader struct {
	state  *State
	old    messenger.LogPage
	before Accepted
}

// world is a log with readers that start, read and adopt at any time.
type world struct {
	rng     *rand.Rand
	now     time.Time
	log     fakeLog
	readers []*reader
	changes int
}

// newReader returns a reader without state. Small windows make the search for a
// snapshot take several of them.
func (w *world) newReader() *reader {
	s := New()
	s.search.window = int64(1 + w.rng.Intn(8))
	if w.rng.Intn(4) == 0 {
		s.SearchFromOldest()
	}
	return &reader{state: s, before: Accepted{ReadThrough: -1}}
}

var malformed = []string{
	`null`, `3`, `"x"`, `[]`, `{}`, `{"kind":"change"}`, `{"kind":"other","changeId":"x"}`,
	`{"kind":"change","changeId":"x","base":"x","configuration":{"failureDomains":["a"]}}`,
	`{"kind":"change","changeId":"x","configuration":null}`,
	`{"kind":"change","changeId":"x","configuration":{"budgetSlots":-1,"failureDomains":["a"]}}`,
	`{"kind":"change","changeId":"x","configuration":{"budgetSlots":"many","failureDomains":["a"]}}`,
	`{"kind":"snapshot","changeId":"x","version":1,"readThrough":1000000,"configuration":{"failureDomains":["a"]}}`,
	`{"kind":"snapshot","changeId":"x","version":0,"readThrough":0,"configuration":{"failureDomains":["a"]}}`,
}

func (w *world) newChange(base string) Record {
	w.changes++
	return Record{Kind: Change, ChangeID: fmt.Sprintf("c%d", w.changes), Base: base, Configuration: config(w.changes)}
}

// randomValue is the value at a random offset, forgotten ones included.
func (w *world) randomRecord() (Record, bool) {
	if len(w.log.values) == 0 {
		return Record{}, false
	}
	o := w.rng.Intn(len(w.log.values))
	r, err := Parse(int64(o), w.log.values[o])
	return r, err == nil && r.Kind == Change
}

func (w *world) appendSomething() {
	present := w.log.present()
	switch w.rng.Intn(9) {
	case 0, 1, 2:
		w.log.add(w.now, w.newChange(present.ChangeID))
	case 3: // a race: two changes with the same base
		w.log.add(w.now, w.newChange(present.ChangeID))
		w.log.add(w.now, w.newChange(present.ChangeID))
	case 4: // a repeat, or a loser that comes late
		if r, ok := w.randomRecord(); ok {
			w.log.add(w.now, r)
		}
	case 5: // an old change id with another base and another content
		if r, ok := w.randomRecord(); ok && r.ChangeID != present.ChangeID {
			r.Base, r.Configuration = present.ChangeID, config(900+w.changes)
			w.log.add(w.now, r)
		}
	case 6, 7: // a snapshot, often late
		at := present.ReadThrough - int64(w.rng.Intn(1+w.rng.Intn(8)))
		if w.log.stateAt(at).Version > 0 {
			w.log.add(w.now, w.log.snapshotAt(at))
		}
	case 8:
		w.log.append(w.now, []byte(malformed[w.rng.Intn(len(malformed))]), Record{}, false)
	}
}

func (w *world) step() {
	w.now = w.now.Add(time.Minute)
	var r *reader
	if len(w.readers) > 0 {
		r = w.readers[w.rng.Intn(len(w.readers))]
	}
	switch n := w.rng.Intn(20); {
	case n < 7:
		w.appendSomething()
	case n == 7:
		w.log.first += int64(w.rng.Intn(1 + len(w.log.values) - int(w.log.first)))
	case n == 8 || r == nil:
		w.readers = append(w.readers, w.newReader())
	case n < 15:
		_, _ = r.state.Fold(w.now, w.log.page(w.now, r.state.Want(), 1+w.rng.Intn(6)))
	case n == 15: // a page that arrives later than others
		_, _ = r.state.Fold(w.now, r.old)
		r.old = w.log.page(w.now, r.state.Want(), 1+w.rng.Intn(6))
	case n == 16: // a page from a wrong offset
		_, _ = r.state.Fold(w.now, w.log.page(w.now, int64(w.rng.Intn(1+len(w.log.values))), 4))
	default:
		r.state.Adopt(w.readers[w.rng.Intn(len(w.readers))].state.Present())
	}
}

// check compares every reader with the reader from offset 0.
func (w *world) check() error {
	for i, r := range w.readers {
		got := r.state.Present()
		want := w.log.stateAt(got.ReadThrough)
		if got.Version != want.Version || got.ChangeID != want.ChangeID || got.Configuration.BudgetSlots != want.Configuration.BudgetSlots {
			return fmt.Errorf("reader %d has version %d (%s) after offset %d; want version %d (%s)",
				i, got.Version, got.ChangeID, got.ReadThrough, want.Version, want.ChangeID)
		}
		if got.Version < r.before.Version || got.ReadThrough < r.before.ReadThrough {
			return fmt.Errorf("reader %d went back from %+v to %+v", i, r.before, got)
		}
		if n := r.state.Conflicts(); n > 0 {
			return fmt.Errorf("reader %d counts %d conflicts in a log without false snapshots", i, n)
		}
		r.before = got
	}
	return nil
}

// readAll reads until nothing changes and reports whether the end was reached.
func (w *world) readAll(s *State) bool {
	for range 200 {
		res, err := s.Fold(w.now, w.log.page(w.now, s.Want(), 5))
		if err != nil {
			return false
		}
		if res.CaughtUp {
			return true
		}
	}
	return false
}

// checkEnd reads the log to its end with each reader, and with a new one. They
// must reach it wherever the rules allow a start.
func (w *world) checkEnd() error {
	for i, r := range append(w.readers, w.newReader()) {
		usable := w.log.first <= r.state.Present().ReadThrough+1
		for o := w.log.first; o < int64(len(w.log.values)); o++ {
			rec, err := Parse(o, w.log.values[o])
			usable = usable || err == nil && rec.Kind == Snapshot && rec.ReadThrough+1 >= w.log.first
		}
		// Readers that had scanned part of the log before it was cut still
		// see every usable snapshot, because it lies after the cut.
		reached := w.readAll(r.state)
		if reached != usable {
			return fmt.Errorf("reader %d reached the end: %t; want %t", i, reached, usable)
		}
		if got := r.state.Present(); reached && got.Version != w.log.present().Version {
			return fmt.Errorf("reader %d ends with version %d; want %d", i, got.Version, w.log.present().Version)
		}
	}
	return w.check()
}

// TestReadersAgree guards against two readers that accept different
// configurations for one version, and against a version that goes back.
func TestReadersAgree(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20261204)
	params.MinSuccessfulTests = 1500
	if testing.Short() {
		params.MinSuccessfulTests = 400
	}
	properties := gopter.NewProperties(params)
	properties.Property("every reader agrees with a reader from offset 0", prop.ForAll(
		func(seed int64, steps int) (bool, error) {
			w := &world{rng: rand.New(rand.NewSource(seed)), now: epoch}
			for range steps {
				w.step()
				if err := w.check(); err != nil {
					return false, err
				}
			}
			if err := w.checkEnd(); err != nil {
				return false, err
			}
			return true, nil
		}, gen.Int64(), gen.IntRange(1, 200)))
	properties.TestingRun(t)
}
