package dispatch

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const (
	// firstCooldown is the pause after one failure; it doubles with each more.
	firstCooldown = 500 * time.Millisecond
	maxCooldown   = 30 * time.Second
	// limitPeriod spaces changes of an endpoint's limit.
	limitPeriod = time.Second
	// limitDecrease is the factor for an endpoint whose token gap is over target.
	limitDecrease = 0.8
	// gapSamples is the number of requests before a token gap is believed.
	gapSamples = 3
	// busyPause is the pause after an endpoint refused a request as full.
	busyPause = 100 * time.Millisecond
	// cachedPrefixes bounds the prefixes remembered for one endpoint.
	cachedPrefixes = 4096
)

// health is what was measured of an endpoint's failures.
type health struct {
	failures  int
	coolUntil time.Time
	failedAt  time.Time
	// probing is true while the one request is granted that finds out whether
	// the endpoint works again.
	probing bool
}

// isOpen reports whether the endpoint may be granted to a request.
func (h *health) isOpen(now time.Time) bool {
	return !now.Before(h.coolUntil) && !h.probing
}

// fail closes the endpoint for a pause. Where lost endpoints are removed soon,
// requests that fail together count once, so that one that has only broken its
// connections is back early; elsewhere they make the first pause long. longest bounds
// the pause there, and is 0 elsewhere.
func (h *health) fail(now time.Time, longest time.Duration) {
	if longest > 0 && now.Before(h.coolUntil) && now.Sub(h.failedAt) < firstCooldown {
		return
	}
	h.failedAt = now
	if longest == 0 {
		longest = maxCooldown
	}
	pause := min(firstCooldown<<min(h.failures, 10), longest)
	h.failures++
	h.coolUntil = now.Add(pause)
}

func (h *health) succeed() {
	h.failures = 0
	h.probing = false
}

// grant notes a request; the first one after a failure is a probe.
func (h *health) grant() {
	h.probing = h.failures > 0
}

// settle notes the end of a request, whatever came of it.
func (h *health) settle() {
	h.probing = false
}

// prefillEndpoint is the exact account of one prefill endpoint.
type prefillEndpoint struct {
	endpoint    ticket.Endpoint
	health      health
	outstanding int
	// tokens are the outstanding prompt tokens of each rank.
	tokens    []float64
	busySince time.Time
	rate      mean
	prefixes  *prefixCache
	link      *linkState
	present   bool
	// suspects counts the suspected requests in prefill.
	suspects int
}

func newPrefillEndpoint(endpoint ticket.Endpoint, ranks int, link *linkState) *prefillEndpoint {
	return &prefillEndpoint{
		endpoint: endpoint, tokens: make([]float64, ranks),
		prefixes: newPrefixCache(cachedPrefixes), link: link, present: true,
	}
}

// tokensPerSecond is the measured rate, or the nominal one before that.
func (e *prefillEndpoint) tokensPerSecond() float64 {
	return e.rate.or(e.endpoint.TokensPerSecond)
}

// backlog returns the time until the endpoint would begin one more request of a
// rank, given that it serves more urgent ranks first.
func (e *prefillEndpoint) backlog(now time.Time, rank int) time.Duration {
	if e.outstanding == 0 {
		return 0
	}
	urgent, all := 0.0, 0.0
	for i, tokens := range e.tokens {
		all += tokens
		if i <= rank {
			urgent += tokens
		}
	}
	speed := e.tokensPerSecond()
	left := all/speed - now.Sub(e.busySince).Seconds()
	left = max(min(left, urgent/speed), 0)
	return time.Duration(left * float64(time.Second))
}

func (e *prefillEndpoint) reserve(now time.Time, rank int, tokens float64) {
	if e.outstanding == 0 {
		e.busySince = now
	}
	e.outstanding++
	e.tokens[rank] += tokens
}

func (e *prefillEndpoint) release(now time.Time, rank int, tokens float64) {
	e.outstanding--
	e.tokens[rank] = max(e.tokens[rank]-tokens, 0)
	e.busySince = now
}

// forget drops the measured rate of an endpoint that has long had no work.
func (e *prefillEndpoint) forget(now time.Time) {
	if e.outstanding == 0 && now.Sub(e.busySince) > estimateLife {
		e.rate = mean{}
	}
}

// isUsable reports whether the endpoint belongs to the shard and stays.
func (e *prefillEndpoint) isUsable() bool {
	return e.present && !e.endpoint.Leaving
}

func (e *prefillEndpoint) isOpen(now time.Time) bool {
	return e.isUsable() && e.health.isOpen(now) && e.outstanding < e.endpoint.Places
}

// decodeEndpoint is the exact account of one decode or plain endpoint.
type decodeEndpoint struct {
	endpoint ticket.Endpoint
	health   health
	// used and pieces are the places and memory pieces that are reserved.
	used   int
	pieces int
	// lastDone is the time at which a place became free.
	lastDone time.Time
	// prompts counts the requests whose prompt it computes itself.
	prompts int
	// promptAt is the time of the last of them.
	promptAt time.Time
	// holds are the requests that have the places.
	holds map[RequestID]*hold
	// demands are the memory demands of the holds at demandsAt, which is zero after a
	// change of the holds.
	demands   []demand
	demandsAt time.Time
	// limit is the number of places in use at most. It is below the configured
	// number while the measured token gap is over target.
	limit     float64
	limitAt   time.Time
	gap       mean
	busyUntil time.Time
	link      *linkState
	present   bool
	// savedFor is a request that waits for enough memory pieces to become free.
	savedFor *queuedRequest
	// suspects counts the suspected requests in decode.
	suspects int
}

func newDecodeEndpoint(endpoint ticket.Endpoint, link *linkState) *decodeEndpoint {
	return &decodeEndpoint{endpoint: endpoint, limit: float64(endpoint.Places), link: link, present: true, holds: map[RequestID]*hold{}}
}

// forget drops the measured token gap of an endpoint that has long had no work.
func (e *decodeEndpoint) forget(now time.Time) {
	if e.used == 0 && now.Sub(e.lastDone) > estimateLife {
		e.gap = mean{}
	}
}

func (e *decodeEndpoint) places() int {
	return min(int(e.limit), e.endpoint.Places)
}

// isUsable reports whether the endpoint belongs to the shard and stays.
func (e *decodeEndpoint) isUsable() bool {
	return e.present && !e.endpoint.Leaving
}

func (e *decodeEndpoint) isOpen(now time.Time) bool {
	return e.isUsable() && e.health.isOpen(now) && !now.Before(e.busyUntil)
}

func (e *decodeEndpoint) free() int {
	return e.places() - e.used
}

// fits reports whether the endpoint has memory for pieces more.
func (e *decodeEndpoint) fits(pieces int) bool {
	return e.endpoint.Pieces == 0 || e.pieces+pieces <= e.endpoint.Pieces
}

// measure takes a request's mean token gap, of which usual are the seconds elsewhere, and adapts the
// limit: it falls by a factor while the gap is over target and rises by one place a
// period.
func (e *decodeEndpoint) measure(now time.Time, gap time.Duration, usual float64, target time.Duration) {
	e.gap.addTo(usual, gap.Seconds())
	if e.gap.samples < gapSamples || now.Sub(e.limitAt) < limitPeriod {
		return
	}
	e.limitAt = now
	if e.gap.value > target.Seconds() {
		e.limit = max(e.limit*limitDecrease, 1)
		return
	}
	e.limit = min(e.limit+1, float64(e.endpoint.Places))
}

// linkState is the account of one shared transfer link.
type linkState struct {
	bytesPerSecond float64
	outstanding    float64
}

// transferTime returns the predicted time to move bytes more over the link.
func (l *linkState) transferTime(bytes float64) time.Duration {
	if l == nil || l.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration((l.outstanding + bytes) / l.bytesPerSecond * float64(time.Second))
}

func (l *linkState) reserve(bytes float64) {
	if l != nil {
		l.outstanding += bytes
	}
}

func (l *linkState) release(bytes float64) {
	if l != nil {
		l.outstanding = max(l.outstanding-bytes, 0)
	}
}
