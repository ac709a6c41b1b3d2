package broker

import (
	"testing"
	"time"
)

// TestProbeRate guards against a probe rate that grows with the number of idle
// targets, and against targets that are never probed.
func TestProbeRate(t *testing.T) {
	const targets, period = 100, 30 * time.Second
	b := newTestBroker(testConfiguration(1000), Settings{}, targets, 4)
	probed, probes := map[string]bool{}, 0
	for _, cmd := range b.advance(period) {
		if p, ok := cmd.(Probe); ok {
			probed[p.Target] = true
			probes++
		}
	}
	if limit := int(period.Milliseconds())/minProbeIntervalMs + 1; probes > limit {
		t.Errorf("%d probes in %s, at most %d allowed", probes, period, limit)
	}
	wantEqual(t, "targets probed", len(probed), targets)
}
