package comparer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// fakeTarget answers tasks immediately and records the requests to its control
// endpoint.
type fakeTarget struct {
	mu       sync.Mutex
	controls []string
}

func (t *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/control" {
		body, _ := io.ReadAll(r.Body)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.controls = append(t.controls, string(body))
		return
	}
	var task messenger.TaskRequest
	if messenger.DecodeJSON(r.Body, 1<<20, &task) != nil {
		return
	}
	var p struct {
		Value string `json:"value"`
	}
	_ = json.Unmarshal(task.Payload, &p)
	out, _ := json.Marshal(map[string]string{"value": p.Value, "taskId": task.TaskID})
	messenger.WriteJSON(w, http.StatusOK, messenger.TaskReply{TaskID: task.TaskID, Result: out})
}

func parseBench(t *testing.T, text string) (Bench, error) {
	t.Helper()
	var b Bench
	err := loader.Parse("test", []byte(text), &b)
	return b, err
}

// TestRunAndSummarize guards against variants with different seeds, conditions
// that are not ended, and results that are missing from the summary.
func TestRunAndSummarize(t *testing.T) {
	target := &fakeTarget{}
	server := httptest.NewServer(target)
	defer server.Close()
	address, out := server.Listener.Addr().String(), t.TempDir()
	b, err := parseBench(t, fmt.Sprintf(`{
		"out": %q,
		"run": {"seed": 10, "targets": [%q], "durationMs": 100, "timeScale": 0.01},
		"variants": [{"name": "a", "mode": "direct"}, {"name": "b", "mode": "direct", "settings": {"routing": "random"}}],
		"conditions": [
			{"name": "none"},
			{"name": "broken", "loadPercent": 200, "resubmitPercent": 5, "cancellations": {"everyMs": 20, "windowMs": 5, "percent": 50},
			 "before": [{"address": %q, "body": {"step": 1}}],
			 "during": [{"atMs": 1, "address": %q, "body": {"step": 2}}],
			 "after": [{"address": %q, "body": {"step": 3}}]},
		],
	}`, out, address, address, address, address))
	if err != nil {
		t.Fatal(err)
	}
	if n, err := Run(t.Context(), b, Selection{Round: -1}); n != 0 || err != nil {
		t.Fatalf("%d violations, %v", n, err)
	}
	want := strings.Repeat(`{"step":1}{"step":2}{"step":3}`, 6)
	if got := strings.ReplaceAll(strings.Join(target.controls, ""), " ", ""); got != want {
		t.Errorf("control requests %s", got)
	}
	s, err := Summarize(b)
	if err != nil {
		t.Fatal(err)
	}
	read, err := ReadSummary(filepath.Join(out, SummaryFile))
	if err != nil || len(s.Rows) != 4 || len(read.Rows) != 4 {
		t.Fatalf("%d rows, %d in the file, %v", len(s.Rows), len(read.Rows), err)
	}
	for _, row := range s.Rows {
		if fmt.Sprint(row.Seeds) != "[10 11 12]" {
			t.Errorf("seeds %v, expected 10 to 12", row.Seeds)
		}
		f := row.Figures["urgent.overIdeal.p50"]
		if f.Rounds != 3 || f.Min > f.Median || f.Median > f.Max {
			t.Errorf("figure summary %+v", f)
		}
	}
}

// TestSelection guards against single runs that overwrite each other's results
// or execute more than the selected run.
func TestSelection(t *testing.T) {
	server := httptest.NewServer(&fakeTarget{})
	defer server.Close()
	b, err := parseBench(t, fmt.Sprintf(`{
		"out": %q, "run": {"targets": [%q], "durationMs": 50, "timeScale": 0.01},
		"variants": [{"name": "a", "mode": "direct"}, {"name": "b", "mode": "direct"}],
	}`, t.TempDir(), server.Listener.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	for _, selection := range []Selection{{Variant: "b", Round: 1}, {Variant: "a", Condition: "none", Round: 2}} {
		if _, err := Run(t.Context(), b, selection); err != nil {
			t.Fatal(err)
		}
	}
	var names []string
	files, err := os.ReadDir(b.Out)
	for _, f := range files {
		names = append(names, f.Name())
	}
	if got := strings.Join(names, " "); got != "run-none-a-2.json run-none-b-1.json" || err != nil {
		t.Errorf("files %s, %v", got, err)
	}
}

// TestBenchReportsAllFaults guards against reporting only the first invalid
// setting of a benchmark file.
func TestBenchReportsAllFaults(t *testing.T) {
	_, err := parseBench(t, `{
		"rounds": 2,
		"run": {"mix": "other"},
		"variants": [{"name": "a"}, {"name": "a", "mode": "sideways"}],
		"conditions": [{"name": "", "loadPercent": -1, "bursts": {"everyMs": 1}, "resubmitPercent": 200, "before": [{"address": "x"}]}],
	}`)
	if err == nil {
		t.Fatal("no error was reported")
	}
	for _, field := range []string{"rounds", "out", "variants[0] with run", "mix is", "variants[1].name", "variants[1].mode", "conditions[0].name", "loadPercent is -1", "bursts is", "resubmitPercent is 200", "before[0].address"} {
		if !strings.Contains(err.Error(), field) {
			t.Errorf("error does not report %s: %v", field, err)
		}
	}
}
