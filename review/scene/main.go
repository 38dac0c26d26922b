//go:build review

// Command scene plays one script of the review: scene CASE FOLDER. It writes FOLDER/record.txt and
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/turmerictide/turmerictide/review/kit"
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// Cases start daemons from the main goroutine, whose thread lives as long as the program.
func init() {
	runtime.LockOSThread()
}

func main() {
	cases := map[string]func(trouble bool){
		"limited-engines": limitedEngines, "smuggled": smuggled, "large-bodies": largeBodies, "taken-up": takenUp, "silence": silence, "late-streams": lateStreams,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene CASE FOLDER")
		os.Exit(2)
	}
	kit.OpenRecord(os.Args[2])
	time.AfterFunc(limit, func() { kit.Fail(fmt.Errorf("not finished after %s", limit)) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { kit.Fail(fmt.Errorf("%s", <-signals)) }()
	trouble := os.Getenv("TROUBLE") != "0"
	kit.Log("case %s, with the disruption: %t", os.Args[1], trouble)
	cases[os.Args[1]](trouble)
}

// verdict ends a case.
func verdict(isBroken bool) {
	if isBroken {
		kit.Log("the rule was BROKEN")
		kit.Exit(1)
	}
	kit.Log("the rule held")
	kit.Exit(0)
}
