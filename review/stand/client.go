package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// job is a job that needn't be kept: its POST is answered when it has ended.
type job struct {
	id     string
	tasks  int
	spec   spec
	waitMs int64
	extra  map[string]any
}

func newJob(r *rand.Rand, tasks int, cpu, ms, waitMs int64) job {
	return job{id: fmt.Sprintf("%015xa", r.Uint64()>>4), tasks: tasks, spec: spec{cpu, ms}, waitMs: waitMs}
}

func (j job) body() []byte {
	text, _ := json.Marshal(j.spec)
	step := map[string]any{"Count": j.tasks, "Cpu": j.spec.CPU, "MemMb": 64, "EstimateMs": j.spec.Ms}
	for k, v := range j.extra {
		step[k] = v
	}
	body, _ := json.Marshal(map[string]any{"Spec": string(text), "Opportunistic": true, "Steps": []map[string]any{step}})
	return body
}

// outcome is the end of one attempt. status is 0 if the connection broke.
type outcome struct {
	status int
	state  string
}

var transport = &http.Transport{DisableKeepAlives: true}

// post makes one attempt at one machine.
func (p *platform) post(m *machine, j job) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(j.waitMs)*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.front+queuePrefix+j.id, bytes.NewReader(j.body()))
	req.Host = queueHost
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Time-Remaining", strconv.FormatInt(j.waitMs, 10))
	p.rec.printf("client: POST %s (%d tasks of %d ms) to %s", j.id, j.tasks, j.spec.Ms, m.name)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		p.rec.printf("client: POST %s at %s: no answer (%v)", j.id, m.name, strings.ReplaceAll(err.Error(), "\n", " "))
		return outcome{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		p.rec.printf("client: POST %s at %s: the connection broke in the answer", j.id, m.name)
		return outcome{}
	}
	var reply struct{ State string }
	_ = json.Unmarshal(data, &reply)
	p.rec.printf("client: POST %s at %s: %d %s", j.id, m.name, resp.StatusCode, strings.TrimSpace(string(data)))
	return outcome{resp.StatusCode, reply.State}
}

// submit sends a job as PROTOCOL.md says: after no answer, a broken connection, a
// 502 or a 504 again RetransmitMs later, to any node, at most three times.
func (p *platform) submit(j job, next func(attempt int) *machine) outcome {
	var o outcome
	for attempt := range 3 {
		if o = p.post(next(attempt), j); o.status != 0 && o.status != http.StatusBadGateway && o.status != http.StatusGatewayTimeout {
			return o
		}
		time.Sleep(retransmitMs * time.Millisecond)
	}
	return o
}

// cancel sends a DELETE and returns the status, 0 if there was no answer.
func (p *platform) cancel(m *machine, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+m.front+queuePrefix+id, nil)
	req.Host = queueHost
	p.rec.printf("client: DELETE %s to %s", id, m.name)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		p.rec.printf("client: DELETE %s at %s: no answer (%v)", id, m.name, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	p.rec.printf("client: DELETE %s at %s: %d", id, m.name, resp.StatusCode)
	return resp.StatusCode
}
