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
	// resendAfter is when a caller sends a job again that got no answer.
	resendAfter = 1300 * time.Millisecond
	// callerWaits is how long a caller waits for an answer.
	callerWaits = 2500 * time.Millisecond
	// recoverWithin is the time after the last fault in which the deployment
	// has to serve again.
	recoverWithin = 12 * time.Second
	ciSeconds     = 12
)

// ciSeeds run in CI. A seed that ever failed stays here, with its cause.
var ciSeeds = []int64{1}

func setting(name string, usual int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return usual
}

// TestSoak breaks a deployment at random and checks what callers and workers
// see: no two runs of a task at once, no run of a job that was only refused, an
// answer within the caller's time from every entry that lives, and service
// again after the last fault. GODWIT_SEED sets the first seed, GODWIT_SEEDS the
// number of seeds, GODWIT_SECONDS the time of each.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "entry")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "../platform").CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, out)
	}
	seeds := ciSeeds
	if first := setting("GODWIT_SEED", 0); first != 0 {
		seeds = nil
		for i := range setting("GODWIT_SEEDS", 1) {
			seeds = append(seeds, int64(first+i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, program, seed) })
	}
}

func soak(t *testing.T, program string, seed int64) {
	d := deploy(t, program, 5, 8)
	d.awaitService("the start")
	r := rand.New(rand.NewSource(seed))
	callers := &callers{d: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	ctx, stop := context.WithCancel(t.Context())
	var load, faults sync.WaitGroup
	load.Go(func() { callers.run(ctx, rand.New(rand.NewSource(seed+1))) })
	for end := time.Now().Add(time.Duration(setting("GODWIT_SECONDS", ciSeconds)) * time.Second); time.Now().Before(end); {
		time.Sleep(time.Duration(r.Int63n(int64(1200 * time.Millisecond))))
		t.Log(time.Now().Format("05.000"), d.breakSomething(r, &faults))
	}
	faults.Wait()
	d.network.Heal()
	d.fleet.Break(listener.Faults{})
	d.awaitService("the last fault")
	stop()
	load.Wait()
	callers.check(t)
	for end := time.Now().Add(5 * time.Second); d.fleet.Running() > 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("%d runs are left", d.fleet.Running())
			break
		}
	}
	for _, v := range d.fleet.Violations() {
		t.Error(v)
	}
	if t.Failed() {
		d.keepLogs(seed)
	}
}

// keepLogs copies the logs of a failed run to a folder that stays.
func (d *deployment) keepLogs(seed int64) {
	folder := filepath.Join(os.TempDir(), fmt.Sprintf("godwit-soak-%d", seed))
	if err := os.CopyFS(folder, os.DirFS(d.folder)); err != nil {
		d.t.Logf("keeping the logs: %v", err)
		return
	}
	d.t.Logf("logs are in %s", folder)
}

// awaitService waits until every entry completes a job.
func (d *deployment) awaitService(after string) {
	d.t.Helper()
	client := &http.Client{Timeout: callerWaits}
	end := time.Now().Add(recoverWithin)
	for i := 0; i < len(d.processes); {
		status, _ := send(d.t.Context(), client, d.processes[i].address, fmt.Sprintf("%016x", rand.Uint64()), 1, listener.Work{CPU: 1000, WorkMs: 5})
		if status == http.StatusOK {
			i++
			continue
		}
		if time.Now().After(end) {
			d.t.Fatalf("entry %d does not serve %v after %s: status %d", i, recoverWithin, after, status)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// callers send jobs as callers of the platform do.
type callers struct {
	d      *deployment
	client *http.Client
	wg     sync.WaitGroup
	mu     sync.Mutex
	faults []string
	// refused are jobs of which every attempt was refused as not run.
	refused         []string
	jobs, completed int
}

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

// submit sends a job, and again to another entry while its fate is unknown.
func (c *callers) submit(id string, entry, tasks int, work listener.Work) {
	refused := true
	completed := false
	for attempt := range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), callerWaits)
		status, _ := send(ctx, c.client, c.d.processes[(entry+attempt)%len(c.d.processes)].address, id, tasks, work)
		cancel()
		refused = refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		completed = status == http.StatusOK
		switch status {
		case http.StatusOK, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			time.Sleep(resendAfter)
			continue
		default:
			c.fault("job %s: status %d", id, status)
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

func (c *callers) fault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *callers) check(t *testing.T) {
	t.Helper()
	t.Logf("%d of %d jobs completed, %d refused", c.completed, c.jobs, len(c.refused))
	for _, f := range c.faults {
		t.Error(f)
	}
	for _, id := range c.refused {
		if n := c.d.fleet.StartedOf(id); n > 0 {
			t.Errorf("job %s was refused as not run and has %d runs", id, n)
		}
	}
}

func send(ctx context.Context, client *http.Client, address, id string, tasks int, work listener.Work) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+":8161"+prefix+id, strings.NewReader(listener.JobBody(tasks, work)))
	if err != nil {
		return 0, err
	}
	req.Host = host
	req.Header.Set("X-Time-Remaining", strconv.FormatInt(callerWaits.Milliseconds(), 10))
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
