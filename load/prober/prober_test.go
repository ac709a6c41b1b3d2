package prober

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const (
	fakeCPU   = 0.0001
	fakeBytes = 700.0
)

// startFake serves an entry that spends fakeCPU on each start and fakeBytes on
// each waiting task, and that refuses jobs of refuse tasks.
func startFake(t *testing.T, refuse int) Settings {
	t.Helper()
	var issued, started, waiting, cancelled atomic.Int64
	ids := func(n int) (list []string) {
		for range n {
			list = append(list, fmt.Sprintf("id~%d", issued.Add(1)))
		}
		return list
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/ids", func(w http.ResponseWriter, r *http.Request) {
		var in messenger.IDsRequest
		_ = messenger.Decode(r.Body, 1<<20, &in)
		messenger.Reply(w, http.StatusOK, messenger.IDsReply{IDs: ids(in.Count)})
	})
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		var sub messenger.Submission
		_ = messenger.Decode(r.Body, 1<<20, &sub)
		if len(sub.Tasks) == refuse {
			e := messenger.NewError(messenger.Overloaded, "")
			messenger.Reply(w, e.Status(), messenger.Refusal(sub.ID, e))
			return
		}
		if !sub.Wait {
			if sub.DeclaredRunMs == 1 && len(sub.Tasks) < 40 {
				waiting.Add(int64(len(sub.Tasks)))
			}
			messenger.Reply(w, http.StatusAccepted, messenger.Answer{ID: ids(1)[0], Outcome: messenger.InProgress})
			return
		}
		a := messenger.Answer{ID: sub.ID, Outcome: messenger.Complete, NextIDs: ids(sub.MoreIDs)}
		for i, raw := range sub.Tasks {
			var p struct {
				Value string `json:"value"`
			}
			_ = json.Unmarshal(raw, &p)
			out, _ := json.Marshal(map[string]string{"value": p.Value, "taskId": fmt.Sprintf("%s/%d", sub.ID, i)})
			a.Results = append(a.Results, out)
		}
		started.Add(int64(len(sub.Tasks)))
		messenger.Reply(w, http.StatusOK, a)
	})
	mux.HandleFunc("DELETE /v1/jobs/{id}", func(http.ResponseWriter, *http.Request) { cancelled.Add(1) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n := float64(started.Load())
		_, _ = fmt.Fprintf(w, "# TYPE godwitrelay_messages_total counter\ngodwitrelay_messages_total{kind=\"start\"} %v\n", n)
		_, _ = fmt.Fprintf(w, "# TYPE process_cpu_seconds_total counter\nprocess_cpu_seconds_total %v\n", n*fakeCPU)
		_, _ = fmt.Fprintf(w, "# TYPE process_resident_memory_bytes gauge\nprocess_resident_memory_bytes %v\n", 1e7+fakeBytes*float64(waiting.Load()))
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	return Settings{Entry: address, Metrics: address, Slots: 40}
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > math.Abs(want)/1000 {
		t.Errorf("%s is %v instead of %v", what, got, want)
	}
}

func run(t *testing.T, s Settings) Report {
	t.Helper()
	var f loader.Faults
	s.Check(&f)
	if err := f.Err(); err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against slopes that are not those of the process measured.
func TestSlopes(t *testing.T) {
	s := startFake(t, -1)
	s.Starts = &Starts{TasksPerS: []int64{200, 400, 600}, TasksPerJob: []int64{5}, StepMs: 200}
	s.Waiting = &Waiting{Tasks: []int64{100, 200, 300}, TasksPerJob: []int64{10}}
	r := run(t, s)
	if len(r.Series) != 2 {
		t.Fatalf("%d series", len(r.Series))
	}
	for _, p := range r.Series[0].Points {
		near(t, "CPU time per start", p.Y[cpuPerS]/p.X, fakeCPU)
	}
	waiting := r.Series[1]
	near(t, "memory per waiting task", waiting.Fits["residentBytes"].Slope, fakeBytes)
	near(t, "memory without waiting tasks", waiting.Fits["residentBytes"].Intercept, 1e7)
	if n := len(waiting.Points); n != 4 || waiting.Points[3].X != 300 {
		t.Errorf("points %+v", waiting.Points)
	}
}

// Guards against slopes over points where the entry did not keep up.
func TestSaturatedPointsAreLeftOut(t *testing.T) {
	s := startFake(t, 5)
	s.Starts = &Starts{TasksPerS: []int64{200, 400, 600}, TasksPerJob: []int64{5}, StepMs: 200}
	series := run(t, s).Series[0]
	if len(series.Points) != 1 || !series.Points[0].Saturated || series.Fits != nil {
		t.Errorf("series %+v", series)
	}
	good := Series{Of: startsPerS, Points: []Point{
		{X: 1000, Y: map[string]float64{cpuPerS: 0.3}}, {X: 2000, Y: map[string]float64{cpuPerS: 0.5}},
		{X: 3000, Y: map[string]float64{cpuPerS: 0.7}}, {X: 3100, Y: map[string]float64{cpuPerS: 5}, Saturated: true},
	}}
	good.fit()
	near(t, "starts per core and second", good.StartsPerCoreS, 5000)
	near(t, "CPU time without starts", good.Fits[cpuPerS].Intercept, 0.1)
}

// Guards against points of several processes that are not fitted together.
func TestMergeOfIdlePoints(t *testing.T) {
	var reports []Report
	for _, size := range []int64{10, 20, 40} {
		s := startFake(t, -1)
		s.Idle = &Idle{Dimension: "targets", Size: size, ForMs: 1}
		r := run(t, s)
		if r.Series[0].Fits != nil {
			t.Error("a line through one point")
		}
		r.Series[0].Points[0].Y["residentBytes"] = 1000 + 3*float64(size)
		reports = append(reports, r)
	}
	merged := Merge(reports)
	if len(merged.Series) != 1 {
		t.Fatalf("%d series", len(merged.Series))
	}
	line := merged.Series[0].Fits["residentBytes"]
	near(t, "slope", line.Slope, 3)
	near(t, "intercept", line.Intercept, 1000)
}

// Guards against faults that are reported one at a time.
func TestSettingsReportAllFaults(t *testing.T) {
	err := loader.Parse("test", []byte(`{"entry": "x", "metrics": "y", "starts": {"tasksPerS": [5, 4], "tasksPerJob": []}, "idle": {"dimension": ""}}`), &Settings{})
	if err == nil {
		t.Fatal("no fault was reported")
	}
	for _, field := range []string{"entry is", "metrics is", "starts.tasksPerS is", "starts.tasksPerS[1]", "starts.tasksPerJob is", "idle.dimension"} {
		if !strings.Contains(err.Error(), field) {
			t.Errorf("no fault of %s in: %v", field, err)
		}
	}
}
