// Package balance chooses among the endpoints of a plain service.
//
// A Balancer uses only the requests that this daemon has sent and their outcomes.
// It therefore needs no owner and also works in a zone that is cut off. It handles
// these situations:
//   - bursts: it chooses the endpoint with the smallest fraction of its places in
//     use, weighted by its response time, so slow endpoints get fewer requests;
//   - endpoints that look healthy but fail part of their requests: the measured
//     failure rate counts as load;
//   - full endpoints: a rejection closes an endpoint for a short cooldown, or for the
//     time that the endpoint specifies;
//   - overload: each endpoint gets only as many requests as it completes in time.
//     Some requests are served in time and the others are rejected
//     immediately, instead of all being late;
//   - network partitions: an endpoint that cannot be reached is closed for a cooldown
//     that grows, then tried with one request at a time.
package balance

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in the moving averages, which cover
	// about the last ten requests.
	sampleWeight = 0.1
	// failureCost is the additional load of an endpoint that always fails, as a
	// multiple of its places.
	failureCost = 4.0
	// remoteCost is the additional load of an endpoint in another availability
	// zone, for latency and traffic between zones.
	remoteCost = 0.25
	// rejectionCooldown is how long an endpoint is closed after it rejected a request.
	rejectionCooldown = 60 * time.Millisecond
	// initialCooldown is how long an endpoint is closed after it could not be reached.
	// The cooldown doubles with each consecutive failure, up to maxCooldown.
	initialCooldown = 250 * time.Millisecond
	maxCooldown     = 2 * time.Second
	// failureHalfLife is the time in which a failure rate without new samples
	// halves, so that the endpoint is tried again.
	failureHalfLife = 2 * time.Second
	// slowThreshold is the response time that indicates that an endpoint has too many
	// requests: two thirds of the 300 ms target of plain services.
	slowThreshold = 200 * time.Millisecond
	// limitDecreaseFactor multiplies an endpoint's limit after a slow response. A fast
	// response adds 1/limit, so the limit grows by one request in limit responses.
	limitDecreaseFactor = 0.93
	// minLimit is the number of concurrent requests that a daemon may always send to an
	// endpoint that is not closed.
	minLimit = 1.0
	// maxLimitFactor is the maximum of the limit, as a multiple of the endpoint's places.
	maxLimitFactor = 3
	// defaultResponseTime is assumed for an endpoint without responses.
	defaultResponseTime = 60 * time.Millisecond
)

// Candidate is an endpoint that may be chosen.
type Candidate struct {
	Name   string
	Places int
	// Local is true for endpoints in the daemon's own availability zone.
	Local bool
	// HeldOff is true for endpoints that currently accept no requests from this daemon.
	HeldOff bool
	// Limited is true for endpoints that name a rate limit. The limit bounds their requests, so
	// slow responses do not.
	Limited bool
	// Preferred is true for an endpoint that should get the next request in any case.
	Preferred bool
}

// Outcome is the outcome of a request at an endpoint.
type Outcome uint8

// The outcomes.
const (
	// Succeeded requests got a good response.
	Succeeded Outcome = iota
	// Failed requests got a bad response or none.
	Failed
	// Rejected requests were not run because the endpoint is full or leaving.
	Rejected
	// Unreachable means that the endpoint accepted no connection.
	Unreachable
	// Cancelled requests do not affect the measurements of the endpoint.
	Cancelled
)

type endpointState struct {
	inFlight int
	// limit is the maximum of inFlight, 0 for none before the first response.
	limit           float64
	places          int
	meanSeconds     float64
	failureRate     float64
	failureRateAt   time.Time
	closedUntil     time.Time
	connectFailures int
}

// Balancer tracks the requests to each endpoint. It is not safe for concurrent use.
type Balancer struct {
	states map[string]*endpointState
}

func New() *Balancer {
	return &Balancer{states: map[string]*endpointState{}}
}

func (b *Balancer) state(name string) *endpointState {
	s, ok := b.states[name]
	if !ok {
		s = &endpointState{meanSeconds: defaultResponseTime.Seconds()}
		b.states[name] = s
	}
	return s
}

// Choose returns the index of the best candidate, or -1 if there is none. It skips
// the endpoints in tried and those that may get no request now. draw is a random
// number from 0 to 1 that breaks near ties, so that daemons with the same view do
// not all choose the same endpoint.
func (b *Balancer) Choose(now time.Time, candidates []Candidate, tried map[string]bool, draw float64) int {
	best, bestCost := -1, math.Inf(1)
	for i, c := range candidates {
		if tried[c.Name] || c.HeldOff {
			continue
		}
		s := b.state(c.Name)
		s.places = c.Places
		if now.Before(s.closedUntil) || (s.connectFailures > 0 && s.inFlight > 0) || (s.isAtLimit() && !c.Limited) {
			continue
		}
		tieBreak := math.Mod(draw+float64(i)*math.Phi, 1) * tieSpread
		cost := s.cost(now, c) + tieBreak
		if c.Preferred {
			cost = tieBreak - tieSpread
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// tieSpread is the largest difference in load that counts as a tie.
const tieSpread = 0.02

// cost returns the load of the endpoint with one more request, including failureCost and
// remoteCost.
func (s *endpointState) cost(now time.Time, c Candidate) float64 {
	load := float64(s.inFlight+1) / float64(max(c.Places, 1)) * s.meanSeconds / defaultResponseTime.Seconds()
	load += failureCost * s.currentFailureRate(now)
	if !c.Local {
		load += remoteCost
	}
	return load
}

// isAtLimit reports whether the endpoint has as many requests of this daemon as it
// completes in time.
func (s *endpointState) isAtLimit() bool {
	return s.limit > 0 && float64(s.inFlight) >= s.limit
}

// adaptLimit changes the limit after a response by additive increase and
// multiplicative decrease (Chiu and Jain, "Analysis of the Increase and Decrease
// Algorithms for Congestion Avoidance in Computer Networks", 1989).
func (s *endpointState) adaptLimit(took time.Duration) {
	maxLimit := float64(max(s.places, 1) * maxLimitFactor)
	if s.limit == 0 {
		s.limit = maxLimit
	}
	if took >= slowThreshold {
		s.limit = max(s.limit*limitDecreaseFactor, minLimit)
		return
	}
	s.limit = min(s.limit+1/s.limit, maxLimit)
}

func (s *endpointState) currentFailureRate(now time.Time) float64 {
	return s.failureRate * math.Exp2(-now.Sub(s.failureRateAt).Seconds()/failureHalfLife.Seconds())
}

// RecordStart records that a request is sent to an endpoint. RecordOutcome must follow.
func (b *Balancer) RecordStart(name string) {
	b.state(name).inFlight++
}

// RecordOutcome records the outcome of a request and how long it took.
func (b *Balancer) RecordOutcome(now time.Time, name string, outcome Outcome, took time.Duration) {
	s := b.state(name)
	s.inFlight = max(s.inFlight-1, 0)
	switch outcome {
	case Succeeded:
		s.connectFailures = 0
		s.meanSeconds += sampleWeight * (took.Seconds() - s.meanSeconds)
		s.adaptLimit(took)
		s.updateFailureRate(now, 0)
	case Failed:
		s.updateFailureRate(now, 1)
	case Rejected:
		s.connectFailures = 0
		s.closedUntil = now.Add(rejectionCooldown)
	case Unreachable:
		s.closedUntil = now.Add(min(initialCooldown<<min(s.connectFailures, 8), maxCooldown))
		s.connectFailures++
	case Cancelled:
	}
}

func (s *endpointState) updateFailureRate(now time.Time, sample float64) {
	rate := s.currentFailureRate(now)
	s.failureRate = rate + sampleWeight*(sample-rate)
	s.failureRateAt = now
}

// Retain drops the endpoints that are not in names, unless they have requests in flight.
func (b *Balancer) Retain(names map[string]bool) {
	for name, s := range b.states {
		if !names[name] && s.inFlight == 0 {
			delete(b.states, name)
		}
	}
}
