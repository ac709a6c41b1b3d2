package listener

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// uncountedBodyBytes is the buffer size up to which a body does not count
// towards MaxBufferedBodyBytes, so that slow callers with large bodies cannot
// block those with small ones.
const uncountedBodyBytes = 64 << 10

// readBody reads a body of at most limit bytes. The buffer grows with the bytes
// received, not with the announced length. The caller must call release when it
// no longer needs the body. inUse is the listener's count of bytes that are held
// for callers or for peers, whichever sent the request.
func (l *Listener) readBody(r *http.Request, limit int64, inUse *atomic.Int64) (body []byte, release func(), e *messenger.Error) {
	counted := int64(0)
	release = func() { inUse.Add(-counted) }
	if r.ContentLength > limit {
		return nil, release, tooLarge(limit)
	}
	buf := make([]byte, 0, min(max(r.ContentLength, 511)+1, uncountedBodyBytes))
	for {
		if len(buf) == cap(buf) {
			size := min(int64(cap(buf))*2, limit+1)
			if size > uncountedBodyBytes {
				if inUse.Add(size-counted) > l.MaxBufferedBodyBytes {
					inUse.Add(counted - size)
					return nil, release, outcomeUnknown(messenger.NewError(messenger.Overloaded, "the request bodies that the entry is reading exceed its memory limit").WithRetryAfter(readLimitRetryMs))
				}
				counted = size
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := r.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, release, tooLarge(limit)
		case errors.Is(err, io.EOF):
			return buf, release, nil
		case err != nil:
			return nil, release, l.incompleteBody(r, len(buf), err)
		}
	}
}

// incompleteBody returns the error for a body that did not arrive completely.
// The request may repeat a submission that has run, so the error does not state
// that the work did not run.
func (l *Listener) incompleteBody(r *http.Request, got int, err error) *messenger.Error {
	announced := "an unknown number"
	if r.ContentLength >= 0 {
		announced = fmt.Sprint(r.ContentLength)
	}
	reason := err.Error()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		reason = fmt.Sprintf("time limit of %d ms exceeded", l.BodyReadTimeout.Milliseconds())
	}
	return outcomeUnknown(messenger.NewError(messenger.BadRequest, fmt.Sprintf("the body is incomplete: it ended after byte %d of %s: %s", got, announced, reason)))
}

// tooLarge returns the error for a body over limit bytes.
func tooLarge(limit int64) *messenger.Error {
	return messenger.NewError(messenger.TooLarge, fmt.Sprintf("the body is over %d bytes", limit))
}

// outcomeUnknown makes e leave open whether the work has run: the request was
// refused without looking up the job that its id may name.
func outcomeUnknown(e *messenger.Error) *messenger.Error {
	e.Ran, e.SafeToResubmit = messenger.MayHaveRun, false
	return e
}
