package dispatcher

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// slope returns the slope of the least-squares line through (x, y).
func slope(x, y []float64) float64 {
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	n := float64(len(x))
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// newMemoryBenchEntry returns an entry whose limits and deadlines are not reached
// in the memory benchmarks.
func newMemoryBenchEntry(b *testing.B) *entryUnderTest {
	e := &entryUnderTest{t: &testing.T{}, now: testStart}
	cfg := testSettings()
	cfg.MaxTasks, cfg.MaxHeldBytes, cfg.AnswerBytes = 1300, 1<<40, 1<<40
	cfg.MaxDeadline, cfg.AnswerKeep, cfg.IDKeep = 100_000*time.Hour, time.Hour, time.Hour
	cfg.Broker.MaxWaitingTasks = 10_000_000
	e.s = New(testStart, cfg)
	e.makeReady()
	if e.t.Failed() {
		b.Fatal("the entry is not ready")
	}
	return e
}

// decodedSubmission returns a submission that shares no memory with others. A
// decoded request has its own copies of all strings; shared ones would make the
// measured heap too small.
func (e *entryUnderTest) decodedSubmission(tasks int) messenger.Submission {
	sub := messenger.Submission{
		ID: e.newID(), Team: strings.Clone("restaurants"), Service: strings.Clone("orders"), RequestType: strings.Clone("stock-check"),
		DeclaredRunMs: 1, DeadlineMs: 300_000_000_000, Wait: true, Tasks: make([]json.RawMessage, tasks),
	}
	for i := range sub.Tasks {
		sub.Tasks[i] = json.RawMessage(fmt.Sprintf(`{"runMs":%d}`, i%10))
	}
	return sub
}

// BenchmarkWaitingMemory reports the heap of the reducer, including its broker,
// per waiting task with a payload of 11 bytes. This is the slope of the heap
// bytes over the number of waiting tasks at three sizes, which leaves out the
// fixed cost.
func BenchmarkWaitingMemory(b *testing.B) {
	for _, tasks := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				e := newMemoryBenchEntry(b)
				var x, y []float64
				for total := 0; total < 90_000; {
					for range 30_000 / tasks {
						e.submit(e.decodedSubmission(tasks))
						total += tasks
					}
					x, y = append(x, float64(total)), append(y, heapBytes())
				}
				if n := e.s.status().Brokered[0].Waiting; n < 89_000 {
					b.Fatalf("only %d tasks are waiting", n)
				}
				b.ReportMetric(slope(x, y), "B/waiting-task")
				b.ReportMetric(float64(e.s.jobs.HeldBytes)/x[len(x)-1], "counted-B/waiting-task")
				runtime.KeepAlive(e)
			}
		})
	}
}

// BenchmarkAnswerMemory reports the heap per kept answer with results of 11
// bytes. This is the slope of the heap bytes over the number of finished jobs at
// three sizes, which leaves out the fixed cost.
func BenchmarkAnswerMemory(b *testing.B) {
	for _, tasks := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				e := newMemoryBenchEntry(b)
				var x, y []float64
				for total := 0; total < 30_000/tasks*3; {
					for range 30_000 / tasks {
						e.completeJob(tasks)
						total++
					}
					x, y = append(x, float64(total)), append(y, heapBytes())
				}
				b.ReportMetric(slope(x, y), "B/answer")
				b.ReportMetric(float64(e.s.jobs.HeldBytes)/x[len(x)-1], "counted-B/answer")
				runtime.KeepAlive(e)
			}
		})
	}
}

// completeJob submits a job and completes its tasks as they start.
func (e *entryUnderTest) completeJob(tasks int) {
	_, cmds := e.submit(e.decodedSubmission(tasks))
	for starts := commandsOf[StartTask](cmds); len(starts) > 0; starts = starts[1:] {
		reply := successReply(string(starts[0].Request.Payload))
		starts = append(starts, commandsOf[StartTask](e.endTask(starts[0], reply, nil))...)
	}
}
