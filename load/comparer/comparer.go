package comparer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/load/driver"
)

var log = logrus.WithField("prefix", "comparer")

// stepTimeout limits the duration of one request to a control endpoint.
const stepTimeout = 5 * time.Second

// Selection selects runs. An empty name or a negative round selects all.
type Selection struct {
	Variant, Condition string
	Round              int
}

// Result is the content of the result file of one run.
type Result struct {
	Variant   Variant          `json:"variant"`
	Condition Condition        `json:"condition"`
	Round     int              `json:"round"`
	Seed      uint64           `json:"seed"`
	Label     string           `json:"label,omitempty"`
	Settings  driver.Settings  `json:"settings"`
	Report    driver.RunReport `json:"report"`
}

// Run executes the selected runs and writes one result file for each. All
// variants use the same seed in a round. The order of variants rotates by one
// each round, so that no variant always follows the same other one, which would
// bias the results if one run affects the next. Run returns the number of
// violations.
func Run(ctx context.Context, b Bench, selection Selection) (violations int64, err error) {
	if err := os.MkdirAll(b.Out, 0o755); err != nil {
		return 0, errors.Wrap(err, "creating the result directory")
	}
	for round := range int(b.Rounds) {
		for _, c := range b.Conditions {
			for i := range b.Variants {
				v := b.Variants[(i+round)%len(b.Variants)]
				if !selection.matches(v, c, round) {
					continue
				}
				n, err := runOnce(ctx, b, v, c, round)
				if err != nil {
					return violations, errors.Wrapf(err, "variant %s, condition %s, round %d", v.Name, c.Name, round)
				}
				violations += n
			}
		}
	}
	return violations, nil
}

func (s Selection) matches(v Variant, c Condition, round int) bool {
	return (s.Variant == "" || s.Variant == v.Name) &&
		(s.Condition == "" || s.Condition == c.Name) &&
		(s.Round < 0 || s.Round == round)
}

func runOnce(ctx context.Context, b Bench, v Variant, c Condition, round int) (int64, error) {
	settings := c.apply(v.apply(b.Run))
	settings.Seed += uint64(round)
	var f loader.Problems
	settings.Check(&f)
	if err := f.Err(); err != nil {
		return 0, err
	}
	log.Infof("variant %s, condition %s, round %d", v.Name, c.Name, round)
	client := messenger.Client{Transport: messenger.NewTransport(1, stepTimeout)}
	defer func() {
		if err := sendSteps(context.WithoutCancel(ctx), client, c.After); err != nil {
			log.Errorf("sending the After steps of condition %s: %v", c.Name, err)
		}
	}()
	if err := sendSteps(ctx, client, c.Before); err != nil {
		return 0, err
	}
	var during sync.WaitGroup
	var stepErr error
	during.Go(func() { stepErr = sendSteps(ctx, client, c.During) })
	reports, err := driver.Run(ctx, settings)
	during.Wait()
	if err = errors.CombineErrors(err, stepErr); err != nil {
		return 0, err
	}
	report := reports.Runs[0]
	report.Round = round
	result := Result{
		Variant: v, Condition: c, Round: round, Seed: settings.Seed, Label: settings.Label,
		Settings: settings, Report: report,
	}
	return reports.Violations(), writeJSON(filepath.Join(b.Out, resultFileName(c, v, round)), result)
}

// sendSteps sends the steps in order, each one as soon as AtMs milliseconds have
// passed since sendSteps was called. It stops at the first error.
func sendSteps(ctx context.Context, client messenger.Client, steps []Step) error {
	start := time.Now()
	for _, s := range steps {
		timer := time.NewTimer(time.Until(start.Add(time.Duration(s.AtMs) * time.Millisecond)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		if err := s.send(ctx, client); err != nil {
			return err
		}
	}
	return nil
}

func (s Step) send(ctx context.Context, client messenger.Client) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	status, err := client.Call(ctx, http.MethodPost, "http://"+s.Address+s.Path, s.Body, nil)
	if err != nil {
		return errors.Wrapf(err, "control request to %s", s.Address)
	}
	if status/100 != 2 {
		return errors.Newf("control request to %s: status %d for %s", s.Address, status, s.Body)
	}
	return nil
}

func resultFileName(c Condition, v Variant, round int) string {
	return fmt.Sprintf("run-%s-%s-%d.json", c.Name, v.Name, round)
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encoding the result")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "writing the result")
}
