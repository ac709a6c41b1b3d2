package relayer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/elector"
	"github.com/godwitrelay/godwitrelay/entry/exporter"
	"github.com/godwitrelay/godwitrelay/entry/placer"
)

// unreachableWorkers answers no request.
type unreachableWorkers struct{}

func (unreachableWorkers) Hold(cmd placer.Hold) placer.HoldResponse {
	return placer.HoldResponse{Worker: cmd.Worker, Fence: cmd.Fence, Result: placer.HoldNoAnswer, Sent: cmd.Sent}
}

func (unreachableWorkers) Start(cmd placer.Start) placer.StartResponse {
	return placer.StartResponse{Worker: cmd.Worker, Fence: cmd.Fence, Key: cmd.Key, Result: placer.StartNoAnswer}
}

func (unreachableWorkers) Stop(cmd placer.Stop) placer.StopResponse {
	return placer.StopResponse{Worker: cmd.Worker, Key: cmd.Key}
}

// newOwner returns an entry that owns one worker and whose event loop does not
// run, as if it were behind.
func newOwner(t *testing.T) *Relayer {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &Relayer{Self: elector.Member{Address: "127.0.0.1:1", FailureDomain: "patan", Incarnation: 1}, Workers: unreachableWorkers{}, Metrics: exporter.New(), Log: log}
	now := time.Now()
	r.Init(now)
	r.handle(now, placer.WorkersListed{Workers: []placer.Worker{{ID: "w0", Address: "127.0.0.1:9", FailureDomain: "patan", Service: "router"}}})
	r.handle(now, placer.Claim{WallMs: 1})
	r.placer.Update(now, placer.HoldResponse{Worker: "w0", Fence: r.placer.Fence(), Result: placer.HoldAnswered, ClockMs: 1, StartedAtMs: 1, Sent: now})
	return r
}

// handleQueued handles all queued events in the order of the event loop.
func (r *Relayer) handleQueued(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for {
		msg, _ := r.nextEvent(ctx, nil)
		if msg != nil {
			r.handle(time.Now(), msg)
		}
		if len(r.events) == 0 && len(r.submissions) == 0 {
			return
		}
	}
}

// TestCancelledWhileQueued guards against a job that runs although its caller left
// while the job waited for the event loop. Its cancellation is handled first, since
// jobs wait behind all other events.
func TestCancelledWhileQueued(t *testing.T) {
	r := newOwner(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	job := placer.Job{ID: "00000000000000aa", Queue: "q", Service: "router", Tasks: 1, MaxAttempts: 1, Stretch: 1.6, TargetLatencyMs: 60, RemainingMs: 3000}
	if result := r.submitLocally(ctx, placer.Submit{Entry: "e", Job: job}, 0); result.Err == nil || result.Err.Kind != messenger.Cancelled {
		t.Errorf("result %+v, want cancelled", result)
	}
	r.handleQueued(t)
	if r.placer.HasJob(job.ID) {
		t.Error("the job is in progress although it was cancelled")
	}
}

// TestFullQueue guards against callers that block, or a job that may have run and
// is answered with "did not run", when more jobs wait than the queue holds.
func TestFullQueue(t *testing.T) {
	r := newOwner(t)
	for len(r.submissions) < cap(r.submissions) {
		r.submissions <- placer.Submit{}
	}
	for name, c := range map[string]struct {
		placements []placer.Placement
		want       messenger.ExecutionStatus
	}{
		"a new job":                   {nil, messenger.DidNotRun},
		"a job of the previous owner": {placer.UnknownPlacements(1, nil), messenger.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			result := r.submitLocally(t.Context(), placer.Submit{Job: placer.Job{ID: "00000000000000aa", Tasks: 1}, Placements: c.placements}, 0)
			if result.Err == nil || result.Err.Ran != c.want {
				t.Errorf("result %+v, want an error with %s", result, c.want)
			}
		})
	}
}
