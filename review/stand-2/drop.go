package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	ackLimit    = 4 * time.Second
	cancelLimit = 3 * time.Second
	stopLimit   = 50 * time.Millisecond
	dropJobs    = 6
	dropTakes   = 20 * time.Second
	// dropCancels is how many of the jobs are cancelled.
	dropCancels = 2
)

// dropCase lets the operator remove a route while jobs of it are at work, whose clients
// then cancel them.
func dropCase(rec *record, program string, trouble bool) error {
	s, err := newSite(rec, program)
	if err != nil {
		return err
	}
	defer s.close()
	s.configure(7, prefix, otherPrefix)
	var started atomic.Int64
	for i := range 12 {
		if _, err := s.addRunner(i, "a", 64000, func(r *runner, x *run) {
			started.Add(1)
			rec.add("runner %s began %s/%d", r.id, x.key.task, x.key.number)
		}); err != nil {
			return err
		}
	}
	for i := range 3 {
		if _, err := s.startEntry(i); err != nil {
			return err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)

	c := &http.Client{Timeout: 35 * time.Second}
	var wg sync.WaitGroup
	id := func(n int) string { return fmt.Sprintf("%016x", 0x5c0e000000000000+n) }
	for n := range dropJobs {
		wg.Go(func() {
			j := job{id: id(n), count: 2, cpu: 27000, takes: dropTakes, patience: 30 * time.Second}
			status, body, err := s.send(c, n%3, j)
			rec.add("job %s at process %d: %d %s %v", j.id, n%3, status, body, err)
		})
	}
	time.Sleep(time.Second)
	if started.Load() != 2*dropJobs {
		return fmt.Errorf("%d tasks have begun, want %d", started.Load(), 2*dropJobs)
	}
	if trouble {
		s.configure(9, otherPrefix)
	}
	time.Sleep(4 * time.Second)

	// Two of the clients cancel their jobs, and again each second until it is acknowledged.
	for n := range dropCancels {
		wg.Go(func() {
			sent := time.Now()
			acknowledged := time.Time{}
			for try := 0; acknowledged.IsZero() && time.Since(sent) < ackLimit+cancelLimit; try++ {
				entry := (n + 1 + try) % 3
				status, err := s.cancel(c, entry, id(n))
				rec.add("cancel %s at process %d: %d %v", id(n), entry, status, err)
				if err == nil && (status/100 == 2 || status == http.StatusGone) {
					acknowledged = time.Now()
				} else {
					time.Sleep(time.Second)
				}
			}
			from := sent.Add(ackLimit)
			if !acknowledged.IsZero() && acknowledged.Before(from) {
				from = acknowledged
			}
			time.Sleep(time.Until(from.Add(cancelLimit + stopLimit)))
			for _, key := range s.runsOf(id(n)) {
				rec.breaks("%s/%d is still at work %d ms after its job was cancelled", key.task, key.number, time.Since(sent).Milliseconds())
			}
		})
	}
	wg.Wait()
	return nil
}

// cancel sends one DELETE for a job.
func (s *site) cancel(c *http.Client, entry int, id string) (int, error) {
	req, err := http.NewRequest(http.MethodDelete, "http://"+s.front(entry)+prefix+id, nil)
	if err != nil {
		return 0, err
	}
	req.Host = host
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
