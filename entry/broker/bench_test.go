package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// BenchmarkGrantRelease measures one release and the grant that follows it. New
// jobs of 16 tasks keep the queue length constant. One operation is one grant
// and its release; batch is the number of releases in one message.
//
//	go test -run '^$' -bench GrantRelease -benchmem ./broker
func BenchmarkGrantRelease(b *testing.B) {
	for _, size := range []struct{ targets, jobs, batch, teams int }{
		{100, 300, 1, 1}, {100, 300, 16, 1}, {500, 30, 16, 1}, {500, 3000, 1, 1}, {500, 3000, 16, 1}, {500, 3000, 16, 84},
	} {
		b.Run(fmt.Sprintf("targets=%d/jobs=%d/batch=%d/teams=%d", size.targets, size.jobs, size.batch, size.teams), func(b *testing.B) {
			benchGrants(b, size.targets, size.jobs, size.batch, size.teams)
		})
	}
}

func benchGrants(b *testing.B, targets, jobs, batch, teams int) {
	const tasks = 16
	c := testConfiguration(targets * 8)
	for i := range teams {
		c.Teams[fmt.Sprint("team", i)] = planner.Team{Slots: targets * 8}
	}
	s := newTestBroker(c, Settings{}, targets, 8)
	ids := make([]string, 1<<16)
	for i := range ids {
		ids[i] = fmt.Sprintf("entry1-incarnation-%08d", i)
	}
	next := 0
	request := func() messenger.SlotRequest {
		r := testRequest(ids[next%len(ids)], "check", tasks)
		r.DeadlineInMs, r.Team = 1<<40, fmt.Sprint("team", next%teams)
		next++
		return r
	}
	var live []messenger.Grant
	collect := func(cmds []Cmd) {
		for _, c := range cmds {
			if m, ok := c.(Send); ok {
				live = append(live, m.Grants...)
			}
		}
	}
	for range jobs + targets*8/tasks {
		collect(s.receive(self, messenger.SlotsRequest{Requests: []messenger.SlotRequest{request()}}))
	}
	var releases []messenger.Release
	done, head := 0, 0
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += batch {
		s.at = s.at.Add(time.Microsecond)
		releases = releases[:0]
		for _, g := range live[head : head+batch] {
			releases = append(releases, messenger.Release{Grant: g, Team: "red", RequestType: "check", Outcome: messenger.GrantDone, RunMs: 100})
		}
		if head += batch; head > 1<<16 {
			live, head = append(live[:0], live[head:]...), 0
		}
		r := messenger.SlotsRequest{Releases: releases}
		if done += batch; done >= tasks {
			done -= tasks
			r.Requests = []messenger.SlotRequest{request()}
		}
		collect(s.receive(self, r))
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "pairs/s")
}
