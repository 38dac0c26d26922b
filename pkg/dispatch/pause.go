package dispatch

import "time"

const (
	// pauseLimit is the time between two beats after which the process counts as
	// having been stopped, so that its knowledge is old.
	pauseThreshold = 1500 * time.Millisecond
	// beatPeriod spaces the beats of a process that runs.
	pauseCheckInterval = 250 * time.Millisecond
	// staleTime is the time after a pause in which messages may still arrive that
	// were sent before or during it.
	staleDuration = time.Second
)

// pauseDetector finds out that the process was stopped, from the time between
// two beats. The zero value has seen no beat.
type pauseDetector struct {
	lastCheck time.Time
	resumedAt time.Time
}

// beat notes that the process runs and reports whether it was stopped before.
func (p *pauseDetector) check(now time.Time) bool {
	paused := !p.lastCheck.IsZero() && now.Sub(p.lastCheck) > pauseThreshold
	p.lastCheck = now
	if paused {
		p.resumedAt = now
	}
	return paused
}

// isStale reports whether what arrives now may be older than a pause.
func (p *pauseDetector) isStale(now time.Time) bool {
	return !p.resumedAt.IsZero() && now.Sub(p.resumedAt) < staleDuration
}
