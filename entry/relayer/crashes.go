package relayer

import (
	"time"

	"github.com/godwitrelay/godwitrelay/entry/placer"
)

// crashFetchInterval is the minimum interval between two fetches of crashes. It is
// below the 1.3 s after which callers submit a job again.
const crashFetchInterval = time.Second

// knownCrashes holds the crashes that the placer knew at a time.
type knownCrashes struct {
	report placer.CrashReport
	at     time.Time
}

// fetchCrashes fetches the crashes that another entry knows, if it knows others than
// this one. Each entry passes on what it learns, so that the next owner of a group
// knows the crashes that previous owners saw.
func (r *Relayer) fetchCrashes(now time.Time, address string, digest uint64) {
	last := r.crashesFetchedAt.Load()
	if digest == 0 || digest == r.crashes.Load().report.Digest || now.UnixNano()-last < int64(crashFetchInterval) || !r.crashesFetchedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	var report placer.CrashReport
	if r.fetch(address, "/peer/v1/crashes", &report) {
		r.post(placer.CrashesReported{Crashes: report.Crashes})
	}
}
