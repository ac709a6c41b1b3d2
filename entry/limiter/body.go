package limiter

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNoCredit is returned by a body that did not fit in the budget, or that was
	// given up for others.
	ErrNoCredit = errors.New("the request bodies that the entry is reading exceed its memory limit")
	// ErrTooSlow is returned by a body of which too little arrived in time.
	ErrTooSlow = errors.New("the body did not arrive in time")
)

// Body is the body of a request. Its bytes are counted in a budget as they arrive,
// and each piece of it must arrive within a time limit. It is not safe for concurrent
// use.
type Body struct {
	body   io.ReadCloser
	budget *Budget
	ctx    context.Context
	// setDeadline sets the read deadline of the connection.
	setDeadline func(time.Time) error
	// PieceTime limits the time in which each piece of 16 KB must arrive, unless it
	// is 0. TotalTime limits that of the whole body.
	PieceTime, TotalTime time.Duration
	// announced is the length of the body, or -1 if it is unknown.
	announced int64
	read      int64
	// paid is the part of the body, from its beginning, for which no credit is missing.
	paid     int64
	complete bool
	err      error
	// onEnd is called once when the body has been read to its end. Reading fails if it
	// returns false.
	onEnd func() bool

	// The budget's lock guards these fields while the budget has the body.
	beganAt, progressAt time.Time
	credit              int64
	dropped             bool
	// cancelWait ends the wait for credit. It is nil unless the body waits.
	cancelWait context.CancelFunc
}

// NewBody returns the body of r, read within budget. Call Release after its last use.
func NewBody(now time.Time, w http.ResponseWriter, r *http.Request, budget *Budget) *Body {
	return &Body{
		body: r.Body, budget: budget, ctx: r.Context(), setDeadline: http.NewResponseController(w).SetReadDeadline,
		announced: r.ContentLength, beganAt: now, progressAt: now,
	}
}

// Read implements io.Reader. It fails with ErrNoCredit or ErrTooSlow if a limit is
// reached.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil || len(p) == 0 {
		return 0, b.err
	}
	if b.complete {
		return b.body.Read(p)
	}
	if b.read == b.paid {
		if b.err = b.nextPiece(); b.err != nil {
			return 0, b.err
		}
	}
	n, err := b.body.Read(p[:min(int64(len(p)), b.paid-b.read)])
	b.read += int64(n)
	if errors.Is(err, io.EOF) || b.read == b.announced {
		if !b.end() {
			err = net.ErrClosed
		}
	}
	if err != nil {
		b.err = err
	}
	if b.credit > 0 && !b.complete {
		b.err = b.progress(time.Now(), n, b.err)
	}
	if errors.Is(b.err, os.ErrDeadlineExceeded) {
		b.err = ErrTooSlow
	}
	if n > 0 {
		return n, nil
	}
	return 0, b.err
}

// progress records that n bytes arrived, and returns the error to report: err, unless
// the body was given up.
func (b *Body) progress(now time.Time, n int, err error) error {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	if n > 0 {
		b.progressAt = now
	}
	if b.dropped {
		return ErrNoCredit
	}
	return err
}

// nextPiece acquires credit for the next piece. The first bytes are free.
func (b *Body) nextPiece() error {
	if b.paid < b.budget.Free {
		b.extendDeadline()
		b.paid += min(pieceBytes, b.budget.Free-b.paid)
		return nil
	}
	n := int64(pieceBytes)
	if b.announced >= 0 {
		n = min(n, max(b.announced-b.read, 1))
	}
	if !b.budget.acquire(b.ctx, b, n*b.budget.Copies) {
		return ErrNoCredit
	}
	// Before the budget may interrupt the body, whose deadline must last then.
	b.extendDeadline()
	b.paid += n
	if b.credit > 0 {
		return b.addCredit(n * b.budget.Copies)
	}
	b.credit = n * b.budget.Copies
	b.budget.add(b)
	return nil
}

// extendDeadline sets the deadline for the next piece.
func (b *Body) extendDeadline() {
	now := time.Now()
	deadline := now.Add(b.PieceTime)
	if end := b.beganAt.Add(b.TotalTime); b.TotalTime > 0 && (b.PieceTime == 0 || end.Before(deadline)) {
		deadline = end
	}
	if b.PieceTime > 0 || b.TotalTime > 0 {
		_ = b.setDeadline(deadline)
	}
}

// addCredit records n bytes of credit, and fails if the body was given up.
func (b *Body) addCredit(n int64) error {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.credit += n
	if b.dropped {
		return ErrNoCredit
	}
	return nil
}

// interrupt makes a Read that waits for bytes return.
func (b *Body) interrupt() { _ = b.setDeadline(time.Unix(1, 0)) }

// end clears the deadline of a complete body: one that expired while the request is
// served would cancel its context. It returns false if the connection has been closed.
func (b *Body) end() bool {
	if b.complete {
		return true
	}
	if b.complete = true; b.credit > 0 {
		// The budget no longer interrupts the body from here on.
		b.budget.remove(b)
	}
	_ = b.setDeadline(time.Time{})
	return b.onEnd == nil || b.onEnd()
}

// Complete reports whether the body has been read to its end.
func (b *Body) Complete() bool { return b.complete }

// Bytes returns how many bytes have been read.
func (b *Body) Bytes() int64 { return b.read }

// Keep releases the credit of a complete body except for what n bytes need that remain
// in use.
func (b *Body) Keep(n int64) {
	if b.complete {
		kept := min(max(n-b.budget.Free, 0)*b.budget.Copies, b.credit)
		b.budget.release(b.credit - kept)
		b.credit = kept
	}
}

// Close closes the underlying body. The credit remains until Release.
func (b *Body) Close() error { return b.body.Close() }

// Release returns the credit.
func (b *Body) Release() {
	if b.credit == 0 {
		return
	}
	if !b.complete {
		b.budget.remove(b)
	}
	b.budget.release(b.credit)
	b.credit = 0
}
