package relayer_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/relayer"
)

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestLogWriter guards against a log that blocks its writers or grows without
// bound while nothing reads it, and against dropped lines that are not
// reported.
func TestLogWriter(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := relayer.NewLogWriter(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 10_000 {
			if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks while nothing reads the log")
	}
	close(out.unblock)
	w.Flush()
	if _, err := fmt.Fprintln(w, "last"); err != nil {
		t.Fatal(err)
	}
	w.Flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.text.String()
	if n := strings.Count(text, "\nline "); n > 4000 {
		t.Errorf("%d lines were queued", n)
	}
	if !strings.Contains(text, "lines were dropped") || !strings.Contains(text, "last\n") {
		t.Error("the number of dropped lines, or the last line, is missing")
	}
}
