// Package comparer runs the same workload against variants of the system under
// several conditions, in alternating order, and sums up the runs.
package comparer

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/load/driver"
	"github.com/godwitrelay/godwitrelay/load/generator"
)

// minRounds is the smallest number of rounds whose median and spread say
// anything.
const minRounds = 3

// Bench is a bench file. Run holds the settings that all runs share. Out is
// the folder of the result files.
type Bench struct {
	Run        driver.Settings `json:"run"`
	Rounds     int64           `json:"rounds,omitempty"`
	Variants   []Variant       `json:"variants"`
	Conditions []Condition     `json:"conditions,omitempty"`
	Out        string          `json:"out"`
}

// Variant is one way of serving the workload: entries that run with other
// settings, or the mode direct as the reference. Settings is copied to the
// results to tell what was different. Variants that a script starts one at a
// time may share addresses.
type Variant struct {
	Name     string          `json:"name"`
	Mode     string          `json:"mode,omitempty"`
	Entries  []string        `json:"entries,omitempty"`
	Metrics  []string        `json:"metrics,omitempty"`
	Label    string          `json:"label,omitempty"`
	Settings json.RawMessage `json:"settings,omitempty"`
}

// Condition is what a run takes place under. What of the workload it leaves out
// is that of the shared settings. Before, During and After are requests to control endpoints;
// After is sent even if the run fails.
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

// Step is one request: POST of Body to Path (default /control) of the process
// at Address, AtMs after the start of the run.
type Step struct {
	AtMs    int64           `json:"atMs,omitempty"`
	Address string          `json:"address"`
	Path    string          `json:"path,omitempty"`
	Body    json.RawMessage `json:"body"`
}

// Check records every fault in f and fills in defaults.
func (b *Bench) Check(f *loader.Faults) {
	f.Range("rounds", &b.Rounds, minRounds, minRounds, 1000)
	if b.Out == "" {
		f.Add("out", b.Out, "a folder for the results")
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
		names = addName(f, field+".name", names, b.Variants[i].Name)
	}
	names = nil
	for i := range b.Conditions {
		field := fmt.Sprintf("conditions[%d]", i)
		b.Conditions[i].check(field, f)
		names = addName(f, field+".name", names, b.Conditions[i].Name)
	}
}

// check checks the variant by the settings of its runs, so that faults of the
// shared part show as well.
func (v *Variant) check(field string, shared driver.Settings, f *loader.Faults) {
	f.Name(field+".name", v.Name)
	f.OneOf(field+".mode", &v.Mode, driver.Entries, driver.Direct)
	var own loader.Faults
	settings := v.apply(shared)
	settings.Check(&own)
	if err := own.Err(); err != nil {
		f.Add(field+" with run", err.Error(), "settings of a run")
	}
}

// apply returns the settings of the variant's runs.
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

// apply returns the settings of a run under the condition.
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

func (c *Condition) check(field string, f *loader.Faults) {
	f.Name(field+".name", c.Name)
	var own loader.Faults
	workload := c.apply(driver.Settings{}).Settings
	workload.Check(&own)
	if err := own.Err(); err != nil {
		f.Add(field, err.Error(), "settings of a run")
	}
	for name, steps := range map[string][]Step{"before": c.Before, "during": c.During, "after": c.After} {
		for i := range steps {
			place := fmt.Sprintf("%s.%s[%d]", field, name, i)
			f.Address(place+".address", steps[i].Address)
			if steps[i].Path == "" {
				steps[i].Path = "/control"
			}
			if steps[i].AtMs < 0 {
				f.Add(place+".atMs", steps[i].AtMs, "0 or more")
			}
		}
	}
}

func addName(f *loader.Faults, field string, names []string, name string) []string {
	if slices.Contains(names, name) {
		f.Add(field, name, "a name that is used once")
	}
	return append(names, name)
}
