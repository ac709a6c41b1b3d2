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
	fakeCPUPerStart  = 0.0001
	fakeBytesPerTask = 700.0
)

// startFakeEntry serves an entry whose metrics report fakeCPUPerStart for each
// start and fakeBytesPerTask for each waiting task. It refuses jobs of
// refusedSize tasks.
func startFakeEntry(t *testing.T, refusedSize int) Settings {
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
		_ = messenger.DecodeJSON(r.Body, 1<<20, &in)
		messenger.WriteJSON(w, http.StatusOK, messenger.IDsReply{IDs: ids(in.Count)})
	})
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		var sub messenger.Submission
		_ = messenger.DecodeJSON(r.Body, 1<<20, &sub)
		if len(sub.Tasks) == refusedSize {
			e := messenger.NewError(messenger.Overloaded, "")
			messenger.WriteJSON(w, e.Status(), messenger.NewRefusal(sub.ID, e))
			return
		}
		if !sub.Wait {
			if sub.DeclaredRunMs == 1 && len(sub.Tasks) < 40 {
				waiting.Add(int64(len(sub.Tasks)))
			}
			messenger.WriteJSON(w, http.StatusAccepted, messenger.Answer{ID: ids(1)[0], Outcome: messenger.InProgress})
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
		messenger.WriteJSON(w, http.StatusOK, a)
	})
	mux.HandleFunc("DELETE /v1/jobs/{id}", func(http.ResponseWriter, *http.Request) { cancelled.Add(1) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n := float64(started.Load())
		_, _ = fmt.Fprintf(w, "# TYPE godwitrelay_messages_total counter\ngodwitrelay_messages_total{kind=\"start\"} %v\n", n)
		_, _ = fmt.Fprintf(w, "# TYPE process_cpu_seconds_total counter\nprocess_cpu_seconds_total %v\n", n*fakeCPUPerStart)
		_, _ = fmt.Fprintf(w, "# TYPE process_resident_memory_bytes gauge\nprocess_resident_memory_bytes %v\n", 1e7+fakeBytesPerTask*float64(waiting.Load()))
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	return Settings{Entry: address, Metrics: address, Slots: 40}
}

func checkNear(t *testing.T, name string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > math.Abs(want)/1000 {
		t.Errorf("%s is %v, expected %v", name, got, want)
	}
}

func runMeasurements(t *testing.T, s Settings) Report {
	t.Helper()
	var f loader.Problems
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

// TestFittedSlopes guards against fits that do not match the resource usage of
// the measured process.
func TestFittedSlopes(t *testing.T) {
	s := startFakeEntry(t, -1)
	s.Starts = &StartsSettings{TasksPerS: []int64{200, 400, 600}, TasksPerJob: []int64{5}, StepMs: 200}
	s.Waiting = &WaitingSettings{Tasks: []int64{100, 200, 300}, TasksPerJob: []int64{10}}
	r := runMeasurements(t, s)
	if len(r.Series) != 2 {
		t.Fatalf("%d series", len(r.Series))
	}
	for _, p := range r.Series[0].Points {
		checkNear(t, "CPU time per start", p.Y[cpuPerS]/p.X, fakeCPUPerStart)
	}
	waiting := r.Series[1]
	checkNear(t, "memory per waiting task", waiting.Fits["residentBytes"].Slope, fakeBytesPerTask)
	checkNear(t, "memory without waiting tasks", waiting.Fits["residentBytes"].Intercept, 1e7)
	if n := len(waiting.Points); n != 4 || waiting.Points[3].X != 300 {
		t.Errorf("points %+v", waiting.Points)
	}
}

// TestSaturatedPointsAreExcluded guards against fits that include points at
// which the entry did not keep up with the load.
func TestSaturatedPointsAreExcluded(t *testing.T) {
	s := startFakeEntry(t, 5)
	s.Starts = &StartsSettings{TasksPerS: []int64{200, 400, 600}, TasksPerJob: []int64{5}, StepMs: 200}
	series := runMeasurements(t, s).Series[0]
	if len(series.Points) != 1 || !series.Points[0].Saturated || series.Fits != nil {
		t.Errorf("series %+v", series)
	}
	good := Series{Variable: startsPerS, Points: []Point{
		{X: 1000, Y: map[string]float64{cpuPerS: 0.3}}, {X: 2000, Y: map[string]float64{cpuPerS: 0.5}},
		{X: 3000, Y: map[string]float64{cpuPerS: 0.7}}, {X: 3100, Y: map[string]float64{cpuPerS: 5}, Saturated: true},
	}}
	good.fit()
	checkNear(t, "starts per core second", good.StartsPerCoreS, 5000)
	checkNear(t, "CPU time without starts", good.Fits[cpuPerS].Intercept, 0.1)
}

// TestMergeOfIdlePoints guards against a merge that does not fit the points of
// all processes together.
func TestMergeOfIdlePoints(t *testing.T) {
	var reports []Report
	for _, size := range []int64{10, 20, 40} {
		s := startFakeEntry(t, -1)
		s.Idle = &IdleSettings{Dimension: "targets", Size: size, ForMs: 1}
		r := runMeasurements(t, s)
		if r.Series[0].Fits != nil {
			t.Error("a line was fitted to a single point")
		}
		r.Series[0].Points[0].Y["residentBytes"] = 1000 + 3*float64(size)
		reports = append(reports, r)
	}
	merged := Merge(reports)
	if len(merged.Series) != 1 {
		t.Fatalf("%d series", len(merged.Series))
	}
	line := merged.Series[0].Fits["residentBytes"]
	checkNear(t, "slope", line.Slope, 3)
	checkNear(t, "intercept", line.Intercept, 1000)
}

// TestSettingsReportAllFaults guards against reporting only the first invalid
// setting.
func TestSettingsReportAllFaults(t *testing.T) {
	err := loader.Parse("test", []byte(`{"entry": "x", "metrics": "y", "starts": {"tasksPerS": [5, 4], "tasksPerJob": []}, "idle": {"dimension": ""}}`), &Settings{})
	if err == nil {
		t.Fatal("no error was reported")
	}
	for _, field := range []string{"entry is", "metrics is", "starts.tasksPerS is", "starts.tasksPerS[1]", "starts.tasksPerJob is", "idle.dimension"} {
		if !strings.Contains(err.Error(), field) {
			t.Errorf("error does not report %s: %v", field, err)
		}
	}
}
