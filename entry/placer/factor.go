package placer

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// lastingRatio is the ratio of factors above which a worker counts as slow for
	// good. Workers of earlier deployments differ by up to 1.56.
	lastingRatio = 1.6
	// maxFactor is the highest factor that is taken from another entry.
	maxFactor = 100
	// factorSamples is the number of runs from which a worker's factor is estimated.
	// Their median is accurate to about 10 percent if run times vary by 40 percent.
	factorSamples = 64
	// minFactorSamples is the minimum number of runs for an estimate. With fewer, the
	// interval of confidence covers almost all runs.
	minFactorSamples = 24
	// factorSampleInterval is the minimum interval between two samples of a worker.
	// factorSamples of them cover at least 6 s, so that the tasks of one job, or a
	// slowdown of a second, make up only some of them.
	factorSampleInterval = 100 * time.Millisecond
	// factorConfidence is the number of square roots of n by which the rank of the
	// lower bound of a median of n samples is below the middle. 1.15 is a probability
	// of 1 percent that the bound is too high.
	factorConfidence = 1.15
	// referenceQuantile is the quantile of the medians of all workers that counts as
	// the speed of a healthy worker. Most workers are healthy: at 0.2, a fast quarter
	// made all others count as slow, and pushing short tasks onto those cost 0.025 of
	// the worth of a day of contention.
	referenceQuantile = 0.5
	// factorInterval is how often the factors are estimated.
	factorInterval = time.Second
	// factorTolerance is the relative change below which a factor is kept, so that
	// entries do not exchange factors each second.
	factorTolerance = 0.15
	// maxFactors limits the factors that are taken from another entry. The largest
	// groups have fewer workers.
	maxFactors = 4096
)

// Factor says that a worker takes Factor times as long for a task as the median worker
// of its service, for as long as it lives. Entries exchange factors, so that the next
// owner knows them.
type Factor struct {
	Worker string `json:"worker"`
	// StartedAtMs identifies the incarnation of the worker.
	StartedAtMs int64   `json:"bornMs"`
	Factor      float64 `json:"factor"`
}

// FactorReport holds the factors of the workers that are slow for good. Digest is
// equal for equal lists, and 0 if the entry does not know whether there are any.
type FactorReport struct {
	Factors []Factor `json:"factors"`
	Digest  uint64   `json:"digest"`
}

// FactorsReported replaces the factors that this entry learned from another one. An
// owner uses them only for workers of which it has not seen enough runs.
type FactorsReported struct{ Factors []Factor }

func (FactorsReported) isMsg() {}

// FactorsChanged reports that [State.Factors] has changed.
type FactorsChanged struct{}

func (FactorsChanged) isCmd() {}

// speedSamples holds the last ratios of run time to the expected run time on a worker
// of factor 1, of one incarnation of a worker. The zero value is empty. It answers
// loads with workers whose speeds differ for good: averages over the recent past
// forget the difference whenever tasks are placed elsewhere, and a single straggler
// moves them.
type speedSamples struct {
	startedAtMs int64
	logRatios   []float64
	next        int
	sampledAt   time.Time
}

// add records the run time of a completed task.
func (p *speedSamples) add(now time.Time, startedAtMs int64, runTime, expected time.Duration) {
	if p.startedAtMs != startedAtMs {
		*p = speedSamples{startedAtMs: startedAtMs}
	}
	if expected <= 0 || runTime <= 0 || now.Sub(p.sampledAt) < factorSampleInterval {
		return
	}
	p.sampledAt = now
	logRatio := math.Log(runTime.Seconds() / expected.Seconds())
	if len(p.logRatios) < factorSamples {
		p.logRatios = append(p.logRatios, logRatio)
		return
	}
	p.logRatios[p.next] = logRatio
	p.next = (p.next + 1) % factorSamples
}

// estimate returns the median of the ratios and the lower bound of its interval of
// confidence, or false if there are too few ratios.
func (p *speedSamples) estimate(startedAtMs int64) (median, lower float64, ok bool) {
	n := len(p.logRatios)
	if n < minFactorSamples || p.startedAtMs != startedAtMs {
		return 0, 0, false
	}
	sorted := slices.Sorted(slices.Values(p.logRatios))
	bound := int(float64(n)/2 - factorConfidence*math.Sqrt(float64(n)))
	return math.Exp(sorted[n/2]), math.Exp(sorted[bound]), true
}

// lastingFactors holds what is known about the workers that are slow for good. The
// zero value knows nothing.
type lastingFactors struct {
	// reported holds the factors that another entry reported, by worker.
	reported map[string]Factor
	// known is set once the factors were estimated or reported.
	known       bool
	count       int
	estimatedAt time.Time
}

// Factors returns the factors of the workers that are slow for good.
func (s *State) Factors() FactorReport {
	if !s.factors.known {
		return FactorReport{}
	}
	report := FactorReport{Factors: []Factor{}}
	h := fnv.New64a()
	for _, w := range s.sortedWorkers {
		if w.lastingFactor > 0 {
			report.Factors = append(report.Factors, Factor{w.ID, w.StartedAtMs, w.lastingFactor})
			_, _ = h.Write([]byte(w.ID + " " + strconv.FormatInt(w.StartedAtMs, 10) + " " + strconv.FormatFloat(w.lastingFactor, 'g', -1, 64) + "\n"))
		}
	}
	report.Digest = h.Sum64()
	return report
}

// SlowWorkers returns the number of workers that are slow for good.
func (s *State) SlowWorkers() int { return s.factors.count }

// handleFactorsReported replaces the factors of another entry. Those that an entry
// learned as an earlier owner are out of date.
func (s *State) handleFactorsReported(now time.Time, list []Factor) {
	s.factors.reported, s.factors.known = map[string]Factor{}, true
	for _, f := range list[:min(len(list), maxFactors)] {
		if f.Factor >= 1 && f.Factor <= maxFactor {
			s.factors.reported[f.Worker] = f
		}
	}
	if !s.isOwner {
		for _, w := range s.sortedWorkers {
			w.samples = speedSamples{}
		}
	}
	s.updateFactors(now)
	s.emit(FactorsChanged{})
}

// updateFactors estimates the factors of all workers.
func (s *State) updateFactors(now time.Time) {
	s.factors.estimatedAt = now
	references := s.referenceSpeeds()
	known := s.factors.known || len(references) > 0
	var slowed, recovered []string
	changed := known != s.factors.known
	count, highest := 0, 0.0
	for _, w := range s.sortedWorkers {
		before := w.lastingFactor
		w.lastingFactor = s.estimateFactor(w, references[w.Service])
		switch {
		case before == 0 && w.lastingFactor > 0:
			slowed = append(slowed, w.ID)
		case before > 0 && w.lastingFactor == 0:
			recovered = append(recovered, w.ID)
		}
		changed = changed || before != w.lastingFactor
		if w.lastingFactor > 0 && !w.removed {
			count++
			highest = max(highest, w.lastingFactor)
		}
	}
	s.factors.known, s.factors.count = known, count
	if len(slowed)+len(recovered) > 0 {
		s.log("workers that are slow for good changed", map[string]any{
			"slowed": summarize(slowed), "recovered": summarize(recovered), "slow": count, "workers": len(s.sortedWorkers), "highestFactor": math.Round(highest*100) / 100,
		})
	}
	if changed {
		s.emit(FactorsChanged{})
	}
}

// referenceSpeeds returns the ratio of run times that counts as healthy, by service.
func (s *State) referenceSpeeds() map[string]float64 {
	medians := map[string][]float64{}
	for _, w := range s.sortedWorkers {
		if median, _, ok := w.samples.estimate(w.StartedAtMs); ok {
			medians[w.Service] = append(medians[w.Service], median)
		}
	}
	references := make(map[string]float64, len(medians))
	for _, service := range slices.Sorted(maps.Keys(medians)) {
		list := medians[service]
		slices.Sort(list)
		references[service] = list[int(referenceQuantile*float64(len(list)-1))]
	}
	return references
}

// estimateFactor returns the lasting factor of a worker, or 0 if it is not slow for
// good.
func (s *State) estimateFactor(w *worker, reference float64) float64 {
	median, lower, ok := w.samples.estimate(w.StartedAtMs)
	switch {
	case !ok:
		if f := s.factors.reported[w.ID]; f.StartedAtMs == w.StartedAtMs {
			return f.Factor
		}
		return 0
	case w.lastingFactor == 0 && lower <= lastingRatio*reference, median <= lastingRatio*reference:
		return 0
	}
	// A factor between 1.6 and 2 is kept within the tolerance, too.
	estimated := median / reference
	if math.Abs(cmp.Or(w.lastingFactor, math.Inf(1))/estimated-1) < factorTolerance {
		return w.lastingFactor
	}
	return estimated
}
