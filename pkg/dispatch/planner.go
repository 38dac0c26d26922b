package dispatch

import (
	"sort"
	"time"

	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// hold is a granted request with everything that it reserves.
type hold struct {
	request Request
	stage   Stage
	prefill *prefillEndpoint
	decode  *decodeEndpoint
	// prefillTokens is the number of prompt tokens that the endpoint has not cached.
	prefillTokens float64
	// bytes is the size of the KV cache to transfer, pieces the number of reserved memory
	// pieces, and work the predicted work in prompt tokens.
	bytes    float64
	pieces   int
	work     float64
	priority int
	// isAdopted is true if a previous owner granted the request, so that the start of its
	// prefill is unknown.
	isAdopted bool
	// isComputingPrompt is true while the decode endpoint computes the prompt.
	isComputingPrompt bool
	// priorOutputTokens is the number of output tokens generated before decodeAt.
	priorOutputTokens int
	// predictedLoad is the predicted load of the decode endpoint with this request.
	predictedLoad float64
	// requestsAtGrant is the number of other requests that the decode endpoint ran at the
	// time of the grant.
	requestsAtGrant int
	grantedAt       time.Time
	// startedAt is the time of the first token. decodeAt is the same, or the time of
	// adoption, when priorOutputTokens had been generated.
	startedAt time.Time
	decodeAt  time.Time
}

// Planner schedules the requests of one shard. It is a pure state machine: it reads no
// clock and starts no goroutine. It is not safe for concurrent use.
type Planner struct {
	service ticket.Service
	queues  *rankQueues
	// prefill and decode are sorted by endpoint name.
	prefill []*prefillEndpoint
	decode  []*decodeEndpoint
	byName  map[string]*decodeEndpoint
	links   map[string]*linkState
	holds   map[RequestID]*hold
	fencing FencingNumber

	// freeDecode is the number of free decode places. refresh counts them, and each grant
	// takes one.
	freeDecode int
	// holdTime is the mean time from the grant to the end of a request, in seconds.
	holdTime mean
	// waitTime is the part of holdTime before the first token. decodeTime is the rest, as the
	// median endpoint would take for the same outputs.
	waitTime   mean
	decodeTime mean
	// tokenGap is the mean time between output tokens over all decode endpoints, in
	// seconds.
	tokenGap mean
	// gapTrend is the time between tokens, in seconds, as a function of the number of
	// requests that the endpoint runs. Those of slow and fast endpoints are converted to that
	// of the median endpoint, since slow endpoints run fewer requests.
	gapTrend trend
	// gapGrowth is how the token gap of one endpoint depends on the number of its requests.
	gapGrowth gapGrowth
	// prefillFactor is the mean ratio of the measured to the configured prefill rate over all
	// prefill endpoints.
	prefillFactor mean
	// isSuccessor is true if another owner may have measured the endpoints before.
	isSuccessor bool
	// promptWork is the mean number of prompt tokens that are computed for a request.
	promptWork mean
	// offeredPrompt and offeredOutput are the mean prompt length and predicted output
	// length of offered requests, in tokens.
	offeredPrompt mean
	offeredOutput mean
	// footprint is the mean memory of a request over the time for which it runs, in
	// tokens.
	footprint mean
	// moves are the pending moves of engines between the pools; nextMoveAt is the earliest
	// time of the next move.
	moves      []pendingMove
	nextMoveAt time.Time
	// rebalanceFrom is the time from which the holds and endpoints of the shard count as
	// complete, so that engines may be moved.
	rebalanceFrom time.Time
	// retryTimes are the retry times of rejected callers.
	retryTimes *retryTimes
	// blocked is reused between decisions to avoid allocations.
	blocked []*callerQueue
	// gaps is reused between comparisons of speeds to avoid allocations.
	gaps []float64
}

// NewPlanner returns a Planner without endpoints. The fencing numbers of its grants
// are greater than fencing.
func NewPlanner(service ticket.Service, fencing FencingNumber) *Planner {
	return &Planner{
		service:    service,
		queues:     newRankQueues(service.Ranks),
		byName:     map[string]*decodeEndpoint{},
		links:      map[string]*linkState{},
		holds:      map[RequestID]*hold{},
		fencing:    fencing,
		retryTimes: newRetryTimes(),
	}
}

// SetEndpoints replaces the service settings, the ranks and the endpoints of the shard. Removed
// endpoints keep their reservations until these end, and receive no new requests.
func (p *Planner) SetEndpoints(s shard.Shard) {
	p.service = s.Service
	p.setRanks(s.Service.Ranks)
	for _, e := range p.prefill {
		e.inShard = false
	}
	for _, e := range p.decode {
		e.inShard = false
	}
	for _, endpoint := range s.Prefill {
		p.setPrefill(endpoint)
	}
	for _, endpoint := range s.Decode {
		p.setDecode(endpoint)
	}
	p.removeAbsent()
	sort.Slice(p.prefill, func(i, j int) bool { return p.prefill[i].endpoint.Name < p.prefill[j].endpoint.Name })
	sort.Slice(p.decode, func(i, j int) bool { return p.decode[i].endpoint.Name < p.decode[j].endpoint.Name })
}

// removeAbsent removes the endpoints that are no longer in the shard and have no
// reservations.
func (p *Planner) removeAbsent() {
	prefill := p.prefill[:0]
	for _, e := range p.prefill {
		if e.inShard || e.outstanding > 0 {
			prefill = append(prefill, e)
		}
	}
	p.prefill = prefill
	decode := p.decode[:0]
	for _, e := range p.decode {
		if e.inShard || e.used > 0 {
			decode = append(decode, e)
			continue
		}
		delete(p.byName, e.endpoint.Name)
	}
	p.decode = decode
}

func (p *Planner) setPrefill(endpoint ticket.Endpoint) {
	link := p.link(endpoint)
	for _, e := range p.prefill {
		if e.endpoint.Name == endpoint.Name {
			e.replace(endpoint, link)
			return
		}
	}
	e := newPrefillEndpoint(endpoint, p.retryPriority()+1, link)
	e.poolFactor, e.startsFromPool = &p.prefillFactor, p.isSuccessor
	p.prefill = append(p.prefill, e)
}

func (p *Planner) setDecode(endpoint ticket.Endpoint) {
	link := p.link(endpoint)
	if e, ok := p.byName[endpoint.Name]; ok {
		if endpoint.Places != e.endpoint.Places {
			e.limit = float64(endpoint.Places)
		}
		if isReplaced(e.endpoint, endpoint) {
			e.tokenGap = mean{}
			if p.tokenGap.samples >= minServiceGapSamples {
				e.tokenGap = mean{value: p.tokenGap.value, samples: priorSampleCount}
			}
			e.speed.clear()
			e.measuredAt = time.Time{}
			e.limit = max(p.meanLimitShare(e)*float64(endpoint.Places), 1)
		}
		e.endpoint, e.link, e.inShard = endpoint, link, true
		return
	}
	e := newDecodeEndpoint(endpoint, link)
	p.decode = append(p.decode, e)
	p.byName[endpoint.Name] = e
}

// meanLimitShare returns the mean limit of the other decode endpoints as a share of their places,
// 1 without others.
func (p *Planner) meanLimitShare(except *decodeEndpoint) float64 {
	total, count := 0.0, 0.0
	for _, e := range p.decode {
		if e != except && e.isUsable() && e.endpoint.Places > 0 {
			total += e.limit / float64(e.endpoint.Places)
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return min(total/count, 1)
}

// link returns the state of an endpoint's link, nil for an unlimited one.
func (p *Planner) link(endpoint ticket.Endpoint) *linkState {
	if endpoint.Link == "" || endpoint.LinkBytesPerSecond <= 0 {
		return nil
	}
	link, ok := p.links[endpoint.Link]
	if !ok {
		link = &linkState{}
		p.links[endpoint.Link] = link
	}
	link.bytesPerSecond = endpoint.LinkBytesPerSecond
	return link
}

// decodeLimit returns the maximum number of decode places in use.
func (p *Planner) decodeLimit() int {
	total := 0
	for _, e := range p.decode {
		if e.isUsable() {
			total += e.places()
		}
	}
	return total
}

// decodeConcurrency returns the number of requests that all decode endpoints run
// concurrently when they are full.
func (p *Planner) decodeConcurrency() float64 {
	total := 0.0
	for _, e := range p.decode {
		if e.isUsable() {
			total += p.concurrency(e)
		}
	}
	return total
}

// prefillRate returns the prompt tokens per second of all prefill endpoints.
func (p *Planner) prefillRate() float64 {
	total := 0.0
	for _, e := range p.prefill {
		if e.isUsable() {
			total += e.tokensPerSecond()
		}
	}
	return total
}

// firstStep returns the time from the end of a prefill to the first token: the
// configured value of the service, or the target token gap of the rank.
func (p *Planner) firstStep(rank int) time.Duration {
	if p.service.FirstStep > 0 {
		return time.Duration(p.service.FirstStep)
	}
	return p.queues.ranks[rank].targets.tokenGap
}

// refresh updates the state that depends on time: it counts the free decode places
// and drops outdated measurements of idle endpoints.
func (p *Planner) refresh(now time.Time) {
	for _, e := range p.prefill {
		e.expireRate(now)
	}
	p.freeDecode = 0
	for _, e := range p.decode {
		e.expireTokenGap(now)
		if e.isOpen(now) {
			p.freeDecode += max(e.freePlaces(), 0)
		}
	}
}

func (h *hold) toHold() Hold {
	result := Hold{Request: h.request, Stage: h.stage, Decode: h.decode.endpoint.Name}
	if h.prefill != nil {
		result.Prefill = h.prefill.endpoint.Name
	}
	return result
}

// Adopt takes over a hold that a previous owner granted. It ignores a hold whose
// decode endpoint is not in this shard, and one of a request that is already queued or
// granted.
func (p *Planner) Adopt(now time.Time, adopted Hold) {
	decode, ok := p.byName[adopted.Decode]
	if !ok || p.hasRequest(adopted.Request.ID) {
		return
	}
	adopted.Request.Rank = p.clampRank(adopted.Request.Rank)
	h := &hold{
		request: adopted.Request, stage: StageDecode, decode: decode, priority: adopted.Request.Rank,
		pieces: memoryPieces(p.service, adopted.Request), prefillTokens: float64(adopted.Request.PromptTokens),
		grantedAt: now.Add(-adopted.DecodingTime), startedAt: now.Add(-adopted.DecodingTime), decodeAt: now, priorOutputTokens: adopted.OutputTokens, requestsAtGrant: decode.used, isAdopted: true,
	}
	if adopted.OutputTokens > 0 && adopted.DecodingTime > 0 {
		gap := adopted.DecodingTime.Seconds() / float64(adopted.OutputTokens)
		decode.tokenGap.addWithPrior(p.defaultTokenTime(), gap)
		decode.measuredAt = now
		p.tokenGap.add(gap)
	}
	for _, e := range p.prefill {
		if e.endpoint.Name == adopted.Prefill && adopted.Stage != StageDecode {
			h.prefill = e
			h.stage = adopted.Stage
		}
	}
	p.reserve(now, h)
}

// suspectCount returns 1 for a suspect request and 0 for others.
func suspectCount(r Request) int {
	if r.Suspect {
		return 1
	}
	return 0
}

// reserve records the hold and reserves everything that it needs at its stage.
func (p *Planner) reserve(now time.Time, h *hold) {
	h.decode.used++
	h.decode.usedPieces += h.pieces
	h.decode.holds[h.request.ID] = h
	h.decode.demandsAt = time.Time{}
	h.decode.suspects += suspectCount(h.request)
	p.holds[h.request.ID] = h
	if h.prefill == nil || h.stage == StageDecode {
		return
	}
	if h.stage == StagePrefill {
		h.prefill.reserve(now, h.priority, h.prefillTokens)
		h.prefill.suspects += suspectCount(h.request)
	}
	h.prefill.link.reserve(h.bytes)
	if h.decode.link != h.prefill.link {
		h.decode.link.reserve(h.bytes)
	}
}

// WithdrawMatching removes the queued requests that match selects and returns the holds
// that match selects, sorted by request. These stay reserved until Done is called for
// each, after the endpoint has confirmed that it no longer runs the request.
func (p *Planner) WithdrawMatching(match func(Request) bool) []Hold {
	for id, w := range p.queues.queued {
		if match(w.request) {
			p.Withdraw(id)
		}
	}
	var holds []Hold
	for _, h := range p.holds {
		if match(h.request) {
			holds = append(holds, h.toHold())
		}
	}
	sort.Slice(holds, func(i, j int) bool { return holds[i].Request.ID < holds[j].Request.ID })
	return holds
}
