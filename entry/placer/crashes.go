package placer

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"
)

const (
	// maxCrashes is the number of workers that may crash under a task before its
	// job is given up.
	maxCrashes = 2
	// crashRetention is how long a crash is remembered. Callers submit a job again
	// within seconds.
	crashRetention = time.Minute
	// maxCrashRecords limits the number of crashes that are remembered, which all
	// entries of a group fetch. Those with the lowest hashes are kept, so that
	// entries agree on them in whatever order they learn of crashes.
	maxCrashRecords = 512
)

// Crash says that a task was running on a worker when that crashed. Entries
// exchange crashes, so that the next owner knows them.
type Crash struct {
	Task   string `json:"task"`
	Worker string `json:"worker"`
	// StartedAtMs identifies the incarnation of the worker that crashed.
	StartedAtMs int64 `json:"bornMs"`
	// AgeMs is how long ago the crash was noticed.
	AgeMs int64 `json:"ageMs"`
}

// CrashReport holds all crashes that an entry knows. Digest is equal on entries
// that know the same crashes, and 0 if there are none.
type CrashReport struct {
	Crashes []Crash `json:"crashes"`
	Digest  uint64  `json:"digest"`
}

// Aged returns the report as it is after d has passed.
func (r CrashReport) Aged(d time.Duration) CrashReport {
	aged := CrashReport{Digest: r.Digest, Crashes: make([]Crash, 0, len(r.Crashes))}
	for _, c := range r.Crashes {
		c.AgeMs += d.Milliseconds()
		aged.Crashes = append(aged.Crashes, c)
	}
	return aged
}

// crashKey identifies a crash, however often and by whomever it is noticed.
type crashKey struct {
	task, worker string
	startedAtMs  int64
}

func (k crashKey) hash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(k.task + " " + k.worker + " " + strconv.FormatInt(k.startedAtMs, 10)))
	return h.Sum64()
}

// crashLog is a set of crashes. The zero value is empty.
type crashLog struct {
	records map[uint64]crashRecord
	// perTask is the number of crashes of each task.
	perTask map[string]int
	digest  uint64
	// highest is the highest hash of a record, if there are maxCrashRecords.
	highest uint64
}

type crashRecord struct {
	crashKey
	noticedAt time.Time
}

// add adds a crash and reports whether it was unknown and is recent enough.
func (l *crashLog) add(now, noticedAt time.Time, k crashKey) bool {
	h := k.hash()
	if _, known := l.records[h]; known || now.Sub(noticedAt) >= crashRetention {
		return false
	}
	if full := len(l.records) >= maxCrashRecords; full && h > l.highest {
		return false
	} else if full {
		l.remove(l.highest)
	}
	if l.records == nil {
		l.records, l.perTask = map[uint64]crashRecord{}, map[string]int{}
	}
	l.records[h] = crashRecord{k, noticedAt}
	l.perTask[k.task]++
	l.digest ^= h
	if len(l.records) >= maxCrashRecords {
		l.highest = slices.Max(slices.Collect(maps.Keys(l.records)))
	}
	return true
}

func (l *crashLog) remove(h uint64) {
	task := l.records[h].task
	delete(l.records, h)
	l.digest ^= h
	if l.perTask[task]--; l.perTask[task] <= 0 {
		delete(l.perTask, task)
	}
}

// prune forgets old crashes and reports whether there were any.
func (l *crashLog) prune(now time.Time) bool {
	before := len(l.records)
	for h, r := range l.records {
		if now.Sub(r.noticedAt) >= crashRetention {
			l.remove(h)
		}
	}
	return len(l.records) < before
}

func (l *crashLog) report(now time.Time) CrashReport {
	report := CrashReport{Digest: l.digest}
	for _, h := range slices.Sorted(maps.Keys(l.records)) {
		r := l.records[h]
		report.Crashes = append(report.Crashes, Crash{Task: r.task, Worker: r.worker, StartedAtMs: r.startedAtMs, AgeMs: now.Sub(r.noticedAt).Milliseconds()})
	}
	return report
}

// Crashes returns the crashes that this entry knows.
func (s *State) Crashes(now time.Time) CrashReport { return s.crashes.report(now) }

// recordCrash records that a worker crashed under all runs that it may have had.
// Workers that leave are expected to end. While the runs of a restarted worker are
// unknown, those recorded are the ones of its previous incarnation.
func (s *State) recordCrash(now time.Time, w *worker) {
	if w.Draining || w.removed || w.runsUnknown {
		return
	}
	var tasks []string
	for _, r := range sortedRuns(w) {
		if r.stopAttempts >= 0 && s.crashes.add(now, now, crashKey{r.key.Task, w.ID, w.StartedAtMs}) {
			tasks = append(tasks, r.key.Task)
		}
	}
	if len(tasks) == 0 {
		return
	}
	s.emit(Count{"worker", "crashed"})
	s.log("worker crashed with runs", map[string]any{"worker": w.ID, "tasks": summarize(tasks)})
	s.emit(CrashesChanged{})
}

// handleCrashesReported adds the crashes that another entry knows.
func (s *State) handleCrashesReported(now time.Time, crashes []Crash) {
	added := false
	for _, c := range crashes[:min(len(crashes), maxCrashRecords)] {
		noticedAt := now.Add(-time.Duration(min(max(c.AgeMs, 0), crashRetention.Milliseconds())) * time.Millisecond)
		added = s.crashes.add(now, noticedAt, crashKey{c.Task, c.Worker, c.StartedAtMs}) || added
	}
	if added {
		s.emit(CrashesChanged{})
	}
}

// crashedTooOften reports whether a task that has to be started has crashed
// maxCrashes workers.
func (s *State) crashedTooOften(j *job) bool {
	if len(s.crashes.perTask) == 0 {
		return false
	}
	for i := range j.tasks {
		if j.isUnstarted(i) && s.crashes.perTask[j.taskName(i)] >= maxCrashes {
			return true
		}
	}
	return false
}
