// Package lister maintains versions of the worker list and the differences
// between them, so that entries need not send each other the whole list at each
// change. It is designed for thousands of workers, some of which are added or
// removed every second.
package lister

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"reflect"
	"slices"

	"github.com/godwitrelay/godwitrelay/entry/placer"
)

// maxKeptChanges is the number of differences an author keeps. Entries request
// updates every 150 ms, and the list is read every 0.6 s.
const maxKeptChanges = 32

// Version identifies a version of the list. The author is the entry that
// created it, identified by its incarnation. The numbers of one author
// increase; versions of different authors are compared by Digest only.
type Version struct {
	Author uint64 `json:"author,omitempty"`
	Number uint64 `json:"version"`
	// Digest is a hash of the workers. Entries of the previous release leave it
	// out.
	Digest uint64 `json:"digest,omitempty"`
}

// SameWorkers reports whether the lists of both versions have the same workers.
func (v Version) SameWorkers(o Version) bool {
	if v.Digest != 0 && o.Digest != 0 {
		return v.Digest == o.Digest
	}
	return v.Author == o.Author && v.Number == o.Number
}

// digestOf returns a hash of workers sorted by id, which is the same on all
// entries.
func digestOf(workers []placer.Worker) uint64 {
	h := fnv.New64a()
	// Encoding plain structs into a hash does not fail.
	_ = json.NewEncoder(h).Encode(workers)
	return max(h.Sum64(), 1)
}

// List is a version of the worker list, sorted by id. The zero value is an
// empty list.
type List struct {
	Version Version
	Workers []placer.Worker
	// changes are the most recent changes up to this version; the last one led
	// to Version.Number.
	changes []change
}

type change struct {
	changed []placer.Worker
	removed []string
}

// Update brings an entry from a known version to a newer one. Workers holds the
// whole list in a full update, and otherwise the workers that were added or
// changed.
type Update struct {
	Version
	Full    bool            `json:"full,omitempty"`
	Workers []placer.Worker `json:"workers,omitempty"`
	Removed []string        `json:"removed,omitempty"`
}

// Replace returns a new version of l with the given workers, or l itself if
// nothing has changed.
func (l *List) Replace(author uint64, workers []placer.Worker) *List {
	workers = slices.Clone(workers)
	slices.SortFunc(workers, compareIDs)
	c := diff(l.Workers, workers)
	if len(c.changed) == 0 && len(c.removed) == 0 {
		return l
	}
	next := &List{Version: Version{author, l.Version.Number + 1, digestOf(workers)}, Workers: workers}
	if l.Version.Author == author {
		next.changes = append(slices.Clone(l.changes), c)
		next.changes = next.changes[max(0, len(next.changes)-maxKeptChanges):]
	}
	return next
}

// UpdateSince returns the update for an entry that has version v: the
// differences, or the whole list if v comes from another author or is older
// than the kept changes.
func (l *List) UpdateSince(v Version) Update {
	missed := int(l.Version.Number) - int(v.Number)
	if v.Author != l.Version.Author || missed < 0 || missed > len(l.changes) {
		return Update{Version: l.Version, Full: true, Workers: l.Workers}
	}
	u := Update{Version: l.Version}
	// Only the most recent state of each worker is included.
	included := map[string]bool{}
	for _, c := range slices.Backward(l.changes[len(l.changes)-missed:]) {
		for _, w := range c.changed {
			if !included[w.ID] {
				included[w.ID] = true
				u.Workers = append(u.Workers, w)
			}
		}
		for _, id := range c.removed {
			if !included[id] {
				included[id] = true
				u.Removed = append(u.Removed, id)
			}
		}
	}
	return u
}

// Apply returns the list that results from an update that was requested for the
// version of l. Entries of the previous release send whole lists without an
// author.
func (l *List) Apply(u Update) *List {
	next := &List{Version: u.Version, Workers: slices.Clone(u.Workers)}
	if !u.Full && u.Author != 0 {
		replaced := map[string]bool{}
		for _, w := range u.Workers {
			replaced[w.ID] = true
		}
		for _, id := range u.Removed {
			replaced[id] = true
		}
		for _, w := range l.Workers {
			if !replaced[w.ID] {
				next.Workers = append(next.Workers, w)
			}
		}
	}
	slices.SortFunc(next.Workers, compareIDs)
	return next
}

func compareIDs(a, b placer.Worker) int { return cmp.Compare(a.ID, b.ID) }

// diff compares two lists sorted by id.
func diff(before, after []placer.Worker) change {
	var c change
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || (len(before) > 0 && before[0].ID < after[0].ID):
			c.removed = append(c.removed, before[0].ID)
			before = before[1:]
		case len(before) == 0 || after[0].ID < before[0].ID:
			c.changed = append(c.changed, after[0])
			after = after[1:]
		default:
			if !reflect.DeepEqual(before[0], after[0]) {
				c.changed = append(c.changed, after[0])
			}
			before, after = before[1:], after[1:]
		}
	}
	return c
}
