package dispatch

import (
	"container/heap"
	"time"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// placement is a choice of endpoints for one request, with the predicted times.
type placement struct {
	prefill *prefillEndpoint
	decode  *decodeEndpoint
	// freeShare is the free share of the decode endpoint, as Planner.freeShare returns it.
	freeShare float64
	// tokens is the number of prompt tokens that the prefill endpoint has not cached.
	tokens float64
	bytes  float64
	// firstToken is the predicted time from now to the first token.
	firstToken time.Duration
}

// schedule rejects queued requests that can no longer meet their targets, then
// grants requests until none fits.
func (p *Planner) schedule(now time.Time, decisions []Decision) []Decision {
	for {
		w, ok := p.queues.popExpired(now)
		if !ok {
			break
		}
		p.releaseSaved(w)
		decisions = append(decisions, p.reject(now, w.request, CauseTooLate))
	}
	p.refresh(now)
	for p.freeDecode > 0 && len(p.queues.queued) > 0 {
		decision, ok := p.grantNext(now)
		if !ok {
			break
		}
		decisions = append(decisions, decision)
	}
	return decisions
}

// grantNext decides on the first request that fits, in the order of ranks and
// callers.
func (p *Planner) grantNext(now time.Time) (Decision, bool) {
	if decision, ok := p.grantResumed(now); ok {
		return decision, true
	}
	if p.queues.areRetriesOwed() {
		if decision, ok := p.grantRetry(now, 1); ok {
			return decision, true
		}
	}
	for _, rank := range p.queues.schedulingOrder() {
		if !p.queues.isOwed(rank) && p.freeDecode <= p.headroomFor(now, rank) {
			continue
		}
		if decision, ok := p.grantRank(now, rank, p.queues.priority(rank)); ok {
			return decision, true
		}
	}
	if p.queues.countFresh() == 0 {
		return p.grantRetry(now, retryLoadLimit)
	}
	return Decision{}, false
}

// grantRank tries the callers of a rank in their order. It skips at most
// blockedCallerLimit callers whose next request does not fit.
func (p *Planner) grantRank(now time.Time, rank, priority int) (Decision, bool) {
	fair := p.queues.ranks[rank].fair
	p.blocked = p.blocked[:0]
	var decision Decision
	decided := false
	for len(fair.active) > 0 && len(p.blocked) < blockedCallerLimit {
		c := fair.active[0]
		if decision, decided = p.tryCaller(now, rank, priority, c); decided {
			break
		}
		p.blocked = append(p.blocked, heap.Pop(&fair.active).(*callerQueue))
	}
	for _, c := range p.blocked {
		heap.Push(&fair.active, c)
	}
	return decision, decided
}

// tryCaller decides on the next request of a caller. It grants the request if it fits
// now, and rejects it if it fits but would miss its target.
func (p *Planner) tryCaller(now time.Time, rank, priority int, c *callerQueue) (Decision, bool) {
	w := c.entries[0]
	choice, ok := p.choosePlacement(now, w, priority)
	if !ok {
		p.saveForBlocked(now, w)
		return Decision{}, false
	}
	target := p.queues.ranks[rank].targets.firstToken
	if now.Add(choice.firstToken).After(w.request.Arrival.Add(target)) {
		p.queues.remove(w.request.ID)
		p.releaseSaved(w)
		return p.reject(now, w.request, CauseTooLate), true
	}
	return p.grantCaller(now, rank, priority, c, choice), true
}

func (p *Planner) grantCaller(now time.Time, rank, priority int, c *callerQueue, choice placement) Decision {
	work := p.workOf(c.entries[0].request, choice)
	w := p.queues.dequeue(rank, c, work)
	p.queues.creditRetries(work)
	p.releaseSaved(w)
	return p.issueGrant(now, w, priority, work, choice)
}

// workOf returns the predicted work of a request at a placement, in prompt tokens.
func (p *Planner) workOf(request Request, choice placement) float64 {
	limit := float64(request.OutputTokens)
	output := min(p.queues.ranks[request.Rank].output.valueOr(limit), limit)
	return max(choice.tokens+outputTokenWork*output, 1)
}

// issueGrant reserves the resources of a request that has left its queue and returns
// the grant.
func (p *Planner) issueGrant(now time.Time, w *queuedRequest, priority int, work float64, choice placement) Decision {
	h := &hold{
		request: w.request, prefill: choice.prefill, decode: choice.decode,
		prefillTokens: choice.tokens, bytes: choice.bytes,
		pieces: memoryPieces(p.service, w.request),
		work:   work, priority: priority, grantedAt: now, startedAt: now, decodeAt: now,
		predictedLoad: 1 - choice.freeShare, requestsAtGrant: choice.decode.used,
	}
	result := Grant{ID: w.request.ID, Front: w.request.Front, Decode: choice.decode.endpoint.Name, Priority: priority}
	choice.decode.health.recordGrant()
	if choice.prefill == nil {
		h.stage = StageDecode
		if p.service.Kind == ticket.KindModel && !w.request.Cached {
			h.isComputingPrompt = true
			choice.decode.prompts++
			choice.decode.lastPromptAt = now
		}
	} else {
		result.Prefill = choice.prefill.endpoint.Name
		choice.prefill.health.recordGrant()
	}
	p.reserve(now, h)
	p.freeDecode--
	p.fencing++
	result.Fencing = p.fencing
	return Decision{Grant: result}
}

// choosePlacement chooses a decode endpoint and, where the request needs one, a prefill
// endpoint whose link has room. It reports false when the request does not fit now.
func (p *Planner) choosePlacement(now time.Time, w *queuedRequest, priority int) (placement, bool) {
	decode, free := p.chooseDecode(now, w)
	if decode == nil {
		return placement{}, false
	}
	choice := placement{decode: decode, freeShare: free}
	if p.needsNoPrefill(w.request) || p.choosePrefill(now, w, priority, &choice) {
		return choice, true
	}
	return choice, p.overflowToDecode(w, &choice)
}

const (
	// decodePrefillSlowdown is the ratio of the time that a decode endpoint takes for a
	// prompt to that of a prefill endpoint. The decode endpoint computes the prompt
	// between the tokens of its other requests.
	decodePrefillSlowdown = 2.5
	// overflowLoadLimit is the load above which a decode endpoint computes no prompts,
	// since they slow the tokens of all requests that it runs.
	overflowLoadLimit = 0.85
	// prefillShortageThreshold is the ratio of the rate of the prefill pool to that of
	// the decode pool below which the prefill pool is far too small: it has lost
	// engines, or engines are being moved to it.
	prefillShortageThreshold = 0.75
	// shortageLoadLimit is the load above which a decode endpoint computes no prompts
	// during such a shortage.
	shortageLoadLimit = 0.6
)

// overflowToDecode completes a placement with only the decode endpoint, which then
// computes the prompt. It does so when no prefill endpoint can take the request in time,
// or when the prefill pool is far too small and the decode endpoint is about half empty.
// Otherwise waiting serves callers better, since a prompt slows the tokens of all requests
// that a decode endpoint runs.
func (p *Planner) overflowToDecode(w *queuedRequest, choice *placement) bool {
	canPrefill := p.canPrefillBefore(w.request, w.latestStart)
	loadLimit := overflowLoadLimit
	if canPrefill {
		loadLimit = shortageLoadLimit
	}
	if !p.service.DecodeReadsPrompts || choice.decode.prompts > 0 || 1-choice.freeShare > loadLimit {
		return false
	}
	if canPrefill && !p.isPrefillShort() {
		return false
	}
	choice.tokens, choice.firstToken = float64(w.request.PromptTokens), p.decodePrefillTime(w.request)
	return true
}

// canPrefillBefore reports whether a prefill endpoint can take a request before latest.
func (p *Planner) canPrefillBefore(request Request, latest time.Time) bool {
	for _, e := range p.prefill {
		if e.isUsable() && e.health.cooldownUntil.Before(latest) && !request.excludes(e.endpoint.Name) {
			return true
		}
	}
	return false
}

// isPrefillShort reports whether the prefill pool serves far fewer requests per second
// than the decode pool.
func (p *Planner) isPrefillShort() bool {
	prefill, decode, ok := p.poolRates()
	return ok && prefill < prefillShortageThreshold*decode
}

// decodePrefillTime returns the time to the first token when a decode endpoint
// computes the prompt.
func (p *Planner) decodePrefillTime(r Request) time.Duration {
	seconds := float64(r.PromptTokens) / p.maxPromptRate() * decodePrefillSlowdown
	return time.Duration(seconds*float64(time.Second)) + p.firstStep(r.Rank)
}

// maxPromptRate returns the prompt tokens per second of the fastest endpoint, at least 1.
func (p *Planner) maxPromptRate() float64 {
	best := 0.0
	for _, e := range p.prefill {
		best = max(best, e.tokensPerSecond())
	}
	for _, e := range p.decode {
		best = max(best, e.endpoint.TokensPerSecond)
	}
	return max(best, 1)
}

// chooseDecode returns the open decode endpoint with memory for the request that has the
// best score, and its free share. The score is the free share corrected by the speed of the
// endpoint, with frontZoneBonus added for an endpoint in the front's zone. If the endpoint must compute the prompt, the score is
// lower the more requests it delays. The result is nil if no endpoint fits.
func (p *Planner) chooseDecode(now time.Time, w *queuedRequest) (*decodeEndpoint, float64) {
	var best *decodeEndpoint
	bestFree, bestScore := 0.0, 0.0
	for _, e := range p.decode {
		barred := (e.savedFor != nil && e.savedFor != w) || (w.request.Suspect && e.suspects > 0) ||
			(w.request.computesPrompt() && e.prompts > 0)
		if barred || e.freePlaces() <= 0 || !e.isOpen(now) || w.request.excludesDecode(e.endpoint) {
			continue
		}
		free, fits := p.freeShare(now, e, w.request)
		if !fits {
			continue
		}
		score := e.speedScore(free)
		switch {
		case w.request.computesPrompt():
			// The prompt delays the tokens of all requests that the endpoint runs. Where
			// an earlier prompt has already delayed them, the next makes fewer streams
			// late.
			score = -float64(e.used)
			if now.Sub(e.lastPromptAt) < promptAffinityPeriod {
				score += promptAffinityBonus
			}
		case isInFrontZone(e.endpoint, w.request):
			score += frontZoneBonus
		}
		if best == nil || score > bestScore {
			best, bestFree, bestScore = e, free, score
		}
	}
	return best, bestFree
}

const (
	// promptAffinityPeriod is the time for which an endpoint that computed a prompt is
	// preferred for the next one. Within it, most of the endpoint's streams were already
	// delayed by the first prompt.
	promptAffinityPeriod = 3 * time.Second
	// promptAffinityBonus is the number of requests that a preferred endpoint may run
	// more than another and still be chosen.
	promptAffinityBonus = 20
	// frontZoneBonus is the share by which an endpoint in the front's own availability
	// zone may be fuller than another and still be chosen. Its streams survive a network
	// partition between zones and cause no traffic between them.
	frontZoneBonus = 0.6
	// crossZonePenalty is the time by which a prefill endpoint in the decode endpoint's
	// zone may finish later than one in another zone and still be chosen. Transfers
	// between zones take longer, and a partition can interrupt them.
	crossZonePenalty = 40 * time.Millisecond
)

// isInFrontZone reports whether an endpoint is in the availability zone of the front of a
// request.
func isInFrontZone(e ticket.Endpoint, r Request) bool {
	return r.Zone != "" && e.AvailabilityZone == r.Zone
}

// choosePrefill completes a placement with the prefill endpoint that has the earliest
// predicted first token, taking cached prefixes into account. It reports whether there is
// one.
func (p *Planner) choosePrefill(now time.Time, w *queuedRequest, priority int, choice *placement) bool {
	request, decode := w.request, choice.decode
	bytes := float64(request.PromptTokens) * float64(p.service.KVBytesPerToken)
	var bestRating time.Duration
	for _, e := range p.prefill {
		barred := request.excludes(e.endpoint.Name) || (request.Suspect && e.suspects > 0)
		if barred || !e.isOpen(now) || !p.canQueueAt(now, e, priority) {
			continue
		}
		transfer := max(e.link.transferTime(bytes), decode.link.transferTime(bytes))
		if transfer > transferTimeLimit && bytes > 0 && !isLinkIdle(e.link, decode.link) {
			continue
		}
		tokens := float64(max(request.PromptTokens-e.prefixes.cachedTokens(request.Prefixes), 1))
		finish := e.backlog(now, priority) + time.Duration(tokens/e.tokensPerSecond()*float64(time.Second))
		firstToken := finish + transfer + p.firstStep(request.Rank)
		rating := firstToken
		if e.endpoint.AvailabilityZone != decode.endpoint.AvailabilityZone {
			rating += crossZonePenalty
		}
		if choice.prefill == nil || rating < bestRating {
			choice.prefill, choice.tokens, choice.bytes, choice.firstToken = e, tokens, bytes, firstToken
			bestRating = rating
		}
	}
	return choice.prefill != nil
}

// isLinkIdle reports whether none of the links carries a transfer. A transfer that
// exceeds transferTimeLimit even on idle links may then begin.
func isLinkIdle(links ...*linkState) bool {
	for _, link := range links {
		if link != nil && link.outstanding > 0 {
			return false
		}
	}
	return true
}

// canQueueAt reports whether a request may join the work that waits at a prefill
// endpoint. Lower priorities leave one place free for the highest priority, which the
// endpoint serves first.
func (p *Planner) canQueueAt(now time.Time, e *prefillEndpoint, priority int) bool {
	if e.outstanding == 0 {
		return true
	}
	if priority > 0 && e.outstanding >= e.endpoint.Places-1 {
		return false
	}
	return e.backlog(now, priority) <= prefillBacklogLimit
}

// saveForBlocked saves a decode endpoint for a request that has waited a quarter of its
// target for enough memory pieces. Without this, small requests would overtake it
// indefinitely. Where memory grows with the output, memory that is saved for a predicted
// peak stays empty for a long time, so only one endpoint is saved at a time.
func (p *Planner) saveForBlocked(now time.Time, w *queuedRequest) {
	if w.blockedSince.IsZero() {
		w.blockedSince = now
	}
	saveDelay := p.queues.ranks[w.request.Rank].targets.firstToken / 4
	pieces := memoryPieces(p.service, w.request)
	if pieces <= 1 || now.Sub(w.blockedSince) < saveDelay {
		return
	}
	var best *decodeEndpoint
	for _, e := range p.decode {
		if e.savedFor == w || (p.service.MemoryGrows && e.savedFor != nil) {
			return
		}
		if !e.isOpen(now) || e.savedFor != nil || w.request.excludesDecode(e.endpoint) {
			continue
		}
		if _, fits := p.freeShare(now, e, w.request); fits {
			return
		}
		if pieces > e.endpoint.Pieces {
			continue
		}
		if best == nil || e.endpoint.Pieces-e.usedPieces > best.endpoint.Pieces-best.usedPieces {
			best = e
		}
	}
	if best != nil {
		best.savedFor = w
	}
}

// releaseSaved releases the endpoint that is saved for a request.
func (p *Planner) releaseSaved(w *queuedRequest) {
	for _, e := range p.decode {
		if e.savedFor == w {
			e.savedFor = nil
		}
	}
}
