package confirmer_test

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/confirmer"
)

// TestDecide guards against handling a request with a configuration that nobody
// has confirmed for too long, and against holding up every request while the
// store is down.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		confirmed, failed []time.Duration
		// readTime is how long the reads that failed took, with a timeout of 1 s.
		readTime time.Duration
		now      time.Duration
		want     confirmer.Decision
	}{
		"nothing read yet":                 {now: 5 * time.Second, want: confirmer.Ask},
		"read just now":                    {confirmed: []time.Duration{5 * time.Second}, now: 6 * time.Second, want: confirmer.Confirmed},
		"suspended since the last read":    {confirmed: []time.Duration{5 * time.Second}, now: 9 * time.Second, want: confirmer.Ask},
		"suspended since a failed read":    {confirmed: []time.Duration{time.Second}, failed: []time.Duration{2 * time.Second}, now: 9 * time.Second, want: confirmer.Ask},
		"store down for long":              {confirmed: []time.Duration{time.Second}, failed: []time.Duration{8 * time.Second}, now: 9 * time.Second, want: confirmer.Unconfirmed},
		"suspended during a failed read":   {confirmed: []time.Duration{time.Second}, failed: []time.Duration{9 * time.Second}, readTime: 5 * time.Second, now: 9 * time.Second, want: confirmer.Ask},
		"reads time out":                   {confirmed: []time.Duration{time.Second}, failed: []time.Duration{9 * time.Second}, readTime: 1100 * time.Millisecond, now: 9 * time.Second, want: confirmer.Unconfirmed},
		"store down since a moment ago":    {confirmed: []time.Duration{8 * time.Second}, failed: []time.Duration{9 * time.Second}, now: 9 * time.Second, want: confirmer.Confirmed},
		"an older confirmation comes late": {confirmed: []time.Duration{8 * time.Second, time.Second}, now: 9 * time.Second, want: confirmer.Confirmed},
	} {
		t.Run(name, func(t *testing.T) {
			s := confirmer.State{MaxAge: 2 * time.Second}
			for _, at := range c.confirmed {
				s.Confirm(at)
			}
			for _, at := range c.failed {
				s.Fail(at-c.readTime, at, time.Second)
			}
			if got := s.Decide(c.now); got != c.want {
				t.Errorf("decision %d, want %d", got, c.want)
			}
		})
	}
}
