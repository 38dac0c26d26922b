package freshness

import (
	"sync"
	"time"
)

// Claims keeps the configuration numbers above its own that a daemon has heard from peers. A
// daemon with a lower number than a peer's does not have the current configuration, whatever the
// store says: the store may have been restored from a copy.
//
// One peer with a wrong number must not stop the others. So a number that a single peer claims
// counts for timeout after the peer's first such claim, in which a daemon normally reads the
// configuration from that peer. Numbers that several peers claim count while the peers repeat them.
type Claims struct {
	timeout time.Duration
	mu      sync.Mutex
	byHost  map[string]claim
}

// claim is a number above the own one that a peer sent.
type claim struct {
	number uint64
	// since is the time of the first claim above the own number, heardAt that of the last.
	since, heardAt time.Duration
}

// NewClaims returns Claims in which a number of a single peer counts for timeout.
func NewClaims(timeout time.Duration) *Claims {
	return &Claims{timeout: timeout, byHost: map[string]claim{}}
}

// Hear records that a peer claims a number, while the own number is own.
func (c *Claims) Hear(host string, number, own uint64, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetReached(own)
	if number <= own {
		return
	}
	known, ok := c.byHost[host]
	if !ok {
		known.since = now
	}
	c.byHost[host] = claim{number: max(number, known.number), since: known.since, heardAt: now}
}

// IsBehind reports whether a claim counts that is above the own number.
func (c *Claims) IsBehind(own uint64, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetReached(own)
	repeated, isNew := 0, false
	for _, known := range c.byHost {
		if now-known.heardAt < c.timeout {
			repeated++
		}
		isNew = isNew || now-known.since < c.timeout
	}
	return isNew || repeated > 1
}

// forgetReached removes the claims that are not above the own number. mu must be held.
func (c *Claims) forgetReached(own uint64) {
	for host, known := range c.byHost {
		if known.number <= own {
			delete(c.byHost, host)
		}
	}
}
