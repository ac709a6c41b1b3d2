package gossiper

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// versionNoticeInterval is the minimum time between two notices of the same
// newer version, so that not every heartbeat starts a fetch while one is in
// progress.
const versionNoticeInterval = time.Second

// versionNotice holds the version of the last [NewerConfiguration] effect and
// the time at which it was returned.
type versionNotice struct {
	version int64
	sentAt  time.Time
}

// beatRemoteIfDue sends the configuration version to one random entry of
// another failure domain if a heartbeat is due.
func (s *State) beatRemoteIfDue(now time.Time) []Cmd {
	period := s.Settings.remoteInterval()
	if s.nextRemote.IsZero() {
		// A random initial delay spreads out entries that start together.
		s.nextRemote = now.Add(time.Duration(s.random.Int64N(int64(period))))
		return nil
	}
	if now.Before(s.nextRemote) && s.nextRemote.Sub(now) <= period {
		return nil
	}
	s.nextRemote = now.Add(period)
	if len(s.remote) == 0 {
		return nil
	}
	return []Cmd{SendHeartbeat{Address: s.remote[s.random.IntN(len(s.remote))], Heartbeat: s.baseHeartbeat()}}
}

// compareVersion returns a [NewerConfiguration] effect if the sender of h has a
// newer configuration.
func (s *State) compareVersion(now time.Time, h messenger.Heartbeat) []Cmd {
	if h.ConfigVersion <= s.version {
		return nil
	}
	if h.ConfigVersion <= s.lastVersionNotice.version && now.Sub(s.lastVersionNotice.sentAt) < versionNoticeInterval {
		return nil
	}
	s.lastVersionNotice = versionNotice{version: h.ConfigVersion, sentAt: now}
	return []Cmd{NewerConfiguration{Address: h.From.Address, Version: h.ConfigVersion}}
}
