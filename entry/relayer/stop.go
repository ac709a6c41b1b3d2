package relayer

import (
	"context"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/elector"
)

const (
	// drainNotice is how long a draining entry still accepts requests. The load
	// balancer probes once a second and removes an entry after two failed probes.
	drainNotice = 2600 * time.Millisecond
	// drainTimeout is how long after the start of a drain an entry answers all
	// jobs still in progress. The platform kills a process 6 s after asking it to
	// stop.
	drainTimeout = 5300 * time.Millisecond
	// finalReplyTimeout bounds the time for writing the last replies.
	finalReplyTimeout = 200 * time.Millisecond
	pollInterval      = 20 * time.Millisecond
)

// Drain hands the workers over to another entry, fails the readiness probe and
// returns when no job is in progress. It calls stopAccepting once no more
// callers are expected. Jobs of this entry's callers that do not finish in time
// are normally answered with messenger.Cancelled, which leaves open whether they
// ran.
func (r *Relayer) Drain(ctx context.Context, stopAccepting func()) {
	r.Log.WithField("inFlight", r.inFlight.Load()).Info("relayer: stopping")
	r.draining.Store(true)
	r.post(elector.Drain{})
	// Keeps accepting requests for the whole drainNotice: the condition is never
	// true, so only the end of ctx shortens the wait.
	waitUntil(ctx, drainNotice, func() bool { return false })
	stopAccepting()
	waitUntil(ctx, drainTimeout-drainNotice, r.idle)
	left := r.inFlight.Load()
	close(r.forceStop)
	waitUntil(ctx, finalReplyTimeout, r.idle)
	r.Log.WithField("cutOff", left).Info("relayer: stopped")
}

func (r *Relayer) idle() bool { return r.inFlight.Load() == 0 }

// waitUntil returns after d, or earlier once done returns true or ctx ends.
func waitUntil(ctx context.Context, d time.Duration, done func() bool) {
	end := time.Now().Add(d)
	for ctx.Err() == nil && !done() && time.Now().Before(end) {
		time.Sleep(pollInterval)
	}
}
