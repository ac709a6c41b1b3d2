package keeper

import "time"

// burstDivisor sets the bucket size to a tenth of the appends per second. The
// rate over any second is then at most 1.1 times the limit.
const burstDivisor = 10

// Limiter is a token bucket rate limiter. The zero value has a full bucket.
type Limiter struct {
	tokens    float64
	updatedAt time.Time
}

// Allow reports whether one more append is within the rate perSecond. If not,
// it returns the time until the next append is allowed.
func (l *Limiter) Allow(now time.Time, perSecond int64) (bool, time.Duration) {
	rate := float64(perSecond)
	burst := max(1, rate/burstDivisor)
	if l.updatedAt.IsZero() {
		l.tokens = burst
	} else if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		l.tokens += elapsed.Seconds() * rate
	}
	l.updatedAt = now
	l.tokens = min(l.tokens, burst)
	if l.tokens < 1 {
		return false, time.Duration((1 - l.tokens) / rate * float64(time.Second))
	}
	l.tokens--
	return true, 0
}
