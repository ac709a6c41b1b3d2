package meter

import (
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/load/caller"
)

// Second holds the urgent jobs that arrived in one second of a run. It shows
// how long a fault is felt.
type Second struct {
	Second    int     `json:"second"`
	Jobs      int     `json:"jobs"`
	Complete  int     `json:"complete"`
	OverIdeal float64 `json:"overIdealP99"`
}

// second collects one [Second].
type second struct {
	jobs   int
	ratios []float64
}

// recordSecond adds an urgent job to the second of its arrival.
func (m *Meter) recordSecond(f caller.Finished) {
	if f.Job.Type.Priority != messenger.Urgent {
		return
	}
	n := int(f.Job.At / time.Second)
	for len(m.seconds) <= n {
		m.seconds = append(m.seconds, second{})
	}
	s := &m.seconds[n]
	s.jobs++
	if f.Attempt.Outcome == messenger.Complete {
		s.ratios = append(s.ratios, float64(f.Response)/float64(f.Job.Longest()+m.settings.Path))
	}
}

func (m *Meter) timeline() []Second {
	list := make([]Second, 0, len(m.seconds))
	for i, s := range m.seconds {
		if s.jobs == 0 {
			continue
		}
		row := Second{Second: i, Jobs: s.jobs, Complete: len(s.ratios)}
		if n := len(s.ratios); n > 0 {
			sorted := slices.Sorted(slices.Values(s.ratios))
			row.OverIdeal = sorted[(n*99+99)/100-1]
		}
		list = append(list, row)
	}
	return list
}
