// Package caller submits generated jobs and checks every answer. Arrivals do
// not wait for answers (an open loop), and response times count from the
// intended arrival, so that a stall of the system or of the load tool itself
// shows in the figures.
package caller

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/load/generator"
)

var log = logrus.WithField("prefix", "caller")

// Kinds of attempts that ended without an answer.
const (
	// Unsent: no entry accepted a connection.
	Unsent messenger.Kind = "unsent"
	// ConnectionLost: the connection broke, or no answer came in time.
	ConnectionLost messenger.Kind = "connectionLost"
	// TooManyInFlight: the load tool's own bound was reached; nothing was sent.
	TooManyInFlight messenger.Kind = "tooManyInFlight"
)

// answerGrace is how long after a job's deadline a caller waits for the
// answer. It lets the system report a missed deadline itself.
const answerGrace = 5 * time.Second

// Attempt is what became of a job. Outcome is empty if no answer came; Kind
// then tells why. Violation is set for an answer that must never be given.
type Attempt struct {
	ID        string
	Outcome   messenger.Outcome
	Kind      messenger.Kind
	Violation string
}

// Submitter carries out one job and returns when its answer has come. intended
// is the moment at which the job should have been sent.
type Submitter interface {
	Submit(ctx context.Context, j generator.Job, intended time.Time) Attempt
}

// Finished is one job with its response time since the intended arrival. Late
// is the part of it that the load tool itself lost before it began. Since is
// the time of the answer since the start of the run.
type Finished struct {
	Job      generator.Job
	Attempt  Attempt
	Response time.Duration
	Late     time.Duration
	Since    time.Duration
}

// Loop submits jobs at their arrival times. Done is called once for every job,
// by several goroutines at once. MaxInFlight bounds the jobs without an
// answer, so that a system that never answers can't exhaust the memory.
type Loop struct {
	Submitter   Submitter
	MaxInFlight int
	Done        func(Finished)
}

// Run submits every job of g and returns when all have ended, or ctx was
// cancelled and the rest was abandoned. It returns the start of the run.
func (l Loop) Run(ctx context.Context, g *generator.Generator) time.Time {
	var running sync.WaitGroup
	defer running.Wait()
	inFlight := make(chan struct{}, l.MaxInFlight)
	start := time.Now()
	for j, ok := g.Next(); ok; j, ok = g.Next() {
		intended := start.Add(j.At)
		if waitUntil(ctx, intended) != nil {
			return start
		}
		select {
		case inFlight <- struct{}{}:
		default:
			l.Done(Finished{Job: j, Attempt: Attempt{Kind: TooManyInFlight}})
			continue
		}
		running.Go(func() {
			defer func() { <-inFlight }()
			l.submit(ctx, j, start)
		})
	}
	return start
}

func (l Loop) submit(ctx context.Context, j generator.Job, start time.Time) {
	intended := start.Add(j.At)
	late := time.Since(intended)
	limit := intended.Add(time.Duration(j.DeadlineMs)*time.Millisecond + answerGrace)
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	attempt := l.Submitter.Submit(ctx, j, intended)
	now := time.Now()
	if attempt.Violation != "" {
		log.Errorf("violation: job %d (%s): %s", j.Index, attempt.ID, attempt.Violation)
	}
	l.Done(Finished{Job: j, Attempt: attempt, Response: now.Sub(intended), Late: late, Since: now.Sub(start)})
}

func waitUntil(ctx context.Context, at time.Time) error {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
