package packer

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// logLine holds the fields that are read from log lines.
type logLine struct {
	Msg        string
	Time       time.Time
	Job        string
	Queue      string
	Outcome    string
	Tasks      int
	CPU        int64 `json:"cpu"`
	ExpectedMs int64
	AgeMs      int64
	Worker     string
}

// Read returns the jobs and the CPU capacities of the workers found in entry
// logs. Text before the first brace of a line is ignored, as are lines without
// a brace. A job whose end several owners have logged is returned once, with its
// earliest arrival.
func Read(r io.Reader) ([]Job, []int64, error) {
	jobs := map[string]*Job{}
	workers := map[string]int64{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, object, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		var l logLine
		if err := json.Unmarshal([]byte("{"+object), &l); err != nil {
			// Output of several processes may be interleaved within a line.
			continue
		}
		switch l.Msg {
		case "placer: worker appeared":
			workers[l.Worker] = l.CPU
		case "placer: job ended":
			arrived := l.Time.Add(-time.Duration(l.AgeMs) * time.Millisecond)
			j := jobs[l.Job]
			if j == nil {
				j = &Job{ID: l.Job, Queue: l.Queue, Arrived: arrived, Tasks: l.Tasks, CPU: l.CPU, Expected: time.Duration(l.ExpectedMs) * time.Millisecond}
				jobs[l.Job] = j
			}
			if arrived.Before(j.Arrived) {
				j.Arrived = arrived
			}
			j.Completed = j.Completed || l.Outcome == "completed"
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, nil, errors.Wrap(err, "reading the log")
	}
	var list []Job
	for _, j := range jobs {
		list = append(list, *j)
	}
	slices.SortFunc(list, func(a, b Job) int { return strings.Compare(a.ID, b.ID) })
	var capacities []int64
	for _, cpu := range workers {
		capacities = append(capacities, cpu)
	}
	slices.Sort(capacities)
	return list, capacities, nil
}
