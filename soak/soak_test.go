package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"testing"
	"time"

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
	// ciSeconds is the default duration of fault injection per seed.
	ciSeconds = 12
)

// ciSeeds are the seeds that CI runs. A seed that has exposed a bug is kept in the
// list, with a comment on the cause.
var ciSeeds = []int64{
	1,
	// A worker executed a late start right after its restart, while the task ran on
	// another worker.
	7003,
}

// envInt returns the integer value of an environment variable, or the default if
// it is not set or invalid.
func envInt(name string, defaultValue int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return defaultValue
}

// TestSoak injects random faults into a deployment. It fails on two concurrent
// runs of a task, a run of a job whose every submission was refused, an unexpected
// status or exit, and an entry that does not stop within stopGracePeriod. After
// the last fault, every entry must complete a job within recoveryTimeout, and all
// runs must end. GODWIT_SEED sets the first seed; with it, GODWIT_SEEDS sets the
// number of seeds. GODWIT_SECONDS sets the duration of fault injection per seed.
func TestSoak(t *testing.T) {
	program := buildEntry(t)
	seeds := ciSeeds
	if first := envInt("GODWIT_SEED", 0); first != 0 {
		seeds = nil
		for i := range envInt("GODWIT_SEEDS", 1) {
			seeds = append(seeds, int64(first+i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, program, seed) })
	}
}

// buildEntry builds the entry program and returns its path.
func buildEntry(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "entry")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "../platform").CombinedOutput(); err != nil {
		t.Fatalf("building the entry program: %v\n%s", err, out)
	}
	return program
}

func runSeed(t *testing.T, program string, seed int64) {
	d := deploy(t, program, 5, 8)
	d.awaitService("the start")
	r := rand.New(rand.NewSource(seed))
	callers := &callers{d: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	ctx, stop := context.WithCancel(t.Context())
	var load, faults sync.WaitGroup
	load.Go(func() { callers.run(ctx, rand.New(rand.NewSource(seed+1))) })
	for end := time.Now().Add(time.Duration(envInt("GODWIT_SECONDS", ciSeconds)) * time.Second); time.Now().Before(end); {
		time.Sleep(time.Duration(r.Int63n(int64(1200 * time.Millisecond))))
		t.Log(time.Now().Format("05.000"), d.injectFault(r, &faults))
	}
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
	for _, v := range d.fleet.Violations() {
		t.Error(v)
	}
	if t.Failed() {
		d.saveLogs(seed)
	}
}

// saveLogs copies the logs of a failed run to a directory that is not deleted
// after the test.
func (d *deployment) saveLogs(seed int64) {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("godwit-soak-%d", seed))
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
		c.wg.Go(func() { c.submit(id, first, tasks, work) })
		time.Sleep(time.Duration(r.Int63n(int64(30 * time.Millisecond))))
	}
	c.wg.Wait()
}

// submit submits a job and, while its outcome is unknown, resubmits it to the next
// entry, with at most three attempts.
func (c *callers) submit(id string, entry, tasks int, work listener.Work) {
	refused := true
	completed := false
	for attempt := range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		status, _ := postJob(ctx, c.client, c.d.processes[(entry+attempt)%len(c.d.processes)].address, id, tasks, work)
		cancel()
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
