package broker

// Settings are the choices of policy. The zero value of a field means its
// default, set by [Settings.WithDefaults].
type Settings struct {
	// Routing is "broker" (one owner of all slots), or one of the baselines
	// "random", "leastInFlight" and "twoChoices", where every entry picks
	// targets from its own view.
	Routing string `json:"routing,omitempty"`
	// Order is the order of jobs of one priority: "fewestLeft" or "fifo".
	Order string `json:"order,omitempty"`
	// UrgentReservePercent of the slots are kept free of bulk work; a negative
	// value means none.
	UrgentReservePercent int `json:"urgentReservePercent,omitempty"`
	// UrgentWaitPercent of a task's run time is the lasting wait of urgent work
	// above which further urgent jobs are refused as overloaded, even if they
	// could meet their deadline. A larger value refuses less in small pools near
	// their capacity, and lets response times grow under overload. Negative
	// means no limit.
	UrgentWaitPercent int `json:"urgentWaitPercent,omitempty"`
	// BulkAgeMs is the wait after which bulk work takes one of every BulkShare
	// grants.
	BulkAgeMs int64 `json:"bulkAgeMs,omitempty"`
	BulkShare int   `json:"bulkShare,omitempty"`
	// LeaseMs is the time in which a granted task must be started.
	LeaseMs int64 `json:"leaseMs,omitempty"`
	// MaxWaitingTasks bounds the queue of one service.
	MaxWaitingTasks int `json:"maxWaitingTasks,omitempty"`
	// Seed starts the source of randomness.
	Seed uint64 `json:"seed,omitempty"`
}

// WithDefaults returns s with defaults in place of zero values.
func (s Settings) WithDefaults() Settings {
	if s.Routing == "" {
		s.Routing = "broker"
	}
	if s.Order == "" {
		s.Order = "fewestLeft"
	}
	if s.UrgentReservePercent == 0 {
		s.UrgentReservePercent = 10
	}
	if s.UrgentWaitPercent == 0 {
		s.UrgentWaitPercent = 15
	}
	if s.BulkAgeMs == 0 {
		s.BulkAgeMs = 2000
	}
	if s.BulkShare == 0 {
		s.BulkShare = 10
	}
	if s.LeaseMs == 0 {
		s.LeaseMs = 1000
	}
	if s.MaxWaitingTasks == 0 {
		s.MaxWaitingTasks = 200_000
	}
	return s
}
