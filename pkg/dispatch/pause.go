package dispatch

import "time"

const (
	// pauseLimit is the time between two beats after which the process counts as
	// having been stopped, so that its knowledge is old.
	pauseLimit = 1500 * time.Millisecond
	// beatPeriod spaces the beats of a process that runs.
	beatPeriod = 250 * time.Millisecond
	// staleTime is the time after a pause in which messages may still arrive that
	// were sent before or during it.
	staleTime = time.Second
)

// pauseDetector finds out that the process was stopped, from the time between
// two beats. The zero value has seen no beat.
type pauseDetector struct {
	last    time.Time
	resumed time.Time
}

// beat notes that the process runs and reports whether it was stopped before.
func (p *pauseDetector) beat(now time.Time) bool {
	paused := !p.last.IsZero() && now.Sub(p.last) > pauseLimit
	p.last = now
	if paused {
		p.resumed = now
	}
	return paused
}

// isStale reports whether what arrives now may be older than a pause.
func (p *pauseDetector) isStale(now time.Time) bool {
	return !p.resumed.IsZero() && now.Sub(p.resumed) < staleTime
}
