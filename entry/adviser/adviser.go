// Package adviser decides when the callers of refused jobs return, so that they find
// capacity and don't all return at once. It performs no I/O and reads no clock.
package adviser

import "time"

const (
	// step is the resolution of Retry-After, which is in whole seconds.
	step = time.Second
	// maxSteps bounds the answer. A burst lasts for seconds, and capacity that was lost
	// is usually back within 30 s.
	maxSteps = 30
	// returnShare is the share of the capacity that is promised to refused jobs. The
	// rest is for callers that come for the first time.
	returnShare = 0.5
	// Jobs of lower priorities than this count as being of this one.
	lowestPriority = 7
	// maxJobs is the number of job ids after which the older ones are forgotten, and
	// retention their shortest age then.
	maxJobs   = 4096
	retention = maxSteps * step
)

// agingSteps are the ages of the first refusal of a job from which it goes before
// others of its priority. A job that returns as soon as it may is in the second group,
// one that was refused again and again in the last.
var agingSteps = [...]time.Duration{step, 4 * step}

const ranks = (lowestPriority + 1) * (len(agingSteps) + 1)

// Refusal is a job that was refused.
type Refusal struct {
	JobID    string
	Priority int
	// Work is what the job needs, in the unit of capacity times seconds.
	Work float64
	// Wait is the estimated time until there is capacity, or 0.
	Wait time.Duration
}

// Adviser holds what was promised to refused jobs. The zero value is empty and ready to
// use. It is not safe for concurrent use.
type Adviser struct {
	// promised is the work of the jobs that return in a second, by rank. Seconds count
	// from the Unix epoch, modulo the length of the array.
	promised [maxSteps + 1]second
	// recent and older hold when jobs were first refused.
	recent, older map[string]time.Time
	rotatedAt     time.Time
}

type second struct {
	number int64
	work   [ranks]float64
}

// RetryAfter returns after how many whole seconds the caller of a refused job returns:
// the earliest second for which returnShare of the capacity isn't promised yet to jobs
// that go before it.
//
// It addresses an overload whose refused callers all return after one second, are refused
// again, and arrive in bursts in which urgent jobs are as late as others.
func (a *Adviser) RetryAfter(now time.Time, r Refusal, capacity float64) time.Duration {
	rank := a.rank(now, r)
	first := min(max(1, int64((r.Wait+step-1)/step)), maxSteps)
	for k := first; ; k++ {
		s := a.second(now.Unix() + k)
		var before float64
		for _, work := range s.work[:rank+1] {
			before += work
		}
		if k == maxSteps || before == 0 || before+r.Work <= returnShare*capacity*step.Seconds() {
			s.work[rank] += r.Work
			return time.Duration(k) * step
		}
	}
}

func (a *Adviser) second(number int64) *second {
	s := &a.promised[number%int64(len(a.promised))]
	if s.number != number {
		*s = second{number: number}
	}
	return s
}

// rank returns the place of a job in the order in which callers return, by its priority
// and by how long ago it was refused for the first time.
func (a *Adviser) rank(now time.Time, r Refusal) int {
	age := now.Sub(a.firstRefusal(now, r.JobID))
	rank := min(max(r.Priority, 0), lowestPriority)*(len(agingSteps)+1) + len(agingSteps)
	for _, least := range agingSteps {
		if age >= least {
			rank--
		}
	}
	return rank
}

// firstRefusal returns when the job was first refused, and records it.
func (a *Adviser) firstRefusal(now time.Time, id string) time.Time {
	if len(a.recent) >= maxJobs || now.Sub(a.rotatedAt) >= retention {
		a.older, a.recent, a.rotatedAt = a.recent, map[string]time.Time{}, now
	}
	at, ok := a.recent[id]
	if !ok {
		if at, ok = a.older[id]; !ok {
			at = now
		}
		a.recent[id] = at
	}
	return at
}
