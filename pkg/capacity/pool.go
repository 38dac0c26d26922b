package capacity

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/directory"
)

// arrivalTime is the time constant of the rate of arrivals.
const arrivalTime = 500 * time.Millisecond

// key identifies an incarnation of an endpoint in messages.
type key uint32

// Pool merges the evidence of all hosts on the endpoints of one service. It is not safe for
// concurrent use.
type Pool struct {
	states map[key]*endpointState
	// arrivals is the decaying sum of the arrivals at all hosts, arrivalSpan the time that it covers.
	arrivals  float64
	span      float64
	updatedAt time.Time
	admission admission
}

func NewPool() *Pool {
	return &Pool{states: map[key]*endpointState{}}
}

// advance decays the arrivals.
func (p *Pool) advance(now time.Time) {
	if p.updatedAt.IsZero() {
		p.updatedAt = now
	}
	w := window{sums: Sums{Count: p.arrivals}, span: p.span}
	w.decay(max(now.Sub(p.updatedAt), 0), arrivalTime)
	p.arrivals, p.span, p.updatedAt = w.sums.Count, w.span, now
}

// AddArrivals counts requests that arrived at a host in a time of some length until now, whether or
// not they were sent.
func (p *Pool) AddArrivals(now time.Time, count float64, length time.Duration) {
	p.advance(now)
	p.arrivals += count * spreadFactor(length, arrivalTime)
}

// minArrivalSpan is the least time that a rate of arrivals is computed from, in seconds.
const minArrivalSpan = 0.3

// Offered returns the arrivals a second at all hosts.
func (p *Pool) Offered(now time.Time) float64 {
	p.advance(now)
	return p.arrivals / max(p.span, minArrivalSpan)
}

// state returns the state of an incarnation. A new one starts from the mean of the pool.
func (p *Pool) state(now time.Time, id key, endpoints []directory.Endpoint) *endpointState {
	s, ok := p.states[id]
	if !ok {
		s = &endpointState{updatedAt: now}
		s.setPrior(p.meanWork(endpoints), poolPriorSamples)
		p.states[id] = s
	}
	return s
}

// meanWork returns the mean work of the endpoints with evidence, 0 if there is none.
func (p *Pool) meanWork(endpoints []directory.Endpoint) float64 {
	sum, count := 0.0, 0
	for _, e := range endpoints {
		if s, ok := p.states[keyOf(e)]; ok {
			if work := s.work(max(e.Places, 1)); work > 0 {
				sum += work
				count++
			}
		}
	}
	return sum / float64(max(count, 1))
}

// Add adds the sums of one host on one endpoint over a time of some length until now. The last response
// is of some age. It reports whether they show a change.
func (p *Pool) Add(now time.Time, endpoint directory.Endpoint, sums Sums, length, age time.Duration, endpoints []directory.Endpoint) bool {
	return p.state(now, keyOf(endpoint), endpoints).add(now, sums, length, age, max(endpoint.Places, 1))
}

// Merge takes over an estimate of another aggregator, with a weight that depends on its age and
// on the number of responses that it comes from.
func (p *Pool) Merge(now time.Time, endpoint directory.Endpoint, estimate Estimate, age time.Duration, endpoints []directory.Endpoint) {
	p.state(now, keyOf(endpoint), endpoints).setPrior(estimate.Work.Seconds(), priorWeight(estimate.Samples, age))
}

// nominalFraction is the fraction of the target that the work takes if nothing is known.
const nominalFraction = 0.2

// Estimates returns the estimates of the endpoints, in their order. It drops the state of all
// others.
func (p *Pool) Estimates(now time.Time, endpoints []directory.Endpoint, target time.Duration) []Estimate {
	fallback := p.meanWork(endpoints)
	if fallback == 0 {
		fallback = nominalFraction * target.Seconds()
	}
	current := make(map[key]*endpointState, len(endpoints))
	result := make([]Estimate, len(endpoints))
	for i, e := range endpoints {
		id := keyOf(e)
		s := p.state(now, id, endpoints)
		current[id] = s
		result[i] = s.estimate(now, max(e.Places, 1), target, fallback)
	}
	p.states = current
	raiseToProbes(result, p.Offered(now))
	return result
}

const (
	// probeRate is the number of requests a second that each endpoint gets at least, so that its
	// recovery shows soon. maxProbeShare limits them for services with few requests.
	probeRate     = 3.0
	maxProbeShare = 0.02
)

// raiseToProbes raises the rates of slow endpoints so that they get their probes.
func raiseToProbes(estimates []Estimate, offered float64) {
	total := 0.0
	for _, e := range estimates {
		total += e.Rate
	}
	least := total * min(probeRate/max(offered, 1), maxProbeShare)
	for i := range estimates {
		estimates[i].Rate = max(estimates[i].Rate, least)
	}
}

// Admitted returns the fraction of the arrivals that the endpoints can serve within the target.
func (p *Pool) Admitted(now time.Time, endpoints []directory.Endpoint, target time.Duration) float64 {
	fallback := p.meanWork(endpoints)
	if fallback == 0 {
		fallback = nominalFraction * target.Seconds()
	}
	capacity, queued := 0.0, 0.0
	for _, e := range endpoints {
		s := p.state(now, keyOf(e), endpoints)
		s.advance(now)
		capacity += s.capacity(max(e.Places, 1), target, fallback)
		queued += s.fast.concurrency()
	}
	pressure := queued / max(capacity*slowFraction*target.Seconds(), 1)
	return p.admission.admitted(now, capacity, p.Offered(now), pressure)
}

const (
	// fullPressure is the part of the concurrency allowed by the target that is used under
	// overload. The rest is for its variation.
	fullPressure = 0.5
	// proportionalGain and integralGain correct the admitted rate by the difference from
	// fullPressure. The concurrency integrates the surplus of the rate, and is known after half a
	// second: a larger gain makes it oscillate.
	proportionalGain = 0.3
	// A backlog from before the limit drains by the proportional part, so the integral falls
	// slowly and rises fast.
	integralGainDown = 0.1
	integralGainUp   = 0.3
	minCorrection    = -0.4
	maxCorrection    = 0.2
)

// admission controls which fraction of the arrivals is admitted. The estimated capacity is the
// feed-forward, and the measured concurrency corrects it: it also shows endpoints that slow down
// before all their places are in use.
type admission struct {
	correction float64
	updatedAt  time.Time
}

func (a *admission) admitted(now time.Time, capacity, offered, pressure float64) float64 {
	elapsed := min(max(now.Sub(a.updatedAt).Seconds(), 0), 1)
	a.updatedAt = now
	deviation := max(fullPressure-pressure, -1)
	rate := capacity * (1 + a.correction + proportionalGain*deviation)
	if offered <= rate && a.correction >= 0 {
		a.correction = 0
		return 1
	}
	gain := integralGainUp
	if deviation < 0 {
		gain = integralGainDown
	}
	a.correction = min(max(a.correction+gain*deviation*elapsed, minCorrection), maxCorrection)
	if offered <= rate {
		return 1
	}
	return max(rate/offered, minAdmittedShare)
}
