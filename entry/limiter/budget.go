package limiter

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// pieceBytes is the amount of a body for which credit is acquired at a time, and
	// the amount that must arrive within the time for progress. Four times the longest
	// specification of a job (4,000 bytes).
	pieceBytes = 16 << 10
	// copies is how often a body is in memory while its buffer grows, and while it is
	// decoded.
	copies = 2
	// bodyWait is how long a body waits for credit: twice stalledAfter, so that what
	// stalled bodies hold is free before.
	bodyWait = 600 * time.Millisecond
	// stalledAfter is the time without progress from which a body or a head may be
	// given up for others. A lost packet is sent again after 200 ms.
	stalledAfter = 300 * time.Millisecond
	// slowAfter is the age from which an unfinished body may be given up for others,
	// whatever its progress: callers wait 1,500 ms for an answer.
	slowAfter = 1500 * time.Millisecond
	// scanInterval is the least time between two searches for stalled bodies, each of
	// which visits all bodies.
	scanInterval = 20 * time.Millisecond
)

// Budget bounds the bytes of the bodies that a server holds. Create one with
// [NewBudget].
type Budget struct {
	// Free is the part of each body that is not counted, so that large bodies can't
	// keep out small ones. The limit on connections bounds what they take together.
	Free int64
	// Copies is the factor by which the rest counts.
	Copies int64

	credit *semaphore.Weighted
	size   int64

	mu sync.Mutex
	// bodies holds the unfinished bodies with credit in the order of their first one.
	bodies []*Body
	// wanted is the credit that bodies wait for.
	wanted    int64
	scannedAt time.Time
}

// NewBudget returns a budget for bodies that together take size bytes of memory, and
// 16 KB more each.
func NewBudget(size int64) *Budget {
	return &Budget{Free: pieceBytes, Copies: copies, credit: semaphore.NewWeighted(size), size: size}
}

// acquire waits for n bytes of credit for b, and reports whether it got them.
func (u *Budget) acquire(ctx context.Context, b *Body, n int64) bool {
	if u.credit.TryAcquire(n) {
		return true
	}
	if n > u.size {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, bodyWait)
	defer cancel()
	u.beginWait(b, n, cancel)
	defer u.endWait(b, n)
	for ctx.Err() == nil {
		u.dropStalled(time.Now())
		attempt, cancel := context.WithTimeout(ctx, stalledAfter/3)
		err := u.credit.Acquire(attempt, n)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// beginWait records that b waits for n bytes. cancel ends the wait.
func (u *Budget) beginWait(b *Body, n int64, cancel context.CancelFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.wanted += n
	b.cancelWait = cancel
}

// endWait records that b no longer waits for n bytes.
func (u *Budget) endWait(b *Body, n int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.wanted -= n
	b.cancelWait = nil
	b.progressAt = time.Now()
}

// release returns n bytes of credit.
func (u *Budget) release(n int64) {
	if n > 0 {
		u.credit.Release(n)
	}
}

// add adds an unfinished body that has credit.
func (u *Budget) add(b *Body) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bodies = append(u.bodies, b)
}

// remove removes a body that is finished or given up.
func (u *Budget) remove(b *Body) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if i := slices.Index(u.bodies, b); i >= 0 {
		u.bodies = slices.Delete(u.bodies, i, i+1)
	}
}

// dropStalled ends the reading of stalled bodies for those that wait.
func (u *Budget) dropStalled(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.scannedAt) < scanInterval {
		return
	}
	u.scannedAt = now
	for _, b := range stalled(now, u.bodies, u.wanted) {
		b.dropped = true
		if b.cancelWait != nil {
			b.cancelWait()
		}
		b.interrupt()
	}
}

// stalled returns the bodies that are given up so that want bytes become free. It
// answers the load of clients that hold bodies open just short of their end, or send
// them so slowly that their answer would be late: without it, they refuse all other
// large bodies. If all bodies wait for each other, the newest one is given up.
func stalled(now time.Time, bodies []*Body, want int64) []*Body {
	var chosen []*Body
	var newestWaiting *Body
	allWait := true
	for _, b := range bodies {
		switch {
		case b.dropped:
			want -= b.credit
			allWait = false
		case b.cancelWait != nil:
			newestWaiting = b
		default:
			allWait = false
		}
	}
	choose := func(gone func(*Body) bool) {
		for _, b := range bodies {
			if want > 0 && !b.dropped && b.cancelWait == nil && gone(b) {
				chosen = append(chosen, b)
				want -= b.credit
			}
		}
	}
	choose(func(b *Body) bool { return now.Sub(b.progressAt) >= stalledAfter })
	choose(func(b *Body) bool { return now.Sub(b.progressAt) < stalledAfter && now.Sub(b.beganAt) >= slowAfter })
	if allWait && want > 0 && len(bodies) > 1 {
		chosen = append(chosen, newestWaiting)
	}
	return chosen
}
