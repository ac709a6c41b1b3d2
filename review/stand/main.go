// Command stand plays one case of the review on loopback addresses: a store,
// runners, clients and the platform as stand-ins, and the project's own program as
// separate processes. It exits with 1 if the rule was broken, 0 if it held and 2
// if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

const (
	held     = 0
	broken   = 1
	notRun   = 2
	usageMsg = "usage: stand CASE RECORD, in the repository"
)

// cases maps names to plays. A play returns the exit code.
var cases = map[string]func(p *platform, trouble bool) int{
	"herd":   herd,
	"lone":   lone,
	"shift":  shift,
	"wave":   wave,
	"reborn": reborn,
}

var layouts = map[string]layout{
	"herd":   small,
	"lone":   wide,
	"shift":  grouped,
	"wave":   small,
	"reborn": small,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usageMsg)
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	rec, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", name, trouble)
	p, err := deploy(rec, layouts[name])
	defer p.close()
	if err != nil {
		rec.printf("cannot run: %v", err)
		return notRun
	}
	result := make(chan int, 1)
	go func() {
		if !p.awaitReady(20 * time.Second) {
			result <- notRun
			return
		}
		result <- cases[name](p, trouble)
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	code := notRun
	select {
	case code = <-result:
	case <-interrupted:
	case <-time.After(timeLimit):
		rec.printf("time limit")
	}
	rec.printf("result: %d (0 the rule held, 1 it was broken, 2 not run)", code)
	return code
}
