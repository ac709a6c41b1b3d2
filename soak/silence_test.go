package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/standin/fleet/listener"
)

// TestSilentConnectionToOwner guards against an owner that keeps a job at work after its
// entry has given it up, because the connection between them fell silent while their
// heartbeats go on. The caller sends the job to another worker group.
func TestSilentConnectionToOwner(t *testing.T) {
	program := buildEntry(t)
	for _, spilled := range []bool{false, true} {
		t.Run(fmt.Sprintf("in another group %v", spilled), func(t *testing.T) {
			d := deploy(t, program, layout{entries: 6, workers: groupedWorkers, workerCPU: 64000, domains: 2, cpuShares: []float64{groupedCPUShare}})
			defer d.reportViolations(fmt.Sprintf("silent-connection-%v", spilled))
			d.awaitService("the start")
			followers := d.othersInDomain(d.awaitOwner(0))
			entry, next := followers[0], d.awaitOwner(1)
			client := &http.Client{Transport: &http.Transport{}}
			if spilled {
				d.fill(t, client, entry)
			}
			const id, beside = "5c0e7a21d94b36f8", "0a1e7a21d94b36f9"
			work := listener.Work{CPU: 15000, WorkMs: 4000, EstimateMs: 200}
			ctx, disconnect := context.WithCancel(t.Context())
			for ctx, id := range map[context.Context]string{ctx: id, t.Context(): beside} {
				go func() { _, _ = postJob(ctx, client, entry.address, id, 1, work) }()
				d.awaitStarts(id, 1)
			}
			for _, other := range d.entryNames(entry.name) {
				d.network.Silence(entry.name, other)
			}
			disconnect()
			time.Sleep(resubmitDelay)
			if spilled {
				// The job runs in the second group, and there is room in the first one now.
				next = followers[1]
			}
			status, err := postJob(t.Context(), client, next.address, id, 1, work)
			t.Logf("second submission: status %d, error %v, %d runs of the job", status, err, d.fleet.StartedForJob(id))
		})
	}
}

// fill occupies the group of an entry with work that ends before a caller returns.
func (d *deployment) fill(t *testing.T, client *http.Client, entry *process) {
	t.Helper()
	var jobs sync.WaitGroup
	t.Cleanup(jobs.Wait)
	for i := range groupedWorkers / d.layout.domains * 4 {
		id := fmt.Sprintf("%016x", i+1)
		jobs.Go(func() {
			_, _ = postJob(t.Context(), client, entry.address, id, 1, listener.Work{CPU: 16000, WorkMs: 1000})
		})
		d.awaitStarts(id, 1)
	}
}

// awaitStarts waits until n runs of a job have started.
func (d *deployment) awaitStarts(id string, n int) {
	d.t.Helper()
	for end := time.Now().Add(callerTimeout); d.fleet.StartedForJob(id) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("job %s has %d runs, want %d", id, d.fleet.StartedForJob(id), n)
		}
	}
}

// awaitOwner waits until an entry owns the workers of the failure domain.
func (d *deployment) awaitOwner(domain int) *process {
	d.t.Helper()
	for end := time.Now().Add(recoveryTimeout); ; time.Sleep(20 * time.Millisecond) {
		for _, p := range d.inDomain(domain) {
			if d.owns(p) {
				return p
			}
		}
		if time.Now().After(end) {
			d.t.Fatalf("no entry owns the workers in %s", d.layout.zone(domain))
		}
	}
}
