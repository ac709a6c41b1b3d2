package dispatcher

import (
	"fmt"
	"time"

	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// stopping is the progress of a planned stop: begun (not ready, still
// accepting), refusing (new work is refused, broker roles move away), idle
// (nothing is in progress; repeats of submissions are still answered), over.
type stopping struct {
	begun    bool
	refusing bool
	over     bool
	begunAt  time.Time
	idleAt   time.Time
}

func (s *State) drain(now time.Time) {
	if s.stop.begun {
		return
	}
	s.stop.begun, s.stop.begunAt = true, now
	s.log("stop", "a planned stop has begun")
	s.emit(Note{recorder.Record{Event: recorder.StopBegun}})
	s.renewLease()
}

// stopTick moves a planned stop forward.
func (s *State) stopTick(now time.Time) {
	if !s.stop.begun || s.stop.over {
		return
	}
	if !s.stop.refusing && now.Sub(s.stop.begunAt) >= s.cfg.BalancerNotice {
		s.stop.refusing = true
		s.updateGossiper(now, gossiper.Stop{})
		s.log("stop", fmt.Sprintf("new work is refused; %d jobs are in progress", s.jobs.InProgress()))
	}
	if !s.stop.refusing || !s.quiet() {
		s.stop.idleAt = time.Time{}
		return
	}
	if s.stop.idleAt.IsZero() {
		s.stop.idleAt = now
	}
	if now.Sub(s.stop.idleAt) >= s.cfg.StopLinger {
		s.stop.over = true
		s.emit(Note{recorder.Record{Event: recorder.StopEnded, Count: s.jobs.InProgress()}})
		s.log("stop", "nothing is in progress; the process ends")
		s.emit(Exit{})
	}
}

// quiet tells whether nothing of this entry or of others depends on it.
func (s *State) quiet() bool {
	if s.jobs.InProgress() > 0 || len(s.held) > 0 || s.forwards > 0 {
		return false
	}
	return s.toSelf() || !s.link.busy && !s.link.pending()
}
