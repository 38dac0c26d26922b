package balance

import (
	"math"
	"time"
)

const (
	// localPreference is the additional weight of an endpoint in the daemon's own availability
	// zone, as a multiple of its rate. It falls from relaxedLoad on and is 0 at busyLoad, so that
	// zones with many requests use the endpoints of the others.
	localPreference = 3.0
	relaxedLoad     = 0.5
	busyLoad        = 0.75
	// failureExponent determines how far an endpoint that fails part of its requests is avoided.
	// At half of them it gets a 64th of its share, which shows when it works again.
	failureExponent = 6
	// minWeight is the least weight of an endpoint that is not closed, relative to its rate.
	minWeight = 0.001
	// maxInFlightPenalty limits the effect of this daemon's own requests in flight on its
	// choice: at many hosts they show little of the load of an endpoint.
	maxInFlightPenalty = 2.0
)

// meanRate returns the mean of the known rates of the candidates, 0 if none is known.
func meanRate(candidates []Candidate) float64 {
	sum, count := 0.0, 0
	for _, c := range candidates {
		if c.Rate > 0 {
			sum += c.Rate
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// chooseByRate divides the requests among the candidates by their rates: draw selects one. An
// endpoint without a rate gets the mean.
func (b *Balancer) chooseByRate(now time.Time, candidates []Candidate, tried map[string]bool, mean, draw float64) int {
	weights := make([]float64, len(candidates))
	total := 0.0
	for i, c := range candidates {
		if tried[c.Name] || c.HeldOff {
			continue
		}
		s := b.state(c.Name)
		s.places = c.Places
		isFull := c.Part > 0 && float64(s.inFlight) >= c.Part
		if now.Before(s.closedUntil) || (s.connectFailures > 0 && s.inFlight > 0) || (isFull && !c.Limited) {
			continue
		}
		if c.Preferred {
			return i
		}
		weights[i] = s.weight(now, c, mean)
		total += weights[i]
	}
	last := -1
	remaining := draw * total
	for i, weight := range weights {
		if weight == 0 {
			continue
		}
		last = i
		if remaining -= weight; remaining < 0 {
			return i
		}
	}
	return last
}

// weight returns the share of the requests that the endpoint gets, relative to the others.
func (s *endpointState) weight(now time.Time, c Candidate, mean float64) float64 {
	rate := c.Rate
	if rate <= 0 {
		rate = mean
	}
	works := 1 - max(s.currentFailureRate(now), c.FailureRate)
	weight := rate * max(math.Pow(works, failureExponent), minWeight)
	if c.Local {
		weight *= 1 + localPreference*min(max((busyLoad-c.Load)/(busyLoad-relaxedLoad), 0), 1)
	}
	return weight / (1 + min(float64(s.inFlight), maxInFlightPenalty))
}
