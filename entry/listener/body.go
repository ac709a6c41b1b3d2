package listener

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/limiter"
)

// largeBodyBytes is the size from which bodies are decoded one at a time, which takes
// several times their size.
const largeBodyBytes = 64 << 10

// lockLarge makes large bodies wait for each other until unlock is called.
func lockLarge(mu *sync.Mutex, body []byte) (unlock func()) {
	if len(body) <= largeBodyBytes {
		return func() {}
	}
	mu.Lock()
	return mu.Unlock
}

// readBody reads a body of at most limit bytes within the budget of its server. The
// buffer grows with the bytes received, not with the announced length. The caller must
// call release when it no longer needs the body.
func (l *Listener) readBody(r *http.Request, limit int64) (body []byte, release func(), e *messenger.Error) {
	release = func() {}
	if counted, ok := r.Body.(*limiter.Body); ok {
		release = counted.Release
	}
	if r.ContentLength > limit {
		return nil, release, tooLarge(limit)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case int64(len(body)) > limit:
		return nil, release, tooLarge(limit)
	case errors.Is(err, limiter.ErrNoCredit):
		return nil, release, outcomeUnknown(messenger.NewError(messenger.Overloaded, err.Error()).WithRetryAfter(readLimitRetryMs))
	case err != nil:
		return nil, release, l.incompleteBody(r, len(body), err)
	}
	return body, release, nil
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
	if errors.Is(err, limiter.ErrTooSlow) {
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
