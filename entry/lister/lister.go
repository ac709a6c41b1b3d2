// Package lister keeps versions of the list of workers and the differences
// between them, so that entries need not send each other the whole list at each
// change. The load pattern it answers: thousands of workers, of which some come
// or go every second.
package lister

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/godwitrelay/godwitrelay/entry/placer"
)

// keptChanges is the number of differences that an author keeps. Entries ask
// every 150 ms, and the list is read every 0.6 s.
const keptChanges = 32

// Version names a version of the list. Numbers of one author rise; versions of
// different authors can't be compared.
type Version struct {
	Author uint64 `json:"author,omitempty"`
	Number uint64 `json:"version"`
}

// List is a version of the list of workers, by id. The zero value is empty.
type List struct {
	Version Version
	Workers []placer.Worker
	// changes lead to this version, the last one to Version.Number.
	changes []change
}

type change struct {
	workers []placer.Worker
	removed []string
}

// Update leads an entry from a version that it has to a newer one. Full updates
// hold the whole list in Workers, others what was added or changed.
type Update struct {
	Version
	Full    bool            `json:"full,omitempty"`
	Workers []placer.Worker `json:"workers,omitempty"`
	Removed []string        `json:"removed,omitempty"`
}

// Replace returns the list that follows l, in the given author's versions, or l
// if nothing has changed.
func (l *List) Replace(author uint64, workers []placer.Worker) *List {
	workers = slices.Clone(workers)
	slices.SortFunc(workers, byID)
	c := difference(l.Workers, workers)
	if len(c.workers) == 0 && len(c.removed) == 0 {
		return l
	}
	next := &List{Version: Version{author, l.Version.Number + 1}, Workers: workers}
	if l.Version.Author == author {
		next.changes = append(slices.Clone(l.changes), c)
		next.changes = next.changes[max(0, len(next.changes)-keptChanges):]
	}
	return next
}

// Since returns the update for an entry that has version v.
func (l *List) Since(v Version) Update {
	behind := int(l.Version.Number) - int(v.Number)
	if v.Author != l.Version.Author || behind < 0 || behind > len(l.changes) {
		return Update{Version: l.Version, Full: true, Workers: l.Workers}
	}
	u := Update{Version: l.Version}
	// The newest state of each worker counts.
	seen := map[string]bool{}
	for _, c := range slices.Backward(l.changes[len(l.changes)-behind:]) {
		for _, w := range c.workers {
			if !seen[w.ID] {
				seen[w.ID] = true
				u.Workers = append(u.Workers, w)
			}
		}
		for _, id := range c.removed {
			if !seen[id] {
				seen[id] = true
				u.Removed = append(u.Removed, id)
			}
		}
	}
	return u
}

// Apply returns the list after an update that was asked for with the version of
// l. Entries of the version before send whole lists without an author.
func (l *List) Apply(u Update) *List {
	next := &List{Version: u.Version, Workers: slices.Clone(u.Workers)}
	if !u.Full && u.Author != 0 {
		gone := map[string]bool{}
		for _, w := range u.Workers {
			gone[w.ID] = true
		}
		for _, id := range u.Removed {
			gone[id] = true
		}
		for _, w := range l.Workers {
			if !gone[w.ID] {
				next.Workers = append(next.Workers, w)
			}
		}
	}
	slices.SortFunc(next.Workers, byID)
	return next
}

func byID(a, b placer.Worker) int { return cmp.Compare(a.ID, b.ID) }

// difference compares two lists that are sorted by id.
func difference(before, after []placer.Worker) change {
	var c change
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || (len(before) > 0 && before[0].ID < after[0].ID):
			c.removed = append(c.removed, before[0].ID)
			before = before[1:]
		case len(before) == 0 || after[0].ID < before[0].ID:
			c.workers = append(c.workers, after[0])
			after = after[1:]
		default:
			if !reflect.DeepEqual(before[0], after[0]) {
				c.workers = append(c.workers, after[0])
			}
			before, after = before[1:], after[1:]
		}
	}
	return c
}
