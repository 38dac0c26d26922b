package ratelimit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmerictide/turmerictide/pkg/retry"
)

const (
	// burstSeconds is the time whose requests a keeper grants at once after a pause.
	burstSeconds = 0.25
	// urgentPeriod is the time after the denial of an urgent request in which the others get no
	// permits.
	urgentPeriod = time.Second
	// ownShare is the fraction of a limit that all hosts without a keeper use together.
	ownShare = 0.3
	// turnLifetime is how long a host without a keeper may use each of its turns, so that a host
	// with few requests has one in that time. The turns that all hosts can use in 4 s, those of
	// 4 s and of turnLifetime, and the permits and the burst of the keeper together stay below 1.5
	// times the limit.
	turnLifetime = 1500 * time.Millisecond
	// minOwnBurst is the smallest number of turns of all hosts together that are valid at once.
	// Below 4.4 requests a second it makes them valid for longer than turnLifetime.
	minOwnBurst = 2.0
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

// ownPart is the part of a limit that a host may use without the keeper. It consists of turns at
// even intervals, each for one request. The phase of a host, from 0 to 1, is the offset of its
// turns. If the phases of the hosts are evenly spread, so are the turns of all of them.
type ownPart struct {
	// position is the number of turns of this host, including the current fraction of an interval.
	position float64
	// used is the number of turns that are used or too old.
	used      float64
	updatedAt time.Time
}

// newOwnPart returns the ownPart of an incarnation of an endpoint. Its first turn begins after
// now. rate is the number of requests a second, hosts the number of hosts.
func newOwnPart(now time.Time, i incarnation, rate float64, hosts int, phase float64) *ownPart {
	position := float64(now.UnixMilli()-i.born)/1000*ownTurnRate(rate, hosts) + phase
	return &ownPart{position: position - math.Floor(position), updatedAt: now}
}

// ownTurnRate returns the number of turns a second of one host.
func ownTurnRate(rate float64, hosts int) float64 {
	return ownShare * rate / float64(hosts)
}

// take reports whether this host may send one request, and uses a turn if so.
func (p *ownPart) take(now time.Time, rate float64, hosts int) bool {
	turnRate := ownTurnRate(rate, hosts)
	p.position += max(now.Sub(p.updatedAt).Seconds(), 0) * turnRate
	p.updatedAt = now
	valid := max(turnRate*turnLifetime.Seconds(), minOwnBurst/float64(hosts))
	p.used = max(p.used, math.Floor(p.position-valid))
	if math.Floor(p.position) <= p.used {
		return false
	}
	p.used++
	return true
}

// TurnPhase returns the phase of a host among the members of the site. The members are ordered
// by a hash, so that the phases of an availability zone are evenly spread too. A host that knows
// few members has a phase that depends on its own hash only.
func TurnPhase(host string, members []string) float64 {
	own := xxhash.Sum64String(host)
	rank, count := 0, 1
	for _, m := range members {
		if m == host {
			continue
		}
		count++
		if xxhash.Sum64String(m) < own {
			rank++
		}
	}
	return (float64(rank) + float64(own)/(1<<64)) / float64(count)
}

// maxRetryAfter limits the times that are assigned: callers that wait longer give up.
const (
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// retryAfter returns the time after which a rejected request should be sent again: when this host's share
// of the limits serves it. rate is the number of requests a second that all hosts may send.
func retryAfter(s *retry.Schedule, now time.Time, rate float64, hosts int) time.Duration {
	seconds := min(float64(hosts)/max(rate, minRate), maxRetryAfter.Seconds())
	interval := time.Duration(seconds * float64(time.Second))
	return max(s.Assign(now, interval, interval, maxRetryAfter), minRetryAfter)
}
