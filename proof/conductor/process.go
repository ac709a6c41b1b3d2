package conductor

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Programs are the paths of the programs under test.
type Programs struct{ Entry, Platform, Target, Operator string }

// process is one program of a deployment. It may be started several times; every
// run has its own settings, log and history files.
type process struct {
	name, domain, program string
	// settings returns the content of the settings file, given the path of the
	// history file.
	settings func(history string) any
	// forwards maps announced addresses to bound ones.
	forwards map[string]string
	// controlAddress is the address of the operator or control listener.
	// callerAddress is the announced address for callers, set only for entries.
	controlAddress, callerAddress string
	// announcedAddress is the address that other processes connect to.
	announcedAddress string

	runCount int
	command  *exec.Cmd
	exited   chan struct{}
	err      error
	// frozen is set while the process is suspended by SIGSTOP.
	frozen bool
}

// start starts the program and forwards its announced addresses.
func (d *Deployment) start(p *process) error {
	if err := d.spawn(p); err != nil {
		return err
	}
	return d.openForwards(p)
}

// openForwards forwards the announced addresses once the program listens. Until
// then they refuse connections, like the addresses of a program that is not
// running: accepting a connection and then closing it is a different fault.
func (d *Deployment) openForwards(p *process) error {
	for announced, bound := range p.forwards {
		err := d.poll(p.name+" to listen on its addresses", func() (bool, error) {
			conn, err := (&net.Dialer{Timeout: requestTimeout}).DialContext(context.Background(), "tcp", bound)
			if err != nil {
				return false, err
			}
			return true, conn.Close()
		})
		if err != nil {
			return err
		}
		if err := d.network.Forward(p.name, announced, bound); err != nil {
			return err
		}
	}
	return nil
}

// spawn writes the settings file and starts the program.
func (d *Deployment) spawn(p *process) error {
	if p.alive() {
		return errors.Newf("%s is already running", p.name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p.runCount++
	base := filepath.Join(d.dir, fmt.Sprintf("%s-%d", p.name, p.runCount))
	content, err := json.MarshalIndent(p.settings(base+".jsonl"), "", "  ")
	if err != nil {
		return errors.Wrapf(err, "encoding the settings of %s", p.name)
	}
	if err := os.WriteFile(base+".settings", content, 0o600); err != nil {
		return errors.Wrap(err, "writing the settings")
	}
	out, err := os.Create(base + ".log")
	if err != nil {
		return errors.Wrap(err, "creating the log")
	}
	defer out.Close()
	p.command = exec.CommandContext(context.Background(), p.program, "--settings", base+".settings")
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		return errors.Wrapf(err, "starting %s", p.name)
	}
	d.pids[p.command.Process.Pid] = p.name
	exited := make(chan struct{})
	p.exited, p.frozen = exited, false
	command := p.command
	go func() {
		p.err = command.Wait()
		d.mu.Lock()
		delete(d.pids, command.Process.Pid)
		d.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (p *process) alive() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (d *Deployment) signal(p *process, s syscall.Signal) error {
	if !p.alive() {
		return errors.Newf("%s is not running", p.name)
	}
	return errors.Wrapf(p.command.Process.Signal(s), "signalling %s", p.name)
}

// crash kills the process with SIGKILL and waits for its exit. Its announced
// addresses refuse connections from then on.
func (d *Deployment) crash(p *process) error {
	d.network.StopForwarding(p.name)
	if err := d.signal(p, syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// shutdown starts a planned stop with SIGTERM.
func (d *Deployment) shutdown(p *process) error { return d.signal(p, syscall.SIGTERM) }

// awaitExit waits for the end of a planned stop. It returns an error if the
// program exits with one.
func (d *Deployment) awaitExit(p *process) error {
	select {
	case <-p.exited:
	case <-d.hangTimer():
		return errors.Newf("timed out waiting for %s to exit", p.name)
	}
	d.network.StopForwarding(p.name)
	return errors.Wrapf(p.err, "exit of %s", p.name)
}

// kill kills the process if it is still running at the end of a scenario.
func (p *process) kill() {
	if p.alive() {
		_ = p.command.Process.Kill()
		<-p.exited
	}
}
