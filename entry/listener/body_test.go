package listener

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// TestReadingLimit guards against slow callers with large bodies that together
// exhaust the process's memory, and against small bodies being refused because
// of them.
func TestReadingLimit(t *testing.T) {
	l := &Listener{MaxBufferedBodyBytes: 1 << 20}
	const otherBytes = 1<<20 - 100_000
	l.callerBodyBytes.Add(otherBytes)
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
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(strings.Repeat("x", c.size)))
			r.ContentLength = -1
			body, release, e := l.readBody(r, c.limit, &l.callerBodyBytes)
			switch {
			case c.kind == "" && (e != nil || len(body) != c.size):
				t.Errorf("got %d bytes and %v", len(body), e)
			case c.kind != "" && (e == nil || e.Kind != c.kind):
				t.Errorf("got %v, want %s", e, c.kind)
			}
			release()
			if n := l.callerBodyBytes.Load(); n != otherBytes {
				t.Errorf("%d bytes are still counted after release", n-otherBytes)
			}
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
