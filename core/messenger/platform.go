package messenger

import "encoding/json"

// AppendReply answers POST /v1/log/{stream}, whose body is the record itself.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// LogRecord is one record of a stream. AgeMs is its age by the log's clock.
type LogRecord struct {
	Offset int64           `json:"offset"`
	AgeMs  int64           `json:"ageMs"`
	Value  json.RawMessage `json:"value"`
}

// LogPage answers GET /v1/log/{stream}?from=&limit=. Offsets start at 0.
// First is the oldest offset still kept, Next the offset that the next append
// will get. Records holds consecutive records from max(from, First).
type LogPage struct {
	First       int64       `json:"first"`
	Next        int64       `json:"next"`
	RetentionMs int64       `json:"retentionMs"`
	Records     []LogRecord `json:"records"`
}

// VMRole tells what a VM of the list does.
type VMRole string

// The roles of VMs.
const (
	EntryVM  VMRole = "entry"
	TargetVM VMRole = "target"
)

// VM is one row of the platform's list. Address is the peer address of an
// entry, or the task address of a target. Service, Slots and MemoryMB are set
// for targets.
type VM struct {
	Role          VMRole `json:"role"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region,omitempty"`
	Service       string `json:"service,omitempty"`
	Slots         int    `json:"slots,omitempty"`
	MemoryMB      int64  `json:"memoryMB,omitempty"`
	Leaving       bool   `json:"leaving,omitempty"`
}

// VMList answers GET /v1/vms. The list lags behind the truth.
type VMList struct {
	Generation int64 `json:"generation"`
	VMs        []VM  `json:"vms"`
}

// LeaseRequest is the body of POST /v1/leases: a holder takes or renews its
// lease for TTLMs. The VM row is listed while the lease is held.
type LeaseRequest struct {
	VM    VM    `json:"vm"`
	TTLMs int64 `json:"ttlMs"`
}

// LeaseReply answers POST /v1/leases.
type LeaseReply struct {
	TTLMs int64 `json:"ttlMs"`
}

// UsageReport is one report of work done, in slot milliseconds. Reports lag,
// may come in any order and more than once; ID tells repeats.
type UsageReport struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Team    string `json:"team,omitempty"`
	Target  string `json:"target"`
	SlotMs  int64  `json:"slotMs"`
}

// UsageTotals answers GET /v1/usage: the number of distinct reports of the
// present UTC day, and the slot milliseconds per service with each report
// counted once.
type UsageTotals struct {
	Reports int              `json:"reports"`
	SlotMs  map[string]int64 `json:"slotMs"`
}
