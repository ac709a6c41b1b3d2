package dispatcher

import (
	"fmt"
	"time"

	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// plannedStop is the progress of a planned stop. Its phases are started (not
// ready, new work is still accepted), refusing work (new work is refused, the
// broker role moves to another entry), idle (nothing is in progress,
// resubmissions are still answered) and done.
type plannedStop struct {
	started      bool
	refusingWork bool
	done         bool
	startedAt    time.Time
	idleAt       time.Time
}

func (s *State) handleDrain(now time.Time) {
	if s.stop.started {
		return
	}
	s.stop.started, s.stop.startedAt = true, now
	s.log("stop", "a planned stop has begun")
	s.emit(Note{recorder.Record{Event: recorder.StopStarted}})
	s.renewLease()
}

// advanceStop moves a planned stop to its next phase when that is due.
func (s *State) advanceStop(now time.Time) {
	if !s.stop.started || s.stop.done {
		return
	}
	if !s.stop.refusingWork && now.Sub(s.stop.startedAt) >= s.cfg.BalancerNotice {
		s.stop.refusingWork = true
		s.updateGossiper(now, gossiper.Stop{})
		s.log("stop", fmt.Sprintf("new work is refused; %d jobs are in progress", s.jobs.InProgress()))
	}
	if !s.stop.refusingWork || !s.isIdle() {
		s.stop.idleAt = time.Time{}
		return
	}
	if s.stop.idleAt.IsZero() {
		s.stop.idleAt = now
	}
	if now.Sub(s.stop.idleAt) >= s.cfg.StopLinger {
		s.stop.done = true
		s.emit(Note{recorder.Record{Event: recorder.StopEnded, Count: s.jobs.InProgress()}})
		s.log("stop", "nothing is in progress; the process ends")
		s.emit(Exit{})
	}
}

// isIdle reports whether this entry has no work in progress and no pending
// message to another broker.
func (s *State) isIdle() bool {
	if s.jobs.InProgress() > 0 || len(s.runningTasks) > 0 || s.pendingForwards > 0 {
		return false
	}
	return s.selfIsBroker() || !s.session.inFlight && !s.session.pending()
}
