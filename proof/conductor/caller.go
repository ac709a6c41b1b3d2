package conductor

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
)

// job is one job of a scenario, with all answers and errors its callers received.
type job struct {
	name       string
	submission messenger.Submission
	pending    sync.WaitGroup

	mu      sync.Mutex
	answers []messenger.Answer
	errs    []error
}

func (j *job) addResult(a messenger.Answer, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil {
		j.errs = append(j.errs, err)
		return
	}
	j.answers = append(j.answers, a)
}

// caller is the client that all simulated callers share: it submits jobs to entries
// and records submissions and answers in a history file.
type caller struct {
	deployment *Deployment
	client     messenger.Client
	history    *recorder.Recorder
	load       backgroundLoad

	mu   sync.Mutex
	jobs map[string]*job
}

func newCaller(d *Deployment) (*caller, error) {
	file, err := os.Create(filepath.Join(d.dir, "caller-1.jsonl"))
	if err != nil {
		return nil, errors.Wrap(err, "creating the caller's history")
	}
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(d.callerIP())}}
	return &caller{
		deployment: d, jobs: map[string]*job{},
		client:  messenger.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 32}},
		history: &recorder.Recorder{Process: callerName, Out: file},
	}, nil
}

// jobOptions are the properties of a job that a scenario sets.
type jobOptions struct {
	tasks, runMs                          int
	deadlineMs, declaredMs, declaredMemMB int64
	requestType                           string
	payload                               string
	noWait                                bool
}

// newJob returns a job whose task payloads contain the payload of the options and
// the number of the task.
func newJob(name string, o jobOptions) *job {
	j := &job{name: name, submission: messenger.Submission{
		Team: team, Service: service, RequestType: o.requestType, DeadlineMs: o.deadlineMs,
		DeclaredRunMs: o.declaredMs, DeclaredMemoryMB: o.declaredMemMB, Wait: !o.noWait,
	}}
	for i := range o.tasks {
		j.submission.Tasks = append(j.submission.Tasks,
			json.RawMessage(fmt.Sprintf(`{"runMs":%d,"value":"%s/%d"}`, o.runMs, o.payload, i)))
	}
	return j
}

// requestJobID requests a job ID from the entry.
func (c *caller) requestJobID(ctx context.Context, entry string) (string, error) {
	p, err := c.deployment.process(entry)
	if err != nil {
		return "", err
	}
	var reply messenger.IDsReply
	status, err := c.client.Call(ctx, http.MethodPost, "http://"+p.callerAddress+"/v1/ids", messenger.IDsRequest{Count: 1}, &reply)
	if err != nil {
		return "", errors.Wrapf(err, "requesting a job ID from %s", entry)
	}
	if len(reply.IDs) != 1 {
		return "", errors.Newf("%s returned no job ID, status %d", entry, status)
	}
	return reply.IDs[0], nil
}

// submit submits the job through an entry and waits for the answer.
func (c *caller) submit(ctx context.Context, j *job, entry string) {
	p, err := c.deployment.process(entry)
	if err != nil {
		j.addResult(messenger.Answer{}, err)
		return
	}
	r := j.historyRecord()
	r.Event = recorder.JobSubmitted
	c.history.Record(time.Now(), r)
	var a messenger.Answer
	_, err = c.client.Call(ctx, http.MethodPost, "http://"+p.callerAddress+"/v1/jobs", j.submission, &a)
	c.recordAnswer(j, entry, a, err)
}

// fetchOrCancel requests the answer of a job with GET, or cancels the job with
// DELETE.
func (c *caller) fetchOrCancel(ctx context.Context, j *job, entry, method string) {
	p, err := c.deployment.process(entry)
	if err != nil {
		j.addResult(messenger.Answer{}, err)
		return
	}
	var a messenger.Answer
	url := "http://" + p.callerAddress + "/v1/jobs/" + j.submission.ID
	if method == http.MethodGet {
		url += "?waitMs=20000"
	}
	_, err = c.client.Call(ctx, method, url, nil, &a)
	c.recordAnswer(j, entry, a, err)
}

// recordAnswer adds the result of a request to the job and to the history.
//
// An answer is recorded as JobAnswered. A request without an answer is recorded as
// JobAbandoned, after which the checker does not expect an answer, in three cases:
// the request was not sent, it was cancelled, or the scenario has injected a fault:
// data between the caller and the entry is blocked, or a drop rule for requests
// from the caller to the entry was added since the last Heal. Other failed requests
// are not recorded: the checker decides whether the missing answer is a violation.
func (c *caller) recordAnswer(j *job, entry string, a messenger.Answer, err error) {
	j.addResult(a, err)
	r := recorder.Record{Request: j.name, JobID: j.submission.ID}
	switch {
	case err == nil:
		r.Event, r.Outcome, r.Results = recorder.JobAnswered, a.Outcome, a.Results
		if a.ID != "" {
			r.JobID = a.ID
		}
		if a.Error != nil {
			r.Kind, r.Ran = a.Error.Kind, a.Error.Ran
		}
	case errors.Is(err, messenger.ErrNotSent), errors.Is(err, context.Canceled),
		c.deployment.network.HasFault(callerName, entry):
		r.Event = recorder.JobAbandoned
	default:
		return
	}
	c.history.Record(time.Now(), r)
}

// historyRecord returns the history record of the submission, without its event.
func (j *job) historyRecord() recorder.Record {
	s := j.submission
	h := sha256.New()
	_ = json.NewEncoder(h).Encode([]any{s.Team, s.Service, s.RequestType, s.Tasks})
	return recorder.Record{
		Request: j.name, JobID: s.ID, Tasks: len(s.Tasks), Payloads: s.Tasks,
		Digest: hex.EncodeToString(h.Sum(nil)[:8]), NonIdempotent: s.RequestType == "firm",
	}
}

// job returns the job that was added under the name.
func (c *caller) job(name string) (*job, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[name]; j != nil {
		return j, nil
	}
	return nil, errors.Newf("unknown job %q", name)
}

func (c *caller) addJob(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.name] = j
}

// awaitJob waits until all pending requests for the job have returned.
func (d *Deployment) awaitJob(j *job) error {
	done := make(chan struct{})
	go func() {
		j.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-d.hangTimer():
		return errors.Newf("timed out waiting for the answers to job %s", j.name)
	}
}
