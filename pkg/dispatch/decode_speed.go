package dispatch

import "slices"

// Speeds of decode endpoints.
//
// The token gap of an endpoint rises with the number of requests that it runs, so the measured
// gaps of equal endpoints differ with their loads. The Planner compares the gaps that endpoints
// would have with the same number of requests.

const (
	// speedSampleWeight is the least weight of a sample in the speed of an endpoint. An endpoint
	// that changes its speed is recognized after about five requests.
	speedSampleWeight = 0.2
	// minSpeedSampleTokens is the least number of output tokens of a request from which a speed
	// is measured. The gap of a shorter output consists largely of message delays.
	minSpeedSampleTokens = 8
	// minSpeedSamples is the number of requests from which on the speed of an endpoint is used.
	minSpeedSamples = 3
	// slownessTolerance is the ratio of token gaps up to which endpoints count as equally fast.
	// Placement among equal endpoints then depends on their loads alone.
	slownessTolerance = 1.2
	// maxSlowness limits the slowness of an endpoint. An endpoint that is slower still gets a
	// request now and then while the others run several, which shows when it has recovered.
	maxSlowness = 4
	// maxGapGrowth limits the extrapolation of a token gap to another number of requests.
	maxGapGrowth = 2
)

// decodeSpeed is the recent token gap of one endpoint, with the number of requests at which it
// was measured. The zero value has no samples.
type decodeSpeed struct {
	gap         mean
	concurrency mean
	// slowness is the ratio of the token gap to that of the median endpoint of the shard, 0
	// if it is not known.
	slowness float64
}

func (s *decodeSpeed) clear() {
	*s = decodeSpeed{}
}

// relativeSlowness returns the slowness that placement assumes, without the difference of up to
// slownessTolerance that counts as none.
func (s *decodeSpeed) relativeSlowness() float64 {
	switch {
	case s.slowness > slownessTolerance:
		return min(s.slowness/slownessTolerance, maxSlowness)
	case s.slowness > 0 && s.slowness < 1/slownessTolerance:
		return max(s.slowness*slownessTolerance, 1/float64(maxSlowness))
	}
	return 1
}

// timeFactor returns the ratio of the time for which the endpoint runs a request to that of the
// median endpoint. It is 1 for endpoints whose gaps differ by at most slownessTolerance.
func (s *decodeSpeed) timeFactor() float64 {
	if s.slowness <= 0 || (s.slowness >= 1/slownessTolerance && s.slowness <= slownessTolerance) {
		return 1
	}
	return s.slowness
}

// gapGrowth is a regression of the token gap on the number of requests within endpoints: both
// are compared with the means of the same endpoint, so that slow endpoints with few requests do
// not hide the growth. The zero value has no samples.
type gapGrowth struct {
	xx, xy mean
}

// add adds a sample of an endpoint before its means contain the sample.
func (g *gapGrowth) add(s *decodeSpeed, concurrency, gap float64) {
	if s.gap.samples < minSpeedSamples || s.gap.value <= 0 {
		return
	}
	x, y := concurrency-s.concurrency.value, gap/s.gap.value-1
	g.xx.add(x * x)
	g.xy.add(x * y)
}

// gapAt returns the predicted token gap of an endpoint in seconds when it runs a number of
// requests.
func (g *gapGrowth) gapAt(s *decodeSpeed, concurrency float64) float64 {
	if g.xx.value <= 0 {
		return s.gap.value
	}
	slope := max(g.xy.value/g.xx.value, 0)
	growth := 1 + slope*(concurrency-s.concurrency.value)
	return s.gap.value * min(max(growth, 1/float64(maxGapGrowth)), maxGapGrowth)
}

// recordSpeed records the token gap of a request in seconds, with the mean number of requests
// that the endpoint ran meanwhile.
func (p *Planner) recordSpeed(e *decodeEndpoint, concurrency, gap float64) {
	p.gapGrowth.add(&e.speed, concurrency, gap)
	e.speed.gap.addWithWeight(gap, speedSampleWeight)
	e.speed.concurrency.addWithWeight(concurrency, speedSampleWeight)
	p.compareSpeeds()
}

// compareSpeeds sets the slowness of all endpoints from their predicted gaps at the mean number
// of requests. Without Service.BySpeed, no slowness is known.
func (p *Planner) compareSpeeds() {
	if !p.service.BySpeed {
		return
	}
	total, count := 0.0, 0.0
	for _, e := range p.decode {
		e.speed.slowness = 0
		if e.isUsable() && e.speed.gap.samples >= minSpeedSamples {
			total += e.speed.concurrency.value
			count++
		}
	}
	if count < 2 {
		return
	}
	gaps := p.gaps[:0]
	for _, e := range p.decode {
		if e.isUsable() && e.speed.gap.samples >= minSpeedSamples {
			e.speed.slowness = p.gapGrowth.gapAt(&e.speed, total/count)
			gaps = append(gaps, e.speed.slowness)
		}
	}
	slices.Sort(gaps)
	p.gaps = gaps
	median := gaps[(len(gaps)-1)/2]
	for _, e := range p.decode {
		if median > 0 {
			e.speed.slowness /= median
		}
	}
}

// speedScore returns the free share of an endpoint, corrected by its speed: the share that would
// be free if the endpoint were as fast as the median one and ran its requests and one more for
// the same time. It is the free share itself for an endpoint of usual speed.
func (e *decodeEndpoint) speedScore(free float64) float64 {
	load := 1 - free + 1/float64(max(e.endpoint.Places, 1))
	return free - load*(e.speed.relativeSlowness()-1)
}
