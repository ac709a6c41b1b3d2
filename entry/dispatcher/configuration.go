package dispatcher

import (
	"fmt"
	"time"

	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/entry/broker"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

const (
	// maxLogPageRecords is the number of records requested at once. A reader that
	// has not read any record requests a single one, to learn where the log
	// begins and ends.
	maxLogPageRecords = 256
	// minSnapshotInterval is the shortest time between two snapshots by this
	// entry. If the log's retention is under 500 s, it is a hundredth of the
	// retention.
	minSnapshotInterval = 5 * time.Second
)

// readLog requests the next page of the configuration log.
func (s *State) readLog() {
	limit := maxLogPageRecords
	if s.follower.NextOffset() == 0 {
		limit = 1
	}
	s.timers.readingLog = true
	s.emit(ReadLog{From: s.follower.NextOffset(), Limit: limit})
}

// handleLogRead applies a page of the configuration log. A version comes into
// force only when the end of the log is reached, because a later record may
// already have replaced it.
func (s *State) handleLogRead(now time.Time, msg LogRead) {
	s.timers.readingLog = false
	if msg.Err != nil {
		return
	}
	from := s.follower.NextOffset()
	result, err := s.follower.ApplyPage(now, msg.Page)
	for _, skip := range result.Skipped {
		s.log("config", fmt.Sprintf("record %d skipped: %s", skip.Offset, skip.Reason))
	}
	switch {
	case err != nil:
		s.log("config", "cannot apply the configuration log: "+err.Error())
	case result.CaughtUp:
		s.activate(now)
		s.publishSnapshot(now)
	case !s.follower.HasPosition() && s.follower.NextOffset() >= msg.Page.Next:
		s.log("config", "the configuration log no longer has its first records and contains no usable snapshot")
		s.fetchConfigurationFromPeer()
	case s.follower.NextOffset() == from && len(msg.Page.Records) > 0:
		s.log("config", fmt.Sprintf("the configuration log returned a page without record %d", from))
	default:
		s.readLog()
	}
}

// fetchConfigurationFromPeer requests the configuration from another entry at
// random. The reply also contains the position in the log.
func (s *State) fetchConfigurationFromPeer() {
	var addresses []string
	for _, m := range s.members {
		if m != s.cfg.Self {
			addresses = append(addresses, m.Address)
		}
	}
	addresses = append(addresses, s.remotePeers...)
	if len(addresses) > 0 {
		s.emit(FetchConfiguration{Address: addresses[s.rand.IntN(len(addresses))]})
	}
}

// handleConfigurationFetched adopts the configuration of another entry. A
// version that was read from the log but is not in force yet comes into force
// if the other entry has no newer one.
func (s *State) handleConfigurationFetched(now time.Time, msg ConfigurationFetched) {
	if msg.Err != nil || msg.Accepted.Version < 1 {
		return
	}
	s.follower.Adopt(msg.Accepted)
	if s.follower.Current().Version >= msg.Accepted.Version {
		s.activate(now)
	}
}

// activate makes the configuration read from the log the active one, and
// applies it if its version is newer than that of the previous one.
func (s *State) activate(now time.Time) {
	current := s.follower.Current()
	newer := current.Version > s.active.Version
	s.active = current
	if newer {
		s.applyConfiguration(now)
	}
}

// applyConfiguration puts the active configuration into force in the broker
// and the gossiper.
func (s *State) applyConfiguration(now time.Time) {
	active := s.active
	s.log("config", fmt.Sprintf("version %d (change %s) is in force", active.Version, active.ChangeID))
	s.emit(Note{recorder.Record{Event: recorder.VersionInForce, ChangeID: active.ChangeID, Version: active.Version}})
	s.updateBroker(now, broker.ConfigurationChanged{Configuration: active.Configuration, FailureDomain: s.cfg.FailureDomain})
	s.updateGossiper(now, gossiper.ConfigVersionChanged{ConfigVersion: active.Version})
	s.reassignBroker(now)
}

// publishSnapshot appends the active version to the log again when the newest
// record that readers can start from gets old. The random jitter before that is
// drawn once per snapshot, so that usually only one entry appends it.
func (s *State) publishSnapshot(now time.Time) {
	if s.snapshotDelayShare == 0 {
		s.snapshotDelayShare = s.rand.Float64()
	}
	at, ok := s.follower.SnapshotDue(s.snapshotDelayShare)
	if !ok || now.Before(at) || s.appendingSnapshot || now.Before(s.nextSnapshotAt) {
		return
	}
	s.appendingSnapshot, s.nextSnapshotAt = true, now.Add(min(minSnapshotInterval, s.follower.Retention()/100))
	s.emit(Count{Group: "message", Reason: "snapshot"})
	s.emit(AppendSnapshot{Record: s.follower.SnapshotRecord()})
}
