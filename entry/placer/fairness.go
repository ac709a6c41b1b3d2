package placer

import (
	"sort"
	"time"
)

const (
	// sharePeriod is the time constant of the shares served: longer than the longest run
	// of an ordinary queue, so that a share doesn't follow single jobs, and shorter than a
	// burst of 4 to 8 s.
	sharePeriod = 2 * time.Second
	// minShareJobs is the number of recent jobs from which a share says something about
	// the queue.
	minShareJobs = 10
	// lossFactor is how many times as large a share of a queue may be refused for the
	// sake of one of a higher priority as is refused of that one. At 2, a day of
	// contention refused 65 percent more jobs of the lowest priority and 32 percent
	// fewer of the next one; at 1, 24 percent more and 14 percent fewer.
	lossFactor = 1
	// minShare is the share of a queue, relative to that of any other one, below which
	// the other one is refused for its sake. The aim is a half of the jobs in time: the
	// share counts starts, of which some end late, and trails what happens.
	minShare = 0.55
	// minYieldingShare is the share of a queue, relative to that of any other one, below
	// which it is not refused for the sake of a higher priority. It is above minShare
	// so that the two rules don't work against each other.
	minYieldingShare = 0.6
	// maxServedQueues bounds the number of queues whose shares are kept.
	maxServedQueues = 64
)

// servedShare averages over sharePeriod how many jobs of a queue started and how many
// were refused.
type servedShare struct {
	queue, service   string
	priority         int
	started, refused float64
	updatedAt        time.Time
}

func (q *servedShare) observe(now time.Time, started bool) {
	f := decay(now, q.updatedAt, sharePeriod)
	q.started, q.refused, q.updatedAt = q.started*f, q.refused*f, now
	if started {
		q.started++
	} else {
		q.refused++
	}
}

// value returns the share, and whether enough jobs were seen lately.
func (q *servedShare) value(now time.Time) (float64, bool) {
	n := q.started + q.refused
	if n*decay(now, q.updatedAt, sharePeriod) < minShareJobs {
		return 0, false
	}
	return q.started / n, true
}

// servedShares holds the shares of the queues in the order in which they were first
// seen. The zero value is empty and ready to use.
type servedShares []*servedShare

func (l *servedShares) observe(now time.Time, j *job, started bool) {
	for _, q := range *l {
		if q.queue == j.Queue && q.service == j.Service {
			q.priority = j.Priority
			q.observe(now, started)
			return
		}
	}
	if len(*l) < maxServedQueues {
		q := &servedShare{queue: j.Queue, service: j.Service, priority: j.Priority, updatedAt: now}
		q.observe(now, started)
		*l = append(*l, q)
	}
}

// exceedsBound reports whether a new job is refused for the sake of another queue. Its
// own queue is served almost twice as often as the other one, or more; or the other one has
// a higher priority, jobs of a higher priority wait, and the own queue is refused less
// often.
//
// It addresses a burst of long jobs of a low priority. One that has started holds its
// room for 0.9 s and may wait for four times as long as a narrow job of 0.2 s, so that
// the share of the narrow jobs falls as low as its own although they come first.
func (l servedShares) exceedsBound(now time.Time, j *job, higherWaits bool) bool {
	own, most, least, bound := 0.0, 0.0, 1.0, 1.0
	for _, q := range l {
		v, ok := q.value(now)
		switch {
		case !ok || q.service != j.Service:
		case q.queue == j.Queue:
			own = v
		default:
			most, least = max(most, v), min(least, v)
			if q.priority < j.Priority {
				bound = min(bound, 1-lossFactor*(1-v))
			}
		}
	}
	if least < minShare*own {
		return true
	}
	return higherWaits && bound < 1 && own > max(bound, minYieldingShare*most)
}

// waitsBehindHigher reports whether an unstarted job of a higher priority than j waits.
func (s *State) waitsBehindHigher(j *job) bool {
	i := sort.Search(len(s.waiting), func(i int) bool { return !s.waiting[i].started })
	return i < len(s.waiting) && s.waiting[i].Priority < j.Priority
}
