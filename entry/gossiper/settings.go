package gossiper

import "time"

// Settings are the periods of the membership. Zero values mean defaults.
// Periods grow in large failure domains.
type Settings struct {
	// HeartbeatMs is the time between two rounds of heartbeats with up to 3, or
	// with 22 members.
	HeartbeatMs int64 `json:"heartbeatMs,omitempty"`
	// RemoteMs is the time between two heartbeats to other failure domains.
	RemoteMs int64 `json:"remoteMs,omitempty"`
	// SuspectMs is the time without a moving counter after which a member is
	// suspected, with up to 8 members.
	SuspectMs int64 `json:"suspectMs,omitempty"`
	// ForgetMs is the time without a moving counter after which a member is
	// forgotten.
	ForgetMs int64 `json:"forgetMs,omitempty"`
	// FanOut is the number of heartbeats in a round.
	FanOut int `json:"fanOut,omitempty"`
	// MaxRows is the largest number of full rows in a heartbeat, the sender's
	// own row included.
	MaxRows int `json:"maxRows,omitempty"`
}

// WithDefaults returns s with defaults in place of zero values.
func (s Settings) WithDefaults() Settings {
	preset(&s.HeartbeatMs, 250)
	preset(&s.RemoteMs, 2000)
	preset(&s.SuspectMs, 1000)
	preset(&s.ForgetMs, 10_000)
	preset(&s.FanOut, 1)
	preset(&s.MaxRows, 16)
	return s
}

func preset[T int | int64](value *T, usual T) {
	if *value == 0 {
		*value = usual
	}
}

func (s Settings) heartbeat() time.Duration { return time.Duration(s.HeartbeatMs) * time.Millisecond }
func (s Settings) remote() time.Duration    { return time.Duration(s.RemoteMs) * time.Millisecond }
func (s Settings) suspect() time.Duration   { return time.Duration(s.SuspectMs) * time.Millisecond }
func (s Settings) forget() time.Duration    { return time.Duration(s.ForgetMs) * time.Millisecond }
