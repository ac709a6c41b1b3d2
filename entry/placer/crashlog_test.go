package placer

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// TestCrashLog guards against entries that never agree on the crashes that they
// know and fetch them from each other without end, and against crashes that are
// never forgotten because entries learn them from each other again.
func TestCrashLog(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var keys []crashKey
	for i := range 3 * maxCrashRecords {
		keys = append(keys, crashKey{fmt.Sprintf("task%d", i%700), fmt.Sprintf("w%d", i), int64(i)})
	}
	var a, b crashLog
	for _, k := range keys {
		a.add(now, now, k)
	}
	rand.New(rand.NewSource(1)).Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	for _, k := range keys {
		b.add(now, now, k)
	}
	if a.digest != b.digest || len(a.records) != maxCrashRecords {
		t.Errorf("digests %x and %x of %d records, want the same of %d", a.digest, b.digest, len(a.records), maxCrashRecords)
	}
	s := State{crashes: a}
	later := now.Add(crashRetention - time.Second)
	report := s.crashes.report(now).Aged(later.Sub(now))
	s.crashes.prune(now.Add(crashRetention))
	if s.crashes.digest != 0 || len(s.crashes.perTask) != 0 {
		t.Errorf("digest %x and %d tasks after all crashes have expired, want none", s.crashes.digest, len(s.crashes.perTask))
	}
	s.handleCrashesReported(later.Add(2*time.Second), report.Aged(2*time.Second).Crashes)
	if n := len(s.crashes.records); n != 0 {
		t.Errorf("%d expired crashes were added again", n)
	}
}
