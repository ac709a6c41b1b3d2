// Package prober measures the resource usage of one entry process: CPU time per
// start, memory per waiting task, and the idle cost by number of services,
// teams, targets and peers. It fits lines by least squares; the published
// capacity figures are derived from their slopes.
package prober

import (
	"fmt"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/load/generator"
)

// minFitSizes is the minimum number of distinct sizes for a linear fit.
const minFitSizes = 3

// Settings select the measurements; nil ones are skipped. Entry is the address
// (IP:port) at which the entry serves callers, and Metrics the address at which
// it serves GET /metrics. Slots is the total number of slots of its targets.
type Settings struct {
	Entry   string           `json:"entry"`
	Metrics string           `json:"metrics"`
	MixName string           `json:"mix,omitempty"`
	Slots   int64            `json:"slots,omitempty"`
	Seed    uint64           `json:"seed,omitempty"`
	Label   string           `json:"label,omitempty"`
	Starts  *StartsSettings  `json:"starts,omitempty"`
	Waiting *WaitingSettings `json:"waiting,omitempty"`
	Idle    *IdleSettings    `json:"idle,omitempty"`
}

// StartsSettings configure the measurement of CPU time per start: jobs of 1 ms
// tasks arrive at each rate for StepMs. There is one series per job size.
type StartsSettings struct {
	TasksPerS   []int64 `json:"tasksPerS"`
	TasksPerJob []int64 `json:"tasksPerJob"`
	StepMs      int64   `json:"stepMs,omitempty"`
}

// WaitingSettings configure the measurement of memory per waiting task: all
// slots are occupied for HoldMs while the number of waiting tasks increases
// through the values of Tasks. There is one series per job size.
type WaitingSettings struct {
	Tasks       []int64 `json:"tasks"`
	TasksPerJob []int64 `json:"tasksPerJob"`
	HoldMs      int64   `json:"holdMs,omitempty"`
}

// IdleSettings configure the measurement of an entry without jobs for ForMs.
// Dimension names the varied quantity, such as targets, and Size is its value in
// the measured process. Each run produces one point; see [Merge].
type IdleSettings struct {
	Dimension string `json:"dimension"`
	Size      int64  `json:"size"`
	ForMs     int64  `json:"forMs,omitempty"`
}

// Check records invalid settings in f and fills in defaults.
func (s *Settings) Check(f *loader.Problems) {
	f.CheckAddress("metrics", s.Metrics)
	f.CheckOneOf("mix", &s.MixName, "smokehouse", "namta")
	f.CheckRange("slots", &s.Slots, 400, 1, 1_000_000)
	if s.Starts == nil && s.Waiting == nil && s.Idle == nil {
		f.Add("starts, waiting, idle", "missing", "at least one measurement")
	}
	if s.Starts != nil || s.Waiting != nil {
		f.CheckAddress("entry", s.Entry)
	}
	if s.Starts != nil {
		f.CheckRange("starts.stepMs", &s.Starts.StepMs, 5000, 100, 600_000)
		checkIncreasing(f, "starts.tasksPerS", s.Starts.TasksPerS, minFitSizes, 1_000_000)
		checkIncreasing(f, "starts.tasksPerJob", s.Starts.TasksPerJob, 1, 1300)
	}
	if s.Waiting != nil {
		f.CheckRange("waiting.holdMs", &s.Waiting.HoldMs, 20_000, 100, 600_000)
		checkIncreasing(f, "waiting.tasks", s.Waiting.Tasks, minFitSizes, 1_000_000)
		checkIncreasing(f, "waiting.tasksPerJob", s.Waiting.TasksPerJob, 1, 1300)
	}
	if s.Idle != nil {
		f.CheckName("idle.dimension", s.Idle.Dimension)
		f.CheckRange("idle.forMs", &s.Idle.ForMs, 10_000, 1, 600_000)
	}
}

// checkIncreasing checks that there are at least minCount values, and that they
// are strictly increasing and between 1 and high.
func checkIncreasing(f *loader.Problems, field string, values []int64, minCount int, high int64) {
	if len(values) < minCount {
		f.Add(field, len(values), fmt.Sprintf("at least %d values", minCount))
	}
	last := int64(0)
	for i, value := range values {
		if value <= last || value > high {
			f.Add(fmt.Sprintf("%s[%d]", field, i), value, fmt.Sprintf("strictly increasing values from 1 to %d", high))
		}
		last = value
	}
}

// workload returns the generator settings for tasks of 1 ms that arrive at
// tasksPerS, in jobs of tasksPerJob tasks. s.Starts must be set.
func (s Settings) workload(tasksPerS, tasksPerJob int64) generator.Settings {
	mix, _ := generator.PresetMix(s.MixName)
	mix.Types = mix.Types[:1]
	mix.Types[0].Sizes = generator.Sizes{{Min: int(tasksPerJob), Max: int(tasksPerJob), Weight: 1}}
	mix.Types[0].Run = generator.LogNormal{MedianMs: 1, Sigma: 1, MinMs: 1, MaxMs: 1}
	capacity := float64(s.Slots) * 1000
	return generator.Settings{
		Seed: s.Seed, CustomMix: &mix, Slots: s.Slots, TimeScale: 1, DeclaredErrorMax: 1,
		LoadPercent: 100 * float64(tasksPerS) / capacity, DurationMs: s.Starts.StepMs,
	}
}
