// Command stand-2 plays one case of the review: it starts the project's own program as
// separate processes, with stand-ins for the store, the runners and the clients, and
// checks one rule from what these see.
//
//	stand-2 CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
// With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

// limit ends a case that hangs.
const limit = 115 * time.Second

var cases = map[string]func(rec *record, program string, trouble bool) error{
	"kind":   kindCase,
	"cancel": cancelCase,
	"drop":   dropCase,
	"starts": func(rec *record, program string, trouble bool) error {
		return lateCase(rec, program, trouble, 2, true)
	},
	"behind": func(rec *record, program string, trouble bool) error {
		return lateCase(rec, program, trouble, 1, false)
	},
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(limit, func() {
		rec.add("the case took too long")
		os.Exit(2)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	if err := cases[os.Args[1]](rec, os.Args[2], trouble); err != nil {
		rec.add("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		os.Exit(2)
	}
	n := rec.brokenCount()
	rec.add("the rule was broken %d times", n)
	fmt.Println("broken:", n)
	if n > 0 {
		os.Exit(1)
	}
}
