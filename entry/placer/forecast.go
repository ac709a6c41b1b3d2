package placer

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// minForecastAge is the age up to which no forecast is made again. The shortest wait
	// of a job, minWait, is twice as long.
	minForecastAge = 10 * time.Millisecond
	// maxForecastAge is the age up to which one is kept if its queue or the number of
	// workers is large. Narrow jobs of 200 ms wait for 58 ms.
	maxForecastAge = 50 * time.Millisecond
	// forecastItems is the number of waiting jobs and workers for which a forecast is
	// made again after minForecastAge. More of them lengthen its age, so that forecasts
	// cost about the same for each second.
	forecastItems = 500
	// sizeClassesPerDoubling is the number of size classes of tasks per doubling of
	// their CPU. Sizes in a class differ by up to 9 percent.
	sizeClassesPerDoubling = 8
	// maxSizeClasses and maxDemandClasses bound the memory and time of a forecast. Jobs
	// that are in none of its classes are not judged by it.
	maxSizeClasses   = 48
	maxDemandClasses = 64
	// maxRoomsPerWorker bounds the forecast of a worker that is much larger than the
	// tasks.
	maxRoomsPerWorker = 64
	// arrivalPeriod is the time constant of the averaged arrivals of a class: longer
	// than most waits and shorter than a burst of a few seconds.
	arrivalPeriod = 500 * time.Millisecond
	// minRunTime keeps the share of a period that a task occupies finite.
	minRunTime = 10 * time.Millisecond
)

// sizeClass identifies tasks that fit on the same workers in about the same numbers.
// cpu is a logarithm of the CPU.
type sizeClass struct {
	service, label string
	cpu            int
}

func sizeClassOf(j *job) sizeClass {
	return sizeClass{j.Service, j.Label, cpuClass(j, sizeClassesPerDoubling)}
}

// cpuClass returns the number of the class to which the CPU of a task of j belongs, if
// there are perDoubling classes per doubling of the CPU.
func cpuClass(j *job, perDoubling float64) int {
	return int(math.Floor(perDoubling * math.Log2(float64(max(j.Resources.CPU, 1)))))
}

// decay returns the share of an average with the given time constant, last updated at a
// time, that is left now.
func decay(now, updatedAt time.Time, timeConstant time.Duration) float64 {
	return math.Exp(-now.Sub(updatedAt).Seconds() / timeConstant.Seconds())
}

// demandClass identifies jobs whose place in the queue differs by their latest start
// only. Started jobs precede all others.
type demandClass struct {
	service  string
	started  bool
	priority int
}

func demandClassOf(j *job) demandClass {
	if j.started {
		return demandClass{service: j.Service, started: true}
	}
	return demandClass{service: j.Service, priority: j.Priority}
}

// work is an amount of CPU that tasks need, and its product with their run time in
// seconds.
type work struct{ cpu, cpuSeconds float64 }

func (v *work) add(o work) { v.cpu, v.cpuSeconds = v.cpu+o.cpu, v.cpuSeconds+o.cpuSeconds }

func (v work) times(f float64) work { return work{v.cpu * f, v.cpuSeconds * f} }

// within returns the CPU that the work occupies of what becomes free in a period. Tasks
// that are shorter than the period release their CPU within it for others.
func (v work) within(period time.Duration) float64 {
	if v.cpu <= 0 {
		return 0
	}
	return min(v.cpu, v.cpuSeconds/max(period, minRunTime).Seconds())
}

// demand is the work of the jobs of a class: those in the queue, in the order of their
// latest start, and those of late.
type demand struct {
	class        demandClass
	latestStarts []time.Time
	// sums holds the work of the jobs up to each latest start.
	sums []work
	// added is the work of jobs admitted since the forecast was made.
	added work
	// recent is the work of admitted jobs, averaged over arrivalPeriod.
	recent   work
	recentAt time.Time
}

// queued returns the work of the first n jobs and of those that were added.
func (d *demand) queued(n int) work {
	v := d.added
	if n > 0 {
		v.add(d.sums[n-1])
	}
	return v
}

// before returns the work of jobs with a latest start up to t.
func (d *demand) before(t time.Time) work {
	return d.queued(sort.Search(len(d.latestStarts), func(i int) bool { return d.latestStarts[i].After(t) }))
}

// arriving returns the work that is expected to arrive in a period.
func (d *demand) arriving(now time.Time, period time.Duration) work {
	return d.recent.times(decay(now, d.recentAt, arrivalPeriod) * period.Seconds() / arrivalPeriod.Seconds())
}

func (d *demand) observe(now time.Time, v work) {
	d.recent, d.recentAt = d.arriving(now, arrivalPeriod), now
	d.recent.add(v)
	d.added.add(v)
}

// forecast holds what waits and when workers have room for it. It is made from the
// queue and the runs, at most once in a period in proportion to their number, so that an
// arrival costs a binary search in each class, however many jobs wait and however many
// workers there are. The zero value is out of date.
type forecast struct {
	madeAt, expiresAt time.Time
	demands           []*demand
	// capacity is the CPU of the workers that accept tasks, in cores.
	capacity float64
	// rooms holds, by size class, how long after madeAt workers get room for another
	// task, in order.
	rooms map[sizeClass][]time.Duration
}

// demandOf returns the demand of a class, or nil if there are too many classes.
func (f *forecast) demandOf(class demandClass) *demand {
	for _, d := range f.demands {
		if d.class == class {
			return d
		}
	}
	if len(f.demands) == maxDemandClasses {
		return nil
	}
	d := &demand{class: class}
	f.demands = append(f.demands, d)
	return d
}

func (s *State) workOf(now time.Time, j *job) work {
	n := len(j.tasks)
	if j.started {
		n = s.runnableTasks(now, j)
	}
	cpu := float64(int64(n) * j.Resources.CPU)
	return work{cpu, cpu * j.forecastRunTime.Seconds()}
}

// refreshForecast returns a forecast that is recent enough.
func (s *State) refreshForecast(now time.Time) *forecast {
	f := &s.forecast
	if now.Before(f.expiresAt) {
		return f
	}
	items := float64(len(s.waiting)+len(s.sortedWorkers)) / forecastItems
	f.madeAt, f.rooms = now, map[sizeClass][]time.Duration{}
	f.expiresAt = now.Add(min(time.Duration(float64(minForecastAge)*max(1, items)), maxForecastAge))
	f.demands = slices.DeleteFunc(f.demands, func(d *demand) bool { return now.Sub(d.recentAt) > 10*arrivalPeriod })
	for _, d := range f.demands {
		d.latestStarts, d.sums, d.added = d.latestStarts[:0], d.sums[:0], work{}
	}
	f.capacity = 0
	for _, w := range s.sortedWorkers {
		if w.schedulable(now) {
			f.capacity += float64(w.Resources.CPU) / 1000
		}
	}
	var class demandClass
	var d *demand
	for _, j := range s.waiting {
		// Jobs of a class are next to each other in the queue.
		if c := demandClassOf(j); d == nil || c != class {
			class, d = c, f.demandOf(c)
		}
		if d == nil {
			continue
		}
		v := s.workOf(now, j)
		if n := len(d.sums); n > 0 {
			v.add(d.sums[n-1])
		}
		d.latestStarts, d.sums = append(d.latestStarts, j.latestStart), append(d.sums, v)
	}
	return f
}

// roomsFor returns how long after the forecast was made workers get room for a task of
// j's size class, in order. Tasks are whole: the rooms of two workers don't add up, nor
// do those of two runs on one worker, since smaller tasks that wait take the first one
// before the second run ends.
func (s *State) roomsFor(now time.Time, f *forecast, j *job) ([]time.Duration, bool) {
	class := sizeClassOf(j)
	if times, ok := f.rooms[class]; ok {
		return times, true
	}
	if len(f.rooms) == maxSizeClasses {
		return nil, false
	}
	var times []time.Duration
	age := now.Sub(f.madeAt)
	for _, w := range s.sortedWorkers {
		if !eligible(w, j) || !w.schedulable(now) || w.health.maxRuns(now) == 0 {
			continue
		}
		free := w.freeResources()
		before := min(fittingTasks(free, j), maxRoomsPerWorker)
		for range before {
			times = append(times, age)
		}
		for _, r := range w.runs {
			at := age + s.expectedRemaining(now, r)
			for range min(fittingTasks(free.Add(r.resources), j), maxRoomsPerWorker) - before {
				times = append(times, at)
			}
		}
	}
	slices.Sort(times)
	f.rooms[class] = times
	return times, true
}

// recordArrival adds an admitted job to the forecast.
func (s *State) recordArrival(now time.Time, j *job) {
	f := s.refreshForecast(now)
	j.forecastRunTime = s.runTimes.expectedRunTime(j)
	if d := f.demandOf(demandClassOf(j)); d != nil {
		d.observe(now, s.workOf(now, j))
	}
}

// pressure returns the logarithm of what a job needs, together with the work ahead of
// it, over the room for tasks of its size that becomes free while it may wait. It
// reports false if the forecast can't tell.
func (s *State) pressure(now time.Time, j *job) (float64, bool) {
	f := s.refreshForecast(now)
	times, ok := s.roomsFor(now, f, j)
	if !ok || j.Resources.CPU <= 0 {
		return 0, false
	}
	period := s.maxQueueWait(j)
	var ahead float64
	for _, d := range f.demands {
		class := d.class
		switch {
		case class.service != j.Service || (!class.started && class.priority > j.Priority):
		case class.started:
			ahead += d.queued(len(d.sums)).within(period)
		case class.priority < j.Priority:
			ahead += d.queued(len(d.sums)).within(period) + d.arriving(now, period).within(period)
		default:
			ahead += d.before(j.latestStart).within(period)
		}
	}
	by := now.Add(period).Sub(f.madeAt)
	rooms := sort.Search(len(times), func(i int) bool { return times[i] > by })
	// The first task of the job counts in full. Half a room keeps the ratio finite.
	return math.Log((ahead/float64(j.Resources.CPU) + 1) / (float64(rooms) + 0.5)), true
}
