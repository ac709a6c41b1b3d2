package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lateRunners = 12
	lateRounds  = 4
	// lateTakes is how long the task of a round takes, and lateBy how late its starts are
	// carried out.
	lateTakes = 3500 * time.Millisecond
	lateBy    = 2500 * time.Millisecond
	cutFor    = 3 * time.Second
	resend    = 1300 * time.Millisecond
	otherKind = "c"
	// roundPrefix begins the ids of the jobs of the rounds.
	roundPrefix = "aa"
)

// lateRound is a round with one job of one task, whose first starts get no answer and are
// carried out late.
type lateRound struct {
	mu sync.Mutex
	// held are the runners whose starts are held up.
	held []*runner
	// firstAt is when the first start was held up.
	firstAt time.Time
	runs    []liveRun
}

type liveRun struct {
	r *runner
	x *run
}

// lateCase plays rounds in which a runner that held starts up is cut off, crashes behind
// the cut and starts again. starts is how many starts of a task are held up. If they all
// go to one runner, the job requires a label that only this one has.
func lateCase(rec *record, program string, trouble bool, starts int, oneRunner bool) error {
	s, err := newSite(rec, program)
	if err != nil {
		return err
	}
	defer s.close()
	s.configure(7, prefix)
	var mu sync.Mutex
	rounds := map[string]*lateRound{}
	round := func(task string) *lateRound {
		if !strings.HasPrefix(task, roundPrefix) {
			return nil
		}
		mu.Lock()
		defer mu.Unlock()
		id, _, _ := strings.Cut(task, ".")
		if rounds[id] == nil {
			rounds[id] = &lateRound{}
		}
		return rounds[id]
	}
	var began atomic.Int64
	for i := range lateRunners {
		kind := otherKind
		switch {
		case oneRunner && i < lateRounds:
			kind = fmt.Sprintf("b%d", i)
		case !oneRunner && i < 2:
			kind = "b"
		}
		r, err := s.addRunner(i, kind, 64000, func(r *runner, x *run) {
			began.Add(1)
			l := round(x.key.task)
			if l == nil {
				return
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			rec.add("runner %s began %s/%d", r.id, x.key.task, x.key.number)
			for _, other := range l.runs {
				if !other.x.over.Load() {
					rec.breaks("%s/%d began on runner %s while %s/%d is at work on runner %s since %d ms", x.key.task, x.key.number, r.id,
						other.x.key.task, other.x.key.number, other.r.id, time.Since(other.x.startedAt).Milliseconds())
				}
			}
			l.runs = append(l.runs, liveRun{r, x})
		})
		if err != nil {
			return fmt.Errorf("runner %s: %w", r.id, err)
		}
		r.mu.Lock()
		r.lateFor = func(r *runner, key runKey) (time.Duration, bool) {
			l := round(key.task)
			if l == nil || !trouble {
				return 0, false
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			if len(l.held) == starts {
				return 0, false
			}
			if len(l.held) == 0 {
				l.firstAt = time.Now()
			}
			l.held = append(l.held, r)
			return lateBy, true
		}
		r.mu.Unlock()
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

	// 30 other jobs a second of 0.1 s.
	done := make(chan struct{})
	var wg sync.WaitGroup
	c := &http.Client{Timeout: 20 * time.Second}
	wg.Go(func() {
		ticker := time.NewTicker(time.Second / 30)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
			case <-done:
				return
			}
			wg.Go(func() {
				j := job{id: fmt.Sprintf("%016x", 0x5c0e000000000000+n), count: 1, cpu: 2000, takes: 100 * time.Millisecond, label: otherKind, patience: 1500 * time.Millisecond}
				if status, body, err := s.send(c, n%3, j); err != nil || status != http.StatusOK {
					rec.add("job %s at process %d: %d %s %v", j.id, n%3, status, body, err)
				}
			})
		}
	})
	time.Sleep(2 * time.Second)
	for n := range lateRounds {
		j := job{id: fmt.Sprintf("%s%014x", roundPrefix, n), count: 1, cpu: 27000, takes: lateTakes, patience: 12 * time.Second}
		if oneRunner {
			j.label = fmt.Sprintf("b%d", n)
		} else {
			// Another job fills the first of the two runners of kind b until just after the
			// first start was sent to the second one. The next start goes to the first.
			j.label = "b"
			wg.Go(func() {
				filler := job{id: fmt.Sprintf("%016x", 0x6c0e000000000000+n), count: 1, cpu: 60000, takes: 150 * time.Millisecond, label: "b", patience: 1500 * time.Millisecond}
				status, body, err := s.send(c, n%3, filler)
				rec.add("job %s at process %d: %d %s %v", filler.id, n%3, status, body, err)
			})
			time.Sleep(120 * time.Millisecond)
		}
		var answered sync.WaitGroup
		answered.Go(func() { s.sendUntilAnswered(c, n%3, j) })
		if l := round(j.id); trouble {
			for end := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
				l.mu.Lock()
				held := len(l.held)
				l.mu.Unlock()
				if held == starts {
					break
				}
				if time.Now().After(end) {
					return fmt.Errorf("%d starts of %s were held up, want %d", held, j.id, starts)
				}
			}
			l.mu.Lock()
			r, at := l.held[0], l.firstAt
			l.mu.Unlock()
			// The runner is cut off 0.3 s before the first of the late starts, and back after
			// 0.2 s, behind the cut.
			time.Sleep(time.Until(at.Add(lateBy - 300*time.Millisecond)))
			r.cutOff()
			time.Sleep(50 * time.Millisecond)
			r.crashBehindCut()
			time.Sleep(150 * time.Millisecond)
			r.rebornBehindCut()
			time.Sleep(cutFor - 200*time.Millisecond)
			r.heal()
		}
		answered.Wait()
		time.Sleep(2 * time.Second)
	}
	close(done)
	wg.Wait()
	rec.add("%d tasks began", began.Load())
	return nil
}

// sendUntilAnswered hands a job in, and again after each attempt that leaves open whether
// it ran.
func (s *site) sendUntilAnswered(c *http.Client, entry int, j job) {
	for try := range 4 {
		status, body, err := s.send(c, (entry+try)%3, j)
		s.rec.add("job %s at process %d: %d %s %v", j.id, (entry+try)%3, status, body, err)
		if err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(resend)
	}
}
