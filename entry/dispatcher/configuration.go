package dispatcher

import (
	"fmt"
	"time"

	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/entry/broker"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

const (
	// logPageRecords is the number of records asked for at once. A reader that
	// has read nothing asks for one, to learn where the log begins and ends.
	logPageRecords = 256
	// snapshotRetry is the least time between two snapshots by this entry.
	snapshotRetry = 5 * time.Second
)

// readLog asks for the next page of the configuration log.
func (s *State) readLog() {
	limit := logPageRecords
	if s.follower.Want() == 0 {
		limit = 1
	}
	s.timers.reading = true
	s.emit(ReadLog{From: s.follower.Want(), Limit: limit})
}

// logRead folds a page of the configuration log. A version comes into force
// when the end of the log is reached: one that was folded on the way may have
// been replaced already.
func (s *State) logRead(now time.Time, msg LogRead) {
	s.timers.reading = false
	if msg.Err != nil {
		return
	}
	from := s.follower.Want()
	result, err := s.follower.Fold(now, msg.Page)
	for _, skip := range result.Skipped {
		s.log("config", fmt.Sprintf("record %d was skipped: %s", skip.Offset, skip.Reason))
	}
	switch {
	case err != nil:
		s.log("config", "the log can't be folded: "+err.Error())
	case result.CaughtUp:
		s.show(now)
		s.publishSnapshot(now)
	case !s.follower.Positioned() && s.follower.Want() >= msg.Page.Next:
		s.log("config", "the log has forgotten its beginning and holds no usable snapshot")
		s.askPeer()
	case s.follower.Want() == from && len(msg.Page.Records) > 0:
		s.log("config", fmt.Sprintf("the log gives no record %d", from))
	default:
		s.readLog()
	}
}

// askPeer asks some other entry for the configuration, which also gives the
// position in the log.
func (s *State) askPeer() {
	var addresses []string
	for _, m := range s.members {
		if m != s.cfg.Self {
			addresses = append(addresses, m.Address)
		}
	}
	addresses = append(addresses, s.remote...)
	if len(addresses) > 0 {
		s.emit(FetchConfiguration{Address: addresses[s.rand.IntN(len(addresses))]})
	}
}

// configurationFetched takes the configuration of another entry. What was
// folded but is not in force yet comes into force if the other has nothing
// newer.
func (s *State) configurationFetched(now time.Time, msg ConfigurationFetched) {
	if msg.Err != nil || msg.Accepted.Version < 1 {
		return
	}
	s.follower.Adopt(msg.Accepted)
	if s.follower.Present().Version >= msg.Accepted.Version {
		s.show(now)
	}
}

// show puts the folded configuration into force if it is newer than the
// present one.
func (s *State) show(now time.Time) {
	folded := s.follower.Present()
	newer := folded.Version > s.present.Version
	s.present = folded
	if newer {
		s.inForce(now)
	}
}

// inForce puts the present configuration into force.
func (s *State) inForce(now time.Time) {
	present := s.present
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
	if !ok || now.Before(at) || s.appending || now.Before(s.snapshotAfter) {
		return
	}
	s.appending, s.snapshotAfter = true, now.Add(min(snapshotRetry, s.follower.Retention()/100))
	s.emit(Count{Group: "message", Reason: "snapshot"})
	s.emit(AppendSnapshot{Record: s.follower.SnapshotRecord()})
}
