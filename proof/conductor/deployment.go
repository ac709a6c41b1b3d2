// Package conductor runs scenarios on real processes: it writes their settings,
// starts them, injects faults, submits jobs and checks the histories.
package conductor

import (
	"fmt"
	"maps"
	"math/rand"
	"net"
	"os"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/proof/forwarder"
)

// hangTimeout ends a scenario that waits for an event that never occurs. It is
// not a performance limit.
const hangTimeout = 40 * time.Second

// ownerLookups is the number of attempts to find the process that opened a
// connection. The kernel's socket table is not read atomically: while many
// connections open and close, one read can miss a connection.
const ownerLookups = 10

// callerName is the name of the callers in partitions and other network faults.
const callerName = "caller"

// deploymentCount numbers the deployments of the test process.
var deploymentCount atomic.Int64

// Layout sets the size and the times of a deployment. Entries and Targets are per
// failure domain, Slots per target. LogRetentionMs is the retention of the
// platform's log, AnswerKeepMs how long entries keep answers, and LeaseMs the
// lease of entries and of the broker's grants; 0 selects the program's default.
type Layout struct {
	Domains, Entries, Targets, Slots      int
	LogRetentionMs, AnswerKeepMs, LeaseMs int64
}

// Deployment is a platform, failure domains with entries and targets, callers
// and operators. Create one with [New].
type Deployment struct {
	programs  Programs
	dir       string
	layout    Layout
	network   *forwarder.Network
	client    messenger.Client
	caller    *caller
	attacks   attacks
	rng       *rand.Rand
	sequence  int64
	hostCount int

	platform  *process
	processes map[string]*process
	domains   []string
	// sentMarks are the counts of sent tasks that the mark command saved, by target.
	sentMarks map[string]map[task]int

	mu   sync.Mutex
	pids map[int]string
}

// New returns a deployment that keeps its settings, logs and histories in dir.
// The seed determines the random choices of the background load.
func New(programs Programs, dir string, seed int64) *Deployment {
	d := &Deployment{
		programs: programs, dir: dir, rng: rand.New(rand.NewSource(seed)),
		sequence: deploymentCount.Add(1), processes: map[string]*process{}, pids: map[int]string{}, sentMarks: map[string]map[task]int{},
		client: messenger.Client{Transport: messenger.NewTransport(4, time.Second)},
	}
	d.network = forwarder.New(d.clientName)
	return d
}

// hostAddress returns an address of the simulated host with the given number.
// Addresses in 127/8 are derived from the process ID, so that concurrent test
// processes on one machine rarely collide; ports are derived from the sequence
// number, so that concurrent deployments of one test process do not collide.
func (d *Deployment) hostAddress(host, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>8%250, pid%256, host, 7000+10*int(d.sequence%2000)+port)
}

// clientName returns the name of the process that opened a connection, or "" if it
// is not found.
func (d *Deployment) clientName(accepted net.Conn) string {
	if host, _, err := net.SplitHostPort(accepted.RemoteAddr().String()); err == nil && host == d.callerIP() {
		return callerName
	}
	for range ownerLookups {
		pids, names := d.runningProcesses()
		if pid := forwarder.OwnerPID(accepted, pids); pid != 0 {
			return names[pid]
		}
	}
	return ""
}

// runningProcesses returns the process IDs of all running programs, and their
// names by process ID. The IDs of godwitctl runs that have ended are included:
// runOperator adds an ID for each run and does not remove it.
func (d *Deployment) runningProcesses() ([]int, map[int]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pids := make([]int, 0, len(d.pids))
	for pid := range d.pids {
		pids = append(pids, pid)
	}
	return pids, maps.Clone(d.pids)
}

func (d *Deployment) callerIP() string {
	host, _, _ := net.SplitHostPort(d.hostAddress(254, 0))
	return host
}

// Deploy starts the platform, applies the first sheet, starts the entries and
// targets, and waits until the deployment has settled (see waitSettled) and all
// entries have read the list of targets.
func (d *Deployment) Deploy(l Layout) error {
	d.layout = l
	var err error
	if d.caller, err = newCaller(d); err != nil {
		return err
	}
	d.addPlatform()
	for n := 1; n <= l.Domains; n++ {
		d.domains = append(d.domains, fmt.Sprintf("d%d", n))
	}
	for _, domain := range d.domains {
		for n := 1; n <= l.Entries; n++ {
			d.addEntry(fmt.Sprintf("%se%d", domain, n), domain)
		}
		for n := 1; n <= l.Targets; n++ {
			d.addTarget(fmt.Sprintf("%st%d", domain, n), domain)
		}
	}
	if err := d.startAll(); err != nil {
		return err
	}
	return d.waitTargetsListed()
}

func (d *Deployment) startAll() error {
	if err := d.start(d.platform); err != nil {
		return err
	}
	if err := d.poll("the platform to serve requests", d.platformReady); err != nil {
		return err
	}
	if err := d.apply("first", 0, "--timeout", "30s"); err != nil {
		return err
	}
	for _, step := range []func(*process) error{d.spawn, d.openForwards} {
		for _, name := range d.processNames("") {
			if p := d.processes[name]; p != d.platform {
				if err := step(p); err != nil {
					return err
				}
			}
		}
	}
	return d.waitSettled()
}

// processNames returns the sorted names of the processes of a failure domain or,
// for "", of all processes.
func (d *Deployment) processNames(domain string) []string {
	var list []string
	for name, p := range d.processes {
		if domain == "" || p.domain == domain {
			list = append(list, name)
		}
	}
	sort.Strings(list)
	return list
}

// entryNames returns the sorted names of the entries of a failure domain or, for
// "", of all entries.
func (d *Deployment) entryNames(domain string) []string {
	return slices.DeleteFunc(d.processNames(domain), func(name string) bool { return d.processes[name].callerAddress == "" })
}

// resolveNames returns the names of the processes that a name in a script refers
// to. The name is that of a process, a failure domain, the platform, the callers
// or the operators.
func (d *Deployment) resolveNames(name string) ([]string, error) {
	if name == callerName || name == operatorName || d.processes[name] != nil {
		return []string{name}, nil
	}
	if slices.Contains(d.domains, name) {
		return d.processNames(name), nil
	}
	return nil, errors.Newf("unknown process or failure domain %q", name)
}

func (d *Deployment) process(name string) (*process, error) {
	if p := d.processes[name]; p != nil {
		return p, nil
	}
	return nil, errors.Newf("unknown process %q", name)
}

// Close stops the background load, the network and all running processes.
func (d *Deployment) Close() {
	d.attacks.end()
	if d.caller != nil {
		d.caller.stopLoad()
	}
	d.network.Close()
	for _, p := range d.processes {
		p.kill()
	}
}

// hangTimer returns a channel that fires after hangTimeout.
func (d *Deployment) hangTimer() <-chan time.Time { return time.After(hangTimeout) }
