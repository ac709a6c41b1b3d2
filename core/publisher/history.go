package publisher

import (
	"crypto/sha256"
	"encoding/json"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// history is what the visible part of the log says about changes: who proposed
// them, and which ones came into force. It knows more than the fold, which
// starts at a snapshot: a change in force names its base, so that the base was
// in force one version before, and so on back.
type history struct {
	changes map[string]change
	digests map[int64]contentDigest
	won     map[string]winner
}

// contentDigest covers what a change does: its base and its configuration.
type contentDigest [sha256.Size]byte

// winner is a change that the fold accepted.
type winner struct {
	version int64
	digest  contentDigest
}

// change is a proposed change as the log shows it. ambiguous is set when
// records with the same change id have different contents.
type change struct {
	base      string
	author    string
	digest    contentDigest
	ambiguous bool
}

func newHistory() *history {
	return &history{
		changes: make(map[string]change),
		digests: make(map[int64]contentDigest),
		won:     make(map[string]winner),
	}
}

func digest(base string, cfg planner.Configuration) contentDigest {
	data, err := json.Marshal(follower.Record{Base: base, Configuration: cfg})
	if err != nil {
		return contentDigest{}
	}
	return sha256.Sum256(data)
}

// observe takes one record of the log.
func (h *history) observe(offset int64, r follower.Record) {
	if r.Kind != follower.Change {
		return
	}
	seen, known := h.changes[r.ChangeID]
	next := change{base: r.Base, author: r.Author, digest: digest(r.Base, r.Configuration)}
	h.digests[offset] = next.digest
	if known {
		seen.ambiguous = seen.ambiguous || seen.digest != next.digest
		next = seen
	}
	h.changes[r.ChangeID] = next
}

// fold takes the fates of a step.
func (h *history) fold(fates []follower.Fate) {
	for _, f := range fates {
		if f.Outcome == follower.Won {
			h.won[f.ChangeID] = winner{version: f.Version, digest: h.digests[f.Offset]}
		}
	}
}

// chain returns the version of every change that is known to have been in
// force, and for each of them the change that followed it.
func (h *history) chain(present follower.Accepted) (versions map[string]int64, next map[string]string) {
	versions, next = make(map[string]int64), make(map[string]string)
	id, version := present.ChangeID, present.Version
	for version > 0 {
		versions[id] = version
		c, ok := h.changes[id]
		if !ok || c.ambiguous {
			break
		}
		next[c.base] = id
		id, version = c.base, version-1
	}
	for id, w := range h.won {
		versions[id] = w.version
	}
	return versions, next
}
