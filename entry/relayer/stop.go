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
	// stopWithin is when a stopping entry answers whatever is in progress. The
	// platform kills a process 6 s after it asked it to stop.
	stopWithin = 5300 * time.Millisecond
	// stopAnswers is how long the last answers may take to be written.
	stopAnswers = 200 * time.Millisecond
	stopCheck   = 20 * time.Millisecond
)

// Drain hands the workers to another entry, lets callers go elsewhere, and
// returns when nothing is in progress. It calls closeDoor once no caller should
// come any more; jobs that are not over in time are answered as unknown.
func (r *Relayer) Drain(ctx context.Context, closeDoor func()) {
	r.Log.WithField("inFlight", r.inFlight.Load()).Info("relayer: stopping")
	r.draining.Store(true)
	r.post(elector.Drain{})
	sleep(ctx, stopLinger, func() bool { return false })
	closeDoor()
	sleep(ctx, stopWithin-stopLinger, r.idle)
	left := r.inFlight.Load()
	close(r.ending)
	sleep(ctx, stopAnswers, r.idle)
	r.Log.WithField("cutOff", left).Info("relayer: stopped")
}

func (r *Relayer) idle() bool { return r.inFlight.Load() == 0 }

// sleep returns after d, or once done returns true or ctx ends.
func sleep(ctx context.Context, d time.Duration, done func() bool) {
	end := time.Now().Add(d)
	for ctx.Err() == nil && !done() && time.Now().Before(end) {
		time.Sleep(stopCheck)
	}
}
