package gossiper

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// newerEvery is the time between two notices of the same newer version, so
// that every heartbeat does not start a fetch while one is in progress.
const newerEvery = time.Second

// newerNotice is the last Newer that was given.
type newerNotice struct {
	version int64
	at      time.Time
}

// beatRemote tells the version to one random entry of another failure domain
// if that is due.
func (s *State) beatRemote(now time.Time) []Cmd {
	period := s.Settings.remote()
	if s.nextRemote.IsZero() {
		// A random first time spreads entries that start together.
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
	return []Cmd{Beat{Address: s.remote[s.random.IntN(len(s.remote))], Heartbeat: s.head()}}
}

func (s *State) compareVersion(now time.Time, h messenger.Heartbeat) []Cmd {
	if h.ConfigVersion <= s.version {
		return nil
	}
	if h.ConfigVersion <= s.newer.version && now.Sub(s.newer.at) < newerEvery {
		return nil
	}
	s.newer = newerNotice{version: h.ConfigVersion, at: now}
	return []Cmd{Newer{Address: h.From.Address, Version: h.ConfigVersion}}
}
