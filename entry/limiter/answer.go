package limiter

import "net/http"

// AnswerWriter closes the connection after an answer that starts before the request body
// was read to its end: net/http would otherwise wait for the rest of the body before it
// sends the answer. Set the exported fields before use.
type AnswerWriter struct {
	http.ResponseWriter
	// Body is the body of the request.
	Body    *Body
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *AnswerWriter) WriteHeader(status int) {
	w.start()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *AnswerWriter) Write(p []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(p)
}

// Unwrap supports [http.ResponseController].
func (w *AnswerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *AnswerWriter) start() {
	if w.started {
		return
	}
	w.started = true
	if !w.Body.Complete() {
		w.Header().Set("Connection", "close")
	}
}
