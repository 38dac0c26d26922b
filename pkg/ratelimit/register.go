// Package ratelimit keeps the rate limits of endpoints.
//
// An endpoint may name in its responses the number of requests a second that it accepts from
// all hosts together. A Register stores the limits, which hosts tell each other. A Gate decides
// whether this host may send a request to a limited endpoint. It acquires a permit from the
// keeper of the endpoint, a daemon that grants the permits of all hosts.
package ratelimit

import (
	"math"
	"sync"
	"time"
)

const (
	// minRate and maxRate bound the rates that are used. An endpoint without requests could
	// never report that its limit has ended.
	minRate = 0.5
	maxRate = 1e6
	// endedRetention is how long the end of a limit is stored, to ignore older reports.
	endedRetention = time.Minute
	// rateChangeThreshold is the relative change of a limit that other hosts are told.
	rateChangeThreshold = 0.02
)

// Bound returns the limit that is used for one that an endpoint names, in requests a second.
func Bound(rate float64) float64 {
	return min(max(rate, minRate), maxRate)
}

// Limit is the rate limit of an incarnation of an endpoint, as its response named it.
type Limit struct {
	Endpoint string
	// Born is the start time of the incarnation.
	Born time.Time
	// Rate is the number of requests a second, 0 if the endpoint no longer names a limit.
	Rate float64
	// HeardAt is the time of the response.
	HeardAt time.Time
}

// Register stores the limits of the endpoints of all services. It is safe for concurrent use.
type Register struct {
	mu     sync.Mutex
	limits map[string]Limit
}

// NewRegister returns an empty Register.
func NewRegister() *Register {
	return &Register{limits: map[string]Limit{}}
}

// Record stores what a response to a request that was sent at sentAt says about the limit of
// its endpoint. A rate of 0 means that it names none. That ends a limit only if the request was
// sent after the limit was heard, as responses may overtake each other. Record reports whether
// the limit has changed noticeably, so that other hosts should be told.
func (r *Register) Record(l Limit, sentAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, ok := r.limits[l.Endpoint]
	isKnown := ok && current.Born.Equal(l.Born) && current.Rate > 0
	if l.Rate == 0 && (!isKnown || !sentAt.After(current.HeardAt)) {
		return false
	}
	isChanged := !isKnown || math.Abs(l.Rate-current.Rate) > rateChangeThreshold*current.Rate
	if isKnown && !isChanged {
		l.Rate = current.Rate
	}
	r.limits[l.Endpoint] = l
	return isChanged
}

// Apply stores a limit that another host has heard, and reports whether it has changed.
func (r *Register) Apply(l Limit) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, ok := r.limits[l.Endpoint]
	if ok && (!l.HeardAt.After(current.HeardAt) || l.Born.Before(current.Born)) {
		return false
	}
	if !ok && l.Rate == 0 {
		return false
	}
	if l.Rate > 0 {
		l.Rate = Bound(l.Rate)
	}
	r.limits[l.Endpoint] = l
	return !ok || current.Rate != l.Rate || !current.Born.Equal(l.Born)
}

// Rate returns the limit of an incarnation of an endpoint in requests a second, and false if it
// has none.
func (r *Register) Rate(endpoint string, born time.Time) (float64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.limits[endpoint]
	if !ok || l.Rate == 0 || !l.Born.Equal(born) {
		return 0, false
	}
	return l.Rate, true
}

// heardAt returns the time of the latest known response that named the limit of an endpoint.
func (r *Register) heardAt(endpoint string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits[endpoint].HeardAt
}

// IsEmpty reports whether the register has no entries, which is the usual case.
func (r *Register) IsEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.limits) == 0
}

// Sweep drops the limits that have ended, and those of endpoints that isCurrent does not report.
func (r *Register) Sweep(now time.Time, isCurrent func(endpoint string, born time.Time) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for endpoint, l := range r.limits {
		age := now.Sub(l.HeardAt)
		if age > endedRetention && (l.Rate == 0 || !isCurrent(endpoint, l.Born)) {
			delete(r.limits, endpoint)
		}
	}
}
