package capacity

import (
	"math"
	"time"
)

const (
	// fastTime is the time constant of the window of the concurrency, slowTime that of the window
	// that the estimates come from while nothing changes.
	fastTime = 300 * time.Millisecond
	slowTime = 5 * time.Second
	// longTime is the time constant of the window that the capacity of a whole pool comes from.
	longTime = 2 * time.Second
	// shiftFactor is the change of the work that is detected at once. Smaller ones show in slowTime.
	// logVariance is the assumed variance of the logarithm of the work. shiftThreshold is the score
	// of a change, returnThreshold that of the return to the usual speed, which is likely.
	shiftFactor     = 2.5
	logVariance     = 0.5
	shiftThreshold  = 5.0
	returnThreshold = 2.5
	// maxChangeAge is the age of a response from which on it does not count for changes. Hosts with
	// few requests report some responses late, and these would hide a change.
	maxChangeAge = 120 * time.Millisecond
	// sinceKeep is the weight of the earlier reports since a change relative to the next one. The first
	// ones also cover some time before the change.
	sinceKeep = 0.7
	// usualRetention is the time after a change in which the endpoint may return to its usual
	// speed. usualSamples is the weight of that speed after its return.
	usualRetention = 30 * time.Second
	usualSamples   = 20
	// slowFraction is the fraction of the target that responses may take on average.
	slowFraction = 2.0 / 3
	// minTimeliness is the least part of its capacity that is used of an endpoint whose work
	// takes longer than the target. Its responses show when it is faster again.
	minTimeliness = 0.12
	// poolPriorSamples is the weight, in responses, of the mean of the pool for a new incarnation.
	poolPriorSamples = 8
	// maxPriorSamples limits the weight of what the former aggregator knew, so that one window
	// of new responses outweighs it. priorHalfLife is the age at which the weight has halved.
	maxPriorSamples = 100
	priorHalfLife   = 5 * time.Second
	// failureHalfLife is the time in which a failure rate without new responses halves, so that
	// the endpoint is tried again. failureWeight and successWeight are the weights of one more
	// request in the failure rate.
	failureHalfLife = 5 * time.Second
	failureWeight   = 0.1
	successWeight   = 0.05
)

// Sums are sums over the requests to one endpoint in some time.
type Sums struct {
	// Count is the number of good responses and Seconds the sum of their response times.
	Count   float64
	Seconds float64
	// Busy is the integral of the number of requests at the endpoint over time, in seconds.
	Busy float64
	// Failures is the number of requests without a good response.
	Failures float64
}

// Estimate is what is known of an endpoint from the requests of all hosts.
type Estimate struct {
	// Work is the time that the endpoint works on one request, without waiting.
	Work time.Duration
	// Samples is the number of responses that Work comes from.
	Samples float64
	// Rate and Concurrency are the requests a second and the concurrent requests of all hosts
	// at which the endpoint meets the target.
	Rate        float64
	Concurrency float64
	// Part is this host's part of Concurrency. It is set at the hosts only.
	Part float64
	// Queued is the number of concurrent requests of all hosts. It is set at the aggregator only.
	Queued float64
	// Load is the used fraction of the endpoint's capacity, FailureRate that of its requests that
	// fail.
	Load        float64
	FailureRate float64
}

// window contains sums with exponentially decaying weights.
type window struct {
	sums Sums
	// span is the length of the time that the sums cover, in seconds.
	span float64
}

func (w *window) decay(elapsed, constant time.Duration) {
	keep := math.Exp(-elapsed.Seconds() / constant.Seconds())
	w.scale(keep)
	w.span += constant.Seconds() * (1 - keep)
}

// scale reduces the weight of what the window contains.
func (w *window) scale(keep float64) {
	w.sums.Count *= keep
	w.sums.Seconds *= keep
	w.sums.Busy *= keep
	w.sums.Failures *= keep
	w.span *= keep
}

func (w *window) add(s Sums) {
	w.sums.Count += s.Count
	w.sums.Seconds += s.Seconds
	w.sums.Busy += s.Busy
	w.sums.Failures += s.Failures
}

// addSpread adds sums over a time, of which the window keeps a part.
func (w *window) addSpread(s Sums, factor float64) {
	w.add(Sums{Count: s.Count * factor, Seconds: s.Seconds * factor, Busy: s.Busy * factor, Failures: s.Failures * factor})
}

// spreadFactor returns the part of sums over a time of some length that remains at its end in a window with
// a time constant. Without it, a window read directly after a report would be too full.
func spreadFactor(length, constant time.Duration) float64 {
	x := length.Seconds() / constant.Seconds()
	if x < 0.01 {
		return 1
	}
	return (1 - math.Exp(-x)) / x
}

// concurrency returns the mean number of requests at the endpoint.
func (w *window) concurrency() float64 {
	return w.sums.Busy / max(w.span, 0.001)
}

// responseSeconds returns the mean response time. Requests that are still in progress count in
// Busy, so an endpoint that stalls is slow before it responds.
func (w *window) responseSeconds() float64 {
	count := max(w.sums.Count, 1)
	return max(w.sums.Seconds/count, (w.sums.Busy-w.sums.Seconds)/count)
}

// A window shows the work from minWindowCount responses on, or from requests that together take
// minWindowBusy seconds without a response.
const (
	minWindowCount = 0.5
	minWindowBusy  = 0.2
)

// workSeconds returns the time of one request without waiting, from the response time and the
// concurrency by Little's law, and false without a response.
func (w *window) workSeconds(places int) (float64, bool) {
	concurrency := w.concurrency()
	if (w.sums.Count < minWindowCount && w.sums.Busy < minWindowBusy) || concurrency <= 0 {
		return 0, false
	}
	used := utilization(concurrency, places) * float64(places)
	return w.responseSeconds() * min(used/concurrency, 1), true
}

// utilization returns the fraction of its places that an endpoint uses, given the mean number of
// requests that run or wait there: the inverse of the mean number in an M/M/c queue.
func utilization(concurrency float64, places int) float64 {
	low, high := 0.0, 1.0
	for range 20 {
		middle := (low + high) / 2
		if queueLength(middle, places) < concurrency {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// queueLength returns the mean number of requests that run or wait in an M/M/c queue.
func queueLength(used float64, places int) float64 {
	offered := used * float64(places)
	blocking := 1.0 // Erlang B
	for i := 1; i <= places; i++ {
		blocking = offered * blocking / (float64(i) + offered*blocking)
	}
	waiting := blocking / (1 - used*(1-blocking)) // Erlang C
	return offered + waiting*used/(1-used)
}

// endpointState is the evidence on one incarnation of an endpoint.
type endpointState struct {
	// fast and slow are the windows of the estimate. long does not start again after a change:
	// requests are rejected for lasting changes only.
	fast, slow, long window
	updatedAt        time.Time
	// prior is the work that is assumed, with the weight of priorSamples responses.
	prior        float64
	priorSamples float64
	failureRate  float64
	// slower and faster detect changes.
	slower, faster shift
	// usual is the work in seconds before the last change, at changedAt, or 0.
	usual     float64
	changedAt time.Time
	// restartedAt is the time at which the longer window last started again.
	restartedAt time.Time
}

func (s *endpointState) advance(now time.Time) {
	elapsed := now.Sub(s.updatedAt)
	if elapsed <= 0 {
		return
	}
	s.fast.decay(elapsed, fastTime)
	s.slower.since.decay(elapsed, slowTime)
	s.faster.since.decay(elapsed, slowTime)
	if s.usual > 0 && now.Sub(s.changedAt) > usualRetention {
		s.usual = 0
	}
	// Directly after a change, the longer window may still contain responses from before it.
	s.slow.decay(elapsed, min(max(now.Sub(s.restartedAt), fastTime), slowTime))
	s.long.decay(elapsed, longTime)
	s.failureRate *= math.Exp2(-elapsed.Seconds() / failureHalfLife.Seconds())
	s.updatedAt = now
}

// add adds sums whose last response is of some age. It reports whether they show that the endpoint has
// changed.
func (s *endpointState) add(now time.Time, sums Sums, length, age time.Duration, places int) bool {
	s.advance(now)
	before := s.work(places)
	s.fast.addSpread(sums, spreadFactor(length, fastTime))
	s.slow.addSpread(sums, spreadFactor(length, slowTime))
	s.long.addSpread(sums, spreadFactor(length, longTime))
	s.failureRate *= math.Pow(1-successWeight, sums.Count)
	s.failureRate = 1 - (1-s.failureRate)*math.Pow(1-failureWeight, sums.Failures)
	sample, count := s.sampleWork(sums, places)
	if count == 0 || before <= 0 || age > maxChangeAge {
		return false
	}
	slower, faster, threshold := before*shiftFactor, before/shiftFactor, shiftThreshold
	if s.usual > 0 && s.usual < before {
		faster, threshold = s.usual, returnThreshold
	}
	s.slower.add(sums, count, sample, before, slower)
	s.faster.add(sums, count, sample, before, faster)
	switch {
	case s.slower.score > shiftThreshold:
		if s.usual == 0 {
			s.usual, s.changedAt = before, now
		}
		s.restart(now, s.slower.since)
		return true
	case s.faster.score > threshold:
		s.restart(now, s.faster.since)
		if s.usual > 0 {
			s.prior, s.priorSamples, s.usual = s.usual, usualSamples, 0
		}
		return true
	}
	return false
}

// sampleWork returns the work in seconds that sums show and the number of responses that it comes
// from, 0 if they show none. Requests without a response for a long time count as one.
func (s *endpointState) sampleWork(sums Sums, places int) (work, count float64) {
	mean, count := 0.0, sums.Count
	if count > 0 {
		mean = sums.Seconds / count
	} else if mean = sums.Busy; mean > minWindowBusy {
		count = 1
	}
	concurrency := s.fast.concurrency()
	if mean <= 0 || count == 0 || concurrency <= 0 {
		return 0, 0
	}
	return mean * min(utilization(concurrency, places)*float64(places)/concurrency, 1), count
}

// restart makes the longer window start from the responses since a change.
func (s *endpointState) restart(now time.Time, since window) {
	s.slow, s.priorSamples, s.restartedAt = since, 0, now
	s.slower, s.faster = shift{}, shift{}
}

// shift detects a change of the work by the cumulative sum of the log-likelihood ratio of two
// values (Page, "Continuous Inspection Schemes", 1954).
type shift struct {
	score float64
	// since contains the responses since the score was last 0, which is when the change began if
	// there is one.
	since window
}

// add adds sums with a number of responses that show a mean work. before is the present estimate and
// after the value that is tested.
func (d *shift) add(sums Sums, count, sample, before, after float64) {
	distance := math.Log(after / before)
	middle := math.Log(after*before) / 2
	score := d.score + count*distance*(math.Log(sample)-middle)/logVariance
	if score <= 0 {
		*d = shift{}
		return
	}
	d.score = score
	d.since.scale(sinceKeep)
	d.since.add(sums)
}

// work returns the estimated work in seconds, 0 if nothing is known.
func (s *endpointState) work(places int) float64 {
	measured, ok := s.slow.workSeconds(places)
	if !ok {
		return s.prior
	}
	count := s.slow.sums.Count
	return (measured*count + s.prior*s.priorSamples) / (count + s.priorSamples)
}

// setPrior sets the work that is assumed, if it has more weight than what was assumed before.
func (s *endpointState) setPrior(work, samples float64) {
	if samples > s.priorSamples && work > 0 {
		s.prior, s.priorSamples = work, samples
	}
}

// priorWeight returns the weight of an estimate of another aggregator, in responses.
func priorWeight(samples float64, age time.Duration) float64 {
	return min(samples, maxPriorSamples) * math.Exp2(-age.Seconds()/priorHalfLife.Seconds())
}

// estimate returns the Estimate for a latency target. fallback is the work in seconds that is
// assumed if nothing is known.
func (s *endpointState) estimate(now time.Time, places int, target time.Duration, fallback float64) Estimate {
	s.advance(now)
	work := s.work(places)
	if work <= 0 {
		work = fallback
	}
	rate := float64(places) / work * timeliness(work, target)
	return Estimate{
		Work: time.Duration(work * float64(time.Second)), Samples: s.slow.sums.Count + s.priorSamples,
		Rate: rate, Concurrency: max(rate*slowFraction*target.Seconds(), 1),
		Queued: s.fast.concurrency(),
		Load:   utilization(s.fast.concurrency(), places), FailureRate: s.failureRate,
	}
}

// capacity returns the requests a second that the endpoint completes in time, as far as it has
// been seen for some time.
func (s *endpointState) capacity(places int, target time.Duration, fallback float64) float64 {
	work, ok := s.long.workSeconds(places)
	if !ok {
		work = s.work(places)
	}
	if work <= 0 {
		work = fallback
	}
	return float64(places) / work * timeliness(work, target) * (1 - s.failureRate)
}

// timeliness returns the part of its capacity that an endpoint with a given work is used for.
func timeliness(work float64, target time.Duration) float64 {
	return min(max(2*(1-work/target.Seconds()), minTimeliness), 1)
}
