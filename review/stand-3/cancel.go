package main

import (
	"net/http"
	"time"
)

var namta = []string{"ikeja", "apapa", "lekki"}

// cancelledThenOwnerKilled: a client cancels its job at the machine that has it, which also
// gives the orders, and gets 200. The process of that machine is killed. The request for the
// job arrives once more, as the pages say it may, seconds after its 2xx, at another machine.
func cancelledThenOwnerKilled(s *site) bool {
	s.deploy(namta, []string{"a", "a", "b"}, 2, 2)
	first := s.owner()
	if first == nil {
		s.fail("no machine gave an order")
	}
	s.log("%s gives the orders", first.name)
	const id = "5c0e7a21d94b36f8"
	body := jobBody(2, 16000, 1500, "")
	answered := make(chan reply, 1)
	go func() { answered <- s.send(first, http.MethodPost, id, body, 20*time.Second) }()
	time.Sleep(500 * time.Millisecond)
	if len(s.startsOf(id)) == 0 {
		s.fail("the job did not start")
	}
	cancelled := s.send(first, http.MethodDelete, id, "", 4*time.Second)
	if cancelled.status != http.StatusOK && cancelled.status != http.StatusGone {
		s.fail("the cancelling was not acknowledged")
	}
	if r := <-answered; r.status != http.StatusOK {
		s.fail("the job was not answered with 2xx")
	}
	time.Sleep(time.Second)
	if s.trouble {
		s.log("the process on %s is killed", first.name)
		s.kill(first)
		time.Sleep(time.Second)
		s.log("the process on %s is started again", first.name)
		s.start(first)
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(time.Until(cancelled.at.Add(6 * time.Second)))
	var other *entry
	for _, e := range s.entries {
		if e != first && e.zone == first.zone {
			other = e
		}
	}
	s.send(other, http.MethodPost, id, body, 5*time.Second)
	time.Sleep(time.Second)
	return s.startedAfterCancelling(id, cancelled.at, func(giver string, _ time.Time) bool { return giver != first.name })
}

// startedAfterCancelling applies UNASKED: a machine in touch starts a task later than
// cancel_ms after the job's cancelling was acknowledged.
func (s *site) startedAfterCancelling(id string, acknowledged time.Time, inTouch func(giver string, at time.Time) bool) bool {
	broken := false
	for _, st := range s.startsOf(id) {
		if after := st.at.Sub(acknowledged); after > cancelBound && inTouch(st.giver, st.at) {
			s.log("UNASKED: %s started %s run %d on %s, %.3f s after its cancelling was acknowledged", st.giver, st.task, st.run, st.worker, after.Seconds())
			broken = true
		}
	}
	return broken
}

// cancelledBehindCut: the client of a job moves to a zone that is cut off from the others
// for a while, and cancels its job there.
func cancelledBehindCut(s *site) bool {
	s.deploy(namta, []string{"a", "a", "a"}, 2, 2)
	owner := s.owner()
	if owner == nil {
		s.fail("no machine gave an order")
	}
	s.log("%s gives the orders", owner.name)
	// The runners of the zone that is cut off are not among those of the job.
	var from, to *entry
	for _, e := range s.entries {
		if e.zone == owner.zone && e != owner {
			from = e
		}
		if e.zone != owner.zone && to == nil {
			to = e
		}
	}
	for i, w := range s.workers {
		zone, kind := namta[i/2], "a"
		if zone == to.zone {
			kind = "b"
		}
		s.put(w, s.workerAddress(i), zone, kind, "r-"+zone)
	}
	time.Sleep(2 * time.Second)
	const id = "7d1f8b32ea5c4709"
	cutAt := time.Now()
	if s.trouble {
		s.log("zone %s is cut off from the others; clients still reach it", to.zone)
		s.net.cut(to.zone)
	}
	time.Sleep(1400 * time.Millisecond)
	// Another job leaves room for half of the tasks at a time. No task takes longer than the
	// longest ones of the site.
	go s.send(from, http.MethodPost, "0b5d94c1e7a2386f", jobBody(4, 16000, longestTaskMs, "a"), 10*time.Second)
	time.Sleep(50 * time.Millisecond)
	go s.send(from, http.MethodPost, id, jobBody(8, 16000, longestTaskMs, "a"), 10*time.Second)
	time.Sleep(150 * time.Millisecond)
	if len(s.startsOf(id)) == 0 {
		s.fail("the job did not start")
	}
	var cancelled reply
	for cancelled.status != http.StatusOK && cancelled.status != http.StatusGone {
		if cancelled = s.send(to, http.MethodDelete, id, "", 4*time.Second); time.Since(cutAt) > 20*time.Second {
			s.fail("the cancelling was not acknowledged")
		}
	}
	time.Sleep(time.Until(cutAt.Add(cutLength)))
	if s.trouble {
		s.log("the cut ends")
		s.net.cut("")
	}
	time.Sleep(3 * time.Second)
	// Only machines outside the zone are in touch.
	return s.startedAfterCancelling(id, cancelled.at, func(giver string, _ time.Time) bool {
		for _, e := range s.entries {
			if e.name == giver {
				return e.zone != to.zone
			}
		}
		return false
	})
}

// longestTaskMs is the run time of the longest tasks of the site.
const longestTaskMs = 3600

// cutLength is the length of the cut of a zone, which lasts up to 6.3 s on the site.
const cutLength = 6200 * time.Millisecond
