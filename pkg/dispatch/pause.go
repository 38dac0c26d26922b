package dispatch

import "time"

const (
	// pauseThreshold is the time between two checks above which the process is considered
	// to have been paused, so that its state is out of date.
	pauseThreshold = 1500 * time.Millisecond
	// pauseCheckInterval is the interval between the checks of a running process.
	pauseCheckInterval = 250 * time.Millisecond
	// staleMessagePeriod is the time after a pause during which messages that were sent before
	// or during the pause may still arrive.
	staleMessagePeriod = time.Second
)

// pauseDetector detects from the time between two checks that the process was paused. The
// zero value is ready to use.
type pauseDetector struct {
	lastCheck time.Time
	resumedAt time.Time
}

// check records that the process runs at now and reports whether it was paused since
// the last check.
func (p *pauseDetector) check(now time.Time) bool {
	paused := !p.lastCheck.IsZero() && now.Sub(p.lastCheck) > pauseThreshold
	p.lastCheck = now
	if paused {
		p.resumedAt = now
	}
	return paused
}

// isStale reports whether a message that arrives now may have been sent before the end
// of a pause.
func (p *pauseDetector) isStale(now time.Time) bool {
	return !p.resumedAt.IsZero() && now.Sub(p.resumedAt) < staleMessagePeriod
}
