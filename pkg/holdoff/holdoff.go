// Package holdoff records until when endpoints accept no requests from this host.
//
// An endpoint that rejects a request may specify a time for which it accepts no further
// requests, a hold-off. A Register stores the hold-offs and does no I/O. The relay checks
// them before it chooses an endpoint, and reports them to dispatchers with each offer, so that
// they grant no place there. A hold-off applies to one incarnation of the endpoint and to this
// host only.
package holdoff

import (
	"sync"
	"time"
)

// maxHoldOff limits the time that an endpoint may request, so that a wrong value does not
// close the endpoint permanently.
const maxHoldOff = 10 * time.Minute

// Register stores the hold-offs of the endpoints of all services. It is safe for
// concurrent use.
type Register struct {
	mu      sync.Mutex
	entries map[string]entry
}

type entry struct {
	// born is the start time of the incarnation that requested the hold-off.
	born  time.Time
	until time.Time
}

func NewRegister() *Register {
	return &Register{entries: map[string]entry{}}
}

// Record stores a hold-off of the endpoint's incarnation that started at born, and returns
// the time when it ends. A hold-off that ends earlier does not replace one that ends later.
func (r *Register) Record(now time.Time, endpoint string, born time.Time, duration time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := now.Add(min(duration, maxHoldOff))
	current, ok := r.entries[endpoint]
	if ok && current.born.Equal(born) && current.until.After(until) {
		return current.until
	}
	r.entries[endpoint] = entry{born: born, until: until}
	return until
}

// Until returns the end of the current hold-off of an incarnation of an endpoint. It returns
// false if there is none.
func (r *Register) Until(now time.Time, endpoint string, born time.Time) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[endpoint]
	if !ok || !e.born.Equal(born) || !now.Before(e.until) {
		return time.Time{}, false
	}
	return e.until, true
}

// IsEmpty reports whether the register has no entries, which is the usual case.
func (r *Register) IsEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries) == 0
}

// Sweep removes expired entries.
func (r *Register) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for endpoint, e := range r.entries {
		if !now.Before(e.until) {
			delete(r.entries, endpoint)
		}
	}
}
