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

// work is one piece of work of a scenario, with all that its caller received.
type work struct {
	name       string
	submission messenger.Submission
	pending    sync.WaitGroup

	mu      sync.Mutex
	answers []messenger.Answer
	errs    []error
}

func (w *work) add(a messenger.Answer, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.errs = append(w.errs, err)
		return
	}
	w.answers = append(w.answers, a)
}

// caller sends work to entries and records what it does and sees.
type caller struct {
	deployment *Deployment
	client     messenger.Client
	history    *recorder.Recorder
	load       load

	mu    sync.Mutex
	works map[string]*work
}

func newCaller(d *Deployment) (*caller, error) {
	file, err := os.Create(filepath.Join(d.folder, "caller-1.jsonl"))
	if err != nil {
		return nil, errors.Wrap(err, "creating the history")
	}
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(d.callerIP())}}
	return &caller{
		deployment: d, works: map[string]*work{},
		client:  messenger.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 32}},
		history: &recorder.Recorder{Process: callerName, Out: file},
	}, nil
}

// workOptions are what a script says of a piece of work.
type workOptions struct {
	tasks, runMs                          int
	deadlineMs, declaredMs, declaredMemMB int64
	requestType                           string
	content                               string
	noWait                                bool
}

// newWork makes work whose payloads are unique to its content.
func newWork(name string, o workOptions) *work {
	w := &work{name: name, submission: messenger.Submission{
		Team: team, Service: service, RequestType: o.requestType, DeadlineMs: o.deadlineMs,
		DeclaredRunMs: o.declaredMs, DeclaredMemoryMB: o.declaredMemMB, Wait: !o.noWait,
	}}
	for i := range o.tasks {
		w.submission.Tasks = append(w.submission.Tasks,
			json.RawMessage(fmt.Sprintf(`{"runMs":%d,"value":"%s/%d"}`, o.runMs, o.content, i)))
	}
	return w
}

// obtain asks the entry for an id.
func (c *caller) obtain(ctx context.Context, entry string) (string, error) {
	p, err := c.deployment.process(entry)
	if err != nil {
		return "", err
	}
	var reply messenger.IDsReply
	status, err := c.client.Call(ctx, http.MethodPost, "http://"+p.callers+"/v1/ids", messenger.IDsRequest{Count: 1}, &reply)
	if err != nil {
		return "", err
	}
	if len(reply.IDs) != 1 {
		return "", errors.Newf("%s gave no id, status %d", entry, status)
	}
	return reply.IDs[0], nil
}

// send submits the work through an entry and waits for the answer.
func (c *caller) send(ctx context.Context, w *work, entry string) {
	p, err := c.deployment.process(entry)
	if err != nil {
		w.add(messenger.Answer{}, err)
		return
	}
	r := w.record()
	r.Event = recorder.JobSubmitted
	c.history.Record(time.Now(), r)
	var a messenger.Answer
	_, err = c.client.Call(ctx, http.MethodPost, "http://"+p.callers+"/v1/jobs", w.submission, &a)
	c.note(w, entry, a, err)
}

// fetch reads the answer of work that may have ended.
func (c *caller) fetch(ctx context.Context, w *work, entry, method string) {
	p, err := c.deployment.process(entry)
	if err != nil {
		w.add(messenger.Answer{}, err)
		return
	}
	var a messenger.Answer
	url := "http://" + p.callers + "/v1/jobs/" + w.submission.ID
	if method == http.MethodGet {
		url += "?waitMs=20000"
	}
	_, err = c.client.Call(ctx, method, url, nil, &a)
	c.note(w, entry, a, err)
}

// note records an answer, or that the caller has itself to blame for having
// none. A connection that broke without a fault of the scenario is not
// recorded: the checker decides whether that was allowed.
func (c *caller) note(w *work, entry string, a messenger.Answer, err error) {
	w.add(a, err)
	r := recorder.Record{Request: w.name, JobID: w.submission.ID}
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
		c.deployment.network.Faulty(callerName, entry):
		r.Event = recorder.JobAbandoned
	default:
		return
	}
	c.history.Record(time.Now(), r)
}

func (w *work) record() recorder.Record {
	s := w.submission
	h := sha256.New()
	_ = json.NewEncoder(h).Encode([]any{s.Team, s.Service, s.RequestType, s.Tasks})
	return recorder.Record{
		Request: w.name, JobID: s.ID, Tasks: len(s.Tasks), Payloads: s.Tasks,
		Digest: hex.EncodeToString(h.Sum(nil)[:8]), NonIdempotent: s.RequestType == "firm",
	}
}

func (c *caller) work(name string) (*work, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.works[name]; w != nil {
		return w, nil
	}
	return nil, errors.Newf("no work is named %q", name)
}

func (c *caller) keep(w *work) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.works[w.name] = w
}

// await waits until nothing of the work is on its way any more.
func (d *Deployment) await(w *work) error {
	done := make(chan struct{})
	go func() {
		w.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-d.bound():
		return errors.Newf("%s has no answer", w.name)
	}
}
