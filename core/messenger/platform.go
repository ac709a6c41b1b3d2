package messenger

import "encoding/json"

// AppendReply is the reply to POST /v1/log/{stream}, whose body is the record
// itself.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// LogRecord is one record of a stream. AgeMs is its age according to the clock
// of the log service.
type LogRecord struct {
	Offset int64           `json:"offset"`
	AgeMs  int64           `json:"ageMs"`
	Value  json.RawMessage `json:"value"`
}

// LogPage is the reply to GET /v1/log/{stream}?from=&limit=. Offsets start at
// 0. First is the oldest retained offset, and Next is the offset of the next
// append. Records holds consecutive records starting at max(from, First).
type LogPage struct {
	First       int64       `json:"first"`
	Next        int64       `json:"next"`
	RetentionMs int64       `json:"retentionMs"`
	Records     []LogRecord `json:"records"`
}

// VMRole is the role of a VM in the platform's list.
type VMRole string

// The roles of VMs.
const (
	EntryVM  VMRole = "entry"
	TargetVM VMRole = "target"
)

// VM is one row of the platform's list. Address is the peer address of an
// entry, or the address at which a target accepts tasks. Service, Slots and
// MemoryMB are set only for targets.
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

// VMList is the reply to GET /v1/vms. The list lags behind the actual state.
type VMList struct {
	Generation int64 `json:"generation"`
	VMs        []VM  `json:"vms"`
}

// LeaseRequest is the body of POST /v1/leases. It acquires or renews a lease
// for TTLMs. The VM is listed as long as its lease is valid.
type LeaseRequest struct {
	VM    VM    `json:"vm"`
	TTLMs int64 `json:"ttlMs"`
}

// LeaseReply is the reply to POST /v1/leases.
type LeaseReply struct {
	TTLMs int64 `json:"ttlMs"`
}

// UsageReport reports completed work in slot milliseconds. Reports may be
// delayed, reordered and duplicated; ID identifies duplicates.
type UsageReport struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Team    string `json:"team,omitempty"`
	Target  string `json:"target"`
	SlotMs  int64  `json:"slotMs"`
}

// UsageTotals is the reply to GET /v1/usage: the number of distinct reports of
// the current UTC day, and the slot milliseconds per service without
// duplicates.
type UsageTotals struct {
	Reports int              `json:"reports"`
	SlotMs  map[string]int64 `json:"slotMs"`
}
