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

// backgroundLoad is the load of several callers, each with one job at a time.
type backgroundLoad struct {
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	jobCount int
	counts   map[string]*answerCounts
}

// answerCounts counts the jobs of one failure domain, in total and by the kind of
// answer. Jobs without an answer have the kind "noId" or "noAnswer".
type answerCounts struct {
	complete, total int
	kinds           map[string]int
}

// startLoad starts the given number of callers in each failure domain. Each sends
// its next job to a random entry of its failure domain that accepts connections,
// like a load balancer that checks only whether a connection is accepted.
func (c *caller) startLoad(callers int) {
	ctx, cancel := context.WithCancel(context.Background())
	c.load.cancel = cancel
	c.resetCounts()
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

// runLoad submits jobs until ctx is done, and finishes the job in progress.
func (c *caller) runLoad(ctx context.Context, domain string, rng *rand.Rand) {
	entries := c.deployment.entryNames(domain)
	for ctx.Err() == nil {
		c.load.mu.Lock()
		c.load.jobCount++
		name := fmt.Sprintf("load%d", c.load.jobCount)
		c.load.mu.Unlock()
		types := []string{"check", "firm", "batch"}
		j := newJob(name, jobOptions{
			tasks: 1 + rng.Intn(4), runMs: 5 + rng.Intn(40), deadlineMs: 5000,
			requestType: types[rng.Intn(len(types))], payload: name,
		})
		rng.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		c.runLoadJob(j, domain, entries)
	}
}

// runLoadJob submits a job to the first of the entries that issues a job ID, and
// counts the answer.
func (c *caller) runLoadJob(j *job, domain string, entries []string) {
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	var id, entry string
	var err error
	for _, entry = range entries {
		if id, err = c.requestJobID(ctx, entry); err == nil {
			break
		}
	}
	if err != nil {
		c.countAnswer(domain, "noId", false)
		// Avoid a busy loop while connections are refused.
		time.Sleep(5 * time.Millisecond)
		return
	}
	j.submission.ID = id
	c.submit(ctx, j, entry)
	if len(j.answers) == 0 {
		c.countAnswer(domain, "noAnswer", false)
		return
	}
	a := j.answers[0]
	kind := "complete"
	if a.Error != nil {
		kind = string(a.Error.Kind)
	}
	c.countAnswer(domain, kind, a.Outcome == messenger.Complete)
}

func (c *caller) countAnswer(domain, kind string, complete bool) {
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	counts := c.load.counts[domain]
	if counts == nil {
		counts = &answerCounts{kinds: map[string]int{}}
		c.load.counts[domain] = counts
	}
	counts.total++
	counts.kinds[kind]++
	if complete {
		counts.complete++
	}
}

func (c *caller) resetCounts() {
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	c.load.counts = map[string]*answerCounts{}
}

// servedSummary returns a line per failure domain with the share of jobs with a
// complete answer, and the lowest number of complete answers of any domain.
func (c *caller) servedSummary() (string, int) {
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	var b strings.Builder
	lowest := -1
	for _, domain := range c.deployment.domains {
		counts := c.load.counts[domain]
		if counts == nil {
			counts = &answerCounts{}
		}
		if lowest < 0 || counts.complete < lowest {
			lowest = counts.complete
		}
		fmt.Fprintf(&b, "served %s: %d of %d requests complete (%.1f%%)", domain, counts.complete, counts.total, 100*float64(counts.complete)/float64(max(1, counts.total)))
		kinds := make([]string, 0, len(counts.kinds))
		for k := range counts.kinds {
			kinds = append(kinds, k)
		}
		sort.Strings(kinds)
		for _, k := range kinds {
			fmt.Fprintf(&b, " %s=%d", k, counts.kinds[k])
		}
		b.WriteString("\n")
	}
	return b.String(), lowest
}
