// Package grouper divides workers into groups with one owner each, and entries
// among these groups, as pure functions. A group is as large as the weakest entry
// that may have to own it can carry. Fewer groups place wide jobs better, so a
// small deployment has a single one.
package grouper

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/elector"
	"github.com/godwitrelay/godwitrelay/entry/placer"
)

const (
	// A layout has too few groups if they have more workers than splitPercent of
	// the capacity of the weakest entry, and too many if half of them would have at
	// most mergePercent. A change of the layout interrupts all jobs, so workers that
	// come and go should not cause one. Only while a group has lost all stronger
	// entries is its owner as weak as that.
	splitPercent = 200
	mergePercent = 60
	// entriesPerGroup is the minimum mean number of entries in a group, so that
	// a group is rarely left without an entry.
	entriesPerGroup = 3
	// minCapacity is the least capacity that counts, so that a wrong report does
	// not split a deployment into tiny groups, and maxParts the largest number of
	// groups in a failure domain.
	minCapacity = 16
	maxParts    = 1024
	// AllWorkers is the name of the group of a layout with a single group.
	AllWorkers = "all"
)

// Layout says how the workers of a failure domain are divided. The zero value
// is unknown.
type Layout struct {
	// Parts is the number of groups in the failure domain, a power of two, or 0
	// if one group spans all failure domains.
	Parts int `json:"parts"`
	// Known is set if the layout is not the zero value.
	Known bool `json:"known"`
}

// Valid reports whether a layout that another entry sent can be adopted.
func (l Layout) Valid() bool {
	return l.Known && l.Parts >= 0 && l.Parts <= maxParts && floorPowerOfTwo(l.Parts) == l.Parts
}

// Single is the layout with one group for all workers.
var Single = Layout{Known: true}

// Deployment describes what a layout is chosen for.
type Deployment struct {
	// Workers is the number of all workers, and DomainWorkers of those in the
	// failure domain.
	Workers, DomainWorkers int
	// DomainEntries is the number of known entries in the failure domain.
	DomainEntries int
	// Capacity is the number of workers that the weakest entry can own, or 0 if it
	// is unknown.
	Capacity int64
}

// Next returns the layout for a deployment whose layout is l: l itself unless
// its groups have become far too large or small.
func (l Layout) Next(d Deployment) Layout {
	if d.Capacity <= 0 {
		return Single
	}
	capacity := int(max(d.Capacity, minCapacity))
	most := min(max(floorPowerOfTwo(d.DomainEntries/entriesPerGroup), 1), maxParts)
	if !l.Known {
		if d.Workers <= capacity {
			return Single
		}
		return Layout{Parts: min(partsFor(d.DomainWorkers, capacity), most), Known: true}
	}
	if l.Parts == 0 {
		if 100*d.Workers <= splitPercent*capacity {
			return l
		}
		return Layout{}.Next(d)
	}
	if 100*d.Workers <= mergePercent*capacity {
		return Single
	}
	for l.Parts < most && 100*d.DomainWorkers > splitPercent*capacity*l.Parts {
		l.Parts *= 2
	}
	for l.Parts > 1 && 100*d.DomainWorkers <= mergePercent*capacity*l.Parts/2 {
		l.Parts /= 2
	}
	return l
}

// mergeDelay is how long a deployment must have needed fewer groups before they
// are merged. After an outage of the platform's store, live workers are missing
// from the list for about 2 s.
const mergeDelay = 10 * time.Second

// Settler delays changes to fewer groups by mergeDelay. The zero value is ready to
// use.
type Settler struct {
	// fewerSince is when the deployment began to need fewer groups.
	fewerSince time.Time
}

// Next returns the layout for a deployment whose layout is l.
func (s *Settler) Next(now time.Time, l Layout, d Deployment) Layout {
	next := l.Next(d)
	if !l.Known || next.Parts >= l.Parts {
		s.fewerSince = time.Time{}
		return next
	}
	if s.fewerSince.IsZero() {
		s.fewerSince = now
	}
	if now.Sub(s.fewerSince) < mergeDelay {
		return l
	}
	return next
}

// Merge returns the layout that two entries adopt if theirs differ: the one with
// more groups.
func (l Layout) Merge(o Layout) Layout {
	if !l.Known || (o.Known && o.Parts > l.Parts) {
		return o
	}
	return l
}

// ForeignLayout returns what the layout of another failure domain says about
// this one: whether a group may span both.
func (l Layout) ForeignLayout() Layout {
	l.Parts = min(l.Parts, 1)
	return l
}

func partsFor(workers, capacity int) int {
	parts := 1
	for parts*capacity < workers {
		parts *= 2
	}
	return parts
}

// floorPowerOfTwo returns the largest power of two up to n, or 0.
func floorPowerOfTwo(n int) int {
	p := 0
	for q := 1; q <= n; q *= 2 {
		p = q
	}
	return p
}

// Group is one group of workers.
type Group struct {
	Layout        Layout
	FailureDomain string
	// Index is the number of the group in its failure domain, counted from 0.
	Index int
}

// Name returns the name of the group, which is the same on all entries.
func (g Group) Name() string {
	switch g.Layout.Parts {
	case 0:
		return AllWorkers
	case 1:
		return g.FailureDomain
	default:
		return g.FailureDomain + "." + strconv.Itoa(g.Index) + "/" + strconv.Itoa(g.Layout.Parts)
	}
}

// Select returns the workers of the group. A worker stays in its group as long
// as the layout stays the same, and a group that is split keeps half of them.
func (g Group) Select(workers []placer.Worker) []placer.Worker {
	if g.Layout.Parts == 0 {
		return workers
	}
	var list []placer.Worker
	for _, w := range workers {
		if w.FailureDomain == g.FailureDomain && g.holds(w.ID) {
			list = append(list, w)
		}
	}
	return list
}

func (g Group) holds(workerID string) bool {
	return g.Layout.Parts <= 1 || int(hashOf(workerID)%uint32(g.Layout.Parts)) == g.Index
}

// Assign returns the group of an entry. The entries of a failure domain are dealt
// to its groups by their rank as owners, so that strong entries are spread evenly.
func Assign(l Layout, self elector.Member, members []elector.Member) Group {
	g := Group{Layout: l, FailureDomain: self.FailureDomain}
	if l.Parts <= 1 {
		return g
	}
	for _, m := range members {
		if m.FailureDomain == self.FailureDomain && m.Address != self.Address && elector.CompareRank(m, self) < 0 {
			g.Index++
		}
	}
	g.Index %= l.Parts
	return g
}

func hashOf(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	sum := h.Sum32()
	// The low bits of FNV-1a depend mostly on the last bytes.
	return sum ^ sum>>16
}
