package placer

import (
	"math"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/adviser"
)

const (
	// minStartChance is the chance of a start below which a job is refused on arrival.
	// Most of the refused are under a higher pressure, so that less than a fifth of them
	// would have started. With 0.2, less than half of those that wait in vain were
	// foreseen at 1.7 times the load that fills the workers.
	minStartChance = 0.3
	// maxUntestedPressure is the pressure from which jobs are refused before any outcome
	// is known: sixteen times the room that becomes free while the job may wait.
	maxUntestedPressure = 2.77
	// outcomePeriod is the time constant with which outcomes are forgotten. Jobs of a
	// class are then admitted again, so that better conditions are noticed.
	outcomePeriod = 10 * time.Second
	// outcomeClassesPerDoubling is the number of classes of task sizes per doubling of
	// CPU for which outcomes are kept apart, and maxOutcomeClasses their total number.
	outcomeClassesPerDoubling = 4
	maxOutcomeClasses         = 256
	// Pressures are counted in steps of pressureStep from minPressure.
	minPressure   = -2.0
	pressureStep  = 0.25
	pressureSteps = 20
)

// outcomeClass identifies jobs whose outcomes are counted together.
type outcomeClass struct {
	service  string
	priority int
	cpu      int
}

func outcomeClassOf(j *job) outcomeClass {
	return outcomeClass{j.Service, j.Priority, cpuClass(j, outcomeClassesPerDoubling)}
}

// outcomeCounts counts, by pressure on arrival, the jobs that started and those that
// waited in vain. What a pressure means depends on how tasks are placed and on how well run
// times are known: of two tasks under the same pressure, one of 10 cores finds a gap
// and one of 24 doesn't. So the limit is learned, for each class by itself.
type outcomeCounts struct {
	started, timedOut [pressureSteps]float64
	updatedAt         time.Time
}

func stepOf(pressure float64) int {
	return min(max(int((pressure-minPressure)/pressureStep), 0), pressureSteps-1)
}

func (c *outcomeCounts) observe(now time.Time, pressure float64, started bool) {
	f := decay(now, c.updatedAt, outcomePeriod)
	for i := range c.started {
		c.started[i] *= f
		c.timedOut[i] *= f
	}
	c.updatedAt = now
	if started {
		c.started[stepOf(pressure)]++
	} else {
		c.timedOut[stepOf(pressure)]++
	}
}

// startUnlikely reports whether jobs under this pressure start less often than
// minStartChance. Jobs that waited in vain under a lower pressure count too, but starts
// under a lower pressure don't speak for a higher one.
func (c *outcomeCounts) startUnlikely(now time.Time, pressure float64) bool {
	if pressure >= maxUntestedPressure {
		return true
	}
	f := decay(now, c.updatedAt, outcomePeriod)
	var started, timedOut float64
	for i := stepOf(pressure); i >= 0; i-- {
		started += f * c.started[i]
		timedOut += f * c.timedOut[i]
		// One start is assumed, so that a few jobs prove nothing.
		if (started+1)/(started+1+timedOut) < minStartChance {
			return true
		}
	}
	return false
}

// expectsQueueTimeout reports whether a new job is expected to find no room while it may
// wait.
//
// It addresses a load of more than the workers can do, most of it narrow jobs. Four of
// five refused jobs were admitted there and refused when they had waited in vain.
func (s *State) expectsQueueTimeout(now time.Time, j *job) bool {
	if len(s.waiting) == 0 {
		return false
	}
	var ok bool
	if j.pressure, ok = s.pressure(now, j); !ok {
		return false
	}
	j.judged = true
	c := s.startOutcomes[outcomeClassOf(j)]
	if c == nil {
		c = &outcomeCounts{}
	}
	return c.startUnlikely(now, j.pressure) && !s.admitsAll
}

// recordOutcome counts the first start of a job, or that it waited in vain.
func (s *State) recordOutcome(now time.Time, j *job, started bool) {
	if !j.started {
		s.shares.observe(now, j, started)
	}
	if !j.judged {
		return
	}
	j.judged = false
	class := outcomeClassOf(j)
	c := s.startOutcomes[class]
	if c == nil {
		if len(s.startOutcomes) == maxOutcomeClasses {
			return
		}
		if s.startOutcomes == nil {
			s.startOutcomes = map[outcomeClass]*outcomeCounts{}
		}
		c = &outcomeCounts{}
		s.startOutcomes[class] = c
	}
	c.observe(now, j.pressure, started)
}

// Names of the rules that refuse jobs, in logs and metrics.
const (
	ruleDeadline      = "deadline"
	ruleShareBound    = "shareBound"
	ruleNoWorker      = "noWorker"
	ruleTooLarge      = "tooLarge"
	ruleOwnerBehind   = "ownerBehind"
	ruleUnlikelyStart = "unlikelyStart"
	ruleQueueTimeout  = "queueTimeout"
)

// refuse ends a job that has not run. The rule tells operators why.
func (s *State) refuse(now time.Time, j *job, rule string, err *messenger.Error) {
	j.refusedBy = rule
	s.emit(Count{"admission", rule})
	s.finishJob(now, j, Result{Err: err})
}

// retryAfterMs returns after how long the caller of a job that is refused for lack of
// room returns, if there is room after wait at the earliest.
func (s *State) retryAfterMs(now time.Time, j *job, wait time.Duration) int64 {
	f := s.refreshForecast(now)
	work := float64(int64(j.Tasks)*j.Resources.CPU) / 1000 * s.runTimes.expectedRunTime(j).Seconds()
	return s.adviser.RetryAfter(now, adviser.Refusal{JobID: j.ID, Priority: j.Priority, Work: work, Wait: wait}, f.capacity).Milliseconds()
}

// expectedWait returns how long a job under the given pressure is expected to wait.
func (s *State) expectedWait(j *job) time.Duration {
	return time.Duration(math.Exp(j.pressure) * float64(s.maxQueueWait(j)))
}
