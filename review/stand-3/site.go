package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/godwitrelay/godwitrelay/standin/fleet/listener"
)

const (
	host    = "trials.example"
	prefix  = "/trials/"
	service = "trial-desk"
	// contact is ContactMs, cancelBound cancel_ms of the site.
	contact     = 3 * time.Second
	cancelBound = 3 * time.Second
)

// site is a small deployment.
type site struct {
	program, dir string
	trouble      bool
	// limits are those of each front machine.
	limits limits
	// stopTime is how long a runner takes to stop a run, at most StopTimeoutMs.
	stopTime     time.Duration
	began        time.Time
	block        int
	port         int
	net          network
	store        listener.Store
	storeAddress string
	fleet        listener.Fleet
	workers      []*listener.Worker
	addresses    []string
	entries      []*entry

	mu     sync.Mutex
	record *os.File
	starts []start
	giver  string
	// grey is the id of the runner that answers 400 to starts, or empty.
	grey string
}

// limits are the limits of a front machine.
type limits struct {
	cpuShare         float64
	memoryMB, maxFds int
	linkMbps         float64
}

// entry is one front machine.
type entry struct {
	name, ip, zone, settings string
	cmd                      *exec.Cmd
	exited                   chan struct{}
}

// start is a start that a runner has accepted.
type start struct {
	at                  time.Time
	worker, task, giver string
	run                 int64
}

func newSite(program, record string, trouble bool) *site {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	s := &site{program: program, dir: dir, trouble: trouble, record: f, began: time.Now(), limits: limits{cpuShare: 0.4, memoryMB: 284, maxFds: 4100, linkMbps: 1000}}
	s.net.zones = map[string]string{}
	s.log("disruption: %v", trouble)
	return s
}

// log writes a line to the record, with the seconds since the start of the case.
func (s *site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked(format, args...)
}

func (s *site) logLocked(format string, args ...any) {
	line := fmt.Sprintf("%7.3f  ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = io.WriteString(s.record, line)
	fmt.Print(line)
}

// fail ends a case that could not run.
func (s *site) fail(format string, args ...any) {
	s.log("NOT RUN: "+format, args...)
	s.stop()
	os.Exit(exitNotRun)
}

func (s *site) must(err error) {
	if err != nil {
		s.fail("%v", err)
	}
}

// deploy starts entries and runners in each zone, and waits until all entries are ready.
// Runners of zone i have the label kinds[i].
func (s *site) deploy(zones, kinds []string, entriesPerZone, workersPerZone int) {
	s.chooseAddresses()
	s.store.Put(listener.OperatorTopic, listener.ConfigurationKey, listener.Configuration(7, host, prefix, service))
	s.storeAddress = s.serve("127.0.0.1:0", s.store.Handler())
	for z, zone := range zones {
		for i := range workersPerZone {
			w := s.fleet.Add(fmt.Sprintf("i-%s-%d", zone, i+1), 32000)
			ip := fmt.Sprintf("127.%d.%d.%d", s.block, 100+z, i+1)
			s.net.setZone(ip, zone)
			address := net.JoinHostPort(ip, fmt.Sprint(s.port+6))
			s.must(s.net.forward(address, s.serve("127.0.0.1:0", s.watch(w))))
			s.put(w, address, zone, kinds[z], fmt.Sprintf("r-%d", z))
			s.workers, s.addresses = append(s.workers, w), append(s.addresses, address)
		}
		for i := range entriesPerZone {
			e := &entry{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: fmt.Sprintf("127.%d.%d.%d", s.block, z+1, i+1), zone: zone}
			s.net.setZone(e.ip, zone)
			s.must(s.net.forward(s.at(e, 0), s.at(e, 2)))
			s.entries = append(s.entries, e)
		}
	}
	for _, e := range s.entries {
		e.settings = filepath.Join(s.dir, e.name+".toml")
		s.must(os.WriteFile(e.settings, []byte(s.settings(e)), 0o600))
		s.start(e)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range s.entries {
		for !s.ready(e) {
			if time.Now().After(deadline) {
				s.fail("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.log("%d front machines and %d runners in %d zones are ready", len(s.entries), len(s.workers), len(zones))
	time.Sleep(contact)
	s.sample()
}

// workerAddress returns the address of runner i.
func (s *site) workerAddress(i int) string { return s.addresses[i] }

// put stores the record of a runner as the runner would.
func (s *site) put(w *listener.Worker, address, zone, kind, rack string) {
	var record map[string]any
	s.must(json.Unmarshal(w.Record(service, address, zone, false), &record))
	record["Labels"] = []string{kind, rack}
	data, err := json.Marshal(record)
	s.must(err)
	s.store.Put(listener.WorkerTopic, w.ID, data)
}

// chooseAddresses chooses a block of loopback addresses, and ports that are free there.
func (s *site) chooseAddresses() {
	for range 50 {
		s.block, s.port = 10+rand.Intn(240), 20000+10*rand.Intn(1000)
		free := true
		for p := s.port; p < s.port+10 && free; p++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", s.block, p))
			if free = err == nil; free {
				_ = ln.Close()
			}
		}
		if free {
			return
		}
	}
	s.fail("no free ports")
}

// at returns an address of an entry: 0 is what other entries call, and 2 where it listens
// for them.
func (s *site) at(e *entry, port int) string { return net.JoinHostPort(e.ip, fmt.Sprint(s.port+port)) }

func (s *site) front(e *entry) string { return s.at(e, 7) }

func (s *site) settings(e *entry) string {
	return fmt.Sprintf(`NodeName = %q
Role = "entry"
MachineClass = "front"
Serves = ["front","control"]
Ip = %q
Zone = %q
Region = "lagos"
PortRange = [%d,%d]
Seeds = ["%s:%d"]
Bootstrap = true
Discovery = "platform"
Orders = "call"
HeartbeatMs = 1500
[ListenAddrs]
Front = %q
ReadyAddr = %q
ControlAddr = %q
[Limits]
CpuShare = %g
Cores = 1
MemoryMb = %d
MaxFds = %d
LinkMbps = %g
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
HoldMaxMs = 1000
StopTimeoutMs = 50
cancel_ms = 3000
RemoteFactor = 2
RetransmitMs = 1300
[platform]
Address = %q
form = "log"
`, e.name, e.ip, e.zone, s.port, s.port+5, s.entries[0].ip, s.port+9, s.front(e), s.at(e, 8), s.at(e, 9), s.limits.cpuShare, s.limits.memoryMB, s.limits.maxFds, s.limits.linkMbps, s.storeAddress)
}

// serve serves HTTP at a free port and returns its address.
func (s *site) serve(address string, h http.Handler) string {
	ln, err := net.Listen("tcp", address)
	s.must(err)
	go func() { _ = http.Serve(ln, h) }()
	return ln.Addr().String()
}

// watch records the starts that a runner accepts.
func (s *site) watch(w *listener.Worker) http.Handler {
	h := w.Handler()
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/godwitrelay/hold" {
			h.ServeHTTP(out, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		var order struct {
			Task  string
			RunID int64 `json:"RunId"`
		}
		_ = json.Unmarshal(body, &order)
		from, _, _ := net.SplitHostPort(r.RemoteAddr)
		if r.URL.Path == "/godwitrelay/run-stop" {
			time.Sleep(s.stopTime)
		}
		answer := httptest.NewRecorder()
		if r.URL.Path == "/godwitrelay/run-start" && s.isGrey(w.ID) {
			answer.WriteHeader(http.StatusBadRequest)
		} else {
			h.ServeHTTP(answer, r)
		}
		s.ordered(w.ID, r.URL.Path, order.Task, order.RunID, from, answer.Code)
		for k, v := range answer.Header() {
			out.Header()[k] = v
		}
		out.WriteHeader(answer.Code)
		_, _ = out.Write(answer.Body.Bytes())
	})
}

func (s *site) setGrey(worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grey = worker
}

func (s *site) isGrey(worker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grey == worker
}

func (s *site) ordered(worker, path, task string, run int64, from string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	giver := from
	for _, e := range s.entries {
		if e.ip == from {
			giver = e.name
		}
	}
	s.logLocked("%s gets %s %s run %d from %s: %d", worker, filepath.Base(path), task, run, giver, status)
	if filepath.Base(path) == "run-start" && status == http.StatusOK {
		s.starts = append(s.starts, start{time.Now(), worker, task, giver, run})
		s.giver = giver
	}
}

// start starts the process of a front machine with the command of the deploy file.
func (s *site) start(e *entry) {
	e.cmd = exec.Command(s.program, "--listen-peers", s.at(e, 2), "--connect-from", e.ip)
	e.cmd.Env = append(os.Environ(), "GODWITRELAY_SETTINGS="+e.settings)
	output, err := os.OpenFile(filepath.Join(s.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.must(err)
	e.cmd.Stdout, e.cmd.Stderr = output, output
	s.must(e.cmd.Start())
	exited := make(chan struct{})
	e.exited = exited
	go func() {
		_ = e.cmd.Wait()
		_ = output.Close()
		close(exited)
	}()
}

// kill kills the process of a front machine.
func (s *site) kill(e *entry) {
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	<-e.exited
}

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (s *site) stop() {
	for _, e := range s.entries {
		if e.cmd != nil {
			_ = e.cmd.Process.Signal(syscall.SIGKILL)
			<-e.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

func (s *site) ready(e *entry) bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + s.at(e, 8) + "/godwitrelay/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// reply is what a client gets. Status is 0 if it gets no complete answer.
type reply struct {
	at     time.Time
	status int
	body   string
}

// send sends a request of a client on a connection of its own.
func (s *site) send(e *entry, method, id, body string, wait time.Duration) reply {
	client := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+s.front(e)+prefix+id, bytes.NewReader([]byte(body)))
	s.must(err)
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Time-Remaining", fmt.Sprint(wait.Milliseconds()))
	s.log("client sends %s %s to %s", method, id, e.name)
	resp, err := client.Do(req)
	if err != nil {
		s.log("client gets no answer to %s %s from %s: %v", method, id, e.name, err)
		return reply{at: time.Now()}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		s.log("client gets no complete answer to %s %s from %s: %v", method, id, e.name, err)
		return reply{at: time.Now()}
	}
	s.log("client gets %d %s to %s %s from %s", resp.StatusCode, bytes.TrimSpace(data), method, id, e.name)
	return reply{time.Now(), resp.StatusCode, string(data)}
}

// sample runs a short job at each front machine, to see that the deployment works and
// which machine gives the orders.
func (s *site) sample() {
	for i, e := range s.entries {
		id := fmt.Sprintf("%016x", 0xa0000000+i)
		if r := s.send(e, http.MethodPost, id, jobBody(1, 1000, 50, ""), 3*time.Second); r.status != http.StatusOK {
			s.fail("a job at %s was not served", e.name)
		}
	}
}

// owner returns the machine that gave the last order.
func (s *site) owner() *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if e.name == s.giver {
			return e
		}
	}
	return nil
}

// startsOf returns the accepted starts of the tasks of a job.
func (s *site) startsOf(id string) []start {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []start
	for _, st := range s.starts {
		if len(st.task) > len(id) && st.task[:len(id)] == id {
			list = append(list, st)
		}
	}
	return list
}

// jobBody returns a job that need not be kept, with one step.
func jobBody(tasks int, cpu, workMs int64, label string) string {
	spec, _ := json.Marshal(listener.Work{CPU: cpu, WorkMs: workMs})
	step := map[string]any{"Count": tasks, "Cpu": cpu, "MemMb": 64, "EstimateMs": workMs}
	if label != "" {
		step["Requirements"] = label
	}
	body, _ := json.Marshal(map[string]any{"Spec": string(spec), "Opportunistic": true, "Steps": []any{step}})
	return string(body)
}
