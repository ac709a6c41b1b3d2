package driver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/load/meter"
)

// startFakeSystem serves a fake entry and a fake target, both answering
// immediately, on one loopback address.
func startFakeSystem(t *testing.T) (entry, target string) {
	t.Helper()
	var issued, tasks atomic.Int64
	mux := http.NewServeMux()
	value := func(raw json.RawMessage, id string) json.RawMessage {
		var p struct {
			Value string `json:"value"`
		}
		_ = json.Unmarshal(raw, &p)
		out, _ := json.Marshal(map[string]string{"value": p.Value, "taskId": id})
		return out
	}
	ids := func(n int) (list []string) {
		for range n {
			list = append(list, fmt.Sprintf("id~%d", issued.Add(1)))
		}
		return list
	}
	mux.HandleFunc("POST /v1/ids", func(w http.ResponseWriter, r *http.Request) {
		var in messenger.IDsRequest
		_ = messenger.DecodeJSON(r.Body, 1<<20, &in)
		messenger.WriteJSON(w, http.StatusOK, messenger.IDsReply{IDs: ids(in.Count)})
	})
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		var sub messenger.Submission
		_ = messenger.DecodeJSON(r.Body, 1<<20, &sub)
		a := messenger.Answer{ID: sub.ID, Outcome: messenger.Complete, NextIDs: ids(sub.MoreIDs)}
		for i, raw := range sub.Tasks {
			tasks.Add(1)
			a.Results = append(a.Results, value(raw, fmt.Sprintf("%s/%d", sub.ID, i)))
		}
		messenger.WriteJSON(w, http.StatusOK, a)
	})
	mux.HandleFunc("POST /v1/tasks", func(w http.ResponseWriter, r *http.Request) {
		var task messenger.TaskRequest
		_ = messenger.DecodeJSON(r.Body, 1<<20, &task)
		messenger.WriteJSON(w, http.StatusOK, messenger.TaskReply{TaskID: task.TaskID, Result: value(task.Payload, task.TaskID)})
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n := tasks.Load()
		_, _ = fmt.Fprintf(w, "# TYPE godwitrelay_messages_total counter\ngodwitrelay_messages_total{kind=\"start\"} %d\ngodwitrelay_messages_total{kind=\"slots\"} %d\n", n, n)
		_, _ = fmt.Fprintf(w, "# TYPE godwitrelay_wasted_messages_total counter\ngodwitrelay_wasted_messages_total{reason=\"busy\"} %d\n", n/2)
	})
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		messenger.WriteJSON(w, http.StatusOK, map[string]any{"totals": map[string]int64{"starts": tasks.Load()}, "targets": []any{}})
	})
	mux.HandleFunc("GET /", func(http.ResponseWriter, *http.Request) {})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	return address, address
}

// TestRunInBothModes guards against runs that lose jobs, tasks or messages over
// real connections, and against modes that run different workloads.
func TestRunInBothModes(t *testing.T) {
	entry, target := startFakeSystem(t)
	s := Settings{
		Entries: []string{entry}, Targets: []string{target}, Modes: []string{Direct, Entries}, Rounds: 2,
		Metrics: []string{entry}, TargetControls: []string{target}, HistoryFile: filepath.Join(t.TempDir(), "history"),
	}
	s.Seed, s.DurationMs, s.TimeScale, s.LoadPercent, s.Slots = 4, 300, 0.01, 20, 40
	var f loader.Problems
	s.Check(&f)
	if err := f.Err(); err != nil {
		t.Fatal(err)
	}
	report, err := Run(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Runs) != 4 || report.Added == nil || report.Added.Rounds != 2 {
		t.Fatalf("%d runs, added %+v", len(report.Runs), report.Added)
	}
	for i, run := range report.Runs {
		if run.Figures.Violations != 0 || run.Figures.FinishedTasks == 0 {
			t.Errorf("run %d: %+v", i, run.Figures)
		}
		if other := report.Runs[i^1]; other.Figures.FinishedTasks != run.Figures.FinishedTasks {
			t.Errorf("modes finished %d and %d tasks of the same workload", other.Figures.FinishedTasks, run.Figures.FinishedTasks)
		}
		if run.Mode != Entries {
			continue
		}
		n := float64(run.Figures.FinishedTasks)
		if m := run.Messages; m.AllMessages != 2*n || m.MessagesPerTask != 2 || m.Targets["starts"] != n || len(m.Missing) != 0 {
			t.Errorf("messages of %v tasks: %+v", n, m)
		}
	}
}

// TestSettingsReportAllFaults guards against reporting only the first invalid
// setting, and against address ranges that are expanded incorrectly.
func TestSettingsReportAllFaults(t *testing.T) {
	var s Settings
	err := loader.Parse("test", []byte(`{
		// Every field below is invalid.
		"mix": "other", "entries": ["localhost:1", "127.0.0.1:70+x"], "modes": ["direct", "sideways"],
		"loadPercent": -1, "warmupMs": -1, "resubmitPercent": 101, "cancellations": {"everyMs": 5}, "bursts": {"everyMs": 5},
	}`), &s)
	if err == nil {
		t.Fatal("no error was reported")
	}
	for _, field := range []string{"mix is", "entries[0]", "entries[1]", "modes[1]", "targets", "loadPercent", "warmupMs", "resubmitPercent", "cancellations", "bursts"} {
		if !strings.Contains(err.Error(), field) {
			t.Errorf("error does not report %s: %v", field, err)
		}
	}
	var f loader.Problems
	if got := ExpandAddresses(&f, "x", []string{"127.0.0.1:7000+2", "127.0.0.1:9000"}); strings.Join(got, " ") != "127.0.0.1:7000 127.0.0.1:7001 127.0.0.1:9000" || f.Err() != nil {
		t.Errorf("expanded to %v, %v", got, f.Err())
	}
}

// TestComputeAddedLatency guards against added latency that is not computed per
// round: it must be the median, over the rounds, of the difference between the
// modes entries and direct in the same round.
func TestComputeAddedLatency(t *testing.T) {
	run := func(mode string, round int, ms float64) RunReport {
		q := meter.Quantiles{P50: ms, P99: 2 * ms}
		return RunReport{Mode: mode, Round: round, Figures: meter.Figures{
			Priorities: map[messenger.Priority]meter.PriorityFigures{messenger.Urgent: {AddedMs: q, OverIdeal: q}},
		}}
	}
	latency := computeAddedLatency([]RunReport{
		run(Direct, 0, 1), run(Entries, 0, 3), run(Direct, 1, 1), run(Entries, 1, 11), run(Direct, 2, 2), run(Entries, 2, 3),
	})
	if q := latency.MedianMs[messenger.Urgent]; q.P50 != 2 || q.P99 != 4 {
		t.Errorf("added %+v", latency)
	}
	if r := latency.OverIdealRatio[messenger.Urgent]["p50"]; r != 3 {
		t.Errorf("ratio %v", r)
	}
	if computeAddedLatency([]RunReport{run(Entries, 0, 1)}) != nil {
		t.Error("added latency was computed without a baseline")
	}
}
