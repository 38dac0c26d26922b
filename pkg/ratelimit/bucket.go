package ratelimit

import "time"

const (
	// burstSeconds is the time whose requests a keeper grants at once after a pause.
	burstSeconds = 0.25
	// urgentPeriod is the time after the denial of an urgent request in which the others get no
	// permits.
	urgentPeriod = time.Second
	// ownShare is the fraction of a limit that all hosts without a keeper use together.
	ownShare = 0.3
	// ownBurst is the number of requests that they may send at once.
	ownBurst = 2.0
)

// bucket is the token bucket of an endpoint at its keeper. It starts empty, since the keeper
// before may have granted permits until now.
type bucket struct {
	tokens         float64
	updatedAt      time.Time
	urgentDeniedAt time.Time
}

// take reports whether the endpoint accepts one more request, and counts it if so. rate is the
// number of requests a second.
func (b *bucket) take(now time.Time, rate float64, isUrgent bool) bool {
	elapsed := max(now.Sub(b.updatedAt).Seconds(), 0)
	b.updatedAt = now
	b.tokens = min(b.tokens+elapsed*rate, max(rate*burstSeconds, 1))
	switch {
	case isUrgent && b.tokens < 1:
		b.urgentDeniedAt = now
		return false
	case b.tokens < 1 || (!isUrgent && !b.urgentDeniedAt.IsZero() && now.Sub(b.urgentDeniedAt) < urgentPeriod):
		return false
	}
	b.tokens--
	return true
}

// ownPart is the part of a limit that a host may use without the keeper. It is usually a
// fraction of a request, so take succeeds with that probability.
type ownPart struct {
	tokens    float64
	updatedAt time.Time
}

// take reports whether this host may send one request. hosts is the number of hosts, and draw a
// random number from 0 to 1.
func (p *ownPart) take(now time.Time, rate float64, hosts int, draw float64) bool {
	elapsed := max(now.Sub(p.updatedAt).Seconds(), 0)
	p.updatedAt = now
	p.tokens = min(p.tokens+elapsed*ownShare*rate/float64(hosts), ownBurst/float64(hosts))
	if p.tokens >= 1 {
		p.tokens--
		return true
	}
	isTaken := draw < p.tokens
	p.tokens = 0
	return isTaken
}

// schedule assigns rejected requests the times at which this host's share of the limits serves
// them. When the times up to maxRetryAfter are assigned, it begins again with the first.
type schedule struct {
	next time.Time
}

// maxRetryAfter limits the times that are assigned: callers that wait longer give up.
const (
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// assign returns the time after which a rejected request should be sent again. rate is the
// number of requests a second that all hosts may send.
func (s *schedule) assign(now time.Time, rate float64, hosts int) time.Duration {
	seconds := min(float64(hosts)/max(rate, minRate), maxRetryAfter.Seconds())
	interval := time.Duration(seconds * float64(time.Second))
	if s.next.Before(now) || s.next.Add(interval).Sub(now) > maxRetryAfter {
		s.next = now
	}
	s.next = s.next.Add(interval)
	return max(s.next.Sub(now), minRetryAfter)
}
