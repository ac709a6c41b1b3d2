package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/godwitrelay/godwitrelay/standin/fleet/listener"
)

const (
	// firstGroupedSeed is the lowest seed with several worker groups.
	firstGroupedSeed = 10_000
	// groupedCPUShare is enough CPU to own 16 workers, so that a deployment of
	// groupedWorkers has a worker group in each failure domain.
	groupedCPUShare = 0.032
	groupedWorkers  = 18
	// firstLargeSeed is the lowest seed with a deployment of hundreds of workers. CI
	// does not run one.
	firstLargeSeed = 20_000
	// peerPort is where entries call each other, through forwarders to
	// peerBackendPort, and metricsPort where an entry serves its metrics.
	peerPort, metricsPort, peerBackendPort = ":7720", ":7721", ":7725"
	// metricsTimeout is short because entries may be paused.
	metricsTimeout = 50 * time.Millisecond
)

// drawGroupedLayout returns a deployment of 2 to 4 failure domains with 2 or 3
// entries each. Faults overlap in all of them, in some more than in others.
func drawGroupedLayout(r *rand.Rand) layout {
	domains := 2 + r.Intn(3)
	perDomain := (groupedWorkers + domains - 1) / domains
	return layout{
		entries: 2*domains + r.Intn(domains+1), workers: perDomain * domains, workerCPU: 64000, domains: domains,
		maxFaultGap: 500*time.Millisecond + time.Duration(r.Int63n(int64(1500*time.Millisecond))), maxJobGap: 30 * time.Millisecond,
		cpuShares: []float64{groupedCPUShare},
	}
}

// largeLayout is a deployment of four failure domains with entries of two sizes.
func largeLayout() layout {
	return layout{
		entries: 31, workers: 352, workerCPU: 64000, domains: 4, mixed: true,
		maxFaultGap: 2 * time.Second, maxJobGap: 8 * time.Millisecond, cpuShares: []float64{0.8, 0.192},
	}
}

// jobKind is a kind of job of a mixed load. Its share is relative to those of the
// others.
type jobKind struct {
	share, tasks int
	work         listener.Work
}

var mixedLoad = []jobKind{
	{206, 8, listener.Work{CPU: 32000, WorkMs: 60}},
	{37, 4, listener.Work{CPU: 32000, WorkMs: 900}},
	{600, 2, listener.Work{CPU: 32000, WorkMs: 200}},
}

// drawMixedJob draws a job of the mixed load. Run times differ from what jobs state.
func drawMixedJob(r *rand.Rand) (int, listener.Work) {
	n := 0
	for _, k := range mixedLoad {
		n += k.share
	}
	n = r.Intn(n)
	i := 0
	for ; n >= mixedLoad[i].share; i++ {
		n -= mixedLoad[i].share
	}
	work := mixedLoad[i].work
	work.EstimateMs, work.WorkMs = work.WorkMs, int64(float64(work.WorkMs)*(0.6+0.8*r.Float64()))
	return mixedLoad[i].tasks, work
}

// clientName returns the forwarder's name of the entry that opened a connection. With
// several groups, each entry connects from its own address.
func (d *deployment) clientName(accepted net.Conn) string {
	if !d.layout.grouped() {
		return "entry"
	}
	from, _, _ := net.SplitHostPort(accepted.RemoteAddr().String())
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		if p.address == from {
			return p.name
		}
	}
	return ""
}

// forwardPeers forwards the entry's peer address once cmd, the current run of the
// entry, accepts connections. The address refuses connections before that.
func (d *deployment) forwardPeers(p *process, cmd *exec.Cmd) {
	for ; ; time.Sleep(2 * time.Millisecond) {
		conn, err := (&net.Dialer{}).DialContext(d.t.Context(), "tcp", p.address+peerBackendPort)
		p.mu.Lock()
		current := p.alive && p.cmd == cmd
		if current && err == nil {
			err = d.network.Forward(p.name, p.address+peerPort, p.address+peerBackendPort)
		}
		p.mu.Unlock()
		if conn != nil {
			_ = conn.Close()
		}
		if !current || err == nil {
			return
		}
	}
}

// inDomain returns the entries of the failure domain.
func (d *deployment) inDomain(domain int) []*process {
	var list []*process
	for _, p := range d.processes {
		if p.index%d.layout.domains == domain {
			list = append(list, p)
		}
	}
	return list
}

// othersInDomain returns the other entries of the failure domain of p.
func (d *deployment) othersInDomain(p *process) []*process {
	return slices.DeleteFunc(d.inDomain(p.index%d.layout.domains), func(q *process) bool { return q == p })
}

// pick draws an entry, or the owner of a worker group in half of the cases.
func (d *deployment) pick(r *rand.Rand) *process {
	p, owner := d.processes[r.Intn(len(d.processes))], r.Intn(2) == 0
	if owner {
		return d.ownerOf(p.index % d.layout.domains)
	}
	return p
}

// ownerOf returns the entry that owns the workers of the failure domain by its own
// metrics, or the first of the domain if none does.
func (d *deployment) ownerOf(domain int) *process {
	list := d.inDomain(domain)
	for _, p := range list {
		if d.owns(p) {
			return p
		}
	}
	return list[0]
}

// owns reports whether an entry owns workers by its own metrics.
func (d *deployment) owns(p *process) bool {
	return strings.Contains(d.metrics(p), `godwitrelay_ownership{state="owner"} 1`)
}

// metrics returns the metrics of an entry, or "" if it does not answer.
func (d *deployment) metrics(p *process) string {
	ctx, cancel := context.WithTimeout(d.t.Context(), metricsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+metricsPort+"/metrics", nil)
	if err != nil {
		return ""
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	// A body that is cut short names no owner.
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

// direction is the direction in which a cut blocks data, as seen by the entry or
// the worker that is cut off.
type direction int

const (
	bothWays direction = iota
	outbound
	inbound
)

func (c direction) String() string { return [...]string{"both ways", "outbound", "inbound"}[c] }

// cut blocks data between an entry or worker and others.
func (d *deployment) cut(name string, others []string, c direction) {
	for _, o := range others {
		if c != inbound {
			d.network.PartitionOneWay(name, o)
		}
		if c != outbound {
			d.network.PartitionOneWay(o, name)
		}
	}
}

// restore ends the cuts between an entry or worker and others.
func (d *deployment) restore(name string, others []string) {
	for _, o := range others {
		d.network.Restore(name, o)
	}
}

func (d *deployment) entryNames(except string) []string {
	var names []string
	for _, p := range d.processes {
		if p.name != except {
			names = append(names, p.name)
		}
	}
	return names
}

func (d *deployment) workerNames() []string {
	var names []string
	for _, w := range d.workers {
		names = append(names, w.ID)
	}
	return names
}

// injectGroupFault starts a random fault, or a series of related ones, of a
// deployment with several worker groups. It schedules their ends and returns a
// description.
func (d *deployment) injectGroupFault(r *rand.Rand, callers *callers, faults *sync.WaitGroup) string {
	p := d.pick(r)
	duration := 200*time.Millisecond + time.Duration(r.Int63n(int64(2500*time.Millisecond)))
	early := time.Duration(r.Int63n(int64(400 * time.Millisecond)))
	kind, c, choice := r.Intn(13), direction(r.Intn(3)), r.Intn(len(d.workers))
	after := func(wait time.Duration, do func()) {
		faults.Go(func() {
			time.Sleep(wait)
			do()
		})
	}
	cut := func(name string, others []string) {
		d.cut(name, others, c)
		after(duration, func() { d.restore(name, others) })
	}
	killed := func() {
		d.kill(p)
		after(duration, func() { d.start(p) })
	}
	w, rounded := d.workers[choice], duration.Round(time.Millisecond)
	switch kind {
	case 0:
		killed()
		return fmt.Sprintf("entry %d is killed and restarts after %v", p.index, rounded)
	case 1:
		// The stopped entry moves its jobs to an owner that is lost meanwhile.
		others := d.othersInDomain(p)
		q := others[choice%len(others)]
		faults.Go(func() {
			d.stop(q)
			d.start(q)
		})
		after(early, killed)
		return fmt.Sprintf("entry %d is stopped, entry %d is killed %v later and restarts after %v", q.index, p.index, early.Round(time.Millisecond), rounded)
	case 2:
		// There is no room in the entry's group for all of these jobs.
		callers.burst(r, p.index, 6, 0)
		after(early, killed)
		return fmt.Sprintf("entry %d gets many jobs, is killed %v later and restarts after %v", p.index, early.Round(time.Millisecond), rounded)
	case 3:
		p.signal(syscall.SIGSTOP)
		after(duration, func() { p.signal(syscall.SIGCONT) })
		return fmt.Sprintf("entry %d is paused for %v", p.index, rounded)
	case 4:
		d.store.StartOutage(time.Now().Add(duration))
		return fmt.Sprintf("store is down for %v", rounded)
	case 5:
		cut(p.name, d.entryNames(p.name))
		return fmt.Sprintf("entry %d is cut off from the other entries (%v) for %v", p.index, c, rounded)
	case 6:
		cut(p.name, d.workerNames())
		return fmt.Sprintf("entry %d is cut off from the workers (%v) for %v", p.index, c, rounded)
	case 7:
		cut(p.name, append(append(d.entryNames(p.name), d.workerNames()...), storeName(p.index)))
		return fmt.Sprintf("entry %d is cut off from all (%v) for %v", p.index, c, rounded)
	case 8:
		cut(w.ID, d.entryNames(""))
		return fmt.Sprintf("%s is cut off (%v) for %v", w.ID, c, rounded)
	case 9:
		return d.delayOrders(r, w, duration, after)
	case 10:
		for _, o := range d.entryNames(p.name) {
			d.network.Silence(p.name, o)
		}
		return fmt.Sprintf("open connections of entry %d to the other entries fall silent", p.index)
	default:
		return d.loseEntryAndOwner(r, callers, duration, after)
	}
}

// loseEntryAndOwner restarts an entry with many jobs, and later kills the owner of its
// group. Meanwhile all stops are late, and in half of the cases the replies of the
// group's workers are lost. The next owner finds runs whose callers go to other groups.
func (d *deployment) loseEntryAndOwner(r *rand.Rand, callers *callers, duration time.Duration, after func(time.Duration, func())) string {
	domain, mute := r.Intn(d.layout.domains), r.Intn(2) == 0
	early, later := time.Duration(r.Int63n(int64(400*time.Millisecond))), 600*time.Millisecond+time.Duration(r.Int63n(int64(600*time.Millisecond)))
	owner := d.ownerOf(domain)
	entry := d.othersInDomain(owner)[0]
	d.fleet.SetFaults(listener.Faults{DelayMs: duration.Milliseconds() + 1000, DelayedStopProbability: 1, NoReplyProbability: 0.1})
	callers.burst(r, entry.index, 3, early/4)
	for i, w := range d.workers {
		if mute && i%d.layout.domains == domain {
			d.cut(w.ID, d.entryNames(""), outbound)
			after(early+later+duration, func() { d.restore(w.ID, d.entryNames("")) })
		}
	}
	after(early, func() {
		d.kill(entry)
		after(later/2, func() { d.start(entry) })
	})
	after(early+later, func() {
		d.kill(owner)
		after(duration, func() {
			d.fleet.SetFaults(listener.Faults{})
			d.start(owner)
		})
	})
	return fmt.Sprintf("stops are late and workers in %s mute (%v); entry %d gets many jobs and is killed %v later, owner %d another %v later and restarts after %v",
		d.layout.zone(domain), mute, entry.index, early.Round(time.Millisecond), owner.index, later.Round(time.Millisecond), duration.Round(time.Millisecond))
}

// delayOrders delays what the workers are told, and restarts one of them meanwhile
// in half of the cases.
func (d *deployment) delayOrders(r *rand.Rand, w *listener.Worker, duration time.Duration, after func(time.Duration, func())) string {
	f := listener.Faults{DelayMs: 300 + r.Int63n(2000), DelayedProbability: 0.1, NoReplyProbability: 0.1, DelayedHoldProbability: 0.1, DelayedStopProbability: 0.3}
	d.fleet.SetFaults(f)
	after(duration, func() { d.fleet.SetFaults(listener.Faults{}) })
	text := fmt.Sprintf("for %v, starts, holds and stops take effect %d ms late", duration.Round(time.Millisecond), f.DelayMs)
	if at, restarts := time.Duration(r.Int63n(int64(duration))), r.Intn(2) == 0; restarts {
		after(at, w.Restart)
		text += fmt.Sprintf(", and %s restarts %v later", w.ID, at.Round(time.Millisecond))
	}
	return text
}
