package main

import (
	"net/http"
	"strings"
	"time"
)

// greyRunner: one runner of twelve answers 400 to the starts that it gets, and is sound
// otherwise. A client sends one job whose tasks need all runners.
func greyRunner(s *site) bool {
	s.deploy(namta, []string{"a", "a", "a"}, 2, 4)
	if s.trouble {
		s.log("%s answers 400 to starts", s.workers[5].ID)
		s.setGrey(s.workers[5].ID)
	}
	const id = "91c03fe6d2ab5847"
	r := s.send(s.entries[0], http.MethodPost, id, jobBody(24, 16000, 200, ""), 1500*time.Millisecond)
	time.Sleep(time.Second)
	starts := s.startsOf(id)
	rejected := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable || r.status == http.StatusNotFound
	if !rejected || len(starts) == 0 {
		return false
	}
	var tasks []string
	for _, st := range starts {
		tasks = append(tasks, st.task[strings.LastIndexByte(st.task, '.')+1:])
	}
	s.log("REFUSED: the only attempt to hand job %s in got %d, and %d of its tasks started: %s", id, r.status, len(starts), strings.Join(tasks, " "))
	return true
}

// greyRunnerInGroups: the same on more runners than one of the smallest machines can own, so
// that each zone has an owner of its own. Stops take some time, as they may.
func greyRunnerInGroups(s *site) bool {
	s.limits = limits{cpuShare: 0.144, memoryMB: 144, maxFds: 3075, linkMbps: 19}
	s.stopTime = 40 * time.Millisecond
	s.deploy(namta, []string{"a", "a", "a"}, 2, 25)
	if s.trouble {
		s.log("%s answers 400 to starts", s.workers[13].ID)
		s.setGrey(s.workers[13].ID)
	}
	const id = "3f6a0d92c5b8e741"
	s.send(s.entries[0], http.MethodPost, id, jobBody(25, 27000, 200, ""), 1500*time.Millisecond)
	time.Sleep(time.Second)
	violations := s.fleet.Violations()
	for _, v := range violations {
		s.log("TWICE: %s", v)
	}
	return len(violations) > 0
}
