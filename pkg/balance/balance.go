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
	// initialCooldown is how long an endpoint is closed after it could not be reached.
	// The cooldown doubles with each consecutive failure, up to maxCooldown.
	initialCooldown = 250 * time.Millisecond
	maxCooldown     = 2 * time.Second
	// failureHalfLife is the time in which a failure rate without new samples
	// halves, so that the endpoint is tried again.
	failureHalfLife = 2 * time.Second
	// slowFraction is the fraction of the target from which on a response time indicates that
	// an endpoint has too many requests. The rest of the target is for the variation of the work
	// and for what the daemon adds.
	slowFraction = 2.0 / 3
	// nominalFraction is the fraction of the target that a response takes at an endpoint that
	// is not loaded. It is assumed for an endpoint without responses, and is how long an endpoint
	// is closed after it rejected a request.
	nominalFraction = 0.2
	// defaultTarget is the target of requests that name none.
	defaultTarget = 300 * time.Millisecond
	// limitDecreaseFactor multiplies an endpoint's limit after a slow response. A fast
	// response adds 1/limit, so the limit grows by one request in limit responses.
	limitDecreaseFactor = 0.93
	// minLimit is the number of concurrent requests that a daemon may always send to an
	// endpoint that is not closed.
	minLimit = 1.0
	// maxLimitFactor is the maximum of the limit, as a multiple of the endpoint's places.
	maxLimitFactor = 3
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
	// Rate is the number of requests a second of all hosts together that the endpoint serves in
	// time, as learned from all hosts. If it is known for some candidates, requests are divided by
	// it. The fields below are used only then.
	Rate float64
	// Load is the fraction of Rate that is used, and FailureRate that of the requests that fail.
	Load        float64
	FailureRate float64
	// Part is the number of concurrent requests of this host that the endpoint serves in time.
	Part float64
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
	limit  float64
	places int
	// meanSeconds is the mean response time, 0 before the first response. nominalSeconds is the
	// response time at no load for the target of the last response.
	meanSeconds     float64
	nominalSeconds  float64
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
		s = &endpointState{}
		b.states[name] = s
	}
	return s
}

// Choose returns the index of the best candidate, or -1 if there is none. It skips
// the endpoints in tried and those that may get no request now. draw is a random
// number from 0 to 1 that breaks near ties, so that daemons with the same view do
// not all choose the same endpoint.
func (b *Balancer) Choose(now time.Time, candidates []Candidate, tried map[string]bool, draw float64) int {
	if rate := meanRate(candidates); rate > 0 {
		return b.chooseByRate(now, candidates, tried, rate, draw)
	}
	best, bestCost := -1, math.Inf(1)
	initial := b.initialSlowness(candidates)
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
		cost := s.cost(now, c, initial) + tieBreak
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

// initialSlowness returns the slowness that is assumed for endpoints without responses: the mean
// of the other candidates. It is at most 1, so that a new endpoint beside overloaded ones gets
// requests at once.
func (b *Balancer) initialSlowness(candidates []Candidate) float64 {
	sum, count := 0.0, 0
	for _, c := range candidates {
		if s, ok := b.states[c.Name]; ok && s.meanSeconds > 0 {
			sum += s.slowness(0)
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return min(sum/float64(count), 1)
}

// slowness returns the mean response time as a multiple of that at no load, or initial before
// the first response.
func (s *endpointState) slowness(initial float64) float64 {
	if s.meanSeconds == 0 {
		return initial
	}
	return s.meanSeconds / s.nominalSeconds
}

// cost returns the load of the endpoint with one more request, including failureCost and
// remoteCost. initial is the slowness of an endpoint without responses.
func (s *endpointState) cost(now time.Time, c Candidate, initial float64) float64 {
	load := float64(s.inFlight+1) / float64(max(c.Places, 1)) * s.slowness(initial)
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
func (s *endpointState) adaptLimit(took, target time.Duration) {
	maxLimit := float64(max(s.places, 1) * maxLimitFactor)
	if s.limit == 0 {
		s.limit = maxLimit
	}
	if took >= slowThreshold(target) {
		s.limit = max(s.limit*limitDecreaseFactor, minLimit)
		return
	}
	s.limit = min(s.limit+1/s.limit, maxLimit)
}

// slowThreshold returns the response time that indicates that an endpoint has too many requests.
func slowThreshold(target time.Duration) time.Duration {
	return time.Duration(slowFraction * float64(target))
}

// nominalTime returns the response time at no load that is assumed for a target.
func nominalTime(target time.Duration) time.Duration {
	return time.Duration(nominalFraction * float64(target))
}

// addSample adds the time of a response to the mean response time.
func (s *endpointState) addSample(took, target time.Duration) {
	s.nominalSeconds = nominalTime(target).Seconds()
	if s.meanSeconds == 0 {
		s.meanSeconds = s.nominalSeconds
	}
	s.meanSeconds += sampleWeight * (took.Seconds() - s.meanSeconds)
}

func (s *endpointState) currentFailureRate(now time.Time) float64 {
	return s.failureRate * math.Exp2(-now.Sub(s.failureRateAt).Seconds()/failureHalfLife.Seconds())
}

// RecordStart records that a request is sent to an endpoint. RecordOutcome must follow.
func (b *Balancer) RecordStart(name string) {
	b.state(name).inFlight++
}

// RecordOutcome records the outcome of a request and how long it took. target is the time within
// which the request was to be served, 0 for the default.
func (b *Balancer) RecordOutcome(now time.Time, name string, outcome Outcome, took, target time.Duration) {
	if target <= 0 {
		target = defaultTarget
	}
	s := b.state(name)
	s.inFlight = max(s.inFlight-1, 0)
	switch outcome {
	case Succeeded:
		s.connectFailures = 0
		s.addSample(took, target)
		s.adaptLimit(took, target)
		s.updateFailureRate(now, 0)
	case Failed:
		s.updateFailureRate(now, 1)
	case Rejected:
		s.connectFailures = 0
		s.closedUntil = now.Add(nominalTime(target))
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
