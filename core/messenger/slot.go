package messenger

// Member names one entry process: its peer address (IP:port) and the random
// incarnation that it drew when it started.
type Member struct {
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation,string"`
}

// SlotRequest asks the broker to admit one job and to grant a
// slot for each of its tasks. Tasks lists the indexes still to be started.
// Admitted is set when the job was admitted before and is only registered
// again; it is then never refused. WaitedMs is how long the job has waited.
type SlotRequest struct {
	JobID            string   `json:"jobId"`
	Service          string   `json:"service"`
	RequestType      string   `json:"requestType"`
	Team             string   `json:"team"`
	Priority         Priority `json:"priority"`
	Tasks            []int    `json:"tasks"`
	Running          int      `json:"running,omitempty"`
	DeclaredRunMs    int64    `json:"declaredRunMs,omitempty"`
	DeclaredMemoryMB int64    `json:"declaredMemoryMB,omitempty"`
	DeadlineInMs     int64    `json:"deadlineInMs"`
	WaitedMs         int64    `json:"waitedMs,omitempty"`
	Admitted         bool     `json:"admitted,omitempty"`
}

// Grant is the right to start one task of a job on one target, for LeaseMs
// from the moment it was received. ID is unique per broker incarnation.
type Grant struct {
	ID      uint64 `json:"id"`
	Service string `json:"service"`
	JobID   string `json:"jobId"`
	Task    int    `json:"task"`
	Target  string `json:"target"`
	LeaseMs int64  `json:"leaseMs"`
}

// GrantOutcome tells what became of a grant.
type GrantOutcome string

// The outcomes of a grant.
const (
	// GrantDone: the task ran and gave a result.
	GrantDone GrantOutcome = "done"
	// GrantFailed: the task ran and failed.
	GrantFailed GrantOutcome = "failed"
	// GrantLost: the connection broke or timed out after sending.
	GrantLost GrantOutcome = "lost"
	// GrantUnreachable: no connection could be established; not started.
	GrantUnreachable GrantOutcome = "unreachable"
	// GrantBusy: the target had no free slot; not started.
	GrantBusy GrantOutcome = "busy"
	// GrantLeaving: the target takes no new work; not started.
	GrantLeaving GrantOutcome = "leaving"
	// GrantUnused: the entry did not use the grant; not started.
	GrantUnused GrantOutcome = "unused"
)

// Release gives a grant's slot back with what was learned. Requeue asks for
// another grant for the same task, which did not start.
type Release struct {
	Grant       Grant         `json:"grant"`
	Team        string        `json:"team"`
	RequestType string        `json:"requestType"`
	Outcome     GrantOutcome  `json:"outcome"`
	RunMs       int64         `json:"runMs,omitempty"`
	Requeue     bool          `json:"requeue,omitempty"`
	Status      *TargetStatus `json:"status,omitempty"`
}

// HeldGrant is a running task in a registration. RanMs is how long it has run.
// DeclaredMemoryMB and DeadlineInMs are those of its job; they are needed if
// the task has to be granted again.
type HeldGrant struct {
	Grant            Grant    `json:"grant"`
	Team             string   `json:"team"`
	RequestType      string   `json:"requestType"`
	Priority         Priority `json:"priority"`
	RanMs            int64    `json:"ranMs"`
	DeclaredMemoryMB int64    `json:"declaredMemoryMB,omitempty"`
	DeadlineInMs     int64    `json:"deadlineInMs,omitempty"`
}

// SlotRefusal says that a job was not admitted, or that its next task can't be
// granted any more.
type SlotRefusal struct {
	JobID string `json:"jobId"`
	Error Error  `json:"error"`
}

// SlotsRequest is the body of POST /peer/v1/slots, from an entry to a broker.
// Sequence grows with each message of the sender. Full replaces all that the
// broker knows of the sender: Held is then complete, and Requests lists every
// waiting job. To is the broker's incarnation as the sender knows it, 0 if
// unknown.
type SlotsRequest struct {
	From     Member        `json:"from"`
	To       uint64        `json:"to,string"`
	Sequence uint64        `json:"sequence"`
	Full     bool          `json:"full,omitempty"`
	Requests []SlotRequest `json:"requests,omitempty"`
	Releases []Release     `json:"releases,omitempty"`
	Cancels  []string      `json:"cancels,omitempty"`
	Held     []HeldGrant   `json:"held,omitempty"`
}

// SlotsReply answers POST /peer/v1/slots. NeedFull asks the sender to register
// in full, because the broker does not know it. Relaxed says that free slots
// are plenty, so that releases may wait a little and travel together.
type SlotsReply struct {
	From     Member        `json:"from"`
	NeedFull bool          `json:"needFull,omitempty"`
	Relaxed  bool          `json:"relaxed,omitempty"`
	Grants   []Grant       `json:"grants,omitempty"`
	Refusals []SlotRefusal `json:"refusals,omitempty"`
}

// GrantsRequest is the body of POST /peer/v1/grants, from a broker to an
// entry, for grants that became possible later. The reply has status 204.
type GrantsRequest struct {
	From     Member        `json:"from"`
	To       uint64        `json:"to,string"`
	NeedFull bool          `json:"needFull,omitempty"`
	Grants   []Grant       `json:"grants,omitempty"`
	Refusals []SlotRefusal `json:"refusals,omitempty"`
}
