// Package prober measures what one entry process costs: CPU time per start,
// memory per waiting task, and what grows with the number of services, teams,
// targets and peers. It fits slopes by least squares, from which the capacity
// page is derived.
package prober

import (
	"fmt"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/load/generator"
)

// minSizes is the smallest number of sizes that a slope is fitted over.
const minSizes = 3

// Settings choose the measurements; those left out are not made. Entry is the
// caller address and Metrics the operator address of the entry. Slots is the
// number of slots of all its targets.
type Settings struct {
	Entry   string   `json:"entry"`
	Metrics string   `json:"metrics"`
	MixName string   `json:"mix,omitempty"`
	Slots   int64    `json:"slots,omitempty"`
	Seed    uint64   `json:"seed,omitempty"`
	Label   string   `json:"label,omitempty"`
	Starts  *Starts  `json:"starts,omitempty"`
	Waiting *Waiting `json:"waiting,omitempty"`
	Idle    *Idle    `json:"idle,omitempty"`
}

// Starts measures CPU time per start: jobs of tasks that run for 1 ms arrive
// at each of the rates for StepMs. There is one series for each job size.
type Starts struct {
	TasksPerS   []int64 `json:"tasksPerS"`
	TasksPerJob []int64 `json:"tasksPerJob"`
	StepMs      int64   `json:"stepMs,omitempty"`
}

// Waiting measures memory per waiting task: all slots are taken for HoldMs
// while the number of waiting tasks rises through Tasks. There is one series
// for each job size.
type Waiting struct {
	Tasks       []int64 `json:"tasks"`
	TasksPerJob []int64 `json:"tasksPerJob"`
	HoldMs      int64   `json:"holdMs,omitempty"`
}

// Idle measures an entry without jobs for ForMs. Size is the value of
// Dimension, such as the number of targets, at which this process was started.
// Each run gives one point; see [Merge].
type Idle struct {
	Dimension string `json:"dimension"`
	Size      int64  `json:"size"`
	ForMs     int64  `json:"forMs,omitempty"`
}

// Check records every fault in f and fills in defaults.
func (s *Settings) Check(f *loader.Faults) {
	f.Address("metrics", s.Metrics)
	f.OneOf("mix", &s.MixName, "smokehouse", "namta")
	f.Range("slots", &s.Slots, 400, 1, 1_000_000)
	if s.Starts == nil && s.Waiting == nil && s.Idle == nil {
		f.Add("starts, waiting, idle", "missing", "at least one measurement")
	}
	if s.Starts != nil || s.Waiting != nil {
		f.Address("entry", s.Entry)
	}
	if s.Starts != nil {
		f.Range("starts.stepMs", &s.Starts.StepMs, 5000, 100, 600_000)
		checkSizes(f, "starts.tasksPerS", s.Starts.TasksPerS, minSizes, 1_000_000)
		checkSizes(f, "starts.tasksPerJob", s.Starts.TasksPerJob, 1, 1300)
	}
	if s.Waiting != nil {
		f.Range("waiting.holdMs", &s.Waiting.HoldMs, 20_000, 100, 600_000)
		checkSizes(f, "waiting.tasks", s.Waiting.Tasks, minSizes, 1_000_000)
		checkSizes(f, "waiting.tasksPerJob", s.Waiting.TasksPerJob, 1, 1300)
	}
	if s.Idle != nil {
		f.Name("idle.dimension", s.Idle.Dimension)
		f.Range("idle.forMs", &s.Idle.ForMs, 10_000, 1, 600_000)
	}
}

// checkSizes checks that sizes rise and lie between 1 and high.
func checkSizes(f *loader.Faults, field string, sizes []int64, atLeast int, high int64) {
	if len(sizes) < atLeast {
		f.Add(field, len(sizes), fmt.Sprintf("at least %d sizes", atLeast))
	}
	last := int64(0)
	for i, n := range sizes {
		if n <= last || n > high {
			f.Add(fmt.Sprintf("%s[%d]", field, i), n, fmt.Sprintf("rising values up to %d", high))
		}
		last = n
	}
}

// workload returns jobs of exactly size tasks of 1 ms at a rate of tasksPerS.
func (s Settings) workload(tasksPerS, size int64) generator.Settings {
	mix, _ := generator.Preset(s.MixName)
	mix.Types = mix.Types[:1]
	mix.Types[0].Sizes = generator.Sizes{{Min: int(size), Max: int(size), Weight: 1}}
	mix.Types[0].Run = generator.LogNormal{MedianMs: 1, Sigma: 1, MinMs: 1, MaxMs: 1}
	capacity := float64(s.Slots) * 1000
	return generator.Settings{
		Seed: s.Seed, CustomMix: &mix, Slots: s.Slots, TimeScale: 1, DeclaredErrorMax: 1,
		LoadPercent: 100 * float64(tasksPerS) / capacity, DurationMs: s.Starts.StepMs,
	}
}
