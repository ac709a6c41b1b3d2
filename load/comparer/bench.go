// Package comparer runs the same workload against variants of the system under
// several conditions and summarizes the results. The order of the variants
// rotates from round to round.
package comparer

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/load/driver"
	"github.com/godwitrelay/godwitrelay/load/generator"
)

// minRounds is the minimum number of rounds for a meaningful median and spread.
const minRounds = 3

// Bench is the content of a benchmark file. Run holds the settings shared by all
// runs, and Out is the directory of the result files.
type Bench struct {
	Run        driver.Settings `json:"run"`
	Rounds     int64           `json:"rounds,omitempty"`
	Variants   []Variant       `json:"variants"`
	Conditions []Condition     `json:"conditions,omitempty"`
	Out        string          `json:"out"`
}

// Variant is one way of serving the workload: entries with particular settings,
// or the mode direct as the baseline. Settings is copied to the results to
// document the difference and has no other effect. Variants that a script starts
// one at a time may share addresses.
type Variant struct {
	Name     string          `json:"name"`
	Mode     string          `json:"mode,omitempty"`
	Entries  []string        `json:"entries,omitempty"`
	Metrics  []string        `json:"metrics,omitempty"`
	Label    string          `json:"label,omitempty"`
	Settings json.RawMessage `json:"settings,omitempty"`
}

// Condition describes the load of a run and the faults injected into it. Workload
// settings that it does not set are taken from the shared settings. Before, During
// and After are requests to control endpoints; After is sent even if the run
// fails.
type Condition struct {
	Name        string  `json:"name"`
	LoadPercent float64 `json:"loadPercent,omitempty"`
	Before      []Step  `json:"before,omitempty"`
	During      []Step  `json:"during,omitempty"`
	After       []Step  `json:"after,omitempty"`

	Bursts          *generator.Bursts        `json:"bursts,omitempty"`
	Cancellations   *generator.Cancellations `json:"cancellations,omitempty"`
	ResubmitPercent *float64                 `json:"resubmitPercent,omitempty"`
}

// Step is one control request: a POST of Body to Path (default /control) of the
// process at Address. It is sent AtMs milliseconds after the start of the phase
// (Before, During or After) that it belongs to.
type Step struct {
	AtMs    int64           `json:"atMs,omitempty"`
	Address string          `json:"address"`
	Path    string          `json:"path,omitempty"`
	Body    json.RawMessage `json:"body"`
}

// Check records invalid settings in f and fills in defaults.
func (b *Bench) Check(f *loader.Problems) {
	f.CheckRange("rounds", &b.Rounds, minRounds, minRounds, 1000)
	if b.Out == "" {
		f.Add("out", b.Out, "a directory for the results")
	}
	if len(b.Conditions) == 0 {
		b.Conditions = []Condition{{Name: "none"}}
	}
	if len(b.Variants) == 0 {
		f.Add("variants", 0, "at least one variant")
	}
	var names []string
	for i := range b.Variants {
		field := fmt.Sprintf("variants[%d]", i)
		b.Variants[i].check(field, b.Run, f)
		names = checkUniqueName(f, field+".name", names, b.Variants[i].Name)
	}
	names = nil
	for i := range b.Conditions {
		field := fmt.Sprintf("conditions[%d]", i)
		b.Conditions[i].check(field, f)
		names = checkUniqueName(f, field+".name", names, b.Conditions[i].Name)
	}
}

// check validates the variant together with the shared settings, so that invalid
// shared settings are also reported.
func (v *Variant) check(field string, shared driver.Settings, f *loader.Problems) {
	f.CheckName(field+".name", v.Name)
	f.CheckOneOf(field+".mode", &v.Mode, driver.Entries, driver.Direct)
	var problems loader.Problems
	settings := v.apply(shared)
	settings.Check(&problems)
	if err := problems.Err(); err != nil {
		f.Add(field+" with run", err.Error(), "valid settings of a run")
	}
}

// apply returns the shared settings with those of the variant applied.
func (v Variant) apply(shared driver.Settings) driver.Settings {
	shared.Modes = []string{v.Mode}
	shared.Rounds = 1
	if len(v.Entries) > 0 {
		shared.Entries = slices.Clone(v.Entries)
	}
	if len(v.Metrics) > 0 {
		shared.Metrics = slices.Clone(v.Metrics)
	}
	if v.Label != "" {
		shared.Label = v.Label
	}
	return shared
}

// apply returns the settings s with those of the condition applied.
func (c Condition) apply(s driver.Settings) driver.Settings {
	if c.LoadPercent != 0 {
		s.LoadPercent = c.LoadPercent
	}
	if c.Bursts != nil {
		s.Bursts = *c.Bursts
	}
	if c.Cancellations != nil {
		s.Cancellations = *c.Cancellations
	}
	if c.ResubmitPercent != nil {
		s.ResubmitPercent = *c.ResubmitPercent
	}
	return s
}

func (c *Condition) check(field string, f *loader.Problems) {
	f.CheckName(field+".name", c.Name)
	var problems loader.Problems
	workload := c.apply(driver.Settings{}).Settings
	workload.Check(&problems)
	if err := problems.Err(); err != nil {
		f.Add(field, err.Error(), "valid settings of a run")
	}
	for name, steps := range map[string][]Step{"before": c.Before, "during": c.During, "after": c.After} {
		for i := range steps {
			stepField := fmt.Sprintf("%s.%s[%d]", field, name, i)
			f.CheckAddress(stepField+".address", steps[i].Address)
			if steps[i].Path == "" {
				steps[i].Path = "/control"
			}
			if steps[i].AtMs < 0 {
				f.Add(stepField+".atMs", steps[i].AtMs, "0 or more")
			}
		}
	}
}

func checkUniqueName(f *loader.Problems, field string, names []string, name string) []string {
	if slices.Contains(names, name) {
		f.Add(field, name, "a unique name")
	}
	return append(names, name)
}
