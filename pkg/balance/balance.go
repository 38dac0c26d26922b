// Package balance chooses among the endpoints of a plain service.
//
// A Balancer is a pure decision: it knows only what this daemon has sent and
// what became of it, so that it needs no owner, and works in a zone that is cut
// off. Its answers to load:
//   - bursts: the endpoint with the least share of its places taken is chosen,
//     weighted with how long it takes, so slow endpoints get less;
//   - endpoints that fail part of their requests while they look healthy: the
//     measured share of failures counts as load;
//   - endpoints that are full: a refusal closes an endpoint for a short pause, or for
//     as long as the endpoint asks for;
//   - more load than the endpoints can serve: each takes only as many requests as
//     it answers in good time, so that some are served in time and the others are
//     refused at once, in place of all being late;
//   - cuts: an endpoint that cannot be reached is closed for a pause that grows,
//     then tried with one request at a time.
package balance

import (
	"math"
	"time"
)

const (
	// weight is that of one new sample in the moving means; about the last ten
	// requests count.
	weight = 0.1
	// failureCost is the load that an endpoint which always fails appears to
	// have beyond its own, in places of all of its places.
	failureCost = 4.0
	// remoteCost is the load that an endpoint in another availability zone
	// appears to have, since the way there costs time and traffic.
	remoteCost = 0.25
	// refusalPause closes an endpoint that said that it is full.
	refusalPause = 60 * time.Millisecond
	// firstPause closes an endpoint that could not be reached; the pause doubles
	// with each failure in a row up to maxPause.
	firstPause = 250 * time.Millisecond
	maxPause   = 2 * time.Second
	// failureHalfLife is the time in which a share of failures that is not
	// confirmed halves, so that an endpoint is tried again.
	failureHalfLife = 2 * time.Second
	// slowTime is the time from which an answer shows that an endpoint has too many
	// requests: two thirds of the 300 ms in which the users want plain answers.
	slowTime = 200 * time.Millisecond
	// limitDecrease is the factor on an endpoint's limit after a slow answer. A good
	// one raises it by a whole request in as many answers as the limit.
	limitDecrease = 0.93
	// leastLimit is what one daemon may send in any case.
	leastLimit = 1.0
	// mostLimit bounds the limit, in places of the endpoint.
	mostLimit = 3
	// typicalTime stands for the time of an endpoint that has answered nothing yet.
	typicalTime = 60 * time.Millisecond
)

// Candidate is an endpoint that may be chosen.
type Candidate struct {
	Name   string
	Places int
	// Local is true for endpoints in the daemon's own availability zone.
	Local bool
	// HeldOff is true for endpoints that want no requests from this daemon now.
	HeldOff bool
}

// Outcome is what became of a request at an endpoint.
type Outcome uint8

// The outcomes.
const (
	// Answered requests got a good answer.
	Answered Outcome = iota
	// Failed requests got a bad answer, or none.
	Failed
	// Refused requests were not run because the endpoint is full or leaving.
	Refused
	// Unreachable endpoints took no connection.
	Unreachable
	// Cancelled requests say nothing about the endpoint.
	Cancelled
)

type record struct {
	sent int
	// limit is the number of requests that may be under way, 0 before an answer.
	limit       float64
	places      int
	seconds     float64
	failures    float64
	failureAt   time.Time
	closedUntil time.Time
	misses      int
}

// Balancer holds what is known of each endpoint. It is not safe for concurrent
// use.
type Balancer struct {
	records map[string]*record
}

// New returns a Balancer that knows no endpoint.
func New() *Balancer {
	return &Balancer{records: map[string]*record{}}
}

func (b *Balancer) record(name string) *record {
	r, ok := b.records[name]
	if !ok {
		r = &record{seconds: typicalTime.Seconds()}
		b.records[name] = r
	}
	return r
}

// Choose returns the position of the best candidate, or -1. Those in tried are
// passed over. Draw is a random number from 0 to 1 that settles near ties, so
// that daemons with the same view do not all choose the same endpoint.
func (b *Balancer) Choose(now time.Time, candidates []Candidate, tried map[string]bool, draw float64) int {
	best, bestCost := -1, math.Inf(1)
	for i, c := range candidates {
		if tried[c.Name] || c.HeldOff {
			continue
		}
		r := b.record(c.Name)
		r.places = c.Places
		if now.Before(r.closedUntil) || (r.misses > 0 && r.sent > 0) || r.isFull() {
			continue
		}
		spread := math.Mod(draw+float64(i)*math.Phi, 1) * tieSpread
		if cost := r.cost(now, c) + spread; cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// tieSpread is the largest difference in load that chance decides.
const tieSpread = 0.02

// cost is the load that one more request would meet.
func (r *record) cost(now time.Time, c Candidate) float64 {
	load := float64(r.sent+1) / float64(max(c.Places, 1)) * r.seconds / typicalTime.Seconds()
	load += failureCost * r.failureShare(now)
	if !c.Local {
		load += remoteCost
	}
	return load
}

// isFull reports whether the endpoint has as many requests of this daemon as it
// answers in good time.
func (r *record) isFull() bool {
	return r.limit > 0 && float64(r.sent) >= r.limit
}

// adapt changes the limit after an answer: additive increase and multiplicative
// decrease (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for
// Congestion Avoidance", 1989).
func (r *record) adapt(took time.Duration) {
	most := float64(max(r.places, 1) * mostLimit)
	if r.limit == 0 {
		r.limit = most
	}
	if took >= slowTime {
		r.limit = max(r.limit*limitDecrease, leastLimit)
		return
	}
	r.limit = min(r.limit+1/r.limit, most)
}

func (r *record) failureShare(now time.Time) float64 {
	return r.failures * math.Exp2(-now.Sub(r.failureAt).Seconds()/failureHalfLife.Seconds())
}

// Sent notes a request to an endpoint. Ended must follow.
func (b *Balancer) Sent(name string) {
	b.record(name).sent++
}

// Ended notes what became of a request and how long it took.
func (b *Balancer) Ended(now time.Time, name string, outcome Outcome, took time.Duration) {
	r := b.record(name)
	r.sent = max(r.sent-1, 0)
	switch outcome {
	case Answered:
		r.misses = 0
		r.seconds += weight * (took.Seconds() - r.seconds)
		r.adapt(took)
		r.fail(now, 0)
	case Failed:
		r.fail(now, 1)
	case Refused:
		r.misses = 0
		r.closedUntil = now.Add(refusalPause)
	case Unreachable:
		r.closedUntil = now.Add(min(firstPause<<min(r.misses, 8), maxPause))
		r.misses++
	case Cancelled:
	}
}

func (r *record) fail(now time.Time, sample float64) {
	share := r.failureShare(now)
	r.failures = share + weight*(sample-share)
	r.failureAt = now
}

// Keep forgets the endpoints that are not named, unless requests are under way.
func (b *Balancer) Keep(names map[string]bool) {
	for name, r := range b.records {
		if !names[name] && r.sent == 0 {
			delete(b.records, name)
		}
	}
}
