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

// epoch is the time at which the simulated logs begin.
var epoch = time.Unix(1_800_000_000, 0)

func config(budget int) planner.Configuration {
	return planner.Configuration{BudgetSlots: budget, FailureDomains: []string{"a"}}
}

// fakeLog is an in-memory log with manual retention. It also computes the
// expected state: states[i] is in force after offset i.
type fakeLog struct {
	values    []json.RawMessage
	writtenAt []time.Time
	states    []Accepted
	first     int64
}

func (l *fakeLog) current() Accepted {
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

// append adds value to the log. If valid is set, value is the encoding of r. The
// expected state is computed independently of the code under test.
func (l *fakeLog) append(now time.Time, value []byte, r Record, valid bool) {
	state := l.current()
	if valid && r.Kind == Change && r.Base == state.ChangeID && r.ChangeID != state.ChangeID {
		state.Version++
		state.ChangeID = r.ChangeID
		state.Configuration = r.Configuration
	}
	state.ReadThrough = int64(len(l.values))
	l.values = append(l.values, value)
	l.writtenAt = append(l.writtenAt, now)
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
		p.Records = append(p.Records, messenger.LogRecord{Offset: o, AgeMs: now.Sub(l.writtenAt[o]).Milliseconds(), Value: l.values[o]})
	}
	return p
}

func (l *fakeLog) snapshotAt(readThrough int64) Record {
	s := l.stateAt(readThrough)
	return Record{Kind: Snapshot, ChangeID: s.ChangeID, Version: s.Version, ReadThrough: readThrough, Configuration: s.Configuration}
}

// simulatedReader is a State with a page that it read earlier and the state that
// it had at the previous check.
type simulatedReader struct {
	state     *State
	stalePage messenger.LogPage
	previous  Accepted
}

// simulation is a log with readers that start, read and adopt peer states at
// random times.
type simulation struct {
	rng     *rand.Rand
	now     time.Time
	log     fakeLog
	readers []*simulatedReader
	changes int
}

// newReader returns a reader without state. Its initial window is small so that
// the search for a snapshot spans several windows.
func (sim *simulation) newReader() *simulatedReader {
	s := New()
	s.search.initialSize = int64(1 + sim.rng.Intn(8))
	if sim.rng.Intn(4) == 0 {
		s.SearchFromOldest()
	}
	return &simulatedReader{state: s, previous: Accepted{ReadThrough: -1}}
}

// malformed holds records that Parse rejects at any offset up to 1,000,000.
var malformed = []string{
	`null`, `3`, `"x"`, `[]`, `{}`, `{"kind":"change"}`, `{"kind":"other","changeId":"x"}`,
	`{"kind":"change","changeId":"x","base":"x","configuration":{"failureDomains":["a"]}}`,
	`{"kind":"change","changeId":"x","configuration":null}`,
	`{"kind":"change","changeId":"x","configuration":{"budgetSlots":-1,"failureDomains":["a"]}}`,
	`{"kind":"change","changeId":"x","configuration":{"budgetSlots":"many","failureDomains":["a"]}}`,
	`{"kind":"snapshot","changeId":"x","version":1,"readThrough":1000000,"configuration":{"failureDomains":["a"]}}`,
	`{"kind":"snapshot","changeId":"x","version":0,"readThrough":0,"configuration":{"failureDomains":["a"]}}`,
}

func (sim *simulation) newChange(base string) Record {
	sim.changes++
	return Record{Kind: Change, ChangeID: fmt.Sprintf("c%d", sim.changes), Base: base, Configuration: config(sim.changes)}
}

// randomRecord returns the change at a random offset, including offsets that
// retention removed. It returns false if there is no valid change at the offset.
func (sim *simulation) randomRecord() (Record, bool) {
	if len(sim.log.values) == 0 {
		return Record{}, false
	}
	o := sim.rng.Intn(len(sim.log.values))
	r, err := Parse(int64(o), sim.log.values[o])
	return r, err == nil && r.Kind == Change
}

// appendRandomRecord appends up to two records to the log.
func (sim *simulation) appendRandomRecord() {
	current := sim.log.current()
	switch sim.rng.Intn(9) {
	case 0, 1, 2:
		sim.log.add(sim.now, sim.newChange(current.ChangeID))
	case 3: // two concurrent changes with the same base
		sim.log.add(sim.now, sim.newChange(current.ChangeID))
		sim.log.add(sim.now, sim.newChange(current.ChangeID))
	case 4: // a duplicate, or a delayed change that is not accepted
		if r, ok := sim.randomRecord(); ok {
			sim.log.add(sim.now, r)
		}
	case 5: // a reused change id with a different base and configuration
		if r, ok := sim.randomRecord(); ok && r.ChangeID != current.ChangeID {
			r.Base, r.Configuration = current.ChangeID, config(900+sim.changes)
			sim.log.add(sim.now, r)
		}
	case 6, 7: // a snapshot, often of an earlier version
		at := current.ReadThrough - int64(sim.rng.Intn(1+sim.rng.Intn(8)))
		if sim.log.stateAt(at).Version > 0 {
			sim.log.add(sim.now, sim.log.snapshotAt(at))
		}
	case 8:
		sim.log.append(sim.now, []byte(malformed[sim.rng.Intn(len(malformed))]), Record{}, false)
	}
}

// step appends to the log, applies retention, or lets a reader start, read a page
// or adopt a peer state.
func (sim *simulation) step() {
	sim.now = sim.now.Add(time.Minute)
	var r *simulatedReader
	if len(sim.readers) > 0 {
		r = sim.readers[sim.rng.Intn(len(sim.readers))]
	}
	switch n := sim.rng.Intn(20); {
	case n < 7:
		sim.appendRandomRecord()
	case n == 7:
		sim.log.first += int64(sim.rng.Intn(1 + len(sim.log.values) - int(sim.log.first)))
	case n == 8 || r == nil:
		sim.readers = append(sim.readers, sim.newReader())
	case n < 15:
		_, _ = r.state.ApplyPage(sim.now, sim.log.page(sim.now, r.state.NextOffset(), 1+sim.rng.Intn(6)))
	case n == 15: // a page that arrives out of order
		_, _ = r.state.ApplyPage(sim.now, r.stalePage)
		r.stalePage = sim.log.page(sim.now, r.state.NextOffset(), 1+sim.rng.Intn(6))
	case n == 16: // a page from the wrong offset
		_, _ = r.state.ApplyPage(sim.now, sim.log.page(sim.now, int64(sim.rng.Intn(1+len(sim.log.values))), 4))
	default:
		r.state.Adopt(sim.readers[sim.rng.Intn(len(sim.readers))].state.Current())
	}
}

// checkAgreement compares the state of every reader with the expected state.
func (sim *simulation) checkAgreement() error {
	for i, r := range sim.readers {
		got := r.state.Current()
		want := sim.log.stateAt(got.ReadThrough)
		if got.Version != want.Version || got.ChangeID != want.ChangeID || got.Configuration.BudgetSlots != want.Configuration.BudgetSlots {
			return fmt.Errorf("reader %d: got version %d (%s) after offset %d, want version %d (%s)",
				i, got.Version, got.ChangeID, got.ReadThrough, want.Version, want.ChangeID)
		}
		if got.Version < r.previous.Version || got.ReadThrough < r.previous.ReadThrough {
			return fmt.Errorf("reader %d: state went back from %+v to %+v", i, r.previous, got)
		}
		if n := r.state.Conflicts(); n > 0 {
			return fmt.Errorf("reader %d: got %d conflicts in a log without conflicting snapshots", i, n)
		}
		r.previous = got
	}
	return nil
}

// readAll reads the log and reports whether the reader reached its end.
func (sim *simulation) readAll(s *State) bool {
	for range 200 {
		res, err := s.ApplyPage(sim.now, sim.log.page(sim.now, s.NextOffset(), 5))
		if err != nil {
			return false
		}
		if res.CaughtUp {
			return true
		}
	}
	return false
}

// checkCatchUp reads the log with every reader and with a new one. A reader must
// reach the end of the log if and only if it can continue from its position or
// the log holds a usable snapshot.
func (sim *simulation) checkCatchUp() error {
	for i, r := range append(sim.readers, sim.newReader()) {
		usable := sim.log.first <= r.state.Current().ReadThrough+1
		for o := sim.log.first; o < int64(len(sim.log.values)); o++ {
			rec, err := Parse(o, sim.log.values[o])
			usable = usable || err == nil && rec.Kind == Snapshot && rec.ReadThrough+1 >= sim.log.first
		}
		// A reader that searched part of the log before retention removed records
		// still finds a usable snapshot if there is one: a snapshot that was not
		// usable when the reader passed it cannot become usable, and the reader
		// still searches all retained records that it has not read.
		reached := sim.readAll(r.state)
		if reached != usable {
			return fmt.Errorf("reader %d: reached the end: got %t, want %t", i, reached, usable)
		}
		if got := r.state.Current(); reached && got.Version != sim.log.current().Version {
			return fmt.Errorf("reader %d: got final version %d, want %d", i, got.Version, sim.log.current().Version)
		}
	}
	return sim.checkAgreement()
}

// TestReadersAgree guards against readers that accept different configurations as
// the same version, and against versions that decrease.
func TestReadersAgree(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20261204)
	params.MinSuccessfulTests = 1500
	if testing.Short() {
		params.MinSuccessfulTests = 400
	}
	properties := gopter.NewProperties(params)
	properties.Property("every reader agrees with a replay from offset 0", prop.ForAll(
		func(seed int64, steps int) (bool, error) {
			sim := &simulation{rng: rand.New(rand.NewSource(seed)), now: epoch}
			for range steps {
				sim.step()
				if err := sim.checkAgreement(); err != nil {
					return false, err
				}
			}
			if err := sim.checkCatchUp(); err != nil {
				return false, err
			}
			return true, nil
		}, gen.Int64(), gen.IntRange(1, 200)))
	properties.TestingRun(t)
}
