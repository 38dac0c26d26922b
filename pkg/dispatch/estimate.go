package dispatch

import (
	"math"
	"time"
)

const (
	// meanWeight is the weight of one new sample in a moving mean.
	meanWeight = 0.02
	// rateWindow is the time constant of an arrival rate.
	rateWindow = 5 * time.Second
	// priorSamples is the weight, in samples, of a stated figure against the first
	// measured ones. A sample may hold the time for which a message was on its way.
	priorSamples = 4
	// estimateLife is how long an endpoint without work keeps what was measured of it.
	// What turned requests away would otherwise never be measured again.
	estimateLife = 5 * time.Second
)

// mean is an exponentially weighted moving mean. The zero value has no samples.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(sample float64) {
	m.samples++
	weight := max(meanWeight, 1/float64(m.samples))
	m.value += weight * (sample - m.value)
}

// addTo adds a sample to a mean that begins at a stated figure, where there is one.
func (m *mean) addTo(stated, sample float64) {
	if m.samples == 0 && stated > 0 {
		*m = mean{value: stated, samples: priorSamples}
	}
	m.add(sample)
}

// or returns the mean, or fallback before the first sample.
func (m *mean) or(fallback float64) float64 {
	if m.samples == 0 {
		return fallback
	}
	return m.value
}

// trend is a straight line through samples, weighted as in a mean. The zero value
// has no samples.
type trend struct {
	x, y, xx, xy mean
}

func (t *trend) add(x, y float64) {
	t.x.add(x)
	t.y.add(y)
	t.xx.add(x * x)
	t.xy.add(x * y)
}

// growth returns how many times the mean of y the line is at x, where it is above.
func (t *trend) growth(x float64) float64 {
	spread := t.xx.value - t.x.value*t.x.value
	if spread <= 0 || t.y.value <= 0 {
		return 1
	}
	slope := (t.xy.value - t.x.value*t.y.value) / spread
	return max(1+slope*(x-t.x.value)/t.y.value, 1)
}

// rate is an exponentially decaying count of events per second.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) add(now time.Time) {
	r.perSecond = r.value(now) + 1/rateWindow.Seconds()
	r.at = now
}

func (r *rate) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// throughput returns the requests a second that the shard can complete, from
// its places and the measured mean time for which a request holds one.
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

// measuredRates returns the requests a second that each pool can complete, from what
// was measured.
func (p *Planner) measuredRates() (prefill, decode float64) {
	prefill = p.prefillRate() / max(p.promptWork.value, 1)
	_, engines := p.countUsable()
	if engines == 0 {
		return prefill, 0
	}
	concurrency := p.decodeConcurrency()
	return prefill, concurrency / p.fullHoldTime(concurrency/float64(engines))
}

// maxGrowth bounds what a line through few samples may promise.
const maxGrowth = 2

// fullHoldTime returns the seconds for which a request holds a place at a decode
// endpoint that runs as many as it can: tokens come slower the more it runs, so the
// time that was measured at the present load is too short.
func (p *Planner) fullHoldTime(concurrency float64) float64 {
	if !p.service.MemoryGrows {
		return p.holdTime.value
	}
	return p.holdTime.value * min(p.gapTrend.growth(concurrency), maxGrowth)
}

// predictWait returns the time for which one more request of a rank would wait.
func (p *Planner) predictWait(now time.Time, request Request) time.Duration {
	queue := p.queues.ranks[request.Rank]
	own := float64(queue.fair.countAhead(request.Caller))
	urgentWaiting := float64(p.queues.countMoreUrgent(request.Rank))
	if own+urgentWaiting == 0 && p.freeDecode > p.headroomFor(now, request.Rank) {
		return 0
	}
	total := p.throughput()
	if math.IsInf(total, 1) {
		return 0
	}
	urgent := 0.0
	for _, r := range p.queues.ranks[:request.Rank] {
		urgent += r.arrivals.value(now)
	}
	// The request is served from what more urgent ranks leave, after those that
	// wait, or from its own rank's floor, whichever is sooner.
	left := (own + urgentWaiting) / max(total-urgent, total*leastShare)
	floor := own / max(total*queue.targets.floorShare, total*leastShare)
	return time.Duration(min(left, floor) * float64(time.Second))
}

// leastShare keeps the predicted wait of a rank without a floor finite.
const leastShare = 0.01

// retryAfter returns when a refused caller is to come back. Requests refused
// together come back spread over a quarter more than the wait.
func (p *Planner) retryAfter(now time.Time, request Request) time.Duration {
	least := minRetryAfter
	if p.service.ReturnTargets > 0 {
		least = minRecordedRetryAfter
	}
	wait := min(max(p.predictWait(now, request), least), maxRetryAfter)
	spread := float64(uint64(request.ID)*0x9e3779b97f4a7c15>>40) / (1 << 24)
	return wait + time.Duration(float64(wait)*spread/4)
}

const (
	// headroomMiss is the accepted probability that an urgent request finds no
	// free decode place.
	headroomMiss = 0.004
	// headroomShare bounds the part of decode places that is kept free.
	headroomShare = 0.1
)

// headroomFor returns the decode places that a rank leaves free for more urgent
// ones. With urgent arrivals at rate a and places becoming free at rate f, an
// urgent request that finds n places kept free waits longer than t with
// probability (a/f)^(n+1) * exp(-(f-a)t), as in a single server queue. This is
// trunk reservation as known from telephone networks.
func (p *Planner) headroomFor(now time.Time, rank int) int {
	if rank == 0 || p.holdTime.samples == 0 {
		return 0
	}
	urgent, slack := 0.0, math.Inf(1)
	for _, r := range p.queues.ranks[:rank] {
		if arrivals := r.arrivals.value(now); arrivals > 0 {
			urgent += arrivals
			slack = min(slack, r.slack.or(r.targets.firstToken.Seconds()/2))
		}
	}
	total := p.throughput()
	if urgent <= 0 {
		return 0
	}
	most := int(headroomShare * float64(p.decodeLimit()))
	if urgent >= total {
		return most
	}
	allowed := math.Log(headroomMiss) + (total-urgent)*max(slack, 0)
	need := math.Ceil(allowed/math.Log(urgent/total)) - 1
	return min(int(max(need, 0)), most)
}
