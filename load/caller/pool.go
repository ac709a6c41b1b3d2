package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/load/generator"
)

// maxAttempts limits the attempts to submit a job, including those in which the
// entry issues no id. A submitted job is submitted again, through the next entry
// and under another id, only if it was provably not sent, or refused by an entry
// that is draining or not ready. Resubmissions (see [Pool.resubmit]) do not count.
const maxAttempts = 3

// Pool submits jobs through entries. Each job uses one of a fixed number of
// sessions, and each session is pinned to one entry until it fails over. Create
// it with [NewPool].
type Pool struct {
	client         messenger.Client
	entries        []string
	sessions       []*session
	idBatch        int
	history        *recorder.Recorder
	recordPayloads bool
	background     sync.WaitGroup

	mu       sync.Mutex
	messages map[string]int64
	// followUps counts resubmissions and cancellations, keyed by operation, outcome
	// and error kind, if any, such as "resubmission complete". The outcome is empty
	// if no answer was received.
	followUps  map[string]int64
	violations []string
}

// PoolSettings configure a pool. Sessions is the number of simulated caller
// connections, and IDBatch the number of job ids requested at once. History may
// be nil; RecordPayloads adds the payloads to it, not only their digest.
type PoolSettings struct {
	Transport      http.RoundTripper
	Entries        []string
	Sessions       int
	IDBatch        int
	History        *recorder.Recorder
	RecordPayloads bool
}

// NewPool returns a pool. Entry addresses have the form IP:port.
func NewPool(s PoolSettings) *Pool {
	p := &Pool{
		client:  messenger.Client{Transport: s.Transport},
		entries: s.Entries, idBatch: s.IDBatch, history: s.History, recordPayloads: s.RecordPayloads,
		messages: map[string]int64{}, followUps: map[string]int64{},
	}
	for i := range s.Sessions {
		p.sessions = append(p.sessions, &session{pool: p, entry: i % len(s.Entries)})
	}
	return p
}

// Prefetch requests a first batch of job ids for every session, so that the
// first jobs of a run are submitted without a prior request for ids. A session
// whose entry does not answer starts without ids.
func (p *Pool) Prefetch(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range p.sessions {
		wg.Go(func() {
			address, id, err := s.nextID(ctx)
			if err != nil {
				log.Warnf("entry %s returned no job ids: %v", address, err)
				return
			}
			s.addIDs(address, []string{id})
		})
	}
	wg.Wait()
}

// Submit implements [Submitter].
func (p *Pool) Submit(ctx context.Context, j generator.Job, intended time.Time) Attempt {
	s := p.sessions[j.Index%len(p.sessions)]
	last := Attempt{Kind: Unsent}
	for attemptIndex := range maxAttempts {
		address, id, err := s.nextID(ctx)
		if err != nil {
			s.failOver(address)
			continue
		}
		var retry bool
		if last, retry = p.submitOnce(ctx, s, address, id, j, intended, attemptIndex); !retry {
			return last
		}
		s.failOver(address)
		if attemptIndex < maxAttempts-1 {
			p.countMessage("callerRetry")
		}
	}
	return last
}

// submitOnce submits the job once. retry is true if the job certainly did not
// run, so that it can be submitted to another entry under another id.
func (p *Pool) submitOnce(ctx context.Context, s *session, address, id string, j generator.Job, intended time.Time, attemptIndex int) (a Attempt, retry bool) {
	sub := j.Submission(id, s.idsToRequest())
	stopCancel := p.scheduleCancelAndResubmit(ctx, address, sub, j, intended)
	defer stopCancel()
	attempt, answer, err := p.send(ctx, address, fmt.Sprintf("%d.%d", j.Index, attemptIndex), sub, j)
	if err != nil {
		return attempt, errors.Is(err, messenger.ErrNotSent)
	}
	s.addIDs(address, answer.NextIDs)
	unavailable := attempt.Outcome == messenger.Refused && (attempt.Kind == messenger.Draining || attempt.Kind == messenger.NotReady)
	return attempt, unavailable && attempt.Violation == ""
}

// send posts the submission to the entry at address and checks the answer.
func (p *Pool) send(ctx context.Context, address, request string, sub messenger.Submission, j generator.Job) (Attempt, messenger.Answer, error) {
	p.recordSubmission(request, sub)
	p.countMessage("submit")
	var answer messenger.Answer
	status, err := p.client.Call(ctx, http.MethodPost, "http://"+address+"/v1/jobs", sub, &answer)
	if err != nil {
		kind := ConnectionLost
		if errors.Is(err, messenger.ErrNotSent) {
			kind = Unsent
		}
		return Attempt{ID: sub.ID, Kind: kind}, answer, err
	}
	p.recordAnswer(request, sub.ID, answer)
	return newAttempt(j, sub.ID, status, answer), answer, nil
}

func newAttempt(j generator.Job, id string, status int, answer messenger.Answer) Attempt {
	a := Attempt{ID: id, Outcome: answer.Outcome, Violation: AnswerViolation(j, id, answer)}
	if answer.Error != nil {
		a.Kind = answer.Error.Kind
	}
	if a.Violation == "" && status != answer.Status() {
		a.Violation = fmt.Sprintf("status %d, expected %d for this answer", status, answer.Status())
	}
	return a
}

// scheduleCancelAndResubmit schedules the job's cancellation and its
// resubmission, each of which is optional. The returned function stops a
// cancellation that is not due yet. A resubmission is sent even if the job has
// finished by then.
func (p *Pool) scheduleCancelAndResubmit(ctx context.Context, address string, sub messenger.Submission, j generator.Job, intended time.Time) func() {
	if j.ResubmitAfter > 0 {
		p.background.Add(1)
		ctx := context.WithoutCancel(ctx)
		time.AfterFunc(j.ResubmitAfter, func() {
			defer p.background.Done()
			p.resubmit(ctx, address, sub, j)
		})
	}
	if j.CancelAt == 0 {
		return func() {}
	}
	p.background.Add(1)
	timer := time.AfterFunc(time.Until(intended.Add(j.CancelAt-j.ArrivesAt)), func() {
		defer p.background.Done()
		p.cancel(context.WithoutCancel(ctx), address, sub.ID, j)
	})
	return func() {
		if timer.Stop() {
			p.background.Done()
		}
	}
}

// resubmit sends the same submission to another entry, if there is one.
func (p *Pool) resubmit(ctx context.Context, address string, sub messenger.Submission, j generator.Job) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(j.DeadlineMs)*time.Millisecond+answerGrace)
	defer cancel()
	sub.MoreIDs = 0
	attempt, _, _ := p.send(ctx, p.otherEntry(address, j.Index), fmt.Sprintf("%d.again", j.Index), sub, j)
	p.recordFollowUp("resubmission", attempt, j)
}

// cancel asks the entry to cancel the job.
func (p *Pool) cancel(ctx context.Context, address, id string, j generator.Job) {
	ctx, stop := context.WithTimeout(ctx, answerGrace)
	defer stop()
	p.countMessage("cancel")
	var answer messenger.Answer
	_, err := p.client.Call(ctx, http.MethodDelete, "http://"+address+"/v1/jobs/"+id, nil, &answer)
	attempt := Attempt{ID: id, Outcome: answer.Outcome, Kind: ConnectionLost}
	if err == nil {
		attempt = Attempt{ID: id, Outcome: answer.Outcome}
		if answer.Error != nil {
			attempt.Kind = answer.Error.Kind
		}
		if answer.Outcome == messenger.Complete {
			attempt.Violation = AnswerViolation(j, id, answer)
		}
	}
	p.recordFollowUp("cancellation", attempt, j)
}

func (p *Pool) otherEntry(address string, index int) string {
	for i := range p.entries {
		if e := p.entries[(index+i)%len(p.entries)]; e != address {
			return e
		}
	}
	return address
}

func (p *Pool) recordFollowUp(operation string, a Attempt, j generator.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := operation + " " + string(a.Outcome)
	if a.Kind != "" {
		key += " " + string(a.Kind)
	}
	p.followUps[key]++
	if a.Violation != "" {
		log.Errorf("violation: %s of job %d (%s): %s", operation, j.Index, a.ID, a.Violation)
		p.violations = append(p.violations, operation+": "+a.Violation)
	}
}

func (p *Pool) countMessage(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.messages[kind]++
}

// Totals holds the counters of a pool: messages sent by kind, outcomes of
// follow-ups, which are resubmissions and cancellations, and the violations found
// in their answers. In Messages, callerRetry counts the submissions after which
// the job was tried again; they are also included in submit.
type Totals struct {
	Messages   map[string]int64
	FollowUps  map[string]int64
	Violations []string
}

// Totals waits for pending resubmissions and cancellations and returns the
// counters.
func (p *Pool) Totals() Totals {
	p.background.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	return Totals{Messages: maps.Clone(p.messages), FollowUps: maps.Clone(p.followUps), Violations: append([]string(nil), p.violations...)}
}

func (p *Pool) recordSubmission(request string, sub messenger.Submission) {
	if p.history == nil {
		return
	}
	r := recorder.Record{Event: recorder.JobSubmitted, JobID: sub.ID, Request: request, Digest: payloadDigest(sub.Tasks), Tasks: len(sub.Tasks)}
	if p.recordPayloads {
		r.Payloads = sub.Tasks
	}
	p.history.Record(time.Now(), r)
}

func (p *Pool) recordAnswer(request, id string, a messenger.Answer) {
	r := recorder.Record{Event: recorder.JobAnswered, JobID: id, Request: request, Outcome: a.Outcome, Results: a.Results}
	if a.Error != nil {
		r.Kind, r.Ran = a.Error.Kind, a.Error.Ran
	}
	p.history.Record(time.Now(), r)
}

// payloadDigest returns the hexadecimal SHA-256 of the payloads encoded as a
// JSON array.
func payloadDigest(tasks []json.RawMessage) string {
	data, err := json.Marshal(tasks)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
