package relayer

import (
	"sync/atomic"
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
	if digest == 0 || digest == r.crashes.Load().report.Digest || !takeTurn(&r.crashesFetchedAt, now, crashFetchInterval) {
		return
	}
	var report placer.CrashReport
	if r.fetch(address, "/peer/v1/crashes", &report) {
		r.post(placer.CrashesReported{Crashes: report.Crashes})
	}
}

// takeTurn reports whether the interval has passed since the last turn, in Unix
// nanoseconds, and takes the next turn if so. Heartbeats arrive side by side.
func takeTurn(last *atomic.Int64, now time.Time, interval time.Duration) bool {
	at := last.Load()
	return now.UnixNano()-at >= int64(interval) && last.CompareAndSwap(at, now.UnixNano())
}
