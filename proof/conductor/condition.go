package conductor

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/checker"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
)

const (
	// pollInterval is the time between two evaluations of a condition.
	pollInterval = 20 * time.Millisecond
	// requestTimeout is the timeout of a request to a process, which may hang.
	requestTimeout = 2 * time.Second
)

// poll waits until the condition holds, or fails after hangTimeout with the
// condition's last error, if any.
func (d *Deployment) poll(what string, condition func() (bool, error)) error {
	timeout := d.hangTimer()
	for {
		ok, err := condition()
		if ok {
			return nil
		}
		select {
		case <-timeout:
			if err == nil {
				return errors.Newf("timed out waiting for %s", what)
			}
			return errors.Newf("timed out waiting for %s: %v", what, err)
		case <-time.After(pollInterval):
		}
	}
}

func (d *Deployment) platformReady() (bool, error) {
	status, err := d.httpStatus(d.platform.controlAddress + "/control")
	if err == nil && status != http.StatusOK {
		err = errors.Newf("GET /control returned status %d", status)
	}
	return err == nil && status == http.StatusOK, err
}

// httpStatus sends a GET request and returns the status code.
func (d *Deployment) httpStatus(path string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+path, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// waitSettled waits until the deployment has settled: every running entry is
// ready and lists exactly the running entries of its failure domain as members,
// and every broker reports all running targets as ready. Frozen processes, which
// are suspended by SIGSTOP, are ignored.
func (d *Deployment) waitSettled() error {
	for _, name := range d.entryNames("") {
		if p := d.processes[name]; p.alive() && !p.frozen {
			if err := d.poll(name+" to be ready and list all members", func() (bool, error) { return d.entrySettled(p) }); err != nil {
				return err
			}
		}
	}
	for _, domain := range d.domains {
		if err := d.poll(domain+" to report its targets as ready", func() (bool, error) { return d.targetsReady(domain) }); err != nil {
			return err
		}
	}
	return nil
}

// entrySettled reports whether an entry is ready and lists exactly the running
// entries of its failure domain as members. Frozen entries do not count as
// running.
func (d *Deployment) entrySettled(p *process) (bool, error) {
	s, err := d.entryStatus(p.name)
	if err == nil && !s.Ready {
		err = errors.Newf("%s is not ready", p.name)
	}
	if err != nil {
		return false, err
	}
	listed := map[messenger.Member]uint64{}
	for _, m := range s.Members {
		listed[m.Member] = m.Counter
	}
	running := 0
	for _, other := range d.entryNames(p.domain) {
		q := d.processes[other]
		if !q.alive() || q.frozen {
			continue
		}
		running++
		t, err := d.entryStatus(other)
		if err != nil {
			return false, err
		}
		if _, ok := listed[t.Self]; !ok {
			return false, errors.Newf("%s does not list %s as a member", p.name, other)
		}
	}
	if len(listed) != running {
		return false, errors.Newf("%s lists %d members, %d entries are running", p.name, len(listed), running)
	}
	return true, nil
}

// waitTargetsListed waits until every entry has read all running targets of its
// failure domain from the platform. Until then it can't pass them on to an entry
// that starts during an outage of the platform.
func (d *Deployment) waitTargetsListed() error {
	for _, name := range d.entryNames("") {
		p := d.processes[name]
		targets := d.runningTargets(p.domain)
		err := d.poll(name+" to read the list of targets", func() (bool, error) {
			s, err := d.entryStatus(name)
			if err == nil && s.ListedTargets < targets {
				err = errors.Newf("%s has read %d targets, %d are running", name, s.ListedTargets, targets)
			}
			return err == nil, err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// runningTargets returns the number of running targets of a failure domain.
func (d *Deployment) runningTargets(domain string) int {
	n := 0
	for _, name := range d.processNames(domain) {
		if p := d.processes[name]; p.callerAddress == "" && p.alive() && !p.frozen {
			n++
		}
	}
	return n
}

// brokerTargets returns the target states that each broker of a failure domain
// reports, keyed by the broker's entry name and the target's address.
func (d *Deployment) brokerTargets(domain string) (map[string]map[string]messenger.TargetState, error) {
	states := map[string]map[string]messenger.TargetState{}
	for _, name := range d.entryNames(domain) {
		if p := d.processes[name]; !p.alive() || p.frozen {
			continue
		}
		s, err := d.entryStatus(name)
		if err != nil {
			return nil, err
		}
		for _, b := range s.Brokered {
			states[name] = map[string]messenger.TargetState{}
			for _, t := range b.Targets {
				states[name][t.Address] = t
			}
		}
	}
	return states, nil
}

// targetsReady reports whether every broker of the failure domain reports all
// running targets as ready.
func (d *Deployment) targetsReady(domain string) (bool, error) {
	brokers, err := d.brokerTargets(domain)
	if err == nil && len(brokers) == 0 {
		err = errors.Newf("no running entry in %s is a broker", domain)
	}
	if err != nil {
		return false, err
	}
	for broker, targets := range brokers {
		for _, name := range d.processNames(domain) {
			p := d.processes[name]
			if p.callerAddress != "" || !p.alive() || p.frozen {
				continue
			}
			t, ok := targets[p.announcedAddress]
			if !ok {
				return false, errors.Newf("broker %s does not list target %s", broker, name)
			}
			if t.State != "ready" {
				return false, errors.Newf("broker %s reports target %s as %q", broker, name, t.State)
			}
		}
	}
	return true, nil
}

// targetState returns the state of a target as reported by the brokers of its
// failure domain, "unknown" if they do not list it, "mixed" if they differ, or ""
// if there is no broker.
func (d *Deployment) targetState(name string) (string, error) {
	p, err := d.process(name)
	if err != nil {
		return "", err
	}
	brokers, err := d.brokerTargets(p.domain)
	if err != nil {
		return "", err
	}
	state := ""
	for _, broker := range brokers {
		seen := "unknown"
		if t, ok := broker[p.announcedAddress]; ok {
			seen = t.State
		}
		if state != "" && state != seen {
			return "mixed", nil
		}
		state = seen
	}
	return state, nil
}

// countRecords returns the number of records of the event in all histories, for
// one job or, if jobID is empty, for all.
func (d *Deployment) countRecords(event recorder.Event, jobID string) (int, error) {
	h, err := checker.ReadAll(d.dir)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, log := range h {
		for _, r := range log.Records {
			if r.Event == event && (jobID == "" || r.JobID == jobID) {
				n++
			}
		}
	}
	return n, nil
}

// task identifies a task of a job in the histories.
type task struct {
	jobID string
	index int
}

// tasksOn returns how many records of the event on a target the histories have
// for each task.
func (d *Deployment) tasksOn(p *process, event recorder.Event) (map[task]int, error) {
	h, err := checker.ReadAll(d.dir)
	tasks := map[task]int{}
	for _, log := range h {
		for _, r := range log.Records {
			if r.Event == event && r.Target == p.announcedAddress {
				tasks[task{r.JobID, r.Task}]++
			}
		}
	}
	return tasks, err
}

// waitAgreed waits until all ready entries have the same configuration version,
// no older than the latest version that was confirmed to an operator.
func (d *Deployment) waitAgreed() error {
	accepted, err := d.acceptedVersion()
	if err != nil {
		return err
	}
	return d.poll("all entries to have the same configuration version", func() (bool, error) {
		highest, lowest := accepted, int64(-1)
		for _, name := range d.entryNames("") {
			if p := d.processes[name]; !p.alive() || p.frozen {
				continue
			}
			s, err := d.entryStatus(name)
			if err != nil {
				return false, err
			}
			if !s.Ready {
				continue
			}
			highest = max(highest, s.ConfigVersion)
			if lowest < 0 || s.ConfigVersion < lowest {
				lowest = s.ConfigVersion
			}
		}
		err := errors.Newf("the lowest version of a ready entry is %d; the highest that is reported or accepted is %d", lowest, highest)
		if lowest < 0 {
			err = errors.New("no running entry is ready")
		}
		return highest == lowest, err
	})
}

// acceptedVersion returns the highest version whose acceptance an operator
// recorded.
func (d *Deployment) acceptedVersion() (int64, error) {
	h, err := checker.ReadAll(d.dir)
	accepted := int64(0)
	for _, log := range h {
		for _, r := range log.Records {
			if r.Event == recorder.ChangeAccepted {
				accepted = max(accepted, r.Version)
			}
		}
	}
	return accepted, err
}

// Check checks all histories and returns the violations and the number of
// records. A target may still start tasks for leavingBound after it has announced
// that it is leaving; 0 means the checker's default.
func (d *Deployment) Check(leavingBound time.Duration) ([]checker.Violation, int, error) {
	h, err := checker.ReadAll(d.dir)
	if err != nil {
		return nil, 0, err
	}
	records := 0
	for _, log := range h {
		records += len(log.Records)
	}
	return checker.Check(h, checker.Options{LeavingBound: leavingBound}), records, nil
}

// checkLogs returns an error if the log of a program contains a report of the
// race detector or a crash.
func (d *Deployment) checkLogs() error {
	paths, err := filepath.Glob(filepath.Join(d.dir, "*.log"))
	if err != nil {
		return err
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return errors.Wrap(err, "reading a log")
		}
		for _, pattern := range []string{"WARNING: DATA RACE", "panic: ", "fatal error: "} {
			if bytes.Contains(data, []byte(pattern)) {
				return errors.Newf("log %s contains %q", path, pattern)
			}
		}
	}
	return nil
}
