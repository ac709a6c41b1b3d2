package keeper

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// reportIDRetention is how long report ids are kept to detect duplicates.
// Targets retry a report within seconds.
const reportIDRetention = time.Hour

type scheduledReport struct {
	dueAt    time.Time
	sequence int
	report   messenger.UsageReport
}

type reportHeap []scheduledReport

func (h reportHeap) Len() int { return len(h) }
func (h reportHeap) Less(i, j int) bool {
	if !h[i].dueAt.Equal(h[j].dueAt) {
		return h[i].dueAt.Before(h[j].dueAt)
	}
	return h[i].sequence < h[j].sequence
}
func (h reportHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *reportHeap) Push(x any)   { *h = append(*h, x.(scheduledReport)) }
func (h *reportHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// seenID is the id of a counted report and the time when it was received.
type seenID struct {
	receivedAt time.Time
	id         string
}

// Usage sums usage reports and schedules their delayed, duplicated and reordered
// delivery to the usage stream. Use [NewUsage] to create one.
type Usage struct {
	rng       *rand.Rand
	scheduled reportHeap
	sequence  int
	seenIDs   map[string]bool
	seenOrder []seenID
	totals    messenger.UsageTotals
	// day is the UTC day covered by totals, in days since the Unix epoch.
	day int64
}

// NewUsage returns an empty Usage whose random number generator starts from
// seed.
func NewUsage(seed uint64) *Usage {
	return &Usage{
		rng:     rand.New(rand.NewPCG(seed, seed)),
		seenIDs: map[string]bool{},
		totals:  messenger.UsageTotals{SlotMs: map[string]int64{}},
	}
}

// Add counts a report unless it is a duplicate, and schedules its delivery to the
// usage stream in both cases.
func (u *Usage) Add(now time.Time, r messenger.UsageReport, s Settings) {
	u.evictSeenIDs(now)
	u.resetOnNewDay(now)
	if !u.seenIDs[r.ID] {
		u.seenIDs[r.ID] = true
		u.seenOrder = append(u.seenOrder, seenID{receivedAt: now, id: r.ID})
		u.totals.Reports++
		u.totals.SlotMs[r.Service] += r.SlotMs
	}
	u.schedule(now, r, s)
	if u.rng.Int64N(100) < s.UsageRepeatPercent {
		u.schedule(now, r, s)
	}
}

// PopDue removes and returns the reports due by the time now, in delivery order.
func (u *Usage) PopDue(now time.Time) []messenger.UsageReport {
	var reports []messenger.UsageReport
	for len(u.scheduled) > 0 && !u.scheduled[0].dueAt.After(now) {
		reports = append(reports, heap.Pop(&u.scheduled).(scheduledReport).report)
	}
	return reports
}

// Pending returns the number of scheduled deliveries.
func (u *Usage) Pending() int { return len(u.scheduled) }

// resetOnNewDay resets the totals when the UTC day has changed.
func (u *Usage) resetOnNewDay(now time.Time) {
	day := now.Unix() / int64(24*time.Hour/time.Second)
	if day == u.day {
		return
	}
	u.day = day
	u.totals = messenger.UsageTotals{SlotMs: map[string]int64{}}
}

// Totals returns the usage received on the UTC day of now. Duplicate reports are
// counted once.
func (u *Usage) Totals(now time.Time) messenger.UsageTotals {
	u.resetOnNewDay(now)
	t := u.totals
	t.SlotMs = maps.Clone(t.SlotMs)
	return t
}

func (u *Usage) schedule(now time.Time, r messenger.UsageReport, s Settings) {
	lag := time.Duration(s.UsageLagMs) * time.Millisecond
	if s.UsageShuffleMs > 0 {
		lag += time.Duration(u.rng.Int64N(s.UsageShuffleMs+1)) * time.Millisecond
	}
	u.sequence++
	heap.Push(&u.scheduled, scheduledReport{dueAt: now.Add(lag), sequence: u.sequence, report: r})
}

func (u *Usage) evictSeenIDs(now time.Time) {
	n := 0
	for n < len(u.seenOrder) && now.Sub(u.seenOrder[n].receivedAt) > reportIDRetention {
		delete(u.seenIDs, u.seenOrder[n].id)
		n++
	}
	u.seenOrder = u.seenOrder[n:]
}
