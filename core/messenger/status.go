package messenger

// EntryStatus is the reply to GET /operator/v1/status on an entry. Brokered
// lists the services for which this entry is the broker. ListedTargets is the
// number of targets of its failure domain in the last list of VMs that it read.
type EntryStatus struct {
	Self          Member         `json:"self"`
	FailureDomain string         `json:"failureDomain"`
	Ready         bool           `json:"ready"`
	Stopping      bool           `json:"stopping"`
	ConfigVersion int64          `json:"configVersion"`
	ChangeID      string         `json:"changeId"`
	Members       []MemberState  `json:"members"`
	Jobs          int            `json:"jobs"`
	ListedTargets int            `json:"listedTargets"`
	Brokered      []ServiceState `json:"brokered"`
}

// ServiceState is a broker's view of one service in its failure domain.
type ServiceState struct {
	Service string        `json:"service"`
	Share   int           `json:"share"`
	InUse   int           `json:"inUse"`
	Waiting int           `json:"waiting"`
	Targets []TargetState `json:"targets"`
}

// TargetState is a broker's view of one target. State is "ready", "leaving",
// "ejected" or "trial". A target that fails too often is ejected: it gets no
// tasks for some time. It is then on trial: it gets tasks for one slot at first
// and for twice as many after each success, until it is ready or a failure ejects
// it again.
type TargetState struct {
	Address string `json:"address"`
	State   string `json:"state"`
	Slots   int    `json:"slots"`
	InUse   int    `json:"inUse"`
}
