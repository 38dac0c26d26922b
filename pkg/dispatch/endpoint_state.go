package dispatch

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const (
	// initialCooldown is the time for which an endpoint gets no requests after one failure.
	// It doubles with each further failure, up to maxCooldown.
	initialCooldown = 500 * time.Millisecond
	maxCooldown     = 30 * time.Second
	// limitInterval is the minimum time between changes of an endpoint's limit.
	limitInterval = time.Second
	// limitDecreaseFactor multiplies the limit of an endpoint whose token gap exceeds the
	// target.
	limitDecreaseFactor = 0.8
	// minEndpointGapSamples is the number of samples of an endpoint's token gap from
	// which on its limit is adapted.
	minEndpointGapSamples = 3
	// busyCooldown is the time for which an endpoint gets no requests after it rejected one
	// because it was full.
	busyCooldown = 100 * time.Millisecond
	// minPoolRateSamples is the number of prefills from which on the mean rate of the pool
	// replaces the configured rate.
	minPoolRateSamples = 16
	// cachedPrefixLimit limits the prefixes stored for one endpoint.
	cachedPrefixLimit = 4096
)

// health tracks the failures of an endpoint and its cooldown after them.
type health struct {
	failures      int
	cooldownUntil time.Time
	failedAt      time.Time
	// isProbing is true while one granted request tests whether the endpoint works
	// again.
	isProbing bool
}

// isOpen reports whether the endpoint is neither in a cooldown nor being probed.
func (h *health) isOpen(now time.Time) bool {
	return !now.Before(h.cooldownUntil) && !h.isProbing
}

// recordFailure starts or extends the cooldown of the endpoint. cooldownLimit is set where
// lost endpoints are removed soon, and 0 elsewhere. Where it is set, it limits the
// cooldown, and requests that fail together count once. An endpoint that has only broken
// its connections is thus used again early. Where it is 0, requests that fail together
// lengthen the first cooldown.
func (h *health) recordFailure(now time.Time, cooldownLimit time.Duration) {
	if cooldownLimit > 0 && now.Before(h.cooldownUntil) && now.Sub(h.failedAt) < initialCooldown {
		return
	}
	h.failedAt = now
	if cooldownLimit == 0 {
		cooldownLimit = maxCooldown
	}
	cooldown := min(initialCooldown<<min(h.failures, 10), cooldownLimit)
	h.failures++
	h.cooldownUntil = now.Add(cooldown)
}

func (h *health) recordSuccess() {
	h.failures = 0
	h.isProbing = false
}

// recordGrant records that a request was granted. The first one after a failure is a
// probe.
func (h *health) recordGrant() {
	h.isProbing = h.failures > 0
}

// endProbe records that a request ended, with any outcome.
func (h *health) endProbe() {
	h.isProbing = false
}

// prefillEndpoint tracks the reservations and measured values of one prefill endpoint.
type prefillEndpoint struct {
	endpoint    ticket.Endpoint
	health      health
	outstanding int
	// tokens are the outstanding prompt tokens of each priority.
	tokens []float64
	// busySince is the time at which the endpoint began the first outstanding prefill, or
	// at which its last prefill ended if none is outstanding.
	busySince time.Time
	// rate is the measured number of prompt tokens per second, and measuredAt the time of the
	// last measurement.
	rate       mean
	measuredAt time.Time
	// poolFactor is the mean ratio of the measured to the configured rate over all endpoints
	// of the Planner. startsFromPool is true if it applies to this endpoint until its first
	// measurement.
	poolFactor     *mean
	startsFromPool bool
	prefixes       *prefixCache
	link           *linkState
	inShard        bool
	// suspects is the number of suspect requests in prefill.
	suspects int
}

func newPrefillEndpoint(endpoint ticket.Endpoint, priorities int, link *linkState) *prefillEndpoint {
	return &prefillEndpoint{
		endpoint: endpoint, tokens: make([]float64, priorities),
		prefixes: newPrefixCache(cachedPrefixLimit), link: link, inShard: true,
	}
}

// tokensPerSecond returns the measured rate, or the default before the first measurement.
func (e *prefillEndpoint) tokensPerSecond() float64 {
	return e.rate.valueOr(e.defaultRate())
}

// defaultRate returns the rate of an endpoint without samples: the configured one. That of a
// replaced endpoint, or of one that this owner has never measured, is corrected by the mean of
// the pool. An endpoint that was idle has the configured rate, since measured rates include
// delays of messages: with the mean of the pool, the decisions of a site with equal engines
// missed bounds.
func (e *prefillEndpoint) defaultRate() float64 {
	if !e.startsFromPool || e.poolFactor.samples < minPoolRateSamples {
		return e.endpoint.TokensPerSecond
	}
	return e.endpoint.TokensPerSecond * e.poolFactor.value
}

// recordRate records a measured rate.
func (e *prefillEndpoint) recordRate(now time.Time, rate float64) {
	e.rate.addWithPrior(e.defaultRate(), rate)
	e.measuredAt, e.startsFromPool = now, false
	if e.endpoint.TokensPerSecond > 0 {
		e.poolFactor.add(rate / e.endpoint.TokensPerSecond)
	}
}

// replace sets the description of the endpoint. The estimates of another incarnation are
// dropped: its process may run on another machine.
func (e *prefillEndpoint) replace(endpoint ticket.Endpoint, link *linkState) {
	if isReplaced(e.endpoint, endpoint) {
		e.rate, e.startsFromPool = mean{}, true
	}
	e.endpoint, e.link, e.inShard = endpoint, link, true
}

// isReplaced reports whether two descriptions of an endpoint are of different incarnations.
func isReplaced(before, after ticket.Endpoint) bool {
	return !before.Born.IsZero() && !after.Born.IsZero() && !before.Born.Equal(after.Born)
}

// backlog returns the time until the endpoint would begin one more request of a priority,
// given that it serves more urgent priorities first.
func (e *prefillEndpoint) backlog(now time.Time, priority int) time.Duration {
	if e.outstanding == 0 {
		return 0
	}
	urgent, all := 0.0, 0.0
	for i, tokens := range e.tokens {
		all += tokens
		if i <= priority {
			urgent += tokens
		}
	}
	speed := e.tokensPerSecond()
	wait := all/speed - now.Sub(e.busySince).Seconds()
	wait = max(min(wait, urgent/speed), 0)
	return time.Duration(wait * float64(time.Second))
}

func (e *prefillEndpoint) reserve(now time.Time, priority int, tokens float64) {
	if e.outstanding == 0 {
		e.busySince = now
	}
	e.outstanding++
	e.tokens[priority] += tokens
}

func (e *prefillEndpoint) release(now time.Time, priority int, tokens float64) {
	e.outstanding--
	e.tokens[priority] = max(e.tokens[priority]-tokens, 0)
	e.busySince = now
}

// expireRate drops the measured rate of an endpoint that has had no work for
// idleEstimateTimeout.
func (e *prefillEndpoint) expireRate(now time.Time) {
	if e.outstanding == 0 && now.Sub(e.busySince) > idleEstimateTimeout {
		e.rate = mean{}
	}
}

// isUsable reports whether the endpoint is in the shard and is not leaving.
func (e *prefillEndpoint) isUsable() bool {
	return e.inShard && !e.endpoint.Leaving
}

func (e *prefillEndpoint) isOpen(now time.Time) bool {
	return e.isUsable() && e.health.isOpen(now) && e.outstanding < e.endpoint.Places
}

// decodeEndpoint tracks the reservations and measured values of one decode or plain
// endpoint.
type decodeEndpoint struct {
	endpoint ticket.Endpoint
	health   health
	// used and usedPieces are the numbers of reserved places and memory pieces.
	used       int
	usedPieces int
	// lastFreedAt is the time at which a place last became free.
	lastFreedAt time.Time
	// prompts is the number of requests whose prompts the endpoint is computing.
	prompts int
	// lastPromptAt is the time of the last grant of such a request.
	lastPromptAt time.Time
	// holds are the granted requests that occupy the places.
	holds map[RequestID]*hold
	// demands are the memory demands of the holds at the time demandsAt. demandsAt is zero
	// after a change of the holds.
	demands   []demand
	demandsAt time.Time
	// limit is the maximum number of places in use. It is below the configured number while the
	// measured token gap exceeds the target.
	limit          float64
	limitChangedAt time.Time
	tokenGap       mean
	speed          decodeSpeed
	// measuredAt is the time of the last sample of tokenGap.
	measuredAt time.Time
	busyUntil  time.Time
	link       *linkState
	inShard    bool
	// savedFor is the queued request for which the endpoint is saved until enough memory
	// pieces are free, or nil.
	savedFor *queuedRequest
	// suspects is the number of suspect requests in decode.
	suspects int
}

func newDecodeEndpoint(endpoint ticket.Endpoint, link *linkState) *decodeEndpoint {
	return &decodeEndpoint{endpoint: endpoint, limit: float64(endpoint.Places), link: link, inShard: true, holds: map[RequestID]*hold{}}
}

// expireTokenGap drops the measured token gap of an endpoint that has had no work for
// idleEstimateTimeout.
func (e *decodeEndpoint) expireTokenGap(now time.Time) {
	if e.used == 0 && now.Sub(e.lastFreedAt) > idleEstimateTimeout {
		e.tokenGap = mean{}
		e.speed.clear()
	}
}

func (e *decodeEndpoint) places() int {
	return min(int(e.limit), e.endpoint.Places)
}

// isUsable reports whether the endpoint is in the shard and is not leaving.
func (e *decodeEndpoint) isUsable() bool {
	return e.inShard && !e.endpoint.Leaving
}

func (e *decodeEndpoint) isOpen(now time.Time) bool {
	return e.isUsable() && e.health.isOpen(now) && !now.Before(e.busyUntil)
}

func (e *decodeEndpoint) freePlaces() int {
	return e.places() - e.used
}

// hasMemoryFor reports whether the endpoint has memory for the given number of further
// pieces.
func (e *decodeEndpoint) hasMemoryFor(pieces int) bool {
	return e.endpoint.Pieces == 0 || e.usedPieces+pieces <= e.endpoint.Pieces
}

// recordTokenGap records the mean token gap of a request and adapts the limit. The limit
// is multiplied by limitDecreaseFactor while the gap exceeds the target, and rises by one
// place per limitInterval otherwise. prior is the expected gap in seconds before the first
// sample.
func (e *decodeEndpoint) recordTokenGap(now time.Time, gap time.Duration, prior float64, target time.Duration) {
	e.tokenGap.addWithPrior(prior, gap.Seconds())
	e.measuredAt = now
	if e.tokenGap.samples < minEndpointGapSamples || now.Sub(e.limitChangedAt) < limitInterval {
		return
	}
	e.limitChangedAt = now
	if e.tokenGap.value > target.Seconds() {
		e.limit = max(e.limit*limitDecreaseFactor, 1)
		return
	}
	e.limit = min(e.limit+1, float64(e.endpoint.Places))
}

// linkState tracks the transfers over one shared link. A nil linkState is an unlimited
// link.
type linkState struct {
	bytesPerSecond float64
	outstanding    float64
}

// transferTime returns the predicted time until a further transfer of the given size ends.
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
