package listener

import (
	"errors"
	"io"
	"net/http"
	"path"
	"time"
)

// guard bounds the time that one request can hold its connection, and refuses
// paths that are not in their shortest form, which the mux would redirect.
func (l *Listener) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		bounded := &boundWriter{ResponseWriter: w, control: control, limit: l.AnswerWrite}
		// Replaces the limit that the last answer on this connection left. Only
		// an interim 100 Continue is written before the answer sets its own.
		_ = control.SetWriteDeadline(time.Now().Add(l.BodyRead))
		if r.ContentLength != 0 {
			_ = control.SetReadDeadline(time.Now().Add(l.BodyRead))
			bounded.body = &boundBody{ReadCloser: r.Body, control: control}
			r = r.WithContext(r.Context())
			r.Body = bounded.body
		}
		if r.URL.Path == "" || r.URL.Path[0] != '/' || path.Clean(r.URL.Path) != r.URL.Path {
			l.notFound(bounded, r)
			return
		}
		next.ServeHTTP(bounded, r)
	})
}

// boundBody is a request body with a time limit, which is lifted when the body
// has been read to its end: a read deadline that passes while a job runs would
// cancel the request's context.
type boundBody struct {
	io.ReadCloser
	control *http.ResponseController
	whole   bool
}

// Read reads the next part of the body.
func (b *boundBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.whole {
		b.whole = true
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// boundWriter limits the time in which the answer must be taken. It closes the
// connection after an answer to a request whose body was not read to its end:
// net/http would wait for the rest before it sends the answer.
type boundWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	limit   time.Duration
	body    *boundBody
	begun   bool
}

// WriteHeader begins the answer.
func (b *boundWriter) WriteHeader(status int) {
	b.begin()
	b.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer.
func (b *boundWriter) Write(p []byte) (int, error) {
	b.begin()
	return b.ResponseWriter.Write(p)
}

// Unwrap is for http.ResponseController.
func (b *boundWriter) Unwrap() http.ResponseWriter { return b.ResponseWriter }

func (b *boundWriter) begin() {
	if b.begun {
		return
	}
	b.begun = true
	if b.body != nil && !b.body.whole {
		b.Header().Set("Connection", "close")
	}
	_ = b.control.SetWriteDeadline(time.Now().Add(b.limit))
}
