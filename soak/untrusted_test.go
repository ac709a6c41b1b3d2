package soak

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/proof/attacker"
	"github.com/godwitrelay/godwitrelay/soak/sampler"
	"github.com/godwitrelay/godwitrelay/standin/fleet/listener"
)

const (
	// attackedMemoryMB is MemoryMb of an entry under attack, and attackedMaxFds its MaxFds.
	// They are at the lower end of those of the deployments.
	attackedMemoryMB, attackedMaxFds = 144, 3075
	// maxAttackers limits the clients of an attack, and maxAttacks the attacks at once.
	maxAttackers, maxAttacks = 160, 3
	// maxAttackGap is the longest time between two attacks.
	maxAttackGap = 900 * time.Millisecond
)

// ciAttackSeeds are the seeds of TestSoakUnderAttack that CI runs.
var ciAttackSeeds = []int64{1, 10001}

// TestSoakUnderAttack is TestSoak beside clients that keep to no limit: they attack random
// servers of random entries, and the owner of a worker group in half of the cases. The
// faults include changes of the limits in the configuration and SIGHUP. It also fails if an
// entry exceeds its memory or its descriptors. The environment variables are those of
// TestSoak.
func TestSoakUnderAttack(t *testing.T) {
	program := buildEntry(t)
	for _, seed := range seedsFromEnv(ciAttackSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			l := layoutOf(seed)
			l.memoryMB, l.maxFds, l.attacked = attackedMemoryMB, attackedMaxFds, true
			runSeed(t, program, seed, l)
		})
	}
}

// attackEntries attacks entries until ctx ends, and waits until all attacks have ended.
func (d *deployment) attackEntries(ctx context.Context, r *rand.Rand) {
	job := listener.JobBody(1, listener.Work{WorkMs: 50, CPU: 10})
	prefixOfMany := `{"Opportunistic":true,"Steps":[{}`
	attacks := attacker.Attacks(attacker.Dialect{
		Host: host, JobPath: func(n int) string { return fmt.Sprintf("%sa%015x", prefix, n) }, Job: job,
		ManyElements: prefixOfMany + strings.Repeat(",{}", (attacker.MaxBodyBytes-len(prefixOfMany)-2)/3) + "]}",
		LongPath:     func(n int) string { return fmt.Sprintf("%sb%015x", prefix, n) },
		LongJob:      listener.JobBody(1, listener.Work{WorkMs: 500, CPU: 40000}), LargeJob: job,
		Lookup: prefix, ReadyPath: "/godwitrelay/readiness", MetricsPath: "/metrics",
	})
	ports := map[attacker.Port]string{attacker.Callers: ":8161", attacker.Ready: ":8167", attacker.Peers: peerPort, attacker.Metrics: metricsPort}
	if d.layout.grouped() {
		ports[attacker.Peers] = peerBackendPort
	}
	var all sync.WaitGroup
	running := make(chan struct{}, maxAttacks)
	for first := 1; ctx.Err() == nil; first += maxAttackers {
		a, p, clients := attacks[r.Intn(len(attacks))], d.pickAttacked(r), 20+r.Intn(maxAttackers-20)
		openFor := time.Duration(200+r.Intn(2500)) * time.Millisecond
		running <- struct{}{}
		d.t.Log(time.Now().Format("05.000"), fmt.Sprintf("%d clients attack entry %d for %v: %s", clients, p.index, openFor, a.Name))
		attack, stop := context.WithTimeout(ctx, openFor)
		var open sync.WaitGroup
		for client := range clients {
			open.Go(func() { a.Play(attack, p.address+ports[a.Port], first+client, func() {}) })
		}
		all.Go(func() {
			open.Wait()
			stop()
			<-running
		})
		time.Sleep(time.Duration(r.Int63n(int64(maxAttackGap))))
	}
	all.Wait()
}

// pickAttacked draws the entry to attack.
func (d *deployment) pickAttacked(r *rand.Rand) *process {
	if d.layout.grouped() {
		return d.pick(r)
	}
	return d.processes[r.Intn(len(d.processes))]
}

// changeLimits writes a configuration with other limits, and tells an entry to read its
// settings again.
func (d *deployment) changeLimits(r *rand.Rand, version int, p *process) string {
	limits := listener.Limits{MaxBodyBytes: 131072 << r.Intn(2), MaxHeaderBytes: 8192 << r.Intn(2), HeaderTimeoutMs: 1000 + r.Intn(3000), IdleTimeoutMs: 2000 + r.Intn(15000)}
	d.store.Put(listener.OperatorTopic, listener.ConfigurationKey, listener.ConfigurationWithLimits(version, host, "router", limits, prefix))
	p.signal(syscall.SIGHUP)
	return fmt.Sprintf("version %d has the limits %+v, and entry %d reads its settings", version, limits, p.index)
}

// watchResources fails the test if an entry exceeds its memory or its descriptors before
// ctx ends.
func (d *deployment) watchResources(ctx context.Context) {
	limit, most := sampler.Usage{PeakMemoryMB: d.layout.memoryMB, Descriptors: d.layout.maxFds}, sampler.Usage{}
	for ctx.Err() == nil {
		for _, p := range d.processes {
			used := p.usage()
			if used.Exceeds(limit) && !most.Exceeds(limit) {
				d.t.Errorf("entry %d had %v, want at most %v", p.index, used, limit)
			}
			most = most.Max(used)
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.t.Logf("at most %v", most)
}

// usage returns what the present run of the process uses.
func (p *process) usage() sampler.Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.alive {
		return sampler.Usage{}
	}
	return sampler.Sample(p.cmd.Process.Pid)
}
