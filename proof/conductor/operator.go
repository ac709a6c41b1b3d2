package conductor

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// operatorName is the name of godwitctl in partitions and dropped replies.
const operatorName = "operator"

// Exit codes of godwitctl apply: the change lost to a concurrent change, or its
// outcome is unknown.
const (
	exitLost    = 3
	exitUnknown = 4
)

// apply runs godwitctl apply with a variant of the sheet. If the change lost to a
// concurrent change or its outcome is unknown, the error wraps an *exec.ExitError
// with the exit code exitLost or exitUnknown.
func (d *Deployment) apply(name string, variant int, flags ...string) error {
	sheet := filepath.Join(d.dir, name+".csv")
	if err := os.WriteFile(sheet, []byte(d.sheet(variant)), 0o600); err != nil {
		return errors.Wrap(err, "writing the sheet")
	}
	settings := filepath.Join(d.dir, name+".operator")
	content := fmt.Sprintf(`{"platform":%q,"author":%q,"historyFile":%q}`,
		d.platform.announcedAddress, name, filepath.Join(d.dir, "operator-"+name+".jsonl"))
	if err := os.WriteFile(settings, []byte(content), 0o600); err != nil {
		return errors.Wrap(err, "writing the operator's settings")
	}
	args := []string{"--settings", settings}
	var applyFlags []string
	for i := 0; i < len(flags); i++ {
		if flags[i] == "--timeout" {
			args = append(args, flags[i], flags[i+1])
			i++
			continue
		}
		applyFlags = append(applyFlags, flags[i])
	}
	args = append(append(append(args, "apply"), applyFlags...), sheet)
	return d.runOperator(args)
}

// runOperator runs godwitctl and returns an error with its output if it fails.
func (d *Deployment) runOperator(args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, d.programs.Operator, args...)
	var output strings.Builder
	command.Stdout, command.Stderr = &output, &output
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "starting godwitctl")
	}
	d.mu.Lock()
	d.pids[command.Process.Pid] = operatorName
	d.mu.Unlock()
	if err := command.Wait(); err != nil {
		return errors.Wrapf(err, "godwitctl: %s", output.String())
	}
	return nil
}

// race applies several variants concurrently on the same base. Exactly one must
// be accepted; the others must exit with exitLost.
func (d *Deployment) race(operators, variant int) error {
	status, err := d.entryStatus(d.entryNames("")[0])
	if err != nil {
		return err
	}
	results := make(chan error, operators)
	for i := range operators {
		go func() {
			results <- d.apply(fmt.Sprintf("racer%d-%d", variant, i), variant+i, "--base", status.ChangeID)
		}()
	}
	won := 0
	for range operators {
		err := <-results
		var exitErr *exec.ExitError
		switch {
		case err == nil:
			won++
		case errors.As(err, &exitErr) && exitErr.ExitCode() == exitLost:
		default:
			return err
		}
	}
	if won != 1 {
		return errors.Newf("%d of %d concurrent changes were accepted, want 1", won, operators)
	}
	return nil
}

// entryStatus returns the status that an entry reports to operators.
func (d *Deployment) entryStatus(entry string) (messenger.EntryStatus, error) {
	var s messenger.EntryStatus
	p, err := d.process(entry)
	if err != nil {
		return s, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	status, err := d.client.Call(ctx, "GET", "http://"+p.controlAddress+"/operator/v1/status", nil, &s)
	if err == nil && status != http.StatusOK {
		err = errors.Newf("the reply has status %d", status)
	}
	return s, errors.Wrapf(err, "requesting the status of %s", entry)
}
