package relay

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// durationCount is the number of calls of a service whose durations are kept.
	durationCount = 256
	// plainQuantile is the fraction of these calls that are shorter than the expected duration of
	// a plain call. streamQuantile is that of a stream that comes early, while the load balancer
	// still sends streams here: most are served to their end, and callers resume the others at
	// another daemon.
	plainQuantile  = 0.99
	streamQuantile = 0.5
	// durationMargin is the factor by which a call may take longer.
	durationMargin = 1.25
	// resumeDelay is the time in which another endpoint goes on with a stream.
	resumeDelay = 500 * time.Millisecond
	// unknownStreamDuration is the expected duration of a stream of a service without completed
	// ones.
	unknownStreamDuration = 5 * time.Second
)

// durations are the durations of the last calls of one service.
type durations struct {
	latest [durationCount]time.Duration
	count  int
}

func (d *durations) record(took time.Duration) {
	d.latest[d.count%durationCount] = took
	d.count++
}

// expected returns the time that a fraction of the calls take at most, 0 if no call has completed.
func (d *durations) expected(quantile float64) time.Duration {
	known := min(d.count, durationCount)
	if known == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d.latest[:known]))
	return time.Duration(durationMargin * float64(sorted[int(math.Ceil(quantile*float64(known-1)))]))
}

// drain decides which calls a daemon that shuts down still accepts.
type drain struct {
	mu sync.Mutex
	// end is the time at which calls in flight are cut, zero while the daemon does not shut down.
	// Streams are early until earlyUntil.
	end        time.Time
	earlyUntil time.Time
	byService  map[string]*durations
}

func (d *drain) begin(earlyUntil, end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.earlyUntil, d.end = earlyUntil, end
}

func (d *drain) record(service string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byService[service] == nil {
		d.byService[service] = &durations{}
	}
	d.byService[service].record(took)
}

// accepts reports whether a call to a service, which ends at its deadline at the latest, may begin.
// A plain call and an early stream must be expected to end in time. A late stream must be certain to:
// the completed streams do not limit its duration, least of all while those that take longest are
// still in flight.
func (d *drain) accepts(now time.Time, service string, deadline time.Time, isStream bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.end.IsZero() || !deadline.After(d.end) {
		return true
	}
	expected, quantile := time.Duration(0), plainQuantile
	if isStream {
		if !now.Before(d.earlyUntil) {
			return false
		}
		quantile = streamQuantile
	}
	if known := d.byService[service]; known != nil {
		expected = known.expected(quantile)
	}
	if expected == 0 && isStream {
		expected = unknownStreamDuration
	}
	return expected > 0 && !now.Add(expected).After(d.end)
}

// hasTimeForRest reports whether the rest of a stream of a service, a fraction of its output, is
// expected to end in time if it goes on at another endpoint.
func (d *drain) hasTimeForRest(now time.Time, service string, deadline time.Time, rest float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.end.IsZero() && d.end.Before(deadline) {
		deadline = d.end
	}
	expected := resumeDelay
	if known := d.byService[service]; known != nil {
		expected += time.Duration(rest * float64(known.expected(streamQuantile)))
	}
	return !now.Add(expected).After(deadline)
}

// Drain makes the Relay accept only calls that are expected to end before end, at which the calls
// in flight are cut, and from earlyUntil on only streams whose deadline is not after end. It rejects
// others with CauseLeaving, so that callers send them to another daemon.
func (r *Relay) Drain(earlyUntil, end time.Time) {
	r.drain.begin(earlyUntil, end)
}
