package broker

import "github.com/godwitrelay/godwitrelay/core/messenger"

// class is a priority as an array index. Urgent work is served before bulk work.
type class int

const (
	urgent class = iota
	bulk
	classCount
)

func classOf(p messenger.Priority) class {
	if p == messenger.Urgent {
		return urgent
	}
	return bulk
}

// requeuedTask is a task that was put back into the queue when its grant was
// released. avoid is the target of that grant.
type requeuedTask struct {
	task  int
	avoid *target
}

// job is an admitted job with tasks that wait or have grants. Times are in
// nanoseconds; a deadline of 0 means unknown.
type job struct {
	id        string
	owner     *peer
	service   *service
	team      *team
	typeStats *typeStats
	class     class
	memoryMB  int64
	deadline  int64
	arrived   int64
	sequence  uint64
	// taskMs is the run time of one task, estimated at admission.
	taskMs int64
	// reservedMs is what each unfinished task reserves of the allowance.
	reservedMs int64

	tasks      []int
	requeued   []requeuedTask
	grantCount int
	// ended is set once the job is refused or cancelled. It gets no more grants;
	// those it has stay until they are released.
	ended bool

	queue *jobQueue
	// Positions in the heaps of the queue, in the service's deadlines and in the
	// owner's jobs: the index plus one, or 0 if absent.
	orderPos         int
	arrivalPos       int
	queueDeadlinePos int
	deadlinePos      int
	ownerPos         int
}

func (j *job) waitingTasks() int { return len(j.tasks) + len(j.requeued) }

// unfinished returns the number of tasks that wait or have a grant.
func (j *job) unfinished() int { return j.waitingTasks() + j.grantCount }

// takeTask removes and returns the next task to start, requeued tasks first.
func (j *job) takeTask() requeuedTask {
	if n := len(j.requeued); n > 0 {
		r := j.requeued[n-1]
		j.requeued = j.requeued[:n-1]
		return r
	}
	t := j.tasks[0]
	j.tasks = j.tasks[1:]
	return requeuedTask{task: t}
}

// avoidTarget returns the target of the last grant of the next task if the task
// was requeued, or else nil.
func (j *job) avoidTarget() *target {
	if n := len(j.requeued); n > 0 {
		return j.requeued[n-1].avoid
	}
	return nil
}

// orderFunc returns the comparison of jobs for a value of Settings.Order.
func orderFunc(order string) func(a, b *job) bool {
	if order == "fifo" {
		return arrivedBefore
	}
	return func(a, b *job) bool {
		if l, m := a.unfinished(), b.unfinished(); l != m {
			return l < m
		}
		return arrivedBefore(a, b)
	}
}

func arrivedBefore(a, b *job) bool {
	if a.arrived != b.arrived {
		return a.arrived < b.arrived
	}
	return a.sequence < b.sequence
}

func deadlineBefore(a, b *job) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.sequence < b.sequence
}

// newJob adds a job without queueing any of its tasks.
func (s *State) newJob(p *peer, svc *service, id, teamName, requestType string, c class) *job {
	s.lastJobSequence++
	j := &job{
		id: id, owner: p, service: svc, team: s.ensureTeam(teamName), typeStats: svc.statsFor(requestType),
		class: c, arrived: s.now, sequence: s.lastJobSequence,
	}
	s.jobs[id] = j
	p.jobs = append(p.jobs, j)
	j.ownerPos = len(p.jobs)
	return j
}

// removeIfDone removes the job once none of its tasks waits or has a grant.
func (s *State) removeIfDone(j *job) {
	if j.waitingTasks() > 0 || j.grantCount > 0 || s.jobs[j.id] != j {
		return
	}
	delete(s.jobs, j.id)
	list := j.owner.jobs
	last := len(list) - 1
	list[j.ownerPos-1] = list[last]
	list[j.ownerPos-1].ownerPos = j.ownerPos
	list[last] = nil
	j.owner.jobs = list[:last]
}

// endJob discards the job's waiting tasks and marks it as ended.
func (s *State) endJob(j *job) {
	j.ended = true
	j.service.discardTasks(j)
	s.removeIfDone(j)
}
