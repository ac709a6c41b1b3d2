package untrusted

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/proof/attacker"
	"github.com/godwitrelay/godwitrelay/soak/launcher"
	"github.com/godwitrelay/godwitrelay/soak/sampler"
)

const (
	host = "orders.example"
	// memoryMB is MemoryMb in the settings of the entry, and a bound of the tests. It is
	// lower than on any VM, so that a small crowd exceeds it.
	memoryMB = 96
	// leastFds is the lowest MaxFds of the deployments. With fewFds, a small crowd has
	// more connections than the process may have descriptors.
	leastFds, fewFds = 3075, 360
	// crowd is the number of clients of an attack. Their bodies of MaxBodyBytes exceed
	// memoryMB, and their connections fewFds.
	crowd = 400
	// openFor is how long the clients keep their connections open after the last byte.
	openFor = 2 * time.Second
	// patience bounds each wait for the entry, so that a process that hangs fails the
	// test.
	patience = 30 * time.Second
)

// port returns the address of a server. Both programs have the same ports.
func port(ip string, p attacker.Port) string {
	return ip + map[attacker.Port]string{attacker.Callers: ":8161", attacker.Ready: ":8167", attacker.Peers: ":7720", attacker.Metrics: ":7721"}[p]
}

// build builds the program in a directory of the repository and returns its path.
func build(t *testing.T, dir string) string {
	t.Helper()
	program, err := launcher.Build(t.Context(), "../../"+dir, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return program
}

// startProcess starts a program with the contents of its settings file, and kills it when
// the test ends.
func startProcess(t *testing.T, program, settings string) *launcher.Process {
	t.Helper()
	p, err := launcher.Start(program, settings, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	return p
}

// entry is the process under attack.
type entry struct {
	t      *testing.T
	maxFds int
	ip     string
	// request sends an ordinary request and returns the status of its answer.
	request func(client *http.Client, id int) (int, error)
	// starts returns how many tasks of a job of the attack have started. It is nil if the
	// clients do not choose the ids of their jobs.
	starts  func(number int) int
	process *launcher.Process
}

// start starts the entry with the contents of its settings file, and waits until it
// answers.
func (e *entry) start(program, settings string) *entry {
	e.process = startProcess(e.t, program, settings)
	e.awaitAnswer(1 << 40)
	return e
}

// address returns the IP address for the processes of this test.
func address() string { return fmt.Sprintf("127.78.%d.1", 1+os.Getpid()%250) }

// withstand runs the attack and checks what must hold in spite of it.
func (e *entry) withstand(a attacker.Attack) {
	ctx, stop := context.WithCancel(e.t.Context())
	var sending, open, sampling sync.WaitGroup
	var most sampler.Usage
	sampling.Go(func() {
		for {
			most = most.Max(sampler.Sample(e.process.Pid))
			select {
			case <-ctx.Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	for client := range crowd {
		sending.Add(1)
		open.Go(func() { a.Play(ctx, port(e.ip, a.Port), client, sending.Done) })
	}
	sending.Wait()
	time.Sleep(openFor)
	// The unfinished requests are still open.
	e.awaitAnswer(1 << 41)
	stop()
	open.Wait()
	sampling.Wait()
	e.awaitAnswer(1 << 42)
	most = most.Max(sampler.Sample(e.process.Pid))
	e.t.Logf("at most %v", most)
	if limit := (sampler.Usage{PeakMemoryMB: memoryMB, Descriptors: e.maxFds}); most.Exceeds(limit) {
		e.t.Errorf("the process had %v, want at most %v", most, limit)
	}
	if e.starts != nil {
		e.checkUnfinished(a)
	}
}

// checkUnfinished checks that no task started for a client that sent no whole request.
func (e *entry) checkUnfinished(a attacker.Attack) {
	e.t.Helper()
	for client := range crowd {
		if n := e.starts(attacker.JobNumber(client)); n > 0 && !a.Finishes(client) {
			e.t.Errorf("the request of client %d was not complete, but %d tasks of its job started", client, n)
		}
	}
}

// awaitAnswer sends an ordinary request until it is answered with 200. Refusals with 503
// and closed connections are allowed before.
func (e *entry) awaitAnswer(id int) {
	e.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := "no attempt"
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-e.process.Exited:
			e.t.Fatalf("the process has exited: %v", e.process.State())
		default:
		}
		status, err := e.request(client, id)
		if last = fmt.Sprint(status, " ", err); status == http.StatusOK {
			return
		}
	}
	e.t.Fatalf("no ordinary request was answered; last: %s", last)
}
