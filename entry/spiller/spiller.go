// Package spiller selects another worker group for a job that its own group has
// no resources for, for example because callers overload one group or its workers
// are lost while others have free resources.
//
// A neighbour is the entry that owns the workers of another group. Owners poll
// their neighbours for the room on their workers.
package spiller

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/placer"
)

const (
	// PollInterval is the interval at which an owner polls its neighbours.
	PollInterval = 300 * time.Millisecond
	// MaxOffers is the number of other groups that a job is offered to. Each offer that
	// is refused costs time and bytes between failure domains.
	MaxOffers = 2
	// maxReportAge is the maximum age at which a neighbour's report is still used.
	maxReportAge = time.Second
	// retention is how long the address of a neighbour is kept without reports.
	retention = 10 * time.Second
	// reportDelay is how much older a report is than its recorded time: the owner's tick
	// of 20 ms, and the way. A job that was sent just before may not be in it.
	reportDelay = 25 * time.Millisecond
	// runTimeFactor is how many times its estimated run time a job that was sent to a
	// group occupies its room: estimates are off by up to 40 percent.
	runTimeFactor = 1.4
	// requiredCPUFactor is how many times the job's CPU a neighbour of the previous
	// release must have free, which reports a sum only.
	requiredCPUFactor = 3
)

// Neighbour is a report about a neighbour: its worker group, its address and the
// room on its workers.
type Neighbour struct {
	Group         string `json:"group"`
	FailureDomain string `json:"failureDomain,omitempty"`
	// Parts is the number of worker groups in its failure domain.
	Parts int    `json:"parts,omitempty"`
	Owner string `json:"owner"`
	// FreeCPU is the free CPU in thousandths of a core. An entry of the previous release
	// reports it without the room.
	FreeCPU int64       `json:"freeCpu"`
	Room    placer.Room `json:"room,omitzero"`
	// AgeMs is the age of FreeCPU and Room.
	AgeMs int64 `json:"ageMs"`
}

// fittingTasks returns how many tasks of the size of the job's fit by the report, or 0 if
// the whole job does not.
func (n Neighbour) fittingTasks(job placer.Job) int64 {
	fitting := n.Room.FittingTasks(job)
	if n.Room == nil {
		cpu := max(job.Resources.CPU, 1)
		if n.FreeCPU/requiredCPUFactor/cpu < int64(job.Tasks) {
			return 0
		}
		fitting = n.FreeCPU / cpu
	}
	if fitting < int64(job.Tasks) {
		return 0
	}
	return fitting
}

// sentJob is a job that was sent to a group.
type sentJob struct {
	at  time.Time
	job placer.Job
}

// ended reports whether the job should have ended.
func (j sentJob) ended(now time.Time) bool {
	runTime := time.Duration(runTimeFactor * float64(j.job.EstimateMs) * float64(time.Millisecond))
	return runTime > 0 && now.Sub(j.at) > placer.MovingTime+runTime
}

// refusal is the answer of a group that has no room for tasks of the given CPU.
type refusal struct {
	at  time.Time
	cpu int64
}

type record struct {
	// Neighbour is the report, updated by what was sent since and what should have ended.
	Neighbour
	reported Neighbour
	// measuredAt is when the room was measured, on the local clock.
	measuredAt time.Time
	// sent holds the jobs that were sent and had not ended when the room was measured, of
	// which ended should have ended since. The report may not include the refusals.
	sent     []sentJob
	ended    int
	refusals []refusal
}

// included reports whether the report was made after something had happened.
func (r *record) included(at time.Time) bool { return !at.After(r.measuredAt.Add(-reportDelay)) }

// deduct removes a job from the room.
func (r *record) deduct(job placer.Job) {
	r.FreeCPU -= job.Resources.CPU * int64(job.Tasks)
	if r.Room != nil {
		r.Room = r.Room.Take(job)
	}
}

// restore returns the room of the jobs that should have ended, whether they were sent
// before the report or after it. Without it, a group that serves many short jobs between
// two reports seems to be full.
func (r *record) restore(now time.Time) {
	ended := 0
	for _, j := range r.sent {
		if j.ended(now) {
			ended++
		}
	}
	if ended != r.ended {
		r.update(now)
	}
}

// update derives the room from the report and what was sent.
func (r *record) update(now time.Time) {
	r.Neighbour, r.ended = r.reported, 0
	for _, j := range r.sent {
		ended := j.ended(now)
		if ended {
			r.ended++
		}
		switch included := r.included(j.at); {
		case included && ended:
			r.FreeCPU += j.job.Resources.CPU * int64(j.job.Tasks)
			if r.Room != nil {
				r.Room = r.Room.Add(j.job)
			}
		case !included && !ended:
			r.deduct(j.job)
		}
	}
}

// State holds the latest report about each neighbour, which came from the
// neighbour itself or through another entry. The zero value is empty and ready
// to use. It is safe for concurrent use.
type State struct {
	mu      sync.Mutex
	records map[string]record
}

// Record stores a report about a neighbour unless it is no newer than the
// stored one. It reports whether the group is back in reach by it: its owner is new, or
// was silent for longer than maxReportAge.
func (s *State) Record(now time.Time, n Neighbour) (back bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records == nil {
		s.records = map[string]record{}
	}
	at := now.Add(-time.Duration(n.AgeMs) * time.Millisecond)
	old, ok := s.records[n.Group]
	if ok && !at.After(old.measuredAt) {
		return false
	}
	n.Room = n.Room.Valid()
	r := record{Neighbour: n, reported: n, measuredAt: at}
	for _, j := range old.sent {
		included := r.included(j.at)
		if j.ended(at) || (included && j.job.EstimateMs == 0) {
			continue
		}
		r.sent = append(r.sent, j)
		if !included {
			r.deduct(j.job)
		}
	}
	for _, f := range old.refusals {
		if !r.included(f.at) {
			r.refusals = append(r.refusals, f)
		}
	}
	s.records[n.Group] = r
	return n.Owner != old.Owner || at.Sub(old.measuredAt) > maxReportAge
}

// Sent deducts a job that is sent to a group from its room, until a report that includes
// the job. This addresses many jobs that overflow between two reports.
func (s *State) Sent(now time.Time, group string, job placer.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[group]; ok {
		job.Spec = ""
		r.deduct(job)
		r.sent = append(r.sent, sentJob{now, job})
		s.records[group] = r
	}
}

// Refused leaves out a group for jobs whose tasks are at least as large as those of a job
// that it did not take, until its next report. This addresses a report that is out of
// date: each job would be offered in vain until the next one.
func (s *State) Refused(now time.Time, group string, job placer.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[group]; ok {
		r.refusals = append(r.refusals, refusal{now, job.Resources.CPU})
		r.sent = slices.DeleteFunc(slices.Clone(r.sent), func(j sentJob) bool { return j.job.ID == job.ID })
		r.update(now)
		s.records[group] = r
	}
}

// List returns the neighbours sorted by worker group, with the current age of
// their reports.
func (s *State) List(now time.Time) []Neighbour {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Neighbour
	for group, r := range s.records {
		if now.Sub(r.measuredAt) > retention {
			delete(s.records, group)
			continue
		}
		r.restore(now)
		s.records[group] = r
		r.AgeMs = now.Sub(r.measuredAt).Milliseconds()
		list = append(list, r.Neighbour)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Group < list[b].Group })
	return list
}

// Choose returns a group in which the whole job fits by a report that is no older than
// maxReportAge, and false if there is none. It takes preferred, if that is such a group,
// and else one of them in proportion to the number of such tasks that fit, by draw, a
// random number of at least 0 and below 1. Groups in tried are left out.
//
// It addresses entries that choose at once: the group with the most room would get the
// jobs of all of them.
func (s *State) Choose(now time.Time, job placer.Job, preferred string, tried []string, draw float64) (Neighbour, bool) {
	var fits []Neighbour
	var sums []int64
	var sum int64
	for _, n := range s.List(now) {
		if n.AgeMs > maxReportAge.Milliseconds() || n.Owner == "" || slices.Contains(tried, n.Group) || s.refuses(n.Group, job) {
			continue
		}
		fitting := n.fittingTasks(job)
		if fitting == 0 {
			continue
		}
		if n.Group == preferred {
			return n, true
		}
		sum += fitting
		fits, sums = append(fits, n), append(sums, sum)
	}
	for i, n := range fits {
		if draw*float64(sum) < float64(sums[i]) {
			return n, true
		}
	}
	return Neighbour{}, false
}

// refuses reports whether a group has refused tasks of the job's size or smaller ones
// since its report.
func (s *State) refuses(group string, job placer.Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.records[group].refusals, func(f refusal) bool { return f.cpu <= job.Resources.CPU })
}

// InTime reports whether a job that its caller sent the given time ago can still meet its
// latency objective in another group, and be answered before its caller stops waiting.
// RemainingMs of the job is as of now. Without an estimate of the run time, only the
// caller's patience counts.
//
// It addresses jobs that waited in vain in their own group: to run them late takes
// capacity from jobs that are in time.
func InTime(job placer.Job, spent time.Duration) bool {
	estimate := time.Duration(job.EstimateMs) * time.Millisecond
	objective := time.Duration(job.TargetLatencyMs)*time.Millisecond + time.Duration(job.Stretch*float64(estimate))
	left := placer.MovingTime + estimate
	if estimate > 0 && spent+left > objective {
		return false
	}
	return left <= time.Duration(job.RemainingMs)*time.Millisecond
}
