package keeper

import "time"

// burstShare of a second's appends may come at once. A tenth keeps the rate
// over any second within 1.1 times the limit.
const burstShare = 10

// Limiter is a token bucket. The zero value starts full.
type Limiter struct {
	tokens float64
	at     time.Time
}

// Take reports whether one more append fits a rate of perSecond. If not, it
// returns the time until one does.
func (l *Limiter) Take(now time.Time, perSecond int64) (bool, time.Duration) {
	rate := float64(perSecond)
	burst := max(1, rate/burstShare)
	if l.at.IsZero() {
		l.tokens = burst
	} else if passed := now.Sub(l.at); passed > 0 {
		l.tokens += passed.Seconds() * rate
	}
	l.at = now
	l.tokens = min(l.tokens, burst)
	if l.tokens < 1 {
		return false, time.Duration((1 - l.tokens) / rate * float64(time.Second))
	}
	l.tokens--
	return true, 0
}
