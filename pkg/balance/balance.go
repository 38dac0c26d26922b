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
	sampleWeight = 0.1
	// failureCost is the load that an endpoint which always fails appears to
	// have beyond its own, in places of all of its places.
	failureCost = 4.0
	// remoteCost is the load that an endpoint in another availability zone
	// appears to have, since the way there costs time and traffic.
	remoteCost = 0.25
	// refusalPause closes an endpoint that said that it is full.
	rejectionPause = 60 * time.Millisecond
	// firstPause closes an endpoint that could not be reached; the pause doubles
	// with each failure in a row up to maxPause.
	initialPause = 250 * time.Millisecond
	maxPause     = 2 * time.Second
	// failureHalfLife is the time in which a share of failures that is not
	// confirmed halves, so that an endpoint is tried again.
	failureHalfLife = 2 * time.Second
	// slowTime is the time from which an answer shows that an endpoint has too many
	// requests: two thirds of the 300 ms in which the users want plain answers.
	slowThreshold = 200 * time.Millisecond
	// limitDecrease is the factor on an endpoint's limit after a slow answer. A good
	// one raises it by a whole request in as many answers as the limit.
	limitDecreaseFactor = 0.93
	// leastLimit is what one daemon may send in any case.
	minLimit = 1.0
	// mostLimit bounds the limit, in places of the endpoint.
	maxLimitFactor = 3
	// typicalTime stands for the time of an endpoint that has answered nothing yet.
	defaultResponseTime = 60 * time.Millisecond
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
	Succeeded Outcome = iota
	// Failed requests got a bad answer, or none.
	Failed
	// Refused requests were not run because the endpoint is full or leaving.
	Rejected
	// Unreachable endpoints took no connection.
	Unreachable
	// Cancelled requests say nothing about the endpoint.
	Cancelled
)

type endpointState struct {
	inFlight int
	// limit is the number of requests that may be under way, 0 before an answer.
	limit           float64
	places          int
	meanSeconds     float64
	failureRate     float64
	failureRateAt   time.Time
	closedUntil     time.Time
	connectFailures int
}

// Balancer holds what is known of each endpoint. It is not safe for concurrent
// use.
type Balancer struct {
	states map[string]*endpointState
}

// New returns a Balancer that knows no endpoint.
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

// Choose returns the position of the best candidate, or -1. Those in tried are
// passed over. Draw is a random number from 0 to 1 that settles near ties, so
// that daemons with the same view do not all choose the same endpoint.
func (b *Balancer) Choose(now time.Time, candidates []Candidate, tried map[string]bool, draw float64) int {
	best, bestCost := -1, math.Inf(1)
	for i, c := range candidates {
		if tried[c.Name] || c.HeldOff {
			continue
		}
		s := b.state(c.Name)
		s.places = c.Places
		if now.Before(s.closedUntil) || (s.connectFailures > 0 && s.inFlight > 0) || s.isAtLimit() {
			continue
		}
		tieBreak := math.Mod(draw+float64(i)*math.Phi, 1) * tieSpread
		if cost := s.cost(now, c) + tieBreak; cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// tieSpread is the largest difference in load that chance decides.
const tieSpread = 0.02

// cost is the load that one more request would meet.
func (s *endpointState) cost(now time.Time, c Candidate) float64 {
	load := float64(s.inFlight+1) / float64(max(c.Places, 1)) * s.meanSeconds / defaultResponseTime.Seconds()
	load += failureCost * s.currentFailureRate(now)
	if !c.Local {
		load += remoteCost
	}
	return load
}

// isFull reports whether the endpoint has as many requests of this daemon as it
// answers in good time.
func (s *endpointState) isAtLimit() bool {
	return s.limit > 0 && float64(s.inFlight) >= s.limit
}

// adapt changes the limit after an answer: additive increase and multiplicative
// decrease (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for
// Congestion Avoidance", 1989).
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

// Sent notes a request to an endpoint. Ended must follow.
func (b *Balancer) RecordStart(name string) {
	b.state(name).inFlight++
}

// Ended notes what became of a request and how long it took.
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
		s.closedUntil = now.Add(rejectionPause)
	case Unreachable:
		s.closedUntil = now.Add(min(initialPause<<min(s.connectFailures, 8), maxPause))
		s.connectFailures++
	case Cancelled:
	}
}

func (s *endpointState) updateFailureRate(now time.Time, sample float64) {
	rate := s.currentFailureRate(now)
	s.failureRate = rate + sampleWeight*(sample-rate)
	s.failureRateAt = now
}

// Keep forgets the endpoints that are not named, unless requests are under way.
func (b *Balancer) Retain(names map[string]bool) {
	for name, s := range b.states {
		if !names[name] && s.inFlight == 0 {
			delete(b.states, name)
		}
	}
}
