package gossiper

import (
	"math"
	"time"
)

// size is the number of entries by which periods grow. Silent members count
// until they are forgotten, so that a wave of suspicions doesn't shorten them.
func (s *State) size() int { return len(s.rows) + 1 }

// period returns the time between two rounds. Up to 3 members meet directly
// often enough. Above, news takes several rounds, so the period is the shortest
// that keeps one entry within 3 KB/s: in BenchmarkTraffic a heartbeat and its
// reply cost about 290 bytes, and 18 more for each member.
func (s *State) period() time.Duration {
	if s.size() <= 3 {
		return s.Settings.heartbeat()
	}
	return scale(s.Settings.heartbeat(), s.size(), 22)
}

// suspicion is the time without a moving counter after which a member is
// suspected. Above 8 members it grows with the logarithm of their number, as
// the number of rounds in which news reaches all of them does; above 32 it
// grows with the period, too. Without that, 64 members at a loss of 5 percent
// changed their lists 20,000 times a minute.
func (s *State) suspicion() time.Duration {
	if n := s.size(); s.suspicionOf.size != n {
		s.suspicionOf.size, s.suspicionOf.time = n, suspicion(s.Settings.suspect(), n)
	}
	return s.suspicionOf.time
}

func suspicion(base time.Duration, n int) time.Duration {
	if n <= 8 {
		return base
	}
	grown := time.Duration(float64(base) * (1 + math.Log2(float64(n)/8)))
	if n <= 32 {
		return grown
	}
	return scale(grown, n, 32)
}

// scale returns d in proportion to the bytes of a heartbeat and its reply with
// n members, where d is for base members.
func scale(d time.Duration, n, base int) time.Duration {
	const head = 16
	return d * time.Duration(head+n) / time.Duration(head+base)
}
