//go:build review

// Command bed3 plays one case of the review: it starts daemons as processes before stand-ins of the platform's
// store, of servers and of clients, and judges what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
)

// verdict is the exit code of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

var cases = map[string]func(record string, trouble bool) (verdict, error){}

func main() {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", os.Getenv("TROUBLE") != "0", "play the disruption")
	flag.StringVar(&program, "program", program, "the daemon")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(int(notRun))
	}
	v, err := play(*record, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		os.Exit(int(notRun))
	}
	fmt.Println([...]string{"the rule held", "the rule was broken"}[v])
	os.Exit(int(v))
}
