// Package caller submits generated jobs and validates every answer. Arrivals do
// not wait for answers (an open loop), and response times are measured from the
// intended arrival, so that a stall of the system or of the load generator
// itself is included in the figures.
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

// Reasons why an attempt ended without an answer.
const (
	// Unsent means that the job was not sent: no entry that was tried both
	// issued an id and accepted a connection.
	Unsent messenger.ErrorKind = "unsent"
	// ConnectionLost means that the connection failed or timed out before an
	// answer was received.
	ConnectionLost messenger.ErrorKind = "connectionLost"
	// TooManyInFlight means that nothing was sent because MaxInFlight was
	// reached.
	TooManyInFlight messenger.ErrorKind = "tooManyInFlight"
)

// answerGrace is how long a caller keeps waiting for an answer after the job's
// deadline, so that the system itself can report a missed deadline.
const answerGrace = 5 * time.Second

// Attempt is the result of submitting a job. Outcome is empty if no answer was
// received, in which case Kind holds the reason; otherwise Kind is the kind of
// the answer's error, if any. Violation describes an answer that breaks the API
// contract.
type Attempt struct {
	ID        string
	Outcome   messenger.Outcome
	Kind      messenger.ErrorKind
	Violation string
}

// Submitter submits one job and returns when its answer is received. intended
// is the scheduled submission time.
type Submitter interface {
	Submit(ctx context.Context, j generator.Job, intended time.Time) Attempt
}

// FinishedJob is a job with the result of its submission. Response is measured
// from the intended arrival and includes SendDelay, the delay of the load
// generator itself before it submitted the job. FinishedAt is measured from the
// start of the run.
type FinishedJob struct {
	Job        generator.Job
	Attempt    Attempt
	Response   time.Duration
	SendDelay  time.Duration
	FinishedAt time.Duration
}

// OpenLoop submits jobs at their arrival times. OnFinished is called once for
// every job that arrives, including those skipped because of MaxInFlight, and
// must be safe for concurrent use. MaxInFlight limits the number of unanswered
// jobs, so that a system that never answers cannot exhaust the memory of the
// load generator.
type OpenLoop struct {
	Submitter   Submitter
	MaxInFlight int
	OnFinished  func(FinishedJob)
}

// Run submits every job of g and waits until all submitted jobs have finished.
// If ctx is cancelled, the remaining jobs are not submitted. It returns the
// start time of the run.
func (l OpenLoop) Run(ctx context.Context, g *generator.Generator) time.Time {
	var inFlightJobs sync.WaitGroup
	defer inFlightJobs.Wait()
	tokens := make(chan struct{}, l.MaxInFlight)
	start := time.Now()
	for j, ok := g.Next(); ok; j, ok = g.Next() {
		intended := start.Add(j.ArrivesAt)
		if sleepUntil(ctx, intended) != nil {
			return start
		}
		select {
		case tokens <- struct{}{}:
		default:
			l.OnFinished(FinishedJob{Job: j, Attempt: Attempt{Kind: TooManyInFlight}})
			continue
		}
		inFlightJobs.Go(func() {
			defer func() { <-tokens }()
			l.submit(ctx, j, start)
		})
	}
	return start
}

func (l OpenLoop) submit(ctx context.Context, j generator.Job, start time.Time) {
	intended := start.Add(j.ArrivesAt)
	sendDelay := time.Since(intended)
	deadline := intended.Add(time.Duration(j.DeadlineMs)*time.Millisecond + answerGrace)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	attempt := l.Submitter.Submit(ctx, j, intended)
	now := time.Now()
	if attempt.Violation != "" {
		log.Errorf("violation: job %d (%s): %s", j.Index, attempt.ID, attempt.Violation)
	}
	l.OnFinished(FinishedJob{Job: j, Attempt: attempt, Response: now.Sub(intended), SendDelay: sendDelay, FinishedAt: now.Sub(start)})
}

func sleepUntil(ctx context.Context, at time.Time) error {
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
