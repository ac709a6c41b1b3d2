package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	kindRunners = 12
	kindRounds  = 4
	kindDown    = time.Second
)

// kindCase lets 4 runners crash, one after the other, and start again under their ids as
// runners of another kind, while jobs come that require the former kind.
func kindCase(rec *record, program string, trouble bool) error {
	s, err := newSite(rec, program)
	if err != nil {
		return err
	}
	defer s.close()
	s.configure(7, prefix)
	var inPlace atomic.Int64
	for i := range kindRunners {
		kind := "a"
		if i%2 == 0 {
			kind = "b"
		}
		r, err := s.addRunner(i, kind, 64000, func(r *runner, x *run) {
			label := field(x.spec, "label")
			if label == r.kind || label == r.rack {
				inPlace.Add(1)
				return
			}
			rec.breaks("runner %s, which is of kind %s since %d ms, began %s/%d, which requires %s", r.id, r.kind, time.Since(r.born).Milliseconds(), x.key.task, x.key.number, label)
		})
		if err != nil {
			return fmt.Errorf("runner %s: %w", r.id, err)
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

	// 60 jobs a second of one task of 0.2 s. Two fit on each of the 6 runners of kind b.
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		c := &http.Client{Timeout: 2 * time.Second}
		ticker := time.NewTicker(time.Second / 60)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
			case <-done:
				return
			}
			wg.Go(func() {
				j := job{id: fmt.Sprintf("%016x", 0x5c0e000000000000+n), count: 1, cpu: 27000, takes: 200 * time.Millisecond, label: "b", patience: 1500 * time.Millisecond}
				status, body, err := s.send(c, n%3, j)
				rec.add("job %s at process %d: %d %s %v", j.id, n%3, status, body, err)
			})
		}
	})
	time.Sleep(3 * time.Second)
	for i := range kindRounds {
		if r := s.runners[2*i]; trouble {
			r.crash()
			time.Sleep(kindDown)
			if err := r.boot("a"); err != nil {
				return err
			}
		}
		time.Sleep(4 * time.Second)
	}
	close(done)
	wg.Wait()
	rec.add("%d tasks began on runners with the label that they require", inPlace.Load())
	if inPlace.Load() < 100 {
		return fmt.Errorf("only %d tasks began", inPlace.Load())
	}
	return nil
}
