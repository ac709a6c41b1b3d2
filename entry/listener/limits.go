package listener

import (
	"net/http"
	"path"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// The ranks of requests that wait for a result.
const (
	submissionRank = iota
	// fetchRank is after that of submissions: a fetch repeats, and its job goes on without
	// it.
	fetchRank
)

// takePlace takes a place for a request that waits for a result. If there is none, it
// refuses the request and returns false. Call release afterwards.
func (l *Listener) takePlace(w http.ResponseWriter, id string, rank int, forwarded bool) (release func(), ok bool) {
	places := &l.CallerPlaces
	if forwarded {
		places = &l.PeerPlaces
	}
	if places.Take(rank) {
		return func() { places.End(time.Now()) }, true
	}
	retryAfter := places.RetryAfter(time.Now(), id, rank)
	l.refuse(w, id, outcomeUnknown(messenger.NewError(messenger.Overloaded, "too many requests of this entry wait for their results").WithRetryAfter(retryAfter.Milliseconds())))
	return nil, false
}

// withCanonicalPath refuses paths that are not in canonical form, which the mux would
// redirect.
func (l *Listener) withCanonicalPath(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "" || r.URL.Path[0] != '/' || path.Clean(r.URL.Path) != r.URL.Path {
			l.notFound(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}
