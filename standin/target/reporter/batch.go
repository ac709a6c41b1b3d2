// Package reporter renews the leases that keep targets in the platform's VM list,
// and reports the usage of the targets to the platform.
package reporter

import (
	"fmt"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// maxUnconfirmed limits the reports that a target queues during a platform
// outage. Further usage keeps accumulating, so that none is lost.
const maxUnconfirmed = 60

// Batch aggregates the usage of one target into reports with unique ids. A report
// keeps its id and content until it is confirmed, so that a retry after a lost
// reply is not counted twice.
type Batch struct {
	// IDPrefix is unique for each run of the target.
	IDPrefix string
	Service  string
	Target   string

	unreported  time.Duration
	sequence    int
	unconfirmed []messenger.UsageReport
}

// Add adds the slot time of one task.
func (b *Batch) Add(slotTime time.Duration) { b.unreported += slotTime }

// QueueReport queues a report for the whole milliseconds of unreported usage,
// unless maxUnconfirmed reports are queued. The remainder carries over to the
// next report.
func (b *Batch) QueueReport() {
	whole := b.unreported.Truncate(time.Millisecond)
	if whole == 0 || len(b.unconfirmed) >= maxUnconfirmed {
		return
	}
	b.unreported -= whole
	b.sequence++
	b.unconfirmed = append(b.unconfirmed, messenger.UsageReport{
		ID:      fmt.Sprintf("%s-%d", b.IDPrefix, b.sequence),
		Service: b.Service,
		Target:  b.Target,
		SlotMs:  whole.Milliseconds(),
	})
}

// Next returns the oldest unconfirmed report.
func (b *Batch) Next() (messenger.UsageReport, bool) {
	if len(b.unconfirmed) == 0 {
		return messenger.UsageReport{}, false
	}
	return b.unconfirmed[0], true
}

// Confirm removes the oldest report if it has the given id.
func (b *Batch) Confirm(id string) {
	if len(b.unconfirmed) > 0 && b.unconfirmed[0].ID == id {
		b.unconfirmed = b.unconfirmed[1:]
	}
}
