// Package holdoff keeps the times until which endpoints want no requests from this
// host.
//
// An endpoint that turns a request away may say for how long it wants nothing more. A
// Register is a pure decision on what was said: it is asked before an endpoint is
// chosen, and told to dispatchers with each offer, so that they grant no place there. It
// holds for one life of the endpoint and for this host alone.
package holdoff

import (
	"sync"
	"time"
)

// longest bounds what an endpoint may ask for, so that a wrong figure does not close it
// for good.
const longest = 10 * time.Minute

// Register holds what the endpoints of all services have asked for.
type Register struct {
	mu      sync.Mutex
	entries map[string]entry
}

type entry struct {
	// born is the start of the endpoint's life that asked.
	born  time.Time
	until time.Time
}

// NewRegister returns an empty Register.
func NewRegister() *Register {
	return &Register{entries: map[string]entry{}}
}

// Note notes that a life of an endpoint wants no requests for a time, and returns when
// that ends. A shorter time does not end a longer one.
func (r *Register) Note(now time.Time, endpoint string, born time.Time, wait time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := now.Add(min(wait, longest))
	known, ok := r.entries[endpoint]
	if ok && known.born.Equal(born) && known.until.After(until) {
		return known.until
	}
	r.entries[endpoint] = entry{born: born, until: until}
	return until
}

// Until returns the time until which a life of an endpoint wants no requests, and
// whether that is still to come.
func (r *Register) Until(now time.Time, endpoint string, born time.Time) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[endpoint]
	if !ok || !e.born.Equal(born) || !now.Before(e.until) {
		return time.Time{}, false
	}
	return e.until, true
}

// IsEmpty reports whether no endpoint holds requests off, which is the usual case.
func (r *Register) IsEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries) == 0
}

// Sweep forgets what is over.
func (r *Register) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for endpoint, e := range r.entries {
		if !now.Before(e.until) {
			delete(r.entries, endpoint)
		}
	}
}
