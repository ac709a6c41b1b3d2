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

// stepTimeout bounds one request to a control endpoint.
const stepTimeout = 5 * time.Second

// Selection limits what is run. Empty names and a negative round mean all.
type Selection struct {
	Variant, Condition string
	Round              int
}

// Result is the content of one result file.
type Result struct {
	Variant   Variant         `json:"variant"`
	Condition Condition       `json:"condition"`
	Round     int             `json:"round"`
	Seed      uint64          `json:"seed"`
	Label     string          `json:"label,omitempty"`
	Settings  driver.Settings `json:"settings"`
	Report    driver.Report   `json:"report"`
}

// Run carries out the selected runs and writes one file for each. A round has
// the same seed for every variant. The order of variants moves on by one each
// round, so that none always follows the same one. Run returns the number of
// violations.
func Run(ctx context.Context, b Bench, sel Selection) (violations int64, err error) {
	if err := os.MkdirAll(b.Out, 0o755); err != nil {
		return 0, errors.Wrap(err, "making the folder of the results")
	}
	for round := range int(b.Rounds) {
		for _, c := range b.Conditions {
			for i := range b.Variants {
				v := b.Variants[(i+round)%len(b.Variants)]
				if !sel.has(v, c, round) {
					continue
				}
				n, err := runOne(ctx, b, v, c, round)
				if err != nil {
					return violations, errors.Wrapf(err, "variant %s, condition %s, round %d", v.Name, c.Name, round)
				}
				violations += n
			}
		}
	}
	return violations, nil
}

func (s Selection) has(v Variant, c Condition, round int) bool {
	return (s.Variant == "" || s.Variant == v.Name) &&
		(s.Condition == "" || s.Condition == c.Name) &&
		(s.Round < 0 || s.Round == round)
}

func runOne(ctx context.Context, b Bench, v Variant, c Condition, round int) (int64, error) {
	settings := c.apply(v.apply(b.Run))
	settings.Seed += uint64(round)
	var f loader.Faults
	settings.Check(&f)
	if err := f.Err(); err != nil {
		return 0, err
	}
	log.Infof("variant %s, condition %s, round %d", v.Name, c.Name, round)
	client := messenger.Client{Transport: messenger.NewTransport(1, stepTimeout)}
	defer func() {
		if err := play(context.WithoutCancel(ctx), client, c.After); err != nil {
			log.Errorf("condition %s could not be ended: %v", c.Name, err)
		}
	}()
	if err := play(ctx, client, c.Before); err != nil {
		return 0, err
	}
	var during sync.WaitGroup
	var stepErr error
	during.Go(func() { stepErr = play(ctx, client, c.During) })
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
	return reports.Violations(), write(filepath.Join(b.Out, fileName(c, v, round)), result)
}

// play sends the steps, each at its time after the call.
func play(ctx context.Context, client messenger.Client, steps []Step) error {
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
		return errors.Wrapf(err, "control of %s", s.Address)
	}
	if status/100 != 2 {
		return errors.Newf("control of %s: status %d for %s", s.Address, status, s.Body)
	}
	return nil
}

func fileName(c Condition, v Variant, round int) string {
	return fmt.Sprintf("run-%s-%s-%d.json", c.Name, v.Name, round)
}

func write(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encoding the result")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "writing the result")
}
