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

// maxTries is how often a caller offers a job that was provably not sent or
// not run because its entry is stopping, each time to another entry.
const maxTries = 3

// Pool submits jobs through entries. Each job uses one of a fixed number of
// sessions, and each session stays with one entry. Create it with [NewPool].
type Pool struct {
	client   messenger.Client
	entries  []string
	sessions []*session
	batch    int
	history  *recorder.Recorder
	payloads bool
	extra    sync.WaitGroup

	mu       sync.Mutex
	messages map[string]int64
	repeats  map[string]int64
	wrong    []string
}

// PoolSettings describe a pool. Sessions is the number of caller connections
// and Batch the number of ids asked for at once. History may be nil; Payloads
// writes the payloads into it and not only their digest.
type PoolSettings struct {
	Transport http.RoundTripper
	Entries   []string
	Sessions  int
	Batch     int
	History   *recorder.Recorder
	Payloads  bool
}

// NewPool returns a pool. The entries' addresses are IP:port.
func NewPool(s PoolSettings) *Pool {
	p := &Pool{
		client:  messenger.Client{Transport: s.Transport},
		entries: s.Entries, batch: s.Batch, history: s.History, payloads: s.Payloads,
		messages: map[string]int64{}, repeats: map[string]int64{},
	}
	for i := range s.Sessions {
		p.sessions = append(p.sessions, &session{pool: p, entry: i % len(s.Entries)})
	}
	return p
}

// Prefetch gets a first batch of ids for every session, so that no job of the
// run waits for one. A session whose entry does not answer is left without.
func (p *Pool) Prefetch(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range p.sessions {
		wg.Go(func() {
			address, id, err := s.take(ctx)
			if err != nil {
				log.Warnf("entry %s gave no ids: %v", address, err)
				return
			}
			s.add(address, []string{id})
		})
	}
	wg.Wait()
}

// Submit implements [Submitter].
func (p *Pool) Submit(ctx context.Context, j generator.Job, intended time.Time) Attempt {
	s := p.sessions[j.Index%len(p.sessions)]
	last := Attempt{Kind: Unsent}
	for try := range maxTries {
		address, id, err := s.take(ctx)
		if err != nil {
			s.move(address)
			continue
		}
		var again bool
		if last, again = p.offer(ctx, s, address, id, j, intended, try); !again {
			return last
		}
		s.move(address)
		if try < maxTries-1 {
			p.count("callerRetry")
		}
	}
	return last
}

// offer submits the job once. again is true if it certainly did not run and
// another entry may take it under another id.
func (p *Pool) offer(ctx context.Context, s *session, address, id string, j generator.Job, intended time.Time, try int) (a Attempt, again bool) {
	sub := j.Submission(id, s.wanted())
	stop := p.disturb(ctx, address, sub, j, intended)
	defer stop()
	attempt, answer, err := p.send(ctx, address, fmt.Sprintf("%d.%d", j.Index, try), sub, j)
	if err != nil {
		return attempt, errors.Is(err, messenger.ErrNotSent)
	}
	s.add(address, answer.NextIDs)
	stopping := attempt.Outcome == messenger.Refused && (attempt.Kind == messenger.Draining || attempt.Kind == messenger.NotReady)
	return attempt, stopping && attempt.Violation == ""
}

// send posts the submission to the entry at address and judges the answer.
func (p *Pool) send(ctx context.Context, address, request string, sub messenger.Submission, j generator.Job) (Attempt, messenger.Answer, error) {
	p.recordSubmission(request, sub)
	p.count("submit")
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
	return judge(j, sub.ID, status, answer), answer, nil
}

func judge(j generator.Job, id string, status int, answer messenger.Answer) Attempt {
	a := Attempt{ID: id, Outcome: answer.Outcome, Violation: Violation(j, id, answer)}
	if answer.Error != nil {
		a.Kind = answer.Error.Kind
	}
	if a.Violation == "" && status != answer.Status() {
		a.Violation = fmt.Sprintf("status %d for an answer of status %d", status, answer.Status())
	}
	return a
}

// disturb arranges the job's cancellation and resubmission. The returned
// function withdraws a cancellation whose time has not come.
func (p *Pool) disturb(ctx context.Context, address string, sub messenger.Submission, j generator.Job, intended time.Time) func() {
	if j.Resubmit > 0 {
		p.extra.Add(1)
		ctx := context.WithoutCancel(ctx)
		time.AfterFunc(j.Resubmit, func() {
			defer p.extra.Done()
			p.resubmit(ctx, address, sub, j)
		})
	}
	if j.CancelAt == 0 {
		return func() {}
	}
	p.extra.Add(1)
	timer := time.AfterFunc(time.Until(intended.Add(j.CancelAt-j.At)), func() {
		defer p.extra.Done()
		p.cancel(context.WithoutCancel(ctx), address, sub.ID, j)
	})
	return func() {
		if timer.Stop() {
			p.extra.Done()
		}
	}
}

// resubmit sends the same submission through another entry, if there is one.
func (p *Pool) resubmit(ctx context.Context, address string, sub messenger.Submission, j generator.Job) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(j.DeadlineMs)*time.Millisecond+answerGrace)
	defer cancel()
	sub.MoreIDs = 0
	attempt, _, _ := p.send(ctx, p.other(address, j.Index), fmt.Sprintf("%d.again", j.Index), sub, j)
	p.noteRepeat("resubmission", attempt, j)
}

// cancel asks the entry to cancel the job.
func (p *Pool) cancel(ctx context.Context, address, id string, j generator.Job) {
	ctx, stop := context.WithTimeout(ctx, answerGrace)
	defer stop()
	p.count("cancel")
	var answer messenger.Answer
	_, err := p.client.Call(ctx, http.MethodDelete, "http://"+address+"/v1/jobs/"+id, nil, &answer)
	attempt := Attempt{ID: id, Outcome: answer.Outcome, Kind: ConnectionLost}
	if err == nil {
		attempt = Attempt{ID: id, Outcome: answer.Outcome}
		if answer.Error != nil {
			attempt.Kind = answer.Error.Kind
		}
		if answer.Outcome == messenger.Complete {
			attempt.Violation = Violation(j, id, answer)
		}
	}
	p.noteRepeat("cancellation", attempt, j)
}

func (p *Pool) other(address string, index int) string {
	for i := range p.entries {
		if e := p.entries[(index+i)%len(p.entries)]; e != address {
			return e
		}
	}
	return address
}

func (p *Pool) noteRepeat(what string, a Attempt, j generator.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := what + " " + string(a.Outcome)
	if a.Kind != "" {
		key += " " + string(a.Kind)
	}
	p.repeats[key]++
	if a.Violation != "" {
		log.Errorf("violation: %s of job %d (%s): %s", what, j.Index, a.ID, a.Violation)
		p.wrong = append(p.wrong, what+": "+a.Violation)
	}
}

func (p *Pool) count(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.messages[kind]++
}

// Totals is what a pool sent besides the answers to jobs: messages by kind,
// outcomes of resubmissions and cancellations, and their violations.
type Totals struct {
	Messages   map[string]int64
	Repeats    map[string]int64
	Violations []string
}

// Totals waits for resubmissions and cancellations under way and returns the
// counts so far.
func (p *Pool) Totals() Totals {
	p.extra.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	return Totals{Messages: maps.Clone(p.messages), Repeats: maps.Clone(p.repeats), Violations: append([]string(nil), p.wrong...)}
}

func (p *Pool) recordSubmission(request string, sub messenger.Submission) {
	if p.history == nil {
		return
	}
	r := recorder.Record{Event: recorder.JobSubmitted, JobID: sub.ID, Request: request, Digest: digest(sub.Tasks), Tasks: len(sub.Tasks)}
	if p.payloads {
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

// digest is the SHA-256 of the payloads as a JSON array, in hexadecimal.
func digest(tasks []json.RawMessage) string {
	data, err := json.Marshal(tasks)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
