package conductor

import (
	"context"
	"fmt"
	"math/rand"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// load is background work of several callers, each with one job at a time.
type load struct {
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu     sync.Mutex
	number int
	served map[string]*tally
}

// tally counts the answers of one failure domain.
type tally struct {
	complete, all int
	kinds         map[string]int
}

// startLoad starts callers of each failure domain. Each sends its next job to
// a random entry of its domain that accepts connections, as through a balancer
// that notices no more than that.
func (c *caller) startLoad(callers int) {
	ctx, cancel := context.WithCancel(context.Background())
	c.load.cancel = cancel
	c.resetServed()
	for _, domain := range c.deployment.domains {
		for range callers {
			rng := rand.New(rand.NewSource(c.deployment.rng.Int63()))
			c.load.running.Go(func() { c.runLoad(ctx, domain, rng) })
		}
	}
}

func (c *caller) stopLoad() {
	if c.load.cancel != nil {
		c.load.cancel()
		c.load.running.Wait()
		c.load.cancel = nil
	}
}

// runLoad stops after the job that is in progress when ctx ends.
func (c *caller) runLoad(ctx context.Context, domain string, rng *rand.Rand) {
	entries := c.deployment.entries(domain)
	for ctx.Err() == nil {
		c.load.mu.Lock()
		c.load.number++
		name := fmt.Sprintf("load%d", c.load.number)
		c.load.mu.Unlock()
		types := []string{"check", "firm", "batch"}
		w := newWork(name, workOptions{
			tasks: 1 + rng.Intn(4), runMs: 5 + rng.Intn(40), deadlineMs: 5000,
			requestType: types[rng.Intn(len(types))], content: name,
		})
		rng.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		c.runOne(w, domain, entries)
	}
}

func (c *caller) runOne(w *work, domain string, entries []string) {
	ctx, cancel := context.WithTimeout(context.Background(), hangBound)
	defer cancel()
	var id, entry string
	var err error
	for _, entry = range entries {
		if id, err = c.obtain(ctx, entry); err == nil {
			break
		}
	}
	if err != nil {
		c.count(domain, "noId", false)
		// A refused connection must not turn the loop into a busy one.
		time.Sleep(5 * time.Millisecond)
		return
	}
	w.submission.ID = id
	c.send(ctx, w, entry)
	if len(w.answers) == 0 {
		c.count(domain, "noAnswer", false)
		return
	}
	a := w.answers[0]
	kind := "complete"
	if a.Error != nil {
		kind = string(a.Error.Kind)
	}
	c.count(domain, kind, a.Outcome == messenger.Complete)
}

func (c *caller) count(domain, kind string, complete bool) {
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	t := c.load.served[domain]
	if t == nil {
		t = &tally{kinds: map[string]int{}}
		c.load.served[domain] = t
	}
	t.all++
	t.kinds[kind]++
	if complete {
		t.complete++
	}
}

func (c *caller) resetServed() {
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	c.load.served = map[string]*tally{}
}

// served returns the share of requests answered complete in each domain, one a
// line, and the least number of complete answers of a domain.
func (c *caller) served() (string, int) {
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	var b strings.Builder
	least := -1
	for _, domain := range c.deployment.domains {
		t := c.load.served[domain]
		if t == nil {
			t = &tally{}
		}
		if least < 0 || t.complete < least {
			least = t.complete
		}
		fmt.Fprintf(&b, "served %s: %d of %d requests complete (%.1f%%)", domain, t.complete, t.all, 100*float64(t.complete)/float64(max(1, t.all)))
		kinds := make([]string, 0, len(t.kinds))
		for k := range t.kinds {
			kinds = append(kinds, k)
		}
		sort.Strings(kinds)
		for _, k := range kinds {
			fmt.Fprintf(&b, " %s=%d", k, t.kinds[k])
		}
		b.WriteString("\n")
	}
	return b.String(), least
}
