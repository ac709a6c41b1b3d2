package registrar

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/godwitrelay/godwitrelay/core/identifier"
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const testKeep = 10 * time.Second

// issuerRun drives an issuer and remembers what it did.
type issuerRun struct {
	i      Issuer
	now    time.Time
	issued []time.Time // by sequence number, from 1
	used   map[uint64]bool
	// backwards is set once the clock was set back: ids then live longer.
	backwards bool
	faults    []string
}

func (r *issuerRun) fault(format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

func (r *issuerRun) step(n int) {
	kind, v := n%8, n/8
	switch kind {
	case 0, 1:
		count := 1 + v%300
		for range r.i.Issue(r.now, count) {
			r.issued = append(r.issued, r.now)
		}
	case 2, 3, 4:
		if len(r.issued) > 0 {
			r.use(uint64(1 + v%len(r.issued)))
		}
	case 5:
		r.use(uint64(len(r.issued) + 1 + v%100))
	case 6:
		r.now = r.now.Add(time.Duration(v%3000) * time.Millisecond)
	case 7:
		jump := []time.Duration{-5 * time.Second, testKeep, time.Hour, -time.Hour}[v%4]
		r.now = r.now.Add(jump)
		r.backwards = r.backwards || jump < 0
		r.i.Advance(r.now)
	}
	r.checkMemory()
}

func (r *issuerRun) use(sequence uint64) {
	fresh, used := r.i.Fresh(r.now, sequence), r.i.Use(r.now, sequence)
	if fresh != used {
		r.fault("sequence %d: Fresh is %v, Use is %v", sequence, fresh, used)
	}
	switch {
	case sequence > uint64(len(r.issued)):
		if used {
			r.fault("sequence %d was used but never issued", sequence)
		}
		return
	case used && r.used[sequence]:
		r.fault("sequence %d was used twice", sequence)
	case used && sequence <= r.i.watermark:
		r.fault("sequence %d was used under the watermark %d", sequence, r.i.watermark)
	}
	age := r.now.Sub(r.issued[sequence-1])
	if used && !r.backwards && age > testKeep+time.Second {
		r.fault("sequence %d was used %s after it was issued", sequence, age)
	}
	if !used && !r.backwards && !r.used[sequence] && age <= testKeep {
		r.fault("sequence %d was refused %s after it was issued", sequence, age)
	}
	r.used[sequence] = r.used[sequence] || used
}

// checkMemory compares what is held with the ids above the watermark.
func (r *issuerRun) checkMemory() {
	if above := r.i.last - r.i.watermark; uint64(len(r.i.used)) > above/64+2 {
		r.fault("%d words for %d ids above the watermark", len(r.i.used), above)
	}
	if !r.backwards && len(r.i.batches) > int(testKeep/time.Second)+3 {
		r.fault("%d batches for a keeping period of %s", len(r.i.batches), testKeep)
	}
}

// Guards against an id that starts work twice or after its time, and against
// memory that grows with all ids ever issued.
func TestIssuerProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests, parameters.MaxSize = 100, 400
	properties := gopter.NewProperties(parameters)
	properties.Property("ids are used once, within their time", prop.ForAll(func(steps []int) string {
		r := &issuerRun{now: testStart, used: map[uint64]bool{}}
		r.i = Issuer{Signer: identifier.Signer{Key: []byte("k")}, FailureDomain: "patan", Address: "127.0.0.1:7001", Incarnation: 1, Keep: testKeep}
		for _, n := range steps {
			if r.step(n); len(r.faults) > 0 {
				return r.faults[0]
			}
		}
		return ""
	}, gen.SliceOf(gen.IntRange(0, 1<<20))))
	properties.TestingRun(t)
}
