package conductor

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// operatorName is the name of godwitctl in cuts and lost replies.
const operatorName = "operator"

// The exit codes of godwitctl apply.
const (
	exitLost    = 3
	exitUnknown = 4
)

// apply runs godwitctl apply for a variant of the sheet. A lost race or an
// unknown fate is an *exec.ExitError with the exit code.
func (d *Deployment) apply(name string, variant int, flags ...string) error {
	sheet := filepath.Join(d.folder, name+".csv")
	if err := os.WriteFile(sheet, []byte(d.sheet(variant)), 0o600); err != nil {
		return errors.Wrap(err, "writing the sheet")
	}
	settings := filepath.Join(d.folder, name+".operator")
	content := fmt.Sprintf(`{"platform":%q,"author":%q,"historyFile":%q}`,
		d.platform.address, name, filepath.Join(d.folder, "operator-"+name+".jsonl"))
	if err := os.WriteFile(settings, []byte(content), 0o600); err != nil {
		return errors.Wrap(err, "writing the operator's settings")
	}
	args := []string{"--settings", settings}
	var own []string
	for i := 0; i < len(flags); i++ {
		if flags[i] == "--timeout" {
			args = append(args, flags[i], flags[i+1])
			i++
			continue
		}
		own = append(own, flags[i])
	}
	args = append(append(append(args, "apply"), own...), sheet)
	return d.runOperator(args)
}

func (d *Deployment) runOperator(args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), hangBound)
	defer cancel()
	command := exec.CommandContext(ctx, d.programs.Operator, args...)
	var out strings.Builder
	command.Stdout, command.Stderr = &out, &out
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "starting godwitctl")
	}
	d.mu.Lock()
	d.pids[command.Process.Pid] = operatorName
	d.mu.Unlock()
	if err := command.Wait(); err != nil {
		return errors.Wrapf(err, "godwitctl: %s", out.String())
	}
	return nil
}

// race applies several variants at once on the same base. One operator wins;
// the others must be told that they lost.
func (d *Deployment) race(operators, variant int) error {
	status, err := d.status(d.entries("")[0])
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
		var failed *exec.ExitError
		switch {
		case err == nil:
			won++
		case errors.As(err, &failed) && failed.ExitCode() == exitLost:
		default:
			return err
		}
	}
	if won != 1 {
		return errors.Newf("%d of %d operators were told that they won", won, operators)
	}
	return nil
}

func (d *Deployment) status(entry string) (messenger.EntryStatus, error) {
	var s messenger.EntryStatus
	p, err := d.process(entry)
	if err != nil {
		return s, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), replyBound)
	defer cancel()
	_, err = d.client.Call(ctx, "GET", "http://"+p.control+"/operator/v1/status", nil, &s)
	return s, err
}
