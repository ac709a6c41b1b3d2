package main

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// refusalCounts returns the refusal counters by kind.
func refusalCounts(t *testing.T, e liveEntry) map[messenger.ErrorKind]int {
	t.Helper()
	w := httptest.NewRecorder()
	e.metrics.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", http.NoBody))
	counts := map[messenger.ErrorKind]int{}
	for lines := bufio.NewScanner(w.Body); lines.Scan(); {
		rest, ok := strings.CutPrefix(lines.Text(), `godwitrelay_refusals_total{kind="`)
		if !ok {
			continue
		}
		kind, value, _ := strings.Cut(rest, `"} `)
		var n int
		if _, err := fmt.Sscan(value, &n); err != nil {
			t.Fatal(err)
		}
		counts[messenger.ErrorKind(kind)] = n
	}
	return counts
}

func sum(counts map[messenger.ErrorKind]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
