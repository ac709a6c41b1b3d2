package soak

import (
	"context"
	"errors"
	"fmt"
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
	// graceTime is the time from SIGTERM to SIGKILL on the platform.
	graceTime = 6 * time.Second
)

// process is one entry. Its address stays the same over its lives.
type process struct {
	index    int
	address  string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	alive    bool
	// stopping is set from SIGTERM on, and killed from SIGKILL on.
	stopping, killed bool
}

// deployment is a platform of stand-ins with the processes on it.
type deployment struct {
	t         *testing.T
	program   string
	folder    string
	network   *forwarder.Network
	store     listener.Store
	fleet     listener.Fleet
	workers   []*listener.Worker
	processes []*process
}

func deploy(t *testing.T, program string, entries, workers int) *deployment {
	d := &deployment{t: t, program: program, folder: t.TempDir(), network: forwarder.New(func(net.Conn) string { return "entry" })}
	t.Cleanup(d.network.Close)
	d.store.Put(listener.OperatorTopic, listener.ConfigurationKey, listener.Configuration(1, host, prefix, "router"))
	for i := range workers {
		w := d.fleet.Add(fmt.Sprintf("w%d", i), 64000)
		address := d.forward(w.ID, w.Handler())
		d.store.Put(listener.WorkerTopic, w.ID, w.Record("router", address, "patan", false))
		d.workers = append(d.workers, w)
	}
	// Addresses of entries are in a block of loopback of their own.
	block := 1 + os.Getpid()%250
	for i := range entries {
		p := &process{index: i, address: fmt.Sprintf("127.77.%d.%d", block, i+1), settings: filepath.Join(d.folder, fmt.Sprintf("entry-%d.toml", i))}
		text := listener.Settings(fmt.Sprintf("entry-%d", i), p.address, fmt.Sprintf("127.77.%d.1", block), d.forward(storeOf(i), d.store.Handler()))
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		d.processes = append(d.processes, p)
		d.start(p)
	}
	t.Cleanup(func() {
		for _, p := range d.processes {
			d.kill(p)
		}
	})
	return d
}

// storeOf names the store as entry i reaches it.
func storeOf(i int) string { return fmt.Sprintf("store of entry %d", i) }

// forward serves a handler behind a forwarder and returns its address.
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

// start begins a new life of a process unless it lives: faults overlap, and
// each starts what it has ended. Output is appended to the process's log.
func (d *deployment) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.alive {
		return
	}
	out, err := os.OpenFile(filepath.Join(d.folder, fmt.Sprintf("entry-%d.log", p.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	defer out.Close()
	cmd := exec.CommandContext(context.Background(), d.program, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.alive, p.stopping, p.killed = cmd, exited, true, false, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.alive = false
		if !p.killed && (err != nil || !p.stopping) {
			d.t.Errorf("entry %d ended by itself: %v", p.index, err)
		}
		p.mu.Unlock()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = p.stopping || s == syscall.SIGTERM
	p.killed = p.killed || s == syscall.SIGKILL
	// A process that has ended can't be signalled, which is as good.
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		panic(err)
	}
}

func (d *deployment) kill(p *process) {
	p.signal(syscall.SIGKILL)
	<-p.exit()
}

// exit returns the channel that is closed when the present life ends.
func (p *process) exit() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// stop ends a process in good order and checks that it keeps to its time.
func (d *deployment) stop(p *process) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exit():
	case <-time.After(graceTime):
		p.mu.Lock()
		killed := p.killed
		p.mu.Unlock()
		if !killed {
			d.t.Errorf("entry %d runs %v after SIGTERM", p.index, graceTime)
		}
		d.kill(p)
	}
}

// breakSomething begins a fault, and ends it by itself some time later.
func (d *deployment) breakSomething(r *rand.Rand, faults *sync.WaitGroup) string {
	p := d.processes[r.Intn(len(d.processes))]
	w := d.workers[r.Intn(len(d.workers))]
	lasts := 200*time.Millisecond + time.Duration(r.Int63n(int64(2500*time.Millisecond)))
	later := func(do func()) {
		faults.Go(func() {
			time.Sleep(lasts)
			do()
		})
	}
	name := ""
	switch r.Intn(9) {
	case 0:
		name = fmt.Sprintf("entry %d is killed", p.index)
		d.kill(p)
		later(func() { d.start(p) })
	case 1:
		name = fmt.Sprintf("entry %d is paused", p.index)
		p.signal(syscall.SIGSTOP)
		later(func() { p.signal(syscall.SIGCONT) })
	case 2:
		name = fmt.Sprintf("entry %d is stopped", p.index)
		faults.Go(func() {
			d.stop(p)
			d.start(p)
		})
	case 3:
		name = "store is down"
		d.store.Fail(time.Now().Add(lasts))
	case 4:
		name = fmt.Sprintf("entry %d is cut off from the store", p.index)
		d.network.Cut("entry", storeOf(p.index))
		later(d.network.Heal)
	case 5:
		name = w.ID + " is cut off"
		d.network.Cut("entry", w.ID)
		later(d.network.Heal)
	case 6:
		name = w.ID + " hears and is not heard"
		d.network.CutOneWay(w.ID, "entry")
		later(d.network.Heal)
	case 7:
		name = w.ID + " starts anew"
		w.Restart()
	case 8:
		name = "starts are late or not answered"
		d.fleet.Break(listener.Faults{Late: 0.1, LateMs: 300 + r.Int63n(2000), Mute: 0.1})
		later(func() { d.fleet.Break(listener.Faults{}) })
	}
	return fmt.Sprintf("%s, %v", name, lasts.Round(time.Millisecond))
}
