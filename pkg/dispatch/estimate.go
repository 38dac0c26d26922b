package dispatch

import (
	"math"
	"time"
)

const (
	// minSampleWeight is the weight of a new sample in a moving mean with many samples.
	// The n-th sample has a weight of at least 1/n.
	minSampleWeight = 0.02
	// rateTimeConstant is the time constant of the decay of an arrival rate.
	rateTimeConstant = 5 * time.Second
	// priorSampleCount is the weight of a configured figure, in samples, relative to the
	// first measured samples. A measured sample may include the delay of a message.
	priorSampleCount = 4
	// idleEstimateTimeout is the time after which the measured values of an endpoint
	// without work are dropped. A value that keeps requests away from the endpoint would
	// otherwise never be measured again.
	idleEstimateTimeout = 5 * time.Second
)

// mean is an exponentially weighted moving mean. The zero value has no samples.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(sample float64) {
	m.addWithWeight(sample, minSampleWeight)
}

// addWithWeight adds a sample with a weight of at least minWeight.
func (m *mean) addWithWeight(sample, minWeight float64) {
	m.samples++
	weight := max(minWeight, 1/float64(m.samples))
	m.value += weight * (sample - m.value)
}

// addWithPrior adds a sample to a mean. A mean without samples starts at the prior, which
// counts as priorSampleCount samples. A prior of 0 or less is ignored.
func (m *mean) addWithPrior(prior, sample float64) {
	if m.samples == 0 && prior > 0 {
		*m = mean{value: prior, samples: priorSampleCount}
	}
	m.add(sample)
}

// valueOr returns the mean, or fallback before the first sample.
func (m *mean) valueOr(fallback float64) float64 {
	if m.samples == 0 {
		return fallback
	}
	return m.value
}

// trend is a linear regression of y on x, with samples weighted as in a mean. The zero
// value has no samples.
type trend struct {
	x, y, xx, xy mean
}

func (t *trend) add(x, y float64) {
	t.x.add(x)
	t.y.add(y)
	t.xx.add(x * x)
	t.xy.add(x * y)
}

// growth returns the ratio of the fitted y at x to the mean of y, at least 1.
func (t *trend) growth(x float64) float64 {
	variance := t.xx.value - t.x.value*t.x.value
	if variance <= 0 || t.y.value <= 0 {
		return 1
	}
	slope := (t.xy.value - t.x.value*t.y.value) / variance
	return max(1+slope*(x-t.x.value)/t.y.value, 1)
}

// rate is an exponentially decaying count of events per second.
type rate struct {
	perSecond float64
	updatedAt time.Time
}

func (r *rate) add(now time.Time) {
	r.perSecond = r.value(now) + 1/rateTimeConstant.Seconds()
	r.updatedAt = now
}

func (r *rate) value(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateTimeConstant.Seconds())
}

// throughput returns the requests per second that the shard can complete, from the places of
// each endpoint and the measured time for which a request holds one there. It is infinite
// before the first measurement.
func (p *Planner) throughput() float64 {
	if p.holdTime.samples == 0 {
		return math.Inf(1)
	}
	prefill, decode := p.measuredRates()
	if prefill == 0 || p.promptWork.samples == 0 {
		return decode
	}
	return min(decode, prefill)
}

// measuredRates returns the requests per second that each pool can complete, from
// measured values.
func (p *Planner) measuredRates() (prefill, decode float64) {
	prefill = p.prefillRate() / max(p.promptWork.value, 1)
	_, engines := p.countUsable()
	if engines == 0 {
		return prefill, 0
	}
	growth := p.holdTimeGrowth(p.decodeConcurrency() / float64(engines))
	for _, e := range p.decode {
		if e.isUsable() {
			decode += p.concurrency(e) / (p.holdTimeAt(e) * growth)
		}
	}
	return prefill, decode
}

// holdTimeAt returns the seconds for which a request holds a place at an endpoint at the current
// load. The mean over all requests would be too short where slow endpoints have run few of them:
// at a full shard they run as many as the others.
func (p *Planner) holdTimeAt(e *decodeEndpoint) float64 {
	return p.waitTime.value + p.decodeTime.value*e.speed.timeFactor()
}

// maxHoldTimeGrowth limits the extrapolation of a trend that has few samples.
const maxHoldTimeGrowth = 2

// holdTimeGrowth returns the ratio of the time for which a request holds a place at a decode
// endpoint that runs as many requests as it can to that at the current load. Tokens come more
// slowly the more requests an endpoint runs, so the measured time is too short.
func (p *Planner) holdTimeGrowth(concurrency float64) float64 {
	if !p.service.MemoryGrows {
		return 1
	}
	return min(p.gapTrend.growth(concurrency), maxHoldTimeGrowth)
}

// predictWait returns the time for which one more request of a rank and a caller would
// wait in its queue.
func (p *Planner) predictWait(now time.Time, request Request) time.Duration {
	queue := p.queues.ranks[request.Rank]
	rankAhead := float64(queue.fair.countAhead(request.Caller))
	urgentAhead := float64(p.queues.countMoreUrgent(request.Rank))
	if rankAhead+urgentAhead == 0 && p.freeDecode > p.headroomFor(now, request.Rank) {
		return 0
	}
	total := p.throughput()
	switch {
	case math.IsInf(total, 1):
		return 0
	case total <= 0 && rankAhead+urgentAhead == 0:
		return 0
	case total <= 0:
		return math.MaxInt64
	}
	urgent := 0.0
	for _, r := range p.queues.ranks[:request.Rank] {
		urgent += r.arrivals.value(now)
	}
	// The request is served after all requests ahead of it, from the throughput that more
	// urgent ranks leave, or after those ahead of it in its own rank, from the floor of
	// the rank, whichever is sooner.
	sharedWait := (rankAhead + urgentAhead) / max(total-urgent, total*minThroughputShare)
	floorWait := rankAhead / max(total*queue.targets.floorShare, total*minThroughputShare)
	return time.Duration(min(sharedWait, floorWait) * float64(time.Second))
}

// minThroughputShare is the least share of the throughput that a prediction assumes for a
// rank. It keeps the predicted wait of a rank without a floor finite.
const minThroughputShare = 0.01

// retryAfter returns the time after which a rejected caller is to retry. A jitter of up to
// a quarter of the wait, derived from the request's identifier, spreads the retries of
// requests that are rejected together.
func (p *Planner) retryAfter(now time.Time, request Request) time.Duration {
	minWait := minRetryAfter
	if p.service.ReturnTargets > 0 {
		minWait = minRecordedRetryAfter
	}
	wait := min(max(p.predictWait(now, request), minWait), maxRetryAfter)
	jitter := float64(uint64(request.ID)*0x9e3779b97f4a7c15>>40) / (1 << 24)
	return wait + time.Duration(float64(wait)*jitter/4)
}

const (
	// headroomMissProbability is the accepted probability that an urgent request gets no
	// free decode place within its slack.
	headroomMissProbability = 0.004
	// maxHeadroomShare limits the share of the decode places that is kept free.
	maxHeadroomShare = 0.1
)

// headroomFor returns the number of decode places that a rank leaves free for more urgent
// ranks. With urgent arrivals at rate a and places becoming free at rate f, an urgent
// request waits longer than t with probability (a/f)^(n+1) * exp(-(f-a)t) when n places
// are kept free, as in a single-server queue. This is trunk reservation, known from
// telephone networks.
func (p *Planner) headroomFor(now time.Time, rank int) int {
	if rank == 0 || p.holdTime.samples == 0 {
		return 0
	}
	urgent, slack := 0.0, math.Inf(1)
	for _, r := range p.queues.ranks[:rank] {
		if arrivals := r.arrivals.value(now); arrivals > 0 {
			urgent += arrivals
			slack = min(slack, r.slack.valueOr(r.targets.firstToken.Seconds()/2))
		}
	}
	total := p.throughput()
	if urgent <= 0 {
		return 0
	}
	maxHeadroom := int(maxHeadroomShare * float64(p.decodeLimit()))
	if urgent >= total {
		return maxHeadroom
	}
	allowed := math.Log(headroomMissProbability) + (total-urgent)*max(slack, 0)
	needed := math.Ceil(allowed/math.Log(urgent/total)) - 1
	return min(int(max(needed, 0)), maxHeadroom)
}
