package broker

import "slices"

// lane holds the waiting jobs of one class and team that need targets of the
// same memory group or above. A team at its share, or a lack of large targets,
// blocks whole lanes, so that no job has to be passed over one by one.
type lane struct {
	service *service
	class   class
	team    *team
	group   int
	order   heap[*job]
	// age orders bulk jobs by arrival.
	age heap[*job]
	// due orders jobs with a deadline by it.
	due heap[*job]

	orderPlace int
	agePlace   int
	duePlace   int
}

type laneKey struct {
	class class
	team  *team
	group int
}

// laneSet holds the lanes of one class and memory group that have waiting jobs
// and a team with room, ordered by their first jobs. The broker finds the next
// job without a look at every team.
type laneSet struct {
	order heap[*lane]
	age   heap[*lane]
	due   heap[*lane]
}

func newLaneSet(order func(a, b *job) bool) *laneSet {
	return &laneSet{
		order: heap[*lane]{place: func(l *lane) *int { return &l.orderPlace },
			less: func(a, b *lane) bool { return order(a.order.top(), b.order.top()) }},
		age: heap[*lane]{place: func(l *lane) *int { return &l.agePlace },
			less: func(a, b *lane) bool { return arrivedFirst(a.age.top(), b.age.top()) }},
		due: heap[*lane]{place: func(l *lane) *int { return &l.duePlace },
			less: func(a, b *lane) bool { return deadlineFirst(a.due.top(), b.due.top()) }},
	}
}

// lane returns the lane of the job, making it if necessary.
func (svc *service) lane(j *job) *lane {
	key := laneKey{j.class, j.team, svc.groupFor(j.memoryMB)}
	l := svc.lanes[key]
	if l == nil {
		l = &lane{service: svc, class: key.class, team: key.team, group: key.group}
		l.order = heap[*job]{less: svc.order, place: func(j *job) *int { return &j.orderPlace }}
		l.age = heap[*job]{less: arrivedFirst, place: func(j *job) *int { return &j.agePlace }}
		l.due = heap[*job]{less: deadlineFirst, place: func(j *job) *int { return &j.duePlace }}
		svc.lanes[key] = l
		key.team.lanes = append(key.team.lanes, l)
	}
	return l
}

// update corrects the lane's place among the others. Call it whenever a first
// job of the lane may have changed, or whether its team has room.
func (l *lane) update() {
	set := l.service.ready[l.class][l.group]
	blocked := !l.team.room()
	place(&set.order, l, !blocked && l.order.len() > 0)
	place(&set.age, l, !blocked && l.age.len() > 0)
	place(&set.due, l, !blocked && l.due.len() > 0)
}

func place(h *heap[*lane], l *lane, in bool) {
	switch {
	case !in:
		h.remove(l)
	case h.has(l):
		h.fix(l)
	default:
		h.push(l)
	}
}

// insert puts a job with waiting tasks into its lane.
func (svc *service) insert(j *job) {
	l := svc.lane(j)
	j.lane = l
	l.order.push(j)
	if j.class == bulk {
		l.age.push(j)
	}
	if j.deadline != 0 {
		l.due.push(j)
	}
	l.update()
}

// withdraw takes the job out of its lane.
func (svc *service) withdraw(j *job) {
	l := j.lane
	if l == nil {
		return
	}
	j.lane = nil
	l.order.remove(j)
	l.age.remove(j)
	l.due.remove(j)
	l.update()
}

// reorder corrects the place of a job whose number of tasks left changed.
func (j *job) reorder() {
	if j.lane != nil {
		j.lane.order.fix(j)
		j.lane.update()
	}
}

// relane sorts all waiting jobs into lanes again, after the memory groups of
// the targets changed.
func (svc *service) relane() {
	var all []*job
	for _, l := range svc.lanes {
		all = append(all, l.order.items...)
	}
	svc.dropLanes()
	for c := range svc.ready {
		svc.ready[c] = nil
		// Jobs that need more than the largest target are in the last set.
		for range len(svc.groups) + 1 {
			svc.ready[c] = append(svc.ready[c], newLaneSet(svc.order))
		}
	}
	for _, j := range all {
		j.orderPlace, j.agePlace, j.duePlace = 0, 0, 0
		svc.insert(j)
	}
}

// dropLanes forgets the lanes of the service.
func (svc *service) dropLanes() {
	for key := range svc.lanes {
		key.team.lanes = slices.DeleteFunc(key.team.lanes, func(l *lane) bool { return l.service == svc })
	}
	clear(svc.lanes)
}

// oldest returns the bulk job that arrived first, of those that can be granted.
func (svc *service) oldest() *job {
	var best *job
	for _, set := range svc.ready[bulk][:svc.freeGroup()+1] {
		if set.age.len() == 0 {
			continue
		}
		if j := set.age.top().age.top(); best == nil || arrivedFirst(j, best) {
			best = j
		}
	}
	return best
}

// first returns the job of the class that goes first, of those that have a
// free target and a team with room: the one with the earliest deadline if that
// is in danger, or else the first in order.
func (svc *service) first(c class, now int64) *job {
	var best, due *job
	for _, set := range svc.ready[c][:svc.freeGroup()+1] {
		if set.order.len() == 0 {
			continue
		}
		if j := set.order.top().order.top(); best == nil || svc.order(j, best) {
			best = j
		}
		if set.due.len() == 0 {
			continue
		}
		if j := set.due.top().due.top(); due == nil || deadlineFirst(j, due) {
			due = j
		}
	}
	if due != nil && due.pressing(svc.backlog[c], now) {
		return due
	}
	return best
}

// pressing reports whether the job's deadline is in danger: the whole backlog
// of its class could not be served before it. Under a lasting load smaller jobs
// would overtake the job until it is too late.
func (j *job) pressing(backlogMs, now int64) bool {
	return j.deadline-now < (j.kind.highMs(j.taskMs)+backlogMs)*ms
}
