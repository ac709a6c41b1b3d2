package generator

import (
	"math"
	"math/rand/v2"
	"time"
)

// Bursts raise the arrival rate by Factor for ForMs at the start of every
// EveryMs. The mean rate over a whole period stays as set. The zero value
// means no bursts.
type Bursts struct {
	EveryMs int64   `json:"everyMs,omitempty"`
	ForMs   int64   `json:"forMs,omitempty"`
	Factor  float64 `json:"factor,omitempty"`
}

// Arrivals is a Poisson process, by default of constant rate. It is used up
// by Next.
type Arrivals struct {
	perSecond float64
	bursts    Bursts
	random    *rand.Rand
	// expected is the expected number of arrivals up to the last one. Arrivals
	// of a process with a varying rate are those of a unit-rate process moved
	// through the inverse of the expected count.
	expected float64
}

// NewArrivals returns arrivals at a mean rate of perSecond.
func NewArrivals(perSecond float64, bursts Bursts, random *rand.Rand) *Arrivals {
	return &Arrivals{perSecond: perSecond, bursts: bursts, random: random}
}

// Next returns the time of the next arrival since the start.
func (a *Arrivals) Next() time.Duration {
	a.expected += a.random.ExpFloat64()
	return time.Duration(a.timeOf(a.expected) * float64(time.Second))
}

// timeOf returns the time in seconds at which the expected number of arrivals
// reaches n.
func (a *Arrivals) timeOf(n float64) float64 {
	if a.bursts.EveryMs == 0 {
		return n / a.perSecond
	}
	period, burst, base := a.shape()
	whole, rest := math.Modf(n / (a.perSecond * period))
	rest *= a.perSecond * period
	inBurst := base * a.bursts.Factor * burst
	if rest < inBurst {
		return whole*period + rest/(base*a.bursts.Factor)
	}
	return whole*period + burst + (rest-inBurst)/base
}

// expectedBy returns the expected number of arrivals in the first seconds.
func (a *Arrivals) expectedBy(seconds float64) float64 {
	if a.bursts.EveryMs == 0 {
		return seconds * a.perSecond
	}
	period, burst, base := a.shape()
	whole, rest := math.Modf(seconds / period)
	rest *= period
	return whole*period*a.perSecond + base*(rest+(a.bursts.Factor-1)*math.Min(rest, burst))
}

// shape returns the length of a period and of its burst in seconds, and the
// rate between bursts.
func (a *Arrivals) shape() (period, burst, base float64) {
	period = float64(a.bursts.EveryMs) / 1000
	burst = float64(a.bursts.ForMs) / 1000
	return period, burst, a.perSecond * period / (period - burst + a.bursts.Factor*burst)
}
