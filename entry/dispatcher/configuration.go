package dispatcher

import (
	"fmt"
	"time"

	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/entry/broker"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// logRead folds a page of the configuration log. A page that was not the last
// one is followed by the next at once.
func (s *State) logRead(now time.Time, msg LogRead) {
	s.timers.reading = false
	if msg.Err != nil {
		return
	}
	result, err := s.follower.Fold(now, msg.Page)
	for _, skip := range result.Skipped {
		s.log("config", fmt.Sprintf("record %d was skipped: %s", skip.Offset, skip.Reason))
	}
	if err != nil {
		s.log("config", "the log can't be folded: "+err.Error())
	}
	if result.Changed {
		s.inForce(now)
	}
	if err == nil && !result.CaughtUp && len(msg.Page.Records) > 0 {
		s.timers.reading = true
		s.emit(ReadLog{From: s.follower.Want()})
		return
	}
	s.publishSnapshot(now)
}

func (s *State) configurationFetched(now time.Time, msg ConfigurationFetched) {
	if msg.Err == nil && s.follower.Adopt(msg.Accepted) {
		s.inForce(now)
	}
}

// inForce puts the present configuration into force.
func (s *State) inForce(now time.Time) {
	present := s.follower.Present()
	s.log("config", fmt.Sprintf("version %d (change %s) is in force", present.Version, present.ChangeID))
	s.emit(Note{recorder.Record{Event: recorder.VersionInForce, ChangeID: present.ChangeID, Version: present.Version}})
	s.updateBroker(now, broker.Configure{Configuration: present.Configuration, Domain: s.cfg.FailureDomain})
	s.updateGossiper(now, gossiper.Version{ConfigVersion: present.Version})
	s.assign(now)
}

// publishSnapshot writes the present version to the log again when the newest
// starting point for readers gets old. The random share of the delay is drawn
// once, so that one entry usually writes for all.
func (s *State) publishSnapshot(now time.Time) {
	if s.snapshotDelay == 0 {
		s.snapshotDelay = s.rand.Float64()
	}
	at, ok := s.follower.SnapshotDue(s.snapshotDelay)
	if !ok || now.Before(at) || s.appending {
		return
	}
	s.appending = true
	s.emit(Count{Group: "message", Reason: "snapshot"})
	s.emit(AppendSnapshot{Record: s.follower.SnapshotRecord()})
}
