package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/soak/launcher"
	"github.com/godwitrelay/godwitrelay/standin/fleet/listener"
)

const (
	// resubmitDelay is the time after which a caller resubmits a job whose outcome
	// is unknown.
	resubmitDelay = 1300 * time.Millisecond
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 2500 * time.Millisecond
	// recoveryTimeout is the time within which the deployment must serve jobs
	// after the last fault.
	recoveryTimeout = 12 * time.Second
	// ciSeconds is the default duration of fault injection per seed, and
	// ciGroupedSeconds that with several worker groups.
	ciSeconds        = 12
	ciGroupedSeconds = 3
	// maxBurst limits the connections of callers that the test process opens at once.
	maxBurst = 200
)

// ciSeeds are the seeds that CI runs. A seed that has exposed a bug is kept in the
// list, with a comment on the cause.
var ciSeeds = []int64{
	1,
	// A worker executed a late start right after its restart, while the task ran on
	// another worker.
	7003,
	// Two worker groups: an entry that passed jobs to the other group is killed, beside
	// cuts in one direction.
	10702,
}

// envInt returns the integer value of an environment variable, or the default if
// it is not set or invalid.
func envInt(name string, defaultValue int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return defaultValue
}

// layoutOf returns the deployment of a seed: one worker group below
// firstGroupedSeed, several from there on. It does not draw from the random
// sequence of the faults.
func layoutOf(seed int64) layout {
	if seed < firstGroupedSeed {
		return layout{entries: 5, workers: 8, workerCPU: 64000, domains: 1, maxFaultGap: 1200 * time.Millisecond, maxJobGap: 30 * time.Millisecond}
	}
	if seed >= firstLargeSeed {
		return largeLayout()
	}
	return drawGroupedLayout(rand.New(rand.NewSource(seed)))
}

// TestSoak injects random faults into a deployment. It fails on two concurrent
// runs of a task, a run of a job whose every submission was refused, an unexpected
// status or exit, and an entry that does not stop within stopGracePeriod. After
// the last fault, every entry must complete a job within recoveryTimeout, and all
// runs must end. GODWIT_SEED sets the first seed; with it, GODWIT_SEEDS sets the
// number of seeds. GODWIT_SECONDS sets the duration of fault injection per seed.
// Seeds from firstGroupedSeed on have several worker groups, and those from
// firstLargeSeed on hundreds of workers as well. GODWIT_KEEP=1 keeps the
// logs of seeds that pass.
func TestSoak(t *testing.T) {
	program := buildEntry(t)
	for _, seed := range seedsFromEnv(ciSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, program, seed, layoutOf(seed)) })
	}
}

// seedsFromEnv returns the seeds from GODWIT_SEED on, or those of CI if it is not set.
func seedsFromEnv(ciSeeds []int64) []int64 {
	first := envInt("GODWIT_SEED", 0)
	if first == 0 {
		return ciSeeds
	}
	var seeds []int64
	for i := range envInt("GODWIT_SEEDS", 1) {
		seeds = append(seeds, int64(first+i))
	}
	return seeds
}

// buildEntry builds the entry program and returns its path.
func buildEntry(t *testing.T) string {
	t.Helper()
	program, err := launcher.Build(t.Context(), "../platform", t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return program
}

func runSeed(t *testing.T, program string, seed int64, l layout) {
	d := deploy(t, program, l)
	defer d.reportViolations(fmt.Sprint(seed))
	d.awaitService("the start")
	r := rand.New(rand.NewSource(seed))
	callers := &callers{d: d, log: d.createLog("callers"), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	ctx, stop := context.WithCancel(t.Context())
	var load, faults sync.WaitGroup
	load.Go(func() { callers.run(ctx, rand.New(rand.NewSource(seed+1))) })
	inject, seconds := func() string { return d.injectFault(r, &faults) }, ciSeconds
	if d.layout.grouped() {
		seconds = ciGroupedSeconds
		inject = func() string { return d.injectGroupFault(r, callers, &faults) }
	}
	attack, stopAttack := context.WithCancel(t.Context())
	var attacks sync.WaitGroup
	if l.attacked {
		attacks.Go(func() { d.attackEntries(attack, rand.New(rand.NewSource(seed+2))) })
		attacks.Go(func() { d.watchResources(attack) })
		injectOther, version := inject, 1
		inject = func() string {
			if r.Intn(4) > 0 {
				return injectOther()
			}
			version++
			return d.changeLimits(r, version, d.processes[r.Intn(len(d.processes))])
		}
	}
	for end := time.Now().Add(time.Duration(envInt("GODWIT_SECONDS", seconds)) * time.Second); time.Now().Before(end); {
		time.Sleep(time.Duration(r.Int63n(int64(d.layout.maxFaultGap))))
		t.Log(time.Now().Format("05.000"), inject())
	}
	stopAttack()
	attacks.Wait()
	faults.Wait()
	d.network.Heal()
	d.fleet.SetFaults(listener.Faults{})
	d.awaitService("the last fault")
	stop()
	load.Wait()
	callers.reportResults(t)
	for end := time.Now().Add(5 * time.Second); d.fleet.Running() > 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("%d task runs are still active", d.fleet.Running())
			break
		}
	}
}

// reportViolations fails the test for each violation that the workers have observed,
// and saves the logs of a run that has failed.
func (d *deployment) reportViolations(run string) {
	for _, v := range d.fleet.Violations() {
		d.t.Error(v)
	}
	if d.t.Failed() || os.Getenv("GODWIT_KEEP") != "" {
		d.saveLogs(run)
	}
}

// saveLogs copies the logs of a failed run to a directory that is not deleted
// after the test.
func (d *deployment) saveLogs(run string) {
	dir := filepath.Join(os.TempDir(), "godwit-soak-"+run)
	if err := os.CopyFS(dir, os.DirFS(d.dir)); err != nil {
		d.t.Logf("saving the logs: %v", err)
		return
	}
	d.t.Logf("logs saved in %s", dir)
}

// awaitService waits until every entry completes a job.
func (d *deployment) awaitService(after string) {
	d.t.Helper()
	client := &http.Client{Timeout: callerTimeout}
	end := time.Now().Add(recoveryTimeout)
	for i := 0; i < len(d.processes); {
		status, err := postJob(d.t.Context(), client, d.processes[i].address, fmt.Sprintf("%016x", rand.Uint64()), 1, listener.Work{CPU: 1000, WorkMs: 5})
		if status == http.StatusOK {
			i++
			continue
		}
		if time.Now().After(end) {
			if err != nil {
				d.t.Fatalf("entry %d is not serving jobs %v after %s: %v", i, recoveryTimeout, after, err)
			}
			d.t.Fatalf("entry %d is not serving jobs %v after %s: status %d", i, recoveryTimeout, after, status)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// callers submit jobs like the platform's callers and collect the results.
type callers struct {
	d        *deployment
	client   *http.Client
	log      io.Writer
	wg       sync.WaitGroup
	mu       sync.Mutex
	failures []string
	// refused are the IDs of the jobs whose every attempt was refused. None of
	// their tasks may start.
	refused         []string
	jobs, completed int
}

// run submits random jobs until ctx is done, then waits for their answers.
func (c *callers) run(ctx context.Context, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		id, first := fmt.Sprintf("%016x", r.Uint64()), r.Intn(len(c.d.processes))
		tasks := 1 + r.Intn(4)
		work := listener.Work{CPU: 10000 + r.Int63n(20000), WorkMs: 20 + r.Int63n(200), Fails: r.Intn(50) == 0}
		if r.Intn(20) == 0 {
			work.WorkMs = 1200
		}
		next := 1
		if c.d.layout.mixed {
			tasks, work = drawMixedJob(r)
		}
		if c.d.layout.grouped() {
			next = r.Intn(len(c.d.processes))
			if r.Intn(12) == 0 {
				work = drawSlowWork(r)
			}
		}
		c.wg.Go(func() { c.submit(id, first, next, tasks, work) })
		time.Sleep(time.Duration(r.Int63n(int64(c.d.layout.maxJobGap))))
	}
	c.wg.Wait()
}

// drawSlowWork returns the work of a task that takes longer than its job states, and
// than callers wait before they submit a job again.
func drawSlowWork(r *rand.Rand) listener.Work {
	return listener.Work{CPU: 15000, WorkMs: 1500 + r.Int63n(2500), EstimateMs: 200}
}

// burst submits slow jobs to an entry after a delay, perWorker for each worker of its
// group, but at most maxBurst. There is room for four.
func (c *callers) burst(r *rand.Rand, entry, perWorker int, delay time.Duration) {
	for range min(perWorker*len(c.d.workers)/c.d.layout.domains, maxBurst) {
		id, next, work := fmt.Sprintf("%016x", r.Uint64()), r.Intn(len(c.d.processes)), drawSlowWork(r)
		c.wg.Go(func() {
			time.Sleep(delay)
			c.submit(id, entry, next, 1, work)
		})
	}
}

// submit submits a job and, while its outcome is unknown, resubmits it to the
// entry that is next places further, with at most three attempts.
func (c *callers) submit(id string, entry, next, tasks int, work listener.Work) {
	refused := true
	completed := false
	for attempt := range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		p := c.d.processes[(entry+attempt*next)%len(c.d.processes)]
		c.logf("job %s to entry %d, attempt %d, %d tasks", id, p.index, attempt, tasks)
		status, _ := postJob(ctx, c.client, p.address, id, tasks, work)
		cancel()
		c.logf("job %s from entry %d, attempt %d: status %d", id, p.index, attempt, status)
		refused = refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		completed = status == http.StatusOK
		switch status {
		case http.StatusOK, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			time.Sleep(resubmitDelay)
			continue
		default:
			c.failf("job %s: status %d", id, status)
		}
		break
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs++
	if completed {
		c.completed++
	}
	if refused {
		c.refused = append(c.refused, id)
	}
}

// logf writes a line to the callers' log.
func (c *callers) logf(format string, args ...any) {
	// Ignore write errors: the log is only for people to read.
	_, _ = fmt.Fprintf(c.log, time.Now().Format(listener.TimeFormat)+" "+format+"\n", args...)
}

// failf records a failure to be reported by reportResults.
func (c *callers) failf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

// reportResults fails the test for each recorded failure and for each refused job
// that was run.
func (c *callers) reportResults(t *testing.T) {
	t.Helper()
	t.Logf("%d of %d jobs completed, %d refused", c.completed, c.jobs, len(c.refused))
	for _, f := range c.failures {
		t.Error(f)
	}
	for _, id := range c.refused {
		if n := c.d.fleet.StartedForJob(id); n > 0 {
			t.Errorf("job %s was refused but has %d task runs", id, n)
		}
	}
}

// postJob submits a job to an entry and returns the status, 0 if there was no
// complete answer.
func postJob(ctx context.Context, client *http.Client, address, id string, tasks int, work listener.Work) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+":8161"+prefix+id, strings.NewReader(listener.JobBody(tasks, work)))
	if err != nil {
		return 0, err
	}
	req.Host = host
	req.Header.Set("X-Time-Remaining", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
