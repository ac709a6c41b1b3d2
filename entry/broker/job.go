package broker

import "github.com/godwitrelay/godwitrelay/core/messenger"

// class is a priority as an index.
type class int

const (
	urgent class = iota
	bulk
	classes
)

func classOf(p messenger.Priority) class {
	if p == messenger.Urgent {
		return urgent
	}
	return bulk
}

// retry is a task that was refused by a target without having started.
type retry struct {
	task  int
	avoid *target
}

// job is an admitted job with tasks that wait or hold grants. Times are in
// nanoseconds; a deadline of 0 is unknown.
type job struct {
	id       string
	owner    *peer
	service  *service
	team     *team
	kind     *kind
	class    class
	memoryMB int64
	deadline int64
	arrived  int64
	sequence uint64
	// taskMs is the run time of one task as estimated at admission.
	taskMs int64
	// reservedMs is what each task that has not been settled holds of the
	// allowance.
	reservedMs int64

	tasks   []int
	retries []retry
	granted int
	// ended is set when the job was refused or cancelled; its grants remain
	// until they are released, but it gets no more.
	ended bool

	lane          *lane
	orderPlace    int
	agePlace      int
	duePlace      int
	deadlinePlace int
	ownerPlace    int
}

func (j *job) waiting() int { return len(j.tasks) + len(j.retries) }

// left is the number of tasks that have not ended.
func (j *job) left() int { return j.waiting() + j.granted }

// take removes the next task to start, those that were refused first.
func (j *job) take() retry {
	if n := len(j.retries); n > 0 {
		r := j.retries[n-1]
		j.retries = j.retries[:n-1]
		return r
	}
	t := j.tasks[0]
	j.tasks = j.tasks[1:]
	return retry{task: t}
}

// avoid is the target that the next task must not go to if there is another.
func (j *job) avoid() *target {
	if n := len(j.retries); n > 0 {
		return j.retries[n-1].avoid
	}
	return nil
}

func jobOrder(order string) func(a, b *job) bool {
	if order == "fifo" {
		return arrivedFirst
	}
	return func(a, b *job) bool {
		if l, m := a.left(), b.left(); l != m {
			return l < m
		}
		return arrivedFirst(a, b)
	}
}

func arrivedFirst(a, b *job) bool {
	if a.arrived != b.arrived {
		return a.arrived < b.arrived
	}
	return a.sequence < b.sequence
}

func deadlineFirst(a, b *job) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.sequence < b.sequence
}

// newJob makes a job known without queueing any task.
func (s *State) newJob(p *peer, svc *service, id, teamName, requestType string, c class) *job {
	s.lastArrival++
	j := &job{
		id: id, owner: p, service: svc, team: s.team(teamName), kind: svc.kind(requestType),
		class: c, arrived: s.now, sequence: s.lastArrival,
	}
	s.jobs[id] = j
	p.jobs = append(p.jobs, j)
	j.ownerPlace = len(p.jobs)
	return j
}

// forgetIfDone drops the job once nothing of it waits or holds a grant.
func (s *State) forgetIfDone(j *job) {
	if j.waiting() > 0 || j.granted > 0 || s.jobs[j.id] != j {
		return
	}
	delete(s.jobs, j.id)
	list := j.owner.jobs
	last := len(list) - 1
	list[j.ownerPlace-1] = list[last]
	list[j.ownerPlace-1].ownerPlace = j.ownerPlace
	list[last] = nil
	j.owner.jobs = list[:last]
}

// end takes the job's waiting tasks out of the queue for good.
func (s *State) end(j *job) {
	j.ended = true
	j.service.dequeue(j)
	s.forgetIfDone(j)
}
