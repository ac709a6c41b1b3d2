package dispatcher

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// BenchmarkJob measures the reducer's time per task for a whole job:
// submission, grants from the entry's own broker, starts and results. At
// 10,000 starts per second and core, 100 us per task are available for
// everything.
func BenchmarkJob(b *testing.B) {
	for _, tasks := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			s, now := benchState()
			payloads := make([]json.RawMessage, tasks)
			for i := range payloads {
				payloads[i] = json.RawMessage(`{"runMs":1}`)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := 0; n < b.N; n += tasks {
				now = now.Add(time.Millisecond)
				runJob(s, now, payloads)
			}
		})
	}
}

func runJob(s *State, now time.Time, payloads []json.RawMessage) {
	sub := messenger.Submission{Team: "restaurants", Service: "orders", RequestType: "stock-check", Wait: true, Tasks: payloads}
	cmds := append([]Cmd(nil), s.Update(now, Submit{Waiter: 1, Submission: sub, Bytes: 100})...)
	for len(cmds) > 0 {
		var next []Cmd
		for _, st := range commandsOf[StartTask](cmds) {
			reply := messenger.TaskReply{TaskID: st.Request.TaskID, Result: st.Request.Payload, RunMs: 1}
			reply.Status = messenger.TargetStatus{Service: "orders", Slots: 8, MemoryMB: 1000}
			next = append(next, s.Update(now, TaskEnded{JobID: st.JobID, Task: st.Task, Grant: st.Grant, Reply: reply})...)
		}
		cmds = next
	}
}

func benchState() (*State, time.Time) {
	e := &entryUnderTest{t: &testing.T{}, now: testStart}
	cfg := testSettings()
	cfg.MaxTasks, cfg.AnswerKeep = 1300, time.Second
	e.s = New(testStart, cfg)
	e.makeReady()
	var vms []messenger.VM
	for i := range 50 {
		vm := target(fmt.Sprintf("127.0.0.1:%d", 9000+i))
		vm.Slots = 8
		vms = append(vms, vm)
	}
	e.update(VMsListed{List: messenger.VMList{VMs: vms}})
	return e.s, e.now
}
