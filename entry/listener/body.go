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

// freeBodyBytes of a body do not count towards MaxReadingBytes, so that slow
// callers with large bodies can't keep out those with small ones.
const freeBodyBytes = 64 << 10

// readBody reads a body of at most limit bytes. Its buffer grows with what has
// arrived, not with what was announced. Call free when the body is no longer
// needed. Reading counts the bytes held for callers, or for peers.
func (l *Listener) readBody(r *http.Request, limit int64, reading *atomic.Int64) (body []byte, free func(), e *messenger.Error) {
	taken := int64(0)
	free = func() { reading.Add(-taken) }
	if r.ContentLength > limit {
		return nil, free, tooLarge(limit)
	}
	buf := make([]byte, 0, min(max(r.ContentLength, 511)+1, freeBodyBytes))
	for {
		if len(buf) == cap(buf) {
			size := min(int64(cap(buf))*2, limit+1)
			if size > freeBodyBytes {
				if reading.Add(size-taken) > l.MaxReadingBytes {
					reading.Add(taken - size)
					return nil, free, unsure(messenger.NewError(messenger.Overloaded, "the entry is reading too many bytes").After(readingRetryMs))
				}
				taken = size
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := r.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, free, tooLarge(limit)
		case errors.Is(err, io.EOF):
			return buf, free, nil
		case err != nil:
			return nil, free, l.unread(r, len(buf), err)
		}
	}
}

// unread refuses a body that did not arrive whole. It may be a repeat of a
// submission that has run, so nothing is promised about the work.
func (l *Listener) unread(r *http.Request, got int, err error) *messenger.Error {
	announced := "an unknown number"
	if r.ContentLength >= 0 {
		announced = fmt.Sprint(r.ContentLength)
	}
	reason := err.Error()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		reason = fmt.Sprintf("not whole within %d ms", l.BodyRead.Milliseconds())
	}
	return unsure(messenger.NewError(messenger.BadRequest, fmt.Sprintf("the body ends after byte %d of %s: %s", got, announced, reason)))
}

func tooLarge(limit int64) *messenger.Error {
	return messenger.NewError(messenger.TooLarge, fmt.Sprintf("the body is over %d bytes", limit))
}

// unsure makes e say nothing about whether the work has run: the request was
// refused without a look at the job that its id may name.
func unsure(e *messenger.Error) *messenger.Error {
	e.Ran, e.SafeToResubmit = messenger.MayHaveRun, false
	return e
}
