package keeper

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// usageKeep is how long the id of a report is remembered to tell repeats. A
// target sends a report again within seconds.
const usageKeep = time.Hour

type dueReport struct {
	at       time.Time
	sequence int
	report   messenger.UsageReport
}

type dueHeap []dueReport

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(dueReport)) }
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// seenID is the id of a counted report and the time of its receipt.
type seenID struct {
	at time.Time
	id string
}

// Usage counts usage reports and schedules their late, repeated and reordered
// appearance in the log. Make one with [NewUsage].
type Usage struct {
	random   *rand.Rand
	due      dueHeap
	sequence int
	seen     map[string]bool
	order    []seenID
	totals   messenger.UsageTotals
	// day is the UTC day that the totals belong to, in days since 1970.
	day int64
}

// NewUsage returns an empty table; seed starts the source of randomness.
func NewUsage(seed uint64) *Usage {
	return &Usage{
		random: rand.New(rand.NewPCG(seed, seed)),
		seen:   map[string]bool{},
		totals: messenger.UsageTotals{SlotMs: map[string]int64{}},
	}
}

// Accept counts a report unless its id was counted before, and schedules its
// appearance in the log in either case.
func (u *Usage) Accept(now time.Time, r messenger.UsageReport, s Settings) {
	u.forget(now)
	u.startDay(now)
	if !u.seen[r.ID] {
		u.seen[r.ID] = true
		u.order = append(u.order, seenID{at: now, id: r.ID})
		u.totals.Reports++
		u.totals.SlotMs[r.Service] += r.SlotMs
	}
	u.schedule(now, r, s)
	if u.random.Int64N(100) < s.UsageRepeatPercent {
		u.schedule(now, r, s)
	}
}

// Due removes and returns the reports that show in the log by the time now, in
// the order in which they do.
func (u *Usage) Due(now time.Time) []messenger.UsageReport {
	var list []messenger.UsageReport
	for len(u.due) > 0 && !u.due[0].at.After(now) {
		list = append(list, heap.Pop(&u.due).(dueReport).report)
	}
	return list
}

// Pending returns the number of appearances that are still to come.
func (u *Usage) Pending() int { return len(u.due) }

// startDay begins the totals anew when the UTC day of now is another one.
func (u *Usage) startDay(now time.Time) {
	day := now.Unix() / int64(24*time.Hour/time.Second)
	if day == u.day {
		return
	}
	u.day = day
	u.totals = messenger.UsageTotals{SlotMs: map[string]int64{}}
}

// Totals returns what was received in the UTC day of now, each report counted
// once.
func (u *Usage) Totals(now time.Time) messenger.UsageTotals {
	u.startDay(now)
	t := u.totals
	t.SlotMs = maps.Clone(t.SlotMs)
	return t
}

func (u *Usage) schedule(now time.Time, r messenger.UsageReport, s Settings) {
	lag := time.Duration(s.UsageLagMs) * time.Millisecond
	if s.UsageShuffleMs > 0 {
		lag += time.Duration(u.random.Int64N(s.UsageShuffleMs+1)) * time.Millisecond
	}
	u.sequence++
	heap.Push(&u.due, dueReport{at: now.Add(lag), sequence: u.sequence, report: r})
}

func (u *Usage) forget(now time.Time) {
	n := 0
	for n < len(u.order) && now.Sub(u.order[n].at) > usageKeep {
		delete(u.seen, u.order[n].id)
		n++
	}
	u.order = u.order[n:]
}
