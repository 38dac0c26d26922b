// Package virtual runs tests in virtual time.
package virtual

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run runs test in a synctest bubble with GOMAXPROCS set to 1. The race detector of Go
// 1.26 uses one context for all timers of a bubble. It crashes when goroutines on two
// processors run two expired timers at the same time (runtime.timer.maybeRunChan).
func Run(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, test)
}
