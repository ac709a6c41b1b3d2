package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the pause before the platform restarts a process that was
// killed, as on the bench.
const restartDelay = 500 * time.Millisecond

// machine is one front machine, which runs the program of deploy/system.toml.
type machine struct {
	name, zone, ip, front, ready, settings, log string
	mu                                          sync.Mutex
	cmd                                         *exec.Cmd
	exited                                      chan struct{}
}

// platform is the operators' platform in small: store, runners and front machines.
type platform struct {
	layout
	rec      *recorder
	dir      string
	program  string
	store    *store
	fleet    *fleet
	machines []*machine
}

// layout says how large a platform is.
type layout struct {
	region                 string
	zones                  []string
	machinesPerZone        int
	runnersPerZone         int
	runnerCPU              int64
	cpuShare               float64
	memoryMB, linkMbps     int
	drainMs, configApplyMs int
	contactMs, cancelMs    int
}

// small is like himal-relay: 8 front machines in 4 zones, with half of its 48
// runners.
var small = layout{
	region: "bagmati", zones: []string{"kalimati", "patan", "bhaktapur", "kirtipur"}, machinesPerZone: 2, runnersPerZone: 6, runnerCPU: 64000,
	cpuShare: 0.4, memoryMB: 284, linkMbps: 1000, drainMs: 2000, configApplyMs: 2000, contactMs: 3000, cancelMs: 3000,
}

// wide has the machines of himal-relay and more runners than one of them can hold, so
// that each zone has a holder of its own.
var wide = layout{
	region: "bagmati", zones: []string{"kalimati", "patan", "bhaktapur", "kirtipur"}, machinesPerZone: 2, runnersPerZone: 55, runnerCPU: 64000,
	cpuShare: 0.4, memoryMB: 284, linkMbps: 1000, drainMs: 2000, configApplyMs: 2000, contactMs: 3000, cancelMs: 3000,
}

// grouped has front machines like the weakest ones of namta-trials-grown, and more
// runners than one of them can hold, so that each zone has a holder of its own.
var grouped = layout{
	region: "lagos", zones: []string{"ikeja", "apapa"}, machinesPerZone: 3, runnersPerZone: 60, runnerCPU: 32000,
	cpuShare: 0.192, memoryMB: 184, linkMbps: 200, drainMs: 3000, configApplyMs: 3000, contactMs: 4000, cancelMs: 4000,
}

func deploy(rec *recorder, l layout) (*platform, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	p := &platform{layout: l, rec: rec, dir: dir, program: "target/platform", fleet: &fleet{rec: rec}}
	p.store = newStore()
	p.store.configure(7)
	for _, zone := range l.zones {
		for i := range l.runnersPerZone {
			if err := p.fleet.add(fmt.Sprintf("i-%s%02d", zone[:3], i), zone, l.runnerCPU); err != nil {
				return p, err
			}
		}
	}
	go p.store.beat(p.fleet)
	n := len(l.zones) * l.machinesPerZone
	block := 1 + os.Getpid()%200
	ips := make([]string, n)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.88.%d.%d", block, 11+i)
	}
	ports, err := freePorts(ips)
	if err != nil {
		return p, err
	}
	seeds, _ := json.Marshal([]string{ips[0] + port(ports.control), ips[n/2] + port(ports.control), ips[n-1] + port(ports.control)})
	for i, ip := range ips {
		zone := l.zones[i/l.machinesPerZone]
		name := fmt.Sprintf("front-%s-%d", zone, i%l.machinesPerZone+1)
		m := &machine{name: name, zone: zone, ip: ip, front: ip + port(ports.front), ready: ip + port(ports.ready),
			settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log")}
		address, err := p.store.serve()
		if err != nil {
			return p, err
		}
		var zones strings.Builder
		for _, z := range l.zones {
			fmt.Fprintf(&zones, "%s = %q\n", z, l.region)
		}
		text := fmt.Sprintf(`NodeName = %q
Role = "entry"
MachineClass = "front"
Serves = ["front","control"]
Ip = %q
Zone = %q
Region = %q
PortRange = [%d,%d]
Seeds = %s
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
Orders = "call"
[Zones]
%s[ListenAddrs]
Front = %q
ReadyAddr = %q
ControlAddr = "%s%s"
[Limits]
CpuShare = %g
Cores = 1
MemoryMb = %d
MaxFds = 4100
LinkMbps = %d.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = %d
AckMs = 4000
SyncS = 4
DrainMs = %d
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = %d
DowngradeMs = 250
MaxStretchMs = 5000
RecoveryS = 12
HoldMaxMs = 1000
StopTimeoutMs = 50
GangTimeoutMs = 3000
cancel_ms = %d
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
RemoteFactor = 2
RequireFence = true
LeaseMs = 3000
RetransmitMs = 1300
[platform]
Address = %q
form = "log"
WritesPerS = 800
ReadsPerS = 2000
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
`, name, ip, zone, l.region, ports.first, ports.first+15, seeds, zones.String(), m.front, m.ready, ip, port(ports.control),
			l.cpuShare, l.memoryMB, l.linkMbps, l.contactMs, l.drainMs, l.configApplyMs, l.cancelMs, address)
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return p, err
		}
		p.machines = append(p.machines, m)
	}
	for _, m := range p.machines {
		if err := p.start(m); err != nil {
			return p, err
		}
	}
	return p, nil
}

type portPlan struct{ first, front, ready, control int }

func port(n int) string { return fmt.Sprintf(":%d", n) }

// freePorts finds ports that are free on all addresses.
func freePorts(ips []string) (portPlan, error) {
	for base := 21000 + os.Getpid()%200*40; base < 60000; base += 40 {
		free := true
		for _, ip := range ips {
			for n := base; n < base+20 && free; n++ {
				ln, err := net.Listen("tcp", ip+port(n))
				if err != nil {
					free = false
					break
				}
				_ = ln.Close()
			}
		}
		if free {
			return portPlan{first: base, front: base + 16, ready: base + 17, control: base + 18}, nil
		}
	}
	return portPlan{}, fmt.Errorf("no free ports")
}

func (p *platform) start(m *machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.program)
	cmd.Env = append(os.Environ(), "GODWITRELAY_SETTINGS="+m.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(s)
}

// killAll kills the processes of some machines at once and restarts them after a
// delay.
func (p *platform) killAll(machines []*machine, down time.Duration) error {
	for _, m := range machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range machines {
		p.rec.printf("platform: SIGKILL to %s", m.name)
	}
	for _, m := range machines {
		<-m.exited
	}
	time.Sleep(down)
	for _, m := range machines {
		if err := p.start(m); err != nil {
			return err
		}
	}
	p.rec.printf("platform: restarted %d processes", len(machines))
	return nil
}

// close ends everything that the script started.
func (p *platform) close() {
	if p == nil {
		return
	}
	for _, m := range p.machines {
		if m.cmd == nil {
			continue
		}
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	}
}

// awaitReady waits until all machines have been ready for a while.
func (p *platform) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end, calm := time.Now().Add(limit), 0; time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, m := range p.machines {
			if resp, err := client.Get("http://" + m.ready + "/godwitrelay/readiness"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if calm++; ready < len(p.machines) {
			calm = 0
		}
		if calm == 15 {
			p.rec.printf("platform: all %d machines are ready", ready)
			return true
		}
	}
	p.rec.printf("platform: not all machines became ready")
	return false
}

// holders returns the machines that hold the runners, by their own logs: those
// whose last line about it says that they took them.
func (p *platform) holders() []*machine {
	var list []*machine
	for _, m := range p.machines {
		file, err := os.Open(m.log)
		if err != nil {
			continue
		}
		holds := false
		for lines := bufio.NewScanner(file); lines.Scan(); {
			var line struct{ Msg string }
			if json.Unmarshal(lines.Bytes(), &line) != nil {
				continue
			}
			switch line.Msg {
			case "placer: became the owner of the workers":
				holds = true
			case "placer: released the workers", "entry: started":
				holds = false
			}
		}
		_ = file.Close()
		if holds {
			list = append(list, m)
		}
	}
	return list
}
