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

// startFakes serves a fake entry and target on loopback that answer at once.
func startFakes(t *testing.T) (entry, target string) {
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
		_ = messenger.Decode(r.Body, 1<<20, &in)
		messenger.Reply(w, http.StatusOK, messenger.IDsReply{IDs: ids(in.Count)})
	})
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		var sub messenger.Submission
		_ = messenger.Decode(r.Body, 1<<20, &sub)
		a := messenger.Answer{ID: sub.ID, Outcome: messenger.Complete, NextIDs: ids(sub.MoreIDs)}
		for i, raw := range sub.Tasks {
			tasks.Add(1)
			a.Results = append(a.Results, value(raw, fmt.Sprintf("%s/%d", sub.ID, i)))
		}
		messenger.Reply(w, http.StatusOK, a)
	})
	mux.HandleFunc("POST /v1/tasks", func(w http.ResponseWriter, r *http.Request) {
		var task messenger.TaskRequest
		_ = messenger.Decode(r.Body, 1<<20, &task)
		messenger.Reply(w, http.StatusOK, messenger.TaskReply{TaskID: task.TaskID, Result: value(task.Payload, task.TaskID)})
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n := tasks.Load()
		_, _ = fmt.Fprintf(w, "# TYPE godwitrelay_messages_total counter\ngodwitrelay_messages_total{kind=\"start\"} %d\ngodwitrelay_messages_total{kind=\"slots\"} %d\n", n, n)
		_, _ = fmt.Fprintf(w, "# TYPE godwitrelay_wasted_messages_total counter\ngodwitrelay_wasted_messages_total{reason=\"busy\"} %d\n", n/2)
	})
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		messenger.Reply(w, http.StatusOK, map[string]any{"totals": map[string]int64{"starts": tasks.Load()}, "targets": []any{}})
	})
	mux.HandleFunc("GET /", func(http.ResponseWriter, *http.Request) {})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	return address, address
}

// Guards against runs that lose jobs, tasks or messages on real connections,
// and against a comparison of modes with different workloads.
func TestRunInBothModes(t *testing.T) {
	entry, target := startFakes(t)
	s := Settings{
		Entries: []string{entry}, Targets: []string{target}, Modes: []string{Direct, Entries}, Rounds: 2,
		Metrics: []string{entry}, TargetControls: []string{target}, HistoryFile: filepath.Join(t.TempDir(), "history"),
	}
	s.Seed, s.DurationMs, s.TimeScale, s.LoadPercent, s.Slots = 4, 300, 0.01, 20, 40
	var f loader.Faults
	s.Check(&f)
	if err := f.Err(); err != nil {
		t.Fatal(err)
	}
	all, err := Run(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	if len(all.Runs) != 4 || all.Added == nil || all.Added.Rounds != 2 {
		t.Fatalf("%d runs, added %+v", len(all.Runs), all.Added)
	}
	for i, run := range all.Runs {
		if run.Figures.Violations != 0 || run.Figures.FinishedTasks == 0 {
			t.Errorf("run %d: %+v", i, run.Figures)
		}
		if twin := all.Runs[i^1]; twin.Figures.FinishedTasks != run.Figures.FinishedTasks {
			t.Errorf("modes finished %d and %d tasks of one workload", twin.Figures.FinishedTasks, run.Figures.FinishedTasks)
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

// Guards against settings faults that are reported one at a time, and against
// address ranges that are read wrong.
func TestSettingsReportAllFaults(t *testing.T) {
	var s Settings
	err := loader.Parse("test", []byte(`{
		// Every field below is wrong.
		"mix": "other", "entries": ["localhost:1", "127.0.0.1:70+x"], "modes": ["direct", "sideways"],
		"loadPercent": -1, "warmupMs": -1, "resubmitPercent": 101, "cancellations": {"everyMs": 5}, "bursts": {"everyMs": 5},
	}`), &s)
	if err == nil {
		t.Fatal("no fault was reported")
	}
	for _, field := range []string{"mix is", "entries[0]", "entries[1]", "modes[1]", "targets", "loadPercent", "warmupMs", "resubmitPercent", "cancellations", "bursts"} {
		if !strings.Contains(err.Error(), field) {
			t.Errorf("no fault of %s in: %v", field, err)
		}
	}
	var f loader.Faults
	if got := Expand(&f, "x", []string{"127.0.0.1:7000+2", "127.0.0.1:9000"}); strings.Join(got, " ") != "127.0.0.1:7000 127.0.0.1:7001 127.0.0.1:9000" || f.Err() != nil {
		t.Errorf("expanded to %v, %v", got, f.Err())
	}
}

// Guards against an added time that is not the median of the rounds'
// differences.
func TestAdded(t *testing.T) {
	run := func(mode string, round int, ms float64) Report {
		q := meter.Quantiles{P50: ms, P99: 2 * ms}
		return Report{Mode: mode, Round: round, Figures: meter.Figures{
			Priorities: map[messenger.Priority]meter.Class{messenger.Urgent: {AddedMs: q, OverIdeal: q}},
		}}
	}
	a := added([]Report{
		run(Direct, 0, 1), run(Entries, 0, 3), run(Direct, 1, 1), run(Entries, 1, 11), run(Direct, 2, 2), run(Entries, 2, 3),
	})
	if q := a.Ms[messenger.Urgent]; q.P50 != 2 || q.P99 != 4 {
		t.Errorf("added %+v", a)
	}
	if r := a.Ratio[messenger.Urgent]["p50"]; r != 3 {
		t.Errorf("ratio %v", r)
	}
	if added([]Report{run(Entries, 0, 1)}) != nil {
		t.Error("an added time without a reference")
	}
}
