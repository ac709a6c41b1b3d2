package registrar

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/identifier"
)

// idBatch is the last sequence number issued up to a time.
type idBatch struct {
	at   time.Time
	last uint64
}

// Issuer hands out the job ids of this process and remembers which were used.
//
// Sequence numbers at or below the watermark are too old to start work; those
// above it have one bit each. This bounds the memory by the ids of one keeping
// period: 5,000 jobs a second for 10 minutes take 375 KB.
type Issuer struct {
	Signer        identifier.Signer
	FailureDomain string
	Address       string
	Incarnation   uint64
	Keep          time.Duration

	last      uint64
	watermark uint64
	used      []uint64
	usedBase  uint64
	batches   []idBatch
}

// Issue returns n unused ids.
func (i *Issuer) Issue(now time.Time, n int) []string {
	i.Advance(now)
	ids := make([]string, n)
	for k := range ids {
		i.last++
		ids[k] = i.Signer.Format(identifier.ID{
			FailureDomain: i.FailureDomain, Address: i.Address,
			Incarnation: i.Incarnation, Sequence: i.last,
		})
	}
	if len(i.batches) > 0 && now.Sub(i.batches[len(i.batches)-1].at) < time.Second {
		i.batches[len(i.batches)-1].last = i.last
	} else {
		i.batches = append(i.batches, idBatch{at: now, last: i.last})
	}
	return ids
}

// Owns tells whether this process issued id.
func (i *Issuer) Owns(id identifier.ID) bool {
	return id.Address == i.Address && id.Incarnation == i.Incarnation
}

// Use marks the sequence number as used. It returns false if that number can't
// start work: it was used before, is too old, or was never issued.
func (i *Issuer) Use(now time.Time, sequence uint64) bool {
	i.Advance(now)
	if sequence <= i.watermark || sequence > i.last {
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

// Fresh tells whether the sequence number could still start work.
func (i *Issuer) Fresh(now time.Time, sequence uint64) bool {
	i.Advance(now)
	if sequence <= i.watermark || sequence > i.last {
		return false
	}
	word, bit := (sequence-i.usedBase)/64, (sequence-i.usedBase)%64
	return word >= uint64(len(i.used)) || i.used[word]&(1<<bit) == 0
}

// Advance moves the watermark over the ids that are older than the keeping
// period. A batch covers one second, so an id lives up to a second longer.
func (i *Issuer) Advance(now time.Time) {
	n := 0
	for n < len(i.batches) && now.Sub(i.batches[n].at) > i.Keep+time.Second {
		i.watermark = i.batches[n].last
		n++
	}
	if n == 0 {
		return
	}
	i.batches = i.batches[n:]
	// The base moves even where no words are held: ids that were issued and
	// never used must not take memory when a later one is used.
	drop := (i.watermark - i.usedBase) / 64
	i.used = append([]uint64(nil), i.used[min(drop, uint64(len(i.used))):]...)
	i.usedBase += drop * 64
}
