// Command stand plays a case of the review: it starts the entries of a small deployment as
// separate processes, with stand-ins for the store, the runners, the balancer and the
// clients, and judges what clients and runners saw.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by number. Each returns whether the rule was broken.
var cases = map[string]func(*site) bool{
	"11": greyRunnerInGroups,
	"12": cancelledThenOwnerKilled,
	"13": cancelledBehindCut,
	"14": greyRunner,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	s := newSite(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
			s.fail("interrupted")
		case <-time.After(longest):
			s.fail("still running after %v", longest)
		}
	}()
	broken := cases[os.Args[1]](s)
	s.stop()
	if broken {
		s.log("RESULT: the rule was broken")
		os.Exit(exitBroken)
	}
	s.log("RESULT: the rule held")
}

// longest limits the time of a case, which may run for 120 s.
const longest = 110 * time.Second

const (
	exitBroken = 1
	exitNotRun = 2
)
