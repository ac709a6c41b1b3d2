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

// process is one program of a deployment, which may be started several times.
// Every run has a history file of its own.
type process struct {
	name, domain, program string
	// settings returns the content of the settings file for a history file.
	settings func(history string) any
	// forwards maps announced addresses to bound ones.
	forwards map[string]string
	// control is the address of the operator or control listener, callers that
	// of the callers' listener.
	control, callers string
	// address is the announced one.
	address string

	runs    int
	command *exec.Cmd
	exited  chan struct{}
	err     error
	frozen  bool
}

// start starts a program and opens its announced addresses.
func (d *Deployment) start(p *process) error {
	if err := d.spawn(p); err != nil {
		return err
	}
	return d.open(p)
}

// open opens the announced addresses once the program listens. Before, they
// refuse connections, as the addresses of a program that is not there do: a
// connection that is accepted and then closed is another fault.
func (d *Deployment) open(p *process) error {
	for announced, bound := range p.forwards {
		err := d.poll(p.name+" to listen", func() (bool, error) {
			conn, err := (&net.Dialer{Timeout: replyBound}).DialContext(context.Background(), "tcp", bound)
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

// spawn starts the program with its settings.
func (d *Deployment) spawn(p *process) error {
	if p.alive() {
		return errors.Newf("%s runs already", p.name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p.runs++
	base := filepath.Join(d.folder, fmt.Sprintf("%s-%d", p.name, p.runs))
	content, err := json.MarshalIndent(p.settings(base+".jsonl"), "", "  ")
	if err != nil {
		return errors.Wrap(err, "encoding the settings")
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
		return errors.Newf("%s does not run", p.name)
	}
	return errors.Wrapf(p.command.Process.Signal(s), "signalling %s", p.name)
}

// crash ends the process at once. Its addresses refuse connections from then.
func (d *Deployment) crash(p *process) error {
	d.network.Refuse(p.name)
	if err := d.signal(p, syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// shutdown begins a planned stop.
func (d *Deployment) shutdown(p *process) error { return d.signal(p, syscall.SIGTERM) }

// awaitExit waits for the end of a planned stop, which must be without error.
func (d *Deployment) awaitExit(p *process) error {
	select {
	case <-p.exited:
	case <-d.bound():
		return errors.Newf("%s did not exit", p.name)
	}
	d.network.Refuse(p.name)
	return errors.Wrapf(p.err, "%s", p.name)
}

// end kills the process if it still runs, at the end of a scenario.
func (p *process) end() {
	if p.alive() {
		_ = p.command.Process.Kill()
		<-p.exited
	}
}
