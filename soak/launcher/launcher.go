// Package launcher builds and starts the programs under test.
package launcher

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Build builds the program in the directory source, writes it to the directory dir and
// returns its path.
func Build(ctx context.Context, source, dir string) (string, error) {
	program := filepath.Join(dir, filepath.Base(source))
	out, err := exec.CommandContext(ctx, "go", "build", "-o", program, source).CombinedOutput()
	return program, errors.Wrapf(err, "building %s: %s", source, out)
}

// Process is a running program.
type Process struct {
	// Pid is the id of the process, and Exited is closed when it has ended.
	Pid    int
	Exited <-chan struct{}
	cmd    *exec.Cmd
}

// Start writes a settings file with the given contents to the directory dir and starts the
// program with it.
func Start(program, settings, dir string) (*Process, error) {
	path := filepath.Join(dir, filepath.Base(program)+".settings")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, errors.Wrap(err, "writing the settings")
	}
	cmd := exec.CommandContext(context.Background(), program, "--settings", path)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "starting %s", program)
	}
	exited := make(chan struct{})
	go func() {
		// State tells how the process has ended.
		_ = cmd.Wait()
		close(exited)
	}()
	return &Process{Pid: cmd.Process.Pid, Exited: exited, cmd: cmd}, nil
}

// State returns how the process has ended. Call it after Exited is closed.
func (p *Process) State() *os.ProcessState { return p.cmd.ProcessState }

// Kill kills the process, unless it has ended, and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.Exited
}
