package messenger

// MemberState is one row of a heartbeat: a member of the failure domain, its
// heartbeat counter as the sender last saw it, and whether it is stopping.
type MemberState struct {
	Member   Member `json:"member"`
	Counter  uint64 `json:"counter"`
	Stopping bool   `json:"stopping,omitempty"`
}

// Heartbeat is the body of POST /peer/v1/heartbeat, and of its reply. Between
// failure domains Members is empty and only ConfigVersion counts.
type Heartbeat struct {
	From          Member        `json:"from"`
	FailureDomain string        `json:"failureDomain"`
	ConfigVersion int64         `json:"configVersion"`
	Members       []MemberState `json:"members,omitempty"`
}
