package limiter

import (
	"sync"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/adviser"
)

const (
	// rankShare is the part of the places that each rank leaves to those before it, as a
	// divisor.
	rankShare = 4
	// maxRank is the rank from which on requests are treated alike.
	maxRank = 3
	// rateSeconds is the number of seconds over which the rate of ends is measured. If none
	// has ended, all are assumed to end within that time.
	rateSeconds = 8
)

// Places bounds the requests that wait for a result, so that those which are answered at
// once still find a connection, and urgent ones a place beside others. The zero value has
// no limit.
type Places struct {
	// Limit is the number of places, or 0 for no limit.
	Limit int

	mu      sync.Mutex
	taken   int
	ends    [rateSeconds]endCount
	adviser adviser.Adviser
}

// endCount is the number of requests that ended in a second since the Unix epoch.
type endCount struct {
	second int64
	n      int
}

// Take takes a place, and reports whether there was one. The rank is the number of
// priorities that are before that of the request. Call End once the request has ended.
//
// It answers the load of legal jobs that wait for workers on all connections: without it,
// neither urgent jobs nor cancellings reach the entry.
func (p *Places) Take(rank int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Limit > 0 && p.taken >= placesFor(p.Limit, rank) {
		return false
	}
	p.taken++
	return true
}

// End returns a place.
func (p *Places) End(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken--
	e := &p.ends[now.Unix()%rateSeconds]
	if e.second != now.Unix() {
		*e = endCount{second: now.Unix()}
	}
	e.n++
}

// RetryAfter returns after which time a request that got no place finds one, in whole
// seconds, at the rate at which requests have ended lately.
func (p *Places) RetryAfter(now time.Time, requestID string, rank int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	ended := 0
	for _, e := range p.ends {
		if now.Unix()-e.second < rateSeconds {
			ended += e.n
		}
	}
	if ended == 0 {
		ended = max(p.taken, 1)
	}
	rate, missing := float64(ended)/rateSeconds, p.taken-placesFor(p.Limit, rank)+1
	wait := time.Duration(float64(missing) / rate * float64(time.Second))
	return p.adviser.RetryAfter(now, adviser.Refusal{JobID: requestID, Priority: min(rank, maxRank), Work: 1, Wait: wait}, rate)
}

// placesFor returns up to how many places may be taken for a request of the rank to get
// one.
func placesFor(limit, rank int) int {
	for range min(rank, maxRank) {
		limit -= limit / rankShare
	}
	return limit
}
