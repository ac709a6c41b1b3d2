// Package reporter tells the platform about targets: it renews their leases
// and reports their usage.
package reporter

import (
	"fmt"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// maxWaiting bounds the closed reports of one target during an outage of the
// platform. Usage above it stays in the open batch, so that nothing is lost.
const maxWaiting = 60

// Batch sums the usage of one target into reports with unique ids. A report
// keeps its id and content until it is confirmed, because a reply may be lost
// after the platform took it.
type Batch struct {
	// Prefix is unique for each run of the target.
	Prefix  string
	Service string
	Target  string

	open     time.Duration
	sequence int
	waiting  []messenger.UsageReport
}

// Add counts the slot time of one task.
func (b *Batch) Add(ran time.Duration) { b.open += ran }

// Close turns whole milliseconds of the open batch into a report that waits to
// be sent.
func (b *Batch) Close() {
	whole := b.open.Truncate(time.Millisecond)
	if whole == 0 || len(b.waiting) >= maxWaiting {
		return
	}
	b.open -= whole
	b.sequence++
	b.waiting = append(b.waiting, messenger.UsageReport{
		ID:      fmt.Sprintf("%s-%d", b.Prefix, b.sequence),
		Service: b.Service,
		Target:  b.Target,
		SlotMs:  whole.Milliseconds(),
	})
}

// Next returns the oldest report that is not confirmed.
func (b *Batch) Next() (messenger.UsageReport, bool) {
	if len(b.waiting) == 0 {
		return messenger.UsageReport{}, false
	}
	return b.waiting[0], true
}

// Confirm removes the report with the given id.
func (b *Batch) Confirm(id string) {
	if len(b.waiting) > 0 && b.waiting[0].ID == id {
		b.waiting = b.waiting[1:]
	}
}
