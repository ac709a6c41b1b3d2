package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	service = "order-router"
	host    = "orders.example"
	prefix  = "/firm/"
	// otherPrefix is that of a route which no job uses.
	otherPrefix = "/check/"
)

// ports are the same on all machines.
type ports struct{ front, ready, control, first int }

// site is a small deployment on loopback addresses.
type site struct {
	rec     *record
	dir     string
	program string
	ports   ports
	store   *store
	storeAt string
	runners []*runner
	entries []*entry
	zones   []string
}

// entry is one process of the project's own program, on its own loopback address.
type entry struct {
	name, ip, zone string
	cmd            *exec.Cmd
	log            *os.File
	ended          chan struct{}
}

func newSite(rec *record, program string) (*site, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, program: program, store: newStore(), zones: []string{"kalimati", "patan"}}
	p := make([]int, 0, 3)
	for range 3 {
		port, err := freePort(1)
		if err != nil {
			return nil, err
		}
		p = append(p, port)
	}
	first, err := freePort(2)
	if err != nil {
		return nil, err
	}
	s.ports = ports{p[0], p[1], p[2], first}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAt = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: s.store}).Serve(ln) }()
	return s, nil
}

// freePort returns the first of n successive ports that are free.
func freePort(n int) (int, error) {
	for range 100 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := ln.Addr().(*net.TCPAddr).Port
		ok := port+n < 65000
		for i := 1; i < n && ok; i++ {
			next, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+i))
			if ok = err == nil; ok {
				_ = next.Close()
			}
		}
		_ = ln.Close()
		if ok {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports", n)
}

// configure writes a configuration with a route for each prefix.
func (s *site) configure(version int, prefixes ...string) {
	routes := []any{}
	for _, p := range prefixes {
		routes = append(routes, map[string]any{
			"Name": "r-" + strings.Trim(p, "/"), "Host": host, "Prefix": p, "Type": "unsafe", "TimeoutMs": 1500, "TargetLatencyMs": 1000,
			"Priority": 0, "Service": service, "MaxAttempts": 4, "Stretch": 1.6,
		})
	}
	data, err := json.Marshal(map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": true, "Standby": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	s.store.put("keyed.op", "config", data)
	s.rec.add("the operator wrote version %d with the routes %v", version, prefixes)
}

// runsOf returns the runs of a job that are at work.
func (s *site) runsOf(id string) []runKey {
	var list []runKey
	for _, r := range s.runners {
		r.mu.Lock()
		for key := range r.runs {
			if strings.HasPrefix(key.task, id+".") {
				list = append(list, key)
			}
		}
		r.mu.Unlock()
	}
	return list
}

// addRunner starts a runner of a kind. started is called when it has begun a run.
func (s *site) addRunner(i int, kind string, cpu int64, started func(*runner, *run)) (*runner, error) {
	port, err := freePort(1)
	if err != nil {
		return nil, err
	}
	zone := s.zones[i%len(s.zones)]
	r := &runner{
		id: runnerName(i), address: fmt.Sprintf("127.0.2.%d:%d", i+1, port), service: service, zone: zone, cpu: cpu,
		rec: s.rec, store: s.store, rack: fmt.Sprintf("r1-%d", i/6), started: started,
	}
	s.runners = append(s.runners, r)
	return r, r.boot(kind)
}

// startEntry starts entry i, for the first time or again.
func (s *site) startEntry(i int) (*entry, error) {
	e := &entry{name: fmt.Sprintf("front-%s-%d", s.zones[i%len(s.zones)], i/len(s.zones)+1), ip: fmt.Sprintf("127.0.1.%d", i+1), zone: s.zones[i%len(s.zones)], ended: make(chan struct{})}
	path := filepath.Join(s.dir, fmt.Sprintf("node-%d.toml", i))
	if err := os.WriteFile(path, []byte(s.settings(e)), 0o644); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	e.log = log
	e.cmd = exec.Command(s.program)
	e.cmd.Env = []string{"GODWITRELAY_SETTINGS=" + path, "PATH=" + os.Getenv("PATH")}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	// It ends with this process, however that ends.
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		err := e.cmd.Wait()
		s.rec.add("process %s has ended: %v", e.name, err)
		close(e.ended)
	}()
	if i < len(s.entries) {
		s.entries[i] = e
	} else {
		s.entries = append(s.entries, e)
	}
	s.rec.add("process %s started as %d", e.name, e.cmd.Process.Pid)
	return e, nil
}

func (s *site) settings(e *entry) string {
	zones := ""
	for _, z := range s.zones {
		zones += fmt.Sprintf("%s = \"bagmati\"\n", z)
	}
	return fmt.Sprintf(`NodeName = %q
Role = "entry"
MachineClass = "front"
Serves = ["front","control"]
Ip = %q
Zone = %q
Region = "bagmati"
PortRange = [%d,%d]
Seeds = ["127.0.1.1:%d","127.0.1.2:%d","127.0.1.3:%d"]
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform"]
Orders = "call"
[Zones]
%s[ListenAddrs]
Front = "%s:%d"
ReadyAddr = "%s:%d"
ControlAddr = "%s:%d"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeMs = 250
HoldMaxMs = 1000
StopTimeoutMs = 50
cancel_ms = 3000
RetransmitMs = 1300
[platform]
Address = %q
form = "log"
WritesPerS = 800
ReadsPerS = 2000
`, e.name, e.ip, e.zone, s.ports.first, s.ports.first+1, s.ports.control, s.ports.control, s.ports.control,
		zones, e.ip, s.ports.front, e.ip, s.ports.ready, e.ip, s.ports.control, s.storeAt)
}

func (s *site) front(i int) string { return fmt.Sprintf("127.0.1.%d:%d", i+1, s.ports.front) }

// ready reports whether entry i reports itself ready.
func (s *site) ready(i int) bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://127.0.1.%d:%d/godwitrelay/readiness", i+1, s.ports.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *site) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		n := 0
		for i := range s.entries {
			if s.ready(i) {
				n++
			}
		}
		if n == len(s.entries) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("not all processes are ready")
}

// close ends all processes that the site started.
func (s *site) close() {
	for _, e := range s.entries {
		select {
		case <-e.ended:
			continue
		default:
		}
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
		_ = e.cmd.Process.Kill()
		<-e.ended
	}
	_ = os.RemoveAll(s.dir)
}

func (s *site) signal(i int, sig syscall.Signal) {
	s.rec.add("%s is sent to %s", sig, s.entries[i].name)
	_ = s.entries[i].cmd.Process.Signal(sig)
}

// job is a request for a job of one step.
type job struct {
	id       string
	count    int
	cpu      int64
	takes    time.Duration
	label    string
	patience time.Duration
}

func (j job) body() []byte {
	step := map[string]any{"Count": j.count, "Cpu": j.cpu, "MemMb": 64, "EstimateMs": j.takes.Milliseconds()}
	if j.label != "" {
		step["Requirements"] = j.label
	}
	data, err := json.Marshal(map[string]any{
		"Spec": fmt.Sprintf("ms=%d cpu=%d label=%s job=%s", j.takes.Milliseconds(), j.cpu, j.label, j.id), "Opportunistic": true, "Steps": []any{step},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// send makes one attempt to hand a job in.
func (s *site) send(c *http.Client, entry int, j job) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.front(entry)+prefix+j.id, bytes.NewReader(j.body()))
	if err != nil {
		return 0, "", err
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Time-Remaining", fmt.Sprint(j.patience.Milliseconds()))
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(data)), err
}
