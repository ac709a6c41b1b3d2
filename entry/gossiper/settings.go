package gossiper

import "time"

// Settings configures the membership protocol. Zero values select the defaults.
// Intervals and timeouts grow in large failure domains.
type Settings struct {
	// HeartbeatMs is the interval between two rounds of heartbeats with up to 3
	// members. With 4 members the interval is about half as long (20/38). From
	// there it grows with the size of heartbeats and is this long again at 22
	// members.
	HeartbeatMs int64 `json:"heartbeatMs,omitempty"`
	// RemoteMs is the interval between two heartbeats to other failure domains.
	RemoteMs int64 `json:"remoteMs,omitempty"`
	// SuspectMs is the time after which a member whose counter does not advance
	// is suspected, with up to 8 members. It is longer with more.
	SuspectMs int64 `json:"suspectMs,omitempty"`
	// ForgetMs is the time after which a member whose counter does not advance
	// is forgotten.
	ForgetMs int64 `json:"forgetMs,omitempty"`
	// FanOut is the maximum number of heartbeats per round. An entry that knows
	// no members, or only suspected ones, sends up to joinFanOut if that is more.
	FanOut int `json:"fanOut,omitempty"`
	// MaxRows is the maximum number of rows in a full heartbeat, including the
	// sender's own row.
	MaxRows int `json:"maxRows,omitempty"`
}

// WithDefaults returns s with zero values replaced by defaults.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.HeartbeatMs, 250)
	setDefault(&s.RemoteMs, 2000)
	setDefault(&s.SuspectMs, 1000)
	setDefault(&s.ForgetMs, 10_000)
	setDefault(&s.FanOut, 1)
	setDefault(&s.MaxRows, 16)
	return s
}

func setDefault[T int | int64](value *T, def T) {
	if *value == 0 {
		*value = def
	}
}

func (s Settings) heartbeatInterval() time.Duration {
	return time.Duration(s.HeartbeatMs) * time.Millisecond
}

func (s Settings) remoteInterval() time.Duration {
	return time.Duration(s.RemoteMs) * time.Millisecond
}

func (s Settings) suspectTimeout() time.Duration {
	return time.Duration(s.SuspectMs) * time.Millisecond
}

func (s Settings) forgetTimeout() time.Duration {
	return time.Duration(s.ForgetMs) * time.Millisecond
}
