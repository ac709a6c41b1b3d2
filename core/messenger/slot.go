package messenger

// Member identifies one run of an entry process by its peer address (IP:port)
// and its incarnation, a random number generated at startup.
type Member struct {
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation,string"`
}

// SlotRequest asks the broker to admit a job and to grant a slot for each of
// its tasks. Tasks lists the indexes of the tasks that are still to be started.
// Running is the number of tasks of the job that are running; the broker does
// not use it. Admitted is set if the job was already admitted, for example when
// it is part of a registration, see [SlotsRequest]. The broker then skips the
// admission checks. WaitedMs is the time that the job has waited so far.
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

// Grant permits the receiver to start one task of a job on one target within
// LeaseMs of receipt. ID is unique per broker incarnation.
type Grant struct {
	ID      uint64 `json:"id"`
	Service string `json:"service"`
	JobID   string `json:"jobId"`
	Task    int    `json:"task"`
	Target  string `json:"target"`
	LeaseMs int64  `json:"leaseMs"`
}

// GrantOutcome is the result of using a grant.
type GrantOutcome string

// The outcomes of a grant.
const (
	// GrantDone: the task ran and returned a result.
	GrantDone GrantOutcome = "done"
	// GrantFailed: the task ran and failed.
	GrantFailed GrantOutcome = "failed"
	// GrantLost: the connection failed or timed out after the task was sent.
	GrantLost GrantOutcome = "lost"
	// GrantUnreachable: no connection was established; the task did not start.
	GrantUnreachable GrantOutcome = "unreachable"
	// GrantBusy: the target had no free slot; the task did not start.
	GrantBusy GrantOutcome = "busy"
	// GrantLeaving: the target accepts no new tasks; the task did not start.
	GrantLeaving GrantOutcome = "leaving"
	// GrantUnused: the entry did not use the grant; the task did not start.
	GrantUnused GrantOutcome = "unused"
)

// Release tells the broker that the slot of a grant is free again, with the
// outcome, the run time of the task and the last known status of the target.
// Requeue asks for another grant for the same task, which did not start.
type Release struct {
	Grant       Grant         `json:"grant"`
	Team        string        `json:"team"`
	RequestType string        `json:"requestType"`
	Outcome     GrantOutcome  `json:"outcome"`
	RunMs       int64         `json:"runMs,omitempty"`
	Requeue     bool          `json:"requeue,omitempty"`
	Status      *TargetStatus `json:"status,omitempty"`
}

// RunningGrant describes a running task in a registration, see [SlotsRequest].
// RanMs is the time that it has run so far. DeclaredMemoryMB and DeadlineInMs
// are copied from its job, because the broker needs them if the task has to be
// granted again.
type RunningGrant struct {
	Grant            Grant    `json:"grant"`
	Team             string   `json:"team"`
	RequestType      string   `json:"requestType"`
	Priority         Priority `json:"priority"`
	RanMs            int64    `json:"ranMs"`
	DeclaredMemoryMB int64    `json:"declaredMemoryMB,omitempty"`
	DeadlineInMs     int64    `json:"deadlineInMs,omitempty"`
}

// SlotRefusal reports that a job was not admitted, or that no further task of
// it will be granted.
type SlotRefusal struct {
	JobID string `json:"jobId"`
	Error Error  `json:"error"`
}

// SlotsRequest is the body of POST /peer/v1/slots, from an entry to a broker.
// Sequence increases with each message of the sender. Full marks a
// registration, which replaces the broker's entire state for the sender: Held
// then lists every running task, and Requests every waiting job. To is the
// broker's incarnation as known to the sender, or 0 if the sender does not know
// it.
type SlotsRequest struct {
	From     Member         `json:"from"`
	To       uint64         `json:"to,string"`
	Sequence uint64         `json:"sequence"`
	Full     bool           `json:"full,omitempty"`
	Requests []SlotRequest  `json:"requests,omitempty"`
	Releases []Release      `json:"releases,omitempty"`
	Cancels  []string       `json:"cancels,omitempty"`
	Held     []RunningGrant `json:"held,omitempty"`
}

// SlotsReply is the reply to POST /peer/v1/slots. NeedRegistration asks the
// sender for a registration, see [SlotsRequest], because the broker's state for
// it is missing or may be incomplete. SpareCapacity reports that no task waits
// and enough slots are free, so that the sender may delay and batch its releases.
type SlotsReply struct {
	From             Member        `json:"from"`
	NeedRegistration bool          `json:"needFull,omitempty"`
	SpareCapacity    bool          `json:"relaxed,omitempty"`
	Grants           []Grant       `json:"grants,omitempty"`
	Refusals         []SlotRefusal `json:"refusals,omitempty"`
}

// GrantsRequest is the body of POST /peer/v1/grants, from a broker to an entry,
// for grants that became available after the reply to a SlotsRequest. The reply
// has status 204.
type GrantsRequest struct {
	From             Member        `json:"from"`
	To               uint64        `json:"to,string"`
	NeedRegistration bool          `json:"needFull,omitempty"`
	Grants           []Grant       `json:"grants,omitempty"`
	Refusals         []SlotRefusal `json:"refusals,omitempty"`
}
