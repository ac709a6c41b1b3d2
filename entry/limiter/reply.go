package limiter

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrReplyLimit is returned by the body of a reply that is too large, or that does not fit
// in the budget beside others.
var ErrReplyLimit = errors.New("the reply exceeds the memory limit for replies")

// ReplyTransport bounds the bodies of replies: those of a worker or a store that never end,
// and many large ones at once. It is safe for concurrent use.
type ReplyTransport struct {
	http.RoundTripper
	// MaxBytes limits each body.
	MaxBytes int64
	// Budget bounds what all bodies take together until they are closed.
	Budget *Budget
}

// NewReplyTransport returns a transport whose replies take memory within share together.
func NewReplyTransport(next http.RoundTripper, share Share) *ReplyTransport {
	return &ReplyTransport{RoundTripper: next, MaxBytes: share.MaxBody(), Budget: NewBudget(share.BodyBytes)}
}

// RoundTrip implements http.RoundTripper.
func (t *ReplyTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(req)
	if err == nil {
		resp.Body = &replyBody{body: resp.Body, ctx: req.Context(), limits: t}
	}
	return resp, err
}

// replyBody is the body of a reply. It is not safe for concurrent use.
type replyBody struct {
	body   io.ReadCloser
	ctx    context.Context
	limits *ReplyTransport
	// read is the number of bytes that were read, paid that of bytes which may be read.
	read, paid, credit int64
}

// Read implements io.Reader. It fails with ErrReplyLimit if a limit is reached.
func (b *replyBody) Read(p []byte) (int, error) {
	if b.read == b.paid && len(p) > 0 && !b.nextPiece() {
		return 0, ErrReplyLimit
	}
	n, err := b.body.Read(p[:min(int64(len(p)), b.paid-b.read)])
	b.read += int64(n)
	return n, err
}

// nextPiece acquires credit for the next piece, for which it waits as long as a body of a
// request does. The first piece is free.
func (b *replyBody) nextPiece() bool {
	budget := b.limits.Budget
	if b.paid > b.limits.MaxBytes {
		return false
	}
	if b.paid >= budget.Free {
		n := pieceBytes * budget.Copies
		ctx, cancel := context.WithTimeout(b.ctx, bodyWait)
		defer cancel()
		if budget.credit.Acquire(ctx, n) != nil {
			return false
		}
		b.credit += n
	}
	b.paid += pieceBytes
	return true
}

// Close closes the body and returns the credit.
func (b *replyBody) Close() error {
	b.limits.Budget.release(b.credit)
	b.credit = 0
	return b.body.Close()
}
