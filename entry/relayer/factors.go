package relayer

import (
	"time"

	"github.com/godwitrelay/godwitrelay/entry/placer"
)

// factorFetchInterval is the minimum interval between two fetches of the factors of
// workers. An owner estimates them once a second.
const factorFetchInterval = time.Second

// fetchFactors fetches the factors of workers from another entry of the group: a
// follower from its owner if that one knows others, and an owner that knows none from
// any entry, so that it need not learn again what previous owners knew.
func (r *Relayer) fetchFactors(now time.Time, address string, b heartbeat) {
	known, owner := r.factors.Load().Digest, r.ownership.Load().address
	fromOwner := address == owner && owner != r.Self.Address
	toNewOwner := owner == r.Self.Address && known == 0
	if b.FactorDigest == 0 || b.FactorDigest == known || b.View.Group != r.groups.current().Name() || (!fromOwner && !toNewOwner) {
		return
	}
	if fromOwner && b.FactorDigest == r.factorsFetched.Load() {
		// The list is known, but this entry does not know all of its workers.
		return
	}
	if !takeTurn(&r.factorsFetchedAt, now, factorFetchInterval) {
		return
	}
	var report placer.FactorReport
	if r.fetch(address, "/peer/v1/factors", &report) {
		r.factorsFetched.Store(report.Digest)
		r.post(placer.FactorsReported{Factors: report.Factors})
	}
}
