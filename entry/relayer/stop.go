package relayer

import (
	"context"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/elector"
)

const (
	// stopLinger is how long a stopping entry still takes requests, while the
	// balancer, which looks once a second, needs two misses.
	stopLinger = 2600 * time.Millisecond
	// stopWithin is when a stopping entry ends whatever is in progress.
	stopWithin = 5400 * time.Millisecond
	stopCheck  = 20 * time.Millisecond
)

// Drain hands the workers to another entry, lets callers go elsewhere, and
// returns when nothing is in progress.
func (r *Relayer) Drain(ctx context.Context) {
	r.Log.WithField("inFlight", r.inFlight.Load()).Info("relayer: stopping")
	r.draining.Store(true)
	r.post(elector.Drain{})
	began := time.Now()
	for ctx.Err() == nil {
		took := time.Since(began)
		if took > stopWithin || (took > stopLinger && r.inFlight.Load() == 0) {
			break
		}
		time.Sleep(stopCheck)
	}
	r.Log.WithField("inFlight", r.inFlight.Load()).Info("relayer: stopped")
}
