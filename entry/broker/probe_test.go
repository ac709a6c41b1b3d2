package broker

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
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

// TestProbesOfAllServices guards against a service whose targets are never probed
// because another service has many idle targets.
func TestProbesOfAllServices(t *testing.T) {
	c := testConfiguration(1000)
	c.Services["stock"] = c.Services["orders"]
	b := &testBroker{State: New(self, Settings{}), at: epoch, sequence: map[messenger.Member]uint64{}}
	b.do(ConfigurationChanged{Configuration: c, FailureDomain: "a"})
	b.do(ServicesAssigned{Services: []string{"orders", "stock"}, Members: []messenger.Member{self, other}})
	targets := testTargets(101, 4)
	targets[100].Service = "stock"
	b.do(TargetsListed{VMs: targets})
	probes := 0
	for _, cmd := range b.advance(30 * time.Second) {
		if p, ok := cmd.(Probe); ok && p.Target == targets[100].Address {
			probes++
		}
	}
	if probes == 0 {
		t.Error("the target of the second service was not probed in 30 s")
	}
}
