package registrar

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/identifier"
)

// idBatch is the last sequence number issued in the second that begins at
// issuedAt.
type idBatch struct {
	issuedAt     time.Time
	lastSequence uint64
}

// Issuer issues the job ids of this process and tracks which of them were
// used.
//
// The watermark is the sequence number up to which, inclusive, ids are too old
// to start work. Each id above it has one bit, set if it was used.
// This limits the memory to the ids of one retention period: 5,000 jobs per
// second for 10 minutes take 375 KB.
type Issuer struct {
	Signer        identifier.Signer
	FailureDomain string
	Address       string
	Incarnation   uint64
	Retention     time.Duration

	lastSequence uint64
	watermark    uint64
	used         []uint64
	usedBase     uint64
	batches      []idBatch
}

// Issue returns n unused ids.
func (i *Issuer) Issue(now time.Time, n int) []string {
	i.ExpireIDs(now)
	ids := make([]string, n)
	for k := range ids {
		i.lastSequence++
		ids[k] = i.Signer.Format(identifier.ID{
			FailureDomain: i.FailureDomain, Address: i.Address,
			Incarnation: i.Incarnation, Sequence: i.lastSequence,
		})
	}
	if len(i.batches) > 0 && now.Sub(i.batches[len(i.batches)-1].issuedAt) < time.Second {
		i.batches[len(i.batches)-1].lastSequence = i.lastSequence
	} else {
		i.batches = append(i.batches, idBatch{issuedAt: now, lastSequence: i.lastSequence})
	}
	return ids
}

// Owns reports whether this process issued id.
func (i *Issuer) Owns(id identifier.ID) bool {
	return id.Address == i.Address && id.Incarnation == i.Incarnation
}

// MarkUsed marks the sequence number as used. It returns false if the number
// can't start work: it was used before, has expired, or was never issued.
func (i *Issuer) MarkUsed(now time.Time, sequence uint64) bool {
	i.ExpireIDs(now)
	if sequence <= i.watermark || sequence > i.lastSequence {
		return false
	}
	word, bit := (sequence-i.usedBase)/64, (sequence-i.usedBase)%64
	for uint64(len(i.used)) <= word {
		i.used = append(i.used, 0)
	}
	if i.used[word]&(1<<bit) != 0 {
		return false
	}
	i.used[word] |= 1 << bit
	return true
}

// IsUsable reports whether the sequence number could still start work.
func (i *Issuer) IsUsable(now time.Time, sequence uint64) bool {
	i.ExpireIDs(now)
	if sequence <= i.watermark || sequence > i.lastSequence {
		return false
	}
	word, bit := (sequence-i.usedBase)/64, (sequence-i.usedBase)%64
	return word >= uint64(len(i.used)) || i.used[word]&(1<<bit) == 0
}

// ExpireIDs moves the watermark past the ids that are older than the retention
// period. The ids of a batch are issued over up to a second and expire together.
// The batch is kept for a second longer than the retention period, so that its
// last id also lasts for all of it.
func (i *Issuer) ExpireIDs(now time.Time) {
	n := 0
	for n < len(i.batches) && now.Sub(i.batches[n].issuedAt) > i.Retention+time.Second {
		i.watermark = i.batches[n].lastSequence
		n++
	}
	if n == 0 {
		return
	}
	i.batches = i.batches[n:]
	// Move the base even if no words are held: ids that were issued and never
	// used must not take memory when a later one is used.
	drop := (i.watermark - i.usedBase) / 64
	i.used = append([]uint64(nil), i.used[min(drop, uint64(len(i.used))):]...)
	i.usedBase += drop * 64
}
