package generator

import (
	"fmt"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Mix describes the jobs of a workload independently of the load: the service that
// they call, the teams that submit them, and the request types with their relative
// frequencies, sizes, run times and deadlines.
type Mix struct {
	Service string        `json:"service"`
	Teams   []string      `json:"teams"`
	Types   []RequestType `json:"types"`
}

// RequestType describes the jobs of one request type. Share is the relative
// frequency of the type; shares need not add up to 1. Deadlines are uniformly
// distributed between DeadlineMinMs and DeadlineMaxMs, but at least three times
// the run time of the longest task, so that no job is infeasible by its deadline
// alone.
type RequestType struct {
	Name          string             `json:"name"`
	Priority      messenger.Priority `json:"priority"`
	Idempotent    bool               `json:"idempotent"`
	Share         float64            `json:"share"`
	Sizes         Sizes              `json:"sizes"`
	Run           LogNormal          `json:"run"`
	DeadlineMinMs int64              `json:"deadlineMinMs"`
	DeadlineMaxMs int64              `json:"deadlineMaxMs"`
}

// commonRun has 95 percent of the run times between 50 ms and 1 s and 0.2
// percent above 2 s, as specified in docs/design.md.
var commonRun = LogNormal{MedianMs: 220, Sigma: 0.75, MinMs: 10, MaxMs: 8000}

// PresetMix returns the built-in mix with the given name, "smokehouse" or
// "namta".
func PresetMix(name string) (Mix, bool) {
	switch name {
	case "smokehouse":
		return smokehouse(), true
	case "namta":
		return namta(), true
	default:
		return Mix{}, false
	}
}

func smokehouse() Mix {
	few := Sizes{{1, 3, 90}, {4, 20, 10}}
	return Mix{
		Service: "orders",
		Teams:   []string{"restaurants", "caterers", "counter"},
		Types: []RequestType{
			urgent("stock-check", true, 0.6, few),
			urgent("firm-booking", false, 0.3, few),
			urgent("cancellation", false, 0.1, Sizes{{1, 2, 1}}),
		},
	}
}

func namta() Mix {
	return Mix{
		Service: "trials",
		Teams:   []string{"technicians", "manufacturers", "inspectors"},
		Types: []RequestType{
			urgent("compression-check", true, 0.6, Sizes{{1, 3, 95}, {4, 12, 5}}),
			urgent("sign-off", false, 0.2, Sizes{{1, 4, 1}}),
			bulk("heat-retention", false, 0.15, Sizes{{4, 24, 90}, {25, 60, 10}}),
			bulk("inspection-archive", true, 0.05, Sizes{{10, 100, 1}}),
		},
	}
}

func urgent(name string, idempotent bool, share float64, sizes Sizes) RequestType {
	return RequestType{
		Name: name, Priority: messenger.Urgent, Idempotent: idempotent, Share: share,
		Sizes: sizes, Run: commonRun, DeadlineMinMs: 4000, DeadlineMaxMs: 10000,
	}
}

func bulk(name string, idempotent bool, share float64, sizes Sizes) RequestType {
	t := urgent(name, idempotent, share, sizes)
	t.Priority, t.DeadlineMinMs, t.DeadlineMaxMs = messenger.Bulk, 15000, 40000
	return t
}

// MeanTasks returns the mean number of tasks per job.
func (m Mix) MeanTasks() float64 {
	jobs, tasks := 0.0, 0.0
	for _, t := range m.Types {
		jobs += t.Share
		tasks += t.Share * t.Sizes.Mean()
	}
	return tasks / jobs
}

// MeanRunMs returns the mean run time of a task in milliseconds.
func (m Mix) MeanRunMs() float64 {
	tasks, work := 0.0, 0.0
	for _, t := range m.Types {
		n := t.Share * t.Sizes.Mean()
		tasks += n
		work += n * t.Run.Mean()
	}
	return work / tasks
}

// Check records invalid settings in f. field is the path of the mix in the
// settings file.
func (m Mix) Check(field string, f *loader.Problems) {
	f.CheckName(field+".service", m.Service)
	if len(m.Teams) == 0 {
		f.Add(field+".teams", 0, "at least one team")
	}
	for i, team := range m.Teams {
		f.CheckName(fmt.Sprintf("%s.teams[%d]", field, i), team)
	}
	if len(m.Types) == 0 {
		f.Add(field+".types", 0, "at least one request type")
	}
	for i, t := range m.Types {
		t.check(fmt.Sprintf("%s.types[%d]", field, i), f)
	}
}

func (t RequestType) check(field string, f *loader.Problems) {
	f.CheckName(field+".name", t.Name)
	if t.Priority != messenger.Urgent && t.Priority != messenger.Bulk {
		f.Add(field+".priority", string(t.Priority), "urgent, bulk")
	}
	if t.Share <= 0 {
		f.Add(field+".share", t.Share, "above 0")
	}
	if len(t.Sizes) == 0 {
		f.Add(field+".sizes", 0, "at least one range")
	}
	for i, part := range t.Sizes {
		if part.Min < 1 || part.Max < part.Min || part.Max > 1300 || part.Weight <= 0 {
			f.Add(fmt.Sprintf("%s.sizes[%d]", field, i), part, "1 <= min <= max <= 1300 and weight above 0")
		}
	}
	if t.Run.MedianMs <= 0 || t.Run.Sigma <= 0 || t.Run.MinMs <= 0 || t.Run.MaxMs < t.Run.MinMs {
		f.Add(field+".run", t.Run, "medianMs, sigma and minMs above 0 and maxMs at least minMs")
	}
	if t.DeadlineMinMs < 1 || t.DeadlineMaxMs < t.DeadlineMinMs {
		f.Add(field+".deadlineMinMs", t.DeadlineMinMs, "1 to deadlineMaxMs")
	}
}
