package meter

import (
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/load/caller"
)

// TimelineSecond summarizes the urgent jobs that arrived in one second of a run.
// OverIdealP99 is the 99th percentile of the ratio of their response times to the
// ideal. The timeline shows how long a fault affects response times.
type TimelineSecond struct {
	Second       int     `json:"second"`
	Jobs         int     `json:"jobs"`
	Complete     int     `json:"complete"`
	OverIdealP99 float64 `json:"overIdealP99"`
}

// secondStats aggregates the jobs of one [TimelineSecond].
type secondStats struct {
	jobs      int
	overIdeal []float64
}

// recordTimelineLocked adds an urgent job to the second of its arrival.
func (m *Meter) recordTimelineLocked(f caller.FinishedJob) {
	if f.Job.Type.Priority != messenger.Urgent {
		return
	}
	n := int(f.Job.ArrivesAt / time.Second)
	for len(m.timelineSeconds) <= n {
		m.timelineSeconds = append(m.timelineSeconds, secondStats{})
	}
	s := &m.timelineSeconds[n]
	s.jobs++
	if f.Attempt.Outcome == messenger.Complete {
		s.overIdeal = append(s.overIdeal, float64(f.Response)/float64(f.Job.LongestRun()+m.settings.NetworkRoundTrip))
	}
}

func (m *Meter) timelineLocked() []TimelineSecond {
	list := make([]TimelineSecond, 0, len(m.timelineSeconds))
	for i, s := range m.timelineSeconds {
		if s.jobs == 0 {
			continue
		}
		row := TimelineSecond{Second: i, Jobs: s.jobs, Complete: len(s.overIdeal)}
		if n := len(s.overIdeal); n > 0 {
			sorted := slices.Sorted(slices.Values(s.overIdeal))
			row.OverIdealP99 = sorted[(n*99+99)/100-1]
		}
		list = append(list, row)
	}
	return list
}
