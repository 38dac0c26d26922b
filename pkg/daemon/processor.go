package daemon

import (
	"syscall"
	"time"
)

// processorMilliseconds returns the processor time that this process has used, or 0 if it
// cannot be read.
func processorMilliseconds() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return (usage.Utime.Nano() + usage.Stime.Nano()) / int64(time.Millisecond)
}
