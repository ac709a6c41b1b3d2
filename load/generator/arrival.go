package generator

import (
	"math"
	"math/rand/v2"
	"time"
)

// Bursts multiply the arrival rate by Factor for ForMs at the start of every
// period of EveryMs. The rate between bursts is lowered so that the mean rate
// over a period is unchanged. The zero value means no bursts.
type Bursts struct {
	EveryMs int64   `json:"everyMs,omitempty"`
	ForMs   int64   `json:"forMs,omitempty"`
	Factor  float64 `json:"factor,omitempty"`
}

// Arrivals generates the arrival times of a Poisson process, which has a
// constant rate unless bursts are set.
type Arrivals struct {
	perSecond float64
	bursts    Bursts
	random    *rand.Rand
	// expected is the expected number of arrivals up to the last one. Arrivals
	// at a varying rate are those of a unit-rate process mapped through the
	// inverse of the expected count.
	expected float64
}

// NewArrivals returns a process with a mean rate of perSecond.
func NewArrivals(perSecond float64, bursts Bursts, random *rand.Rand) *Arrivals {
	return &Arrivals{perSecond: perSecond, bursts: bursts, random: random}
}

// Next advances the process and returns the time of the next arrival since the
// start.
func (a *Arrivals) Next() time.Duration {
	a.expected += a.random.ExpFloat64()
	return time.Duration(a.timeOfCount(a.expected) * float64(time.Second))
}

// timeOfCount returns the time in seconds at which the expected number of
// arrivals reaches n. It is the inverse of expectedCount.
func (a *Arrivals) timeOfCount(n float64) float64 {
	if a.bursts.EveryMs == 0 {
		return n / a.perSecond
	}
	period, burst, baseRate := a.burstShape()
	periods, remainder := math.Modf(n / (a.perSecond * period))
	remainder *= a.perSecond * period
	inBurst := baseRate * a.bursts.Factor * burst
	if remainder < inBurst {
		return periods*period + remainder/(baseRate*a.bursts.Factor)
	}
	return periods*period + burst + (remainder-inBurst)/baseRate
}

// expectedCount returns the expected number of arrivals in the given number of
// seconds from the start.
func (a *Arrivals) expectedCount(seconds float64) float64 {
	if a.bursts.EveryMs == 0 {
		return seconds * a.perSecond
	}
	period, burst, baseRate := a.burstShape()
	periods, remainder := math.Modf(seconds / period)
	remainder *= period
	return periods*period*a.perSecond + baseRate*(remainder+(a.bursts.Factor-1)*math.Min(remainder, burst))
}

// burstShape returns the lengths of a period and its burst in seconds, and the
// arrival rate between bursts.
func (a *Arrivals) burstShape() (period, burst, baseRate float64) {
	period = float64(a.bursts.EveryMs) / 1000
	burst = float64(a.bursts.ForMs) / 1000
	return period, burst, a.perSecond * period / (period - burst + a.bursts.Factor*burst)
}
