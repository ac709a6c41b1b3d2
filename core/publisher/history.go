package publisher

import (
	"crypto/sha256"
	"encoding/json"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// history collects the changes in the part of the log that was read, their authors,
// and which of them came into force. It also covers changes before the snapshot at
// which the reader started: the base of the change in force was in force one
// version earlier, and so on.
type history struct {
	changes         map[string]loggedChange
	digestsByOffset map[int64]contentDigest
	accepted        map[string]acceptedChange
}

// contentDigest is a digest of the base and the configuration of a change.
type contentDigest [sha256.Size]byte

// acceptedChange is a change that the reader accepted.
type acceptedChange struct {
	version int64
	digest  contentDigest
}

// loggedChange is a change record of the log, whether or not it was accepted.
// ambiguous is set if records with the same change id have different contents.
type loggedChange struct {
	base      string
	author    string
	digest    contentDigest
	ambiguous bool
}

func newHistory() *history {
	return &history{
		changes:         make(map[string]loggedChange),
		digestsByOffset: make(map[int64]contentDigest),
		accepted:        make(map[string]acceptedChange),
	}
}

// digest returns the digest of a change with this base and configuration.
func digest(base string, cfg planner.Configuration) contentDigest {
	data, err := json.Marshal(follower.Record{Base: base, Configuration: cfg})
	if err != nil {
		return contentDigest{}
	}
	return sha256.Sum256(data)
}

// addRecord adds one record of the log.
func (h *history) addRecord(offset int64, r follower.Record) {
	if r.Kind != follower.Change {
		return
	}
	seen, known := h.changes[r.ChangeID]
	next := loggedChange{base: r.Base, author: r.Author, digest: digest(r.Base, r.Configuration)}
	h.digestsByOffset[offset] = next.digest
	if known {
		seen.ambiguous = seen.ambiguous || seen.digest != next.digest
		next = seen
	}
	h.changes[r.ChangeID] = next
}

// addResults adds the results of applied changes.
func (h *history) addResults(results []follower.ChangeResult) {
	for _, f := range results {
		if f.Outcome == follower.Won {
			h.accepted[f.ChangeID] = acceptedChange{version: f.Version, digest: h.digestsByOffset[f.Offset]}
		}
	}
}

// acceptedChain returns the version of every change known to have been in force,
// by id, and the id of the change that followed each base.
func (h *history) acceptedChain(current follower.Accepted) (versions map[string]int64, successors map[string]string) {
	versions, successors = make(map[string]int64), make(map[string]string)
	id, version := current.ChangeID, current.Version
	for version > 0 {
		versions[id] = version
		c, ok := h.changes[id]
		if !ok || c.ambiguous {
			break
		}
		successors[c.base] = id
		id, version = c.base, version-1
	}
	for id, change := range h.accepted {
		versions[id] = change.version
	}
	return versions, successors
}
