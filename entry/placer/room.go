package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const (
	// maxRoomClasses bounds a report of free CPU to 300 bytes, since bytes between
	// failure domains are dear and an owner sends it to all its neighbours.
	maxRoomClasses = 12
	// maxReportedWorkers limits the workers of a class in the report of another entry,
	// so that sums over all classes do not overflow.
	maxReportedWorkers = 1_000_000
	// MovingTime is how long it takes to move a job to another group: two one-way trips
	// between failure domains of up to 1.4 ms each, from its owner to the caller's entry
	// and on to the other owner.
	MovingTime = 3 * time.Millisecond
)

// RoomClass is a number of workers with at least the given free CPU, in thousandths of
// a core.
type RoomClass struct {
	CPU     int64 `json:"cpu"`
	Workers int64 `json:"n"`
}

// Room describes how many tasks of which size fit into a group: the free CPU of its
// workers in ascending order, in at most maxRoomClasses classes. It is nil if it is
// unknown, and empty if nothing is free.
type Room []RoomClass

// newRoom merges classes, which it sorts, until there are few enough. Each class counts
// with its smallest value, so that tasks that fit by the report fit on the workers.
func newRoom(classes []RoomClass) Room {
	room := Room{}
	if len(classes) == 0 {
		return room
	}
	slices.SortFunc(classes, func(a, b RoomClass) int { return cmp.Compare(a.CPU, b.CPU) })
	width := (classes[len(classes)-1].CPU + maxRoomClasses - 1) / maxRoomClasses
	last := int64(-1)
	for _, c := range classes {
		if c.CPU <= 0 || c.Workers <= 0 {
			continue
		}
		if i := (c.CPU - 1) / width; i != last {
			room, last = append(room, RoomClass{CPU: c.CPU}), i
		}
		room[len(room)-1].Workers += c.Workers
	}
	return room
}

// Valid returns the classes of a report from another entry that are in range, at most
// as many as an entry sends.
func (r Room) Valid() Room {
	if r == nil {
		return nil
	}
	return newRoom(slices.DeleteFunc(slices.Clone(r[:min(len(r), maxRoomClasses)]), func(c RoomClass) bool {
		return c.CPU > maxCapacity || c.Workers > maxReportedWorkers
	}))
}

// tasksPerWorker returns how many tasks of a job fit on a worker of the class.
func (c RoomClass) tasksPerWorker(job Job) int64 {
	n := int64(job.Tasks)
	if job.Resources.CPU > 0 {
		n = c.CPU / job.Resources.CPU
	}
	if job.PerWorker > 0 {
		n = min(n, int64(job.PerWorker))
	}
	return n
}

// FittingTasks returns how many tasks of the size of the job's fit, more than the job
// has if there is room for them.
func (r Room) FittingTasks(job Job) int64 {
	var n int64
	for _, c := range r {
		n += c.Workers * c.tasksPerWorker(job)
	}
	return n
}

// Take returns the room that is left after the tasks of a job were placed, first on the
// workers with the least free CPU on which they fit, as the owner places them. Tasks
// that do not fit take nothing.
func (r Room) Take(job Job) Room {
	left := make([]RoomClass, 0, len(r)+2)
	tasks := int64(job.Tasks)
	for _, c := range r {
		if per := c.tasksPerWorker(job); per > 0 && tasks > 0 {
			// Full workers take as many tasks as fit, and one more the rest.
			full := min(c.Workers, tasks/per)
			left = append(left, RoomClass{c.CPU - per*job.Resources.CPU, full})
			tasks, c.Workers = tasks-full*per, c.Workers-full
			if c.Workers > 0 && tasks > 0 {
				left = append(left, RoomClass{c.CPU - tasks*job.Resources.CPU, 1})
				tasks, c.Workers = 0, c.Workers-1
			}
		}
		left = append(left, c)
	}
	return newRoom(left)
}

// Add returns the room after the tasks of a job have ended. It counts what they leave
// apart from the free CPU beside them, so that it has no more tasks than fit.
func (r Room) Add(job Job) Room {
	return newRoom(append(slices.Clone(r), RoomClass{job.Resources.CPU, int64(job.Tasks)}))
}

// Room returns what fits into the group now, for the owners of other groups. It leaves
// out the workers that FreeCPU leaves out, and for each waiting task the worker with the
// most free CPU: the task will start there or on a worker like it.
//
// It addresses jobs that one group refuses while another has gaps for them but reports
// none, because a few large tasks wait there, or reports a sum of gaps none of which
// holds a task.
func (s *State) Room(now time.Time) Room {
	free := make([]RoomClass, 0, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		if w.schedulable(now) && w.health.maxRuns(now) < 0 && w.unsizedRuns == 0 {
			free = append(free, RoomClass{w.freeResources().CPU, 1})
		}
	}
	slices.SortFunc(free, func(a, b RoomClass) int { return cmp.Compare(a.CPU, b.CPU) })
	for _, j := range s.waiting {
		if len(free) == 0 {
			break
		}
		free = free[:len(free)-min(len(free), s.runnableTasks(now, j))]
	}
	return newRoom(free)
}

// redirect decides whether a new job is served in this group. If not, it returns the
// answer to the job, of which no start has been sent.
//
// A job of this group goes to another one in which it fits whole if not all its tasks
// can start here now. This addresses a group whose callers
// send more than it can serve while others have room: jobs that wait until their latest
// start and are offered elsewhere only then have little time left.
//
// A job that another group could not serve is taken only if all its tasks can start now.
// This addresses entries that choose at once by a report that is out of date: their jobs
// must not queue before those of the group's own callers, and they may be served by a
// third group.
func (s *State) redirect(now time.Time, j *job, msg Submit) (Result, bool) {
	if msg.Spent > 0 {
		// The time spent in other groups counts as time in the queue.
		wait := j.latestStart.Sub(j.submittedAt) - msg.Spent
		j.latestStart = j.submittedAt.Add(max(minWait, wait))
	}
	switch {
	case msg.Offered && !s.startsAtOnce(now, j):
		return Result{Err: messenger.NewError(messenger.Overloaded, "the job of another worker group does not fit now").WithRetryAfter(minRetryAfterMs)}, true
	case msg.Offered || msg.Elsewhere == "" || now.Before(s.orphansMatchedBy):
		// In the last case, runs of an earlier submission may yet be found.
		return Result{}, false
	case j.Label == "" && j.Rack == "" && j.Resources.GPU == 0 && !s.startsAtOnce(now, j):
		return Result{Elsewhere: msg.Elsewhere}, true
	}
	return Result{}, false
}

// startsAtOnce reports whether all tasks of a new job fit now. Tasks that wait do not
// fit into the free resources, or they would have been started.
func (s *State) startsAtOnce(now time.Time, j *job) bool {
	n := 0
	for _, w := range s.sortedWorkers {
		if eligible(w, j) && w.schedulable(now) {
			if n += w.startableTasks(now, j); n >= j.Tasks {
				return true
			}
		}
	}
	return false
}
