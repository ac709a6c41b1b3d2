package broker

// Settings configures the scheduling policy. The zero value of a field selects
// its default, which [Settings.WithDefaults] fills in.
type Settings struct {
	// Routing is "broker", where one broker allocates all slots, or one of the
	// baselines "random", "leastInFlight" and "twoChoices", where every entry
	// chooses targets by its own view of their load.
	Routing string `json:"routing,omitempty"`
	// Order is the order of jobs of the same priority: "fewestLeft" (fewest
	// unfinished tasks first) or "fifo".
	Order string `json:"order,omitempty"`
	// UrgentReservePercent is the percentage of slots reserved for urgent work.
	// A negative value means no reserve.
	UrgentReservePercent int `json:"urgentReservePercent,omitempty"`
	// UrgentWaitPercent limits how long urgent work may wait persistently, as a
	// percentage of a task's run time. Above it, further urgent jobs are refused
	// as overloaded even if they could meet their deadline. A larger value
	// refuses fewer jobs in small pools near their capacity, but lets response
	// times grow under overload. A negative value means no limit.
	UrgentWaitPercent int `json:"urgentWaitPercent,omitempty"`
	// BulkAgeMs is the waiting time after which bulk work gets its share of the
	// grants although urgent work is waiting.
	BulkAgeMs int64 `json:"bulkAgeMs,omitempty"`
	// BulkShare is the number of grants of which one goes to such bulk work: with
	// 10 it gets every tenth grant.
	BulkShare int `json:"bulkShare,omitempty"`
	// LeaseMs is the time within which a granted task must be started.
	LeaseMs int64 `json:"leaseMs,omitempty"`
	// MaxWaitingTasks limits the queue length of one service.
	MaxWaitingTasks int `json:"maxWaitingTasks,omitempty"`
	// Seed seeds the random number generator.
	Seed uint64 `json:"seed,omitempty"`
}

// WithDefaults returns a copy of s with zero values replaced by defaults.
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
