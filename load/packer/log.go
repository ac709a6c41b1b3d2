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

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// line holds the fields of the log lines that count.
type line struct {
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

// Read returns the jobs and the rooms of the workers that the logs of the
// entries name. Text before the first brace of a line, and lines without one,
// are passed over. A job that ended at several owners counts once.
func Read(r io.Reader) ([]Job, []int64, error) {
	jobs := map[string]*Job{}
	workers := map[string]int64{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		_, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		var l line
		if err := json.Unmarshal([]byte("{"+text), &l); err != nil {
			// Lines of several processes may be mixed up.
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
	var rooms []int64
	for _, cpu := range workers {
		rooms = append(rooms, cpu)
	}
	slices.Sort(rooms)
	return list, rooms, nil
}
