package listener

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/limiter"
)

// TestReadingLimit guards against slow callers with large bodies that together
// exhaust the process's memory, and against small bodies being refused because
// of them.
func TestReadingLimit(t *testing.T) {
	const uncountedBodyBytes = 64 << 10
	l, budget := &Listener{}, limiter.NewBudget(1<<20)
	budget.Free, budget.Copies = uncountedBodyBytes, 1
	open := func(size int) *http.Request {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
		r.ContentLength = -1
		r.Body = limiter.NewBody(time.Now(), httptest.NewRecorder(), r, budget)
		return r
	}
	// Leaves less than 100,000 bytes of the limit.
	const otherBytes = 1<<20 - 100_000
	if _, _, e := l.readBody(open(otherBytes+uncountedBodyBytes), 2<<20); e != nil {
		t.Fatal(e)
	}
	cases := []struct {
		name  string
		size  int
		limit int64
		kind  messenger.ErrorKind
	}{
		{"small", 60_000, 1 << 20, ""},
		{"within the limit", 90_000, 90_000, ""},
		{"over the rest of the limit", 200_000, 1 << 20, messenger.Overloaded},
		{"over the body's own limit", 70_000, 69_999, messenger.TooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			body, release, e := l.readBody(open(c.size), c.limit)
			switch {
			case c.kind == "" && (e != nil || len(body) != c.size):
				t.Errorf("got %d bytes and %v", len(body), e)
			case c.kind != "" && (e == nil || e.Kind != c.kind):
				t.Errorf("got %v, want %s", e, c.kind)
			}
			release()
			// A body that needs nearly all of the rest.
			if _, release, e = l.readBody(open(uncountedBodyBytes+80_000), 1<<20); e != nil {
				t.Errorf("bytes are still counted after release: %v", e)
			}
			release()
		})
	}
}

// TestDigestOfForwardedSubmission guards against an idConflict for a repeated
// submission that arrives through another entry, whose encoder escapes
// characters that the caller did not.
func TestDigestOfForwardedSubmission(t *testing.T) {
	sub := messenger.Submission{Team: "a", Tasks: []json.RawMessage{json.RawMessage("{ \"v\": \"<&>\u2028\xff\" }"), json.RawMessage("null")}}
	data, err := json.Marshal(sub)
	if err != nil {
		t.Fatal(err)
	}
	var forwarded messenger.Submission
	if e := messenger.DecodeJSONBytes(data, &forwarded); e != nil {
		t.Fatal(e)
	}
	if SubmissionDigest(sub) != SubmissionDigest(forwarded) {
		t.Errorf("the digest of %s differs from that of %s", sub.Tasks[0], forwarded.Tasks[0])
	}
}
