package gossiper

import (
	"math"
	"time"
)

// domainSize is the number of entries by which intervals and timeouts scale.
// Timed-out members count until they are forgotten, so that many suspicions at
// once do not shorten the timeouts.
func (s *State) domainSize() int { return len(s.rows) + 1 }

// roundInterval returns the time between two rounds. With up to 3 members it is
// the configured interval, because each member hears from every other one
// directly and often enough. With more members, a counter needs several rounds
// to reach all of them, so the interval is the shortest that keeps one entry's
// traffic within 3 KB/s: in BenchmarkTraffic a heartbeat and its reply cost
// about 290 bytes, plus 18 for each member.
func (s *State) roundInterval() time.Duration {
	if s.domainSize() <= 3 {
		return s.Settings.heartbeatInterval()
	}
	return scaleByTraffic(s.Settings.heartbeatInterval(), s.domainSize(), 22)
}

// suspicionTimeout is the time after which a member whose counter does not
// advance is suspected. Above 8 members it grows with the logarithm of their
// number, as does the number of rounds in which an update reaches all of them;
// above 32 it also grows with the round interval. Without that, 64 members at a
// loss of 5 percent changed their lists 20,000 times a minute.
func (s *State) suspicionTimeout() time.Duration {
	if n := s.domainSize(); s.suspicionCache.size != n {
		s.suspicionCache.size, s.suspicionCache.timeout = n, scaleSuspicion(s.Settings.suspectTimeout(), n)
	}
	return s.suspicionCache.timeout
}

// scaleSuspicion scales the suspicion timeout base to n members.
func scaleSuspicion(base time.Duration, n int) time.Duration {
	if n <= 8 {
		return base
	}
	scaled := time.Duration(float64(base) * (1 + math.Log2(float64(n)/8)))
	if n <= 32 {
		return scaled
	}
	return scaleByTraffic(scaled, n, 32)
}

// scaleByTraffic scales d, the value for base members, to n members in
// proportion to the bytes of a heartbeat and its reply.
func scaleByTraffic(d time.Duration, n, base int) time.Duration {
	// The bytes that do not depend on n, in units of the bytes per member:
	// about 290 / 18, see roundInterval.
	const fixedCost = 16
	return d * time.Duration(fixedCost+n) / time.Duration(fixedCost+base)
}
