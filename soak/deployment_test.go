package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/proof/forwarder"
	"github.com/godwitrelay/godwitrelay/standin/fleet/listener"
)

const (
	host   = "orders.example"
	prefix = "/orders/"
	// stopGracePeriod is the time from SIGTERM to SIGKILL on the platform.
	stopGracePeriod = 6 * time.Second
)

// layout describes a deployment.
type layout struct {
	entries, workers int
	workerCPU        int64
	// domains is the number of failure domains, among which entries and workers
	// are dealt. With more than one, each has a worker group of its own.
	domains int
	// maxFaultGap is the longest time between two faults, and maxJobGap that between
	// two jobs.
	maxFaultGap, maxJobGap time.Duration
	// cpuShares are the shares of a CPU core of the entries of a failure domain, in
	// turns, if there are several failure domains.
	cpuShares []float64
	// mixed is set if the jobs are those of a mixed load, and not of random sizes.
	mixed bool
	// memoryMB and maxFds limit each entry; 0 means the default. attacked is set if there
	// are clients that keep to no limit.
	memoryMB, maxFds int
	attacked         bool
}

func (l layout) grouped() bool { return l.domains > 1 }

// zone returns the failure domain of entry or worker i.
func (l layout) zone(i int) string {
	return []string{"patan", "kalimati", "bhaktapur", "kirtipur"}[i%max(l.domains, 1)]
}

// process is one entry. It keeps its address across restarts.
type process struct {
	index int
	// name is that of the entry in the forwarder.
	name     string
	address  string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	alive    bool
	// stopping is set once SIGTERM is sent, killed once SIGKILL is sent.
	stopping, killed bool
}

// deployment is a simulated platform, with a store and workers, and the entry
// processes that run on it.
type deployment struct {
	t       *testing.T
	layout  layout
	program string
	dir     string
	network *forwarder.Network
	store   listener.Store
	fleet   listener.Fleet
	workers []*listener.Worker
	// mu orders the creation of processes and their connections, which the race
	// detector does not see.
	mu        sync.Mutex
	processes []*process
}

// deploy starts the entries and stops them when the test ends.
func deploy(t *testing.T, program string, l layout) *deployment {
	d := &deployment{t: t, layout: l, program: program, dir: t.TempDir()}
	d.network = forwarder.New(d.clientName)
	t.Cleanup(d.network.Close)
	d.fleet.Trace = d.createLog("workers")
	d.store.Put(listener.OperatorTopic, listener.ConfigurationKey, listener.Configuration(1, host, prefix, "router"))
	for i := range l.workers {
		w := d.fleet.Add(fmt.Sprintf("w%d", i), l.workerCPU)
		address := d.forward(w.ID, w.Handler())
		d.store.Put(listener.WorkerTopic, w.ID, w.Record("router", address, l.zone(i), false))
		d.workers = append(d.workers, w)
	}
	// Entry addresses are in a loopback block derived from the process ID, so
	// that concurrent test processes rarely collide.
	block := 1 + os.Getpid()%250
	for i := range l.entries {
		p := &process{index: i, name: "entry", address: fmt.Sprintf("127.77.%d.%d", block, i+1), settings: filepath.Join(d.dir, fmt.Sprintf("entry-%d.toml", i))}
		settings := listener.EntrySettings{
			Name: fmt.Sprintf("entry-%d", i), Zone: l.zone(i), IP: p.address, Seed: fmt.Sprintf("127.77.%d.1", block),
			Store: d.forward(storeName(i), d.store.Handler()), MemoryMB: l.memoryMB, MaxFds: l.maxFds,
		}
		if l.grouped() {
			p.name, settings.CPUShare = settings.Name, l.cpuShares[i/l.domains%len(l.cpuShares)]
		}
		if err := os.WriteFile(p.settings, []byte(settings.File()), 0o600); err != nil {
			t.Fatal(err)
		}
		d.mu.Lock()
		d.processes = append(d.processes, p)
		d.mu.Unlock()
	}
	for _, p := range d.processes {
		d.start(p)
	}
	t.Cleanup(func() {
		for _, p := range d.processes {
			d.kill(p)
		}
	})
	return d
}

// createLog creates a log file beside those of the entries.
func (d *deployment) createLog(name string) *os.File {
	f, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = f.Close() })
	return f
}

// storeName returns the forwarder's name for the store as seen by entry i. Each
// entry has its own, so that it can be partitioned from the store alone.
func storeName(i int) string { return fmt.Sprintf("store of entry %d", i) }

// forward serves a handler behind a forwarder and returns the announced address.
func (d *deployment) forward(name string, handler http.Handler) string {
	server := httptest.NewServer(handler)
	d.t.Cleanup(server.Close)
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	address := ln.Addr().String()
	if err := ln.Close(); err != nil {
		d.t.Fatal(err)
	}
	if err := d.network.Forward(name, address, strings.TrimPrefix(server.URL, "http://")); err != nil {
		d.t.Fatal(err)
	}
	return address
}

// start starts the process unless it is running: faults overlap, and each one
// restarts the process that it ended. Output is appended to the process's log.
func (d *deployment) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.alive {
		return
	}
	logFile, err := os.OpenFile(d.logPath(p), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	defer logFile.Close()
	logged, err := logFile.Seek(0, io.SeekEnd)
	if err != nil {
		d.t.Error(err)
		return
	}
	cmd := exec.CommandContext(context.Background(), d.program, "--settings", p.settings)
	if d.layout.grouped() {
		cmd.Args = append(cmd.Args, "--listen-peers", p.address+peerBackendPort, "--connect-from", p.address)
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.alive, p.stopping, p.killed = cmd, exited, true, false, false
	if d.layout.grouped() {
		go d.forwardPeers(p, cmd)
	}
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.alive = false
		d.network.StopForwarding(p.name)
		// SIGTERM ends a program that has not begun to handle signals.
		tooEarly := p.stopping && !d.hasStarted(p, logged)
		if !p.killed && !tooEarly && (err != nil || !p.stopping) {
			d.t.Errorf("entry %d exited unexpectedly: %v", p.index, err)
		}
		p.mu.Unlock()
		close(exited)
	}()
}

// hasStarted reports whether the entry has logged its start since its log had the
// given size.
func (d *deployment) hasStarted(p *process, logged int64) bool {
	data, err := os.ReadFile(d.logPath(p))
	if err != nil {
		d.t.Error(err)
		return true
	}
	return bytes.Contains(data[logged:], []byte("entry: started"))
}

func (d *deployment) logPath(p *process) string {
	return filepath.Join(d.dir, fmt.Sprintf("entry-%d.log", p.index))
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = p.stopping || s == syscall.SIGTERM
	p.killed = p.killed || s == syscall.SIGKILL
	// The process may already have exited.
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		panic(fmt.Errorf("sending signal %d (%v) to entry %d: %w", int(s), s, p.index, err))
	}
}

// kill sends SIGKILL and waits for the process to exit.
func (d *deployment) kill(p *process) {
	p.signal(syscall.SIGKILL)
	<-p.exitedChannel()
}

// exitedChannel returns the channel that is closed when the current run of the
// process exits.
func (p *process) exitedChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// stop stops the process with SIGTERM and checks that it exits within
// stopGracePeriod.
func (d *deployment) stop(p *process) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exitedChannel():
	case <-time.After(stopGracePeriod):
		p.mu.Lock()
		killed := p.killed
		p.mu.Unlock()
		if !killed {
			d.t.Errorf("entry %d is still running %v after SIGTERM", p.index, stopGracePeriod)
		}
		d.kill(p)
	}
}

// injectFault starts a random fault, schedules its end, if it has one, and returns
// a description. The end of a partition also ends all other partitions.
func (d *deployment) injectFault(r *rand.Rand, faults *sync.WaitGroup) string {
	p := d.processes[r.Intn(len(d.processes))]
	w := d.workers[r.Intn(len(d.workers))]
	duration := 200*time.Millisecond + time.Duration(r.Int63n(int64(2500*time.Millisecond)))
	afterDuration := func(do func()) {
		faults.Go(func() {
			time.Sleep(duration)
			do()
		})
	}
	rounded := duration.Round(time.Millisecond)
	fault := ""
	switch r.Intn(9) {
	case 0:
		fault = fmt.Sprintf("entry %d is killed and restarts after %v", p.index, rounded)
		d.kill(p)
		afterDuration(func() { d.start(p) })
	case 1:
		fault = fmt.Sprintf("entry %d is paused for %v", p.index, rounded)
		p.signal(syscall.SIGSTOP)
		afterDuration(func() { p.signal(syscall.SIGCONT) })
	case 2:
		fault = fmt.Sprintf("entry %d is stopped", p.index)
		faults.Go(func() {
			d.stop(p)
			d.start(p)
		})
	case 3:
		fault = fmt.Sprintf("store is down for %v", rounded)
		d.store.StartOutage(time.Now().Add(duration))
	case 4:
		fault = fmt.Sprintf("entry %d is partitioned from the store for %v", p.index, rounded)
		d.network.Partition("entry", storeName(p.index))
		afterDuration(d.network.Heal)
	case 5:
		fault = fmt.Sprintf("%s is partitioned from the entries for %v", w.ID, rounded)
		d.network.Partition("entry", w.ID)
		afterDuration(d.network.Heal)
	case 6:
		fault = fmt.Sprintf("%s receives data, but its replies are blocked for %v", w.ID, rounded)
		d.network.PartitionOneWay(w.ID, "entry")
		afterDuration(d.network.Heal)
	case 7:
		fault = w.ID + " restarts"
		w.Restart()
	case 8:
		fault = fmt.Sprintf("for %v, task starts are delayed or not answered", rounded)
		d.fleet.SetFaults(listener.Faults{DelayedProbability: 0.1, DelayMs: 300 + r.Int63n(2000), NoReplyProbability: 0.1})
		afterDuration(func() { d.fleet.SetFaults(listener.Faults{}) })
	}
	return fault
}
