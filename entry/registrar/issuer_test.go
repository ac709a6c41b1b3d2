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

const testRetention = 10 * time.Second

// issuerModel drives an issuer and records which ids were issued and used.
type issuerModel struct {
	i      Issuer
	now    time.Time
	issued []time.Time // by sequence number, from 1
	used   map[uint64]bool
	// clockSetBack is set once the clock was set back, which extends the life of
	// ids.
	clockSetBack bool
	violations   []string
}

func (r *issuerModel) reportViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *issuerModel) step(n int) {
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
		jump := []time.Duration{-5 * time.Second, testRetention, time.Hour, -time.Hour}[v%4]
		r.now = r.now.Add(jump)
		r.clockSetBack = r.clockSetBack || jump < 0
		r.i.ExpireIDs(r.now)
	}
	r.checkMemory()
}

func (r *issuerModel) use(sequence uint64) {
	usable, used := r.i.IsUsable(r.now, sequence), r.i.MarkUsed(r.now, sequence)
	if usable != used {
		r.reportViolation("sequence %d: IsUsable is %v, MarkUsed is %v", sequence, usable, used)
	}
	switch {
	case sequence > uint64(len(r.issued)):
		if used {
			r.reportViolation("sequence %d was used but never issued", sequence)
		}
		return
	case used && r.used[sequence]:
		r.reportViolation("sequence %d was used twice", sequence)
	case used && sequence <= r.i.watermark:
		r.reportViolation("sequence %d was used at or below the watermark %d", sequence, r.i.watermark)
	}
	age := r.now.Sub(r.issued[sequence-1])
	if used && !r.clockSetBack && age > testRetention+time.Second {
		r.reportViolation("sequence %d was used %s after it was issued", sequence, age)
	}
	if !used && !r.clockSetBack && !r.used[sequence] && age <= testRetention {
		r.reportViolation("sequence %d was refused %s after it was issued", sequence, age)
	}
	r.used[sequence] = r.used[sequence] || used
}

// checkMemory compares the memory held with the number of ids above the
// watermark.
func (r *issuerModel) checkMemory() {
	if above := r.i.lastSequence - r.i.watermark; uint64(len(r.i.used)) > above/64+2 {
		r.reportViolation("%d words for %d ids above the watermark", len(r.i.used), above)
	}
	if !r.clockSetBack && len(r.i.batches) > int(testRetention/time.Second)+3 {
		r.reportViolation("%d batches for a retention period of %s", len(r.i.batches), testRetention)
	}
}

// TestIssuerProperties guards against an id that starts work twice or after it
// expired, and against memory that grows with the number of ids ever issued.
func TestIssuerProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests, parameters.MaxSize = 100, 400
	properties := gopter.NewProperties(parameters)
	properties.Property("ids are used once, within their retention period", prop.ForAll(func(steps []int) string {
		r := &issuerModel{now: testStart, used: map[uint64]bool{}}
		r.i = Issuer{Signer: identifier.Signer{Key: []byte("k")}, FailureDomain: "patan", Address: "127.0.0.1:7001", Incarnation: 1, Retention: testRetention}
		for _, n := range steps {
			if r.step(n); len(r.violations) > 0 {
				return r.violations[0]
			}
		}
		return ""
	}, gen.SliceOf(gen.IntRange(0, 1<<20))))
	properties.TestingRun(t)
}
