package dispatch

import (
	"container/heap"
	"time"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// placement is a choice of endpoints with its predicted times.
type placement struct {
	prefill *prefillEndpoint
	decode  *decodeEndpoint
	// free is how much of the decode endpoint is free with the request.
	free float64
	// tokens is the prompt without what the prefill endpoint has cached.
	tokens float64
	bytes  float64
	// firstToken is the predicted time from now to the first token.
	firstToken time.Duration
}

// schedule refuses what is too late and grants until nothing more fits.
func (p *Planner) schedule(now time.Time, decisions []Decision) []Decision {
	for {
		w, ok := p.queues.popExpired(now)
		if !ok {
			break
		}
		p.clearSaved(w)
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

// grantNext decides on one request: the first, in the order of ranks and
// callers, that fits.
func (p *Planner) grantNext(now time.Time) (Decision, bool) {
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

// grantRank tries the callers of a rank in their order. Callers whose next
// request does not fit are passed over, a bounded number of them.
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

// tryCaller grants or refuses the next request of a caller if it fits now.
func (p *Planner) tryCaller(now time.Time, rank, priority int, c *callerQueue) (Decision, bool) {
	w := c.entries[0]
	choice, ok := p.place(now, w, priority)
	if !ok {
		p.noteBlocked(now, w)
		return Decision{}, false
	}
	target := p.queues.ranks[rank].targets.firstToken
	if now.Add(choice.firstToken).After(w.request.Arrival.Add(target)) {
		p.queues.remove(w.request.ID)
		p.clearSaved(w)
		return p.reject(now, w.request, CauseTooLate), true
	}
	return p.grant(now, rank, priority, c, choice), true
}

func (p *Planner) grant(now time.Time, rank, priority int, c *callerQueue, choice placement) Decision {
	work := p.workOf(c.entries[0].request, choice)
	w := p.queues.dequeue(rank, c, work)
	p.queues.creditRetries(work)
	p.clearSaved(w)
	return p.book(now, w, priority, work, choice)
}

// workOf returns the work of a request at a placement, in prompt tokens.
func (p *Planner) workOf(request Request, choice placement) float64 {
	limit := float64(request.OutputTokens)
	output := min(p.queues.ranks[request.Rank].output.or(limit), limit)
	return max(choice.tokens+outputTokenWork*output, 1)
}

// book reserves what a request gets, which waits no more.
func (p *Planner) book(now time.Time, w *queuedRequest, priority int, work float64, choice placement) Decision {
	h := &hold{
		request: w.request, prefill: choice.prefill, decode: choice.decode,
		prefillTokens: choice.tokens, bytes: choice.bytes,
		pieces: memoryPieces(p.service, w.request),
		work:   work, priority: priority, grantedAt: now, startedAt: now, decodeAt: now,
		predictedLoad: 1 - choice.free, requestsAtGrant: choice.decode.used,
	}
	result := Grant{ID: w.request.ID, Front: w.request.Front, Decode: choice.decode.endpoint.Name, Priority: priority}
	choice.decode.health.grant()
	if choice.prefill == nil {
		h.stage = StageDecode
		if p.service.Kind == ticket.KindModel && !w.request.Cached {
			h.isComputingPrompt = true
			choice.decode.prompts++
			choice.decode.promptAt = now
		}
	} else {
		result.Prefill = choice.prefill.endpoint.Name
		choice.prefill.health.grant()
	}
	p.reserve(now, h)
	p.freeDecode--
	p.fencing++
	result.Fencing = p.fencing
	return Decision{Grant: result}
}

// place chooses a prefill endpoint, a link with room and a decode endpoint
// together, or reports that the request does not fit now.
func (p *Planner) place(now time.Time, w *queuedRequest, priority int) (placement, bool) {
	decode, free := p.chooseDecode(now, w)
	if decode == nil {
		return placement{}, false
	}
	choice := placement{decode: decode, free: free}
	if p.needsNoPrefill(w.request) || p.choosePrefill(now, w, priority, &choice) {
		return choice, true
	}
	return choice, p.overflow(w, &choice)
}

const (
	// decodePrefillSlowdown is how much longer a decode endpoint takes for a prompt
	// than a prefill endpoint, between the tokens of its other requests.
	decodePrefillSlowdown = 2.5
	// overflowLoad is the load from which a decode endpoint takes no prompts, since
	// they slow the tokens of all that it runs.
	overflowLoad = 0.85
	// shortShare is the part of what the decode pool serves below which the prefill
	// pool is far too small: engines of it are lost, or their moves are under way.
	shortShare = 0.75
	// shortLoad is the load up to which a decode endpoint computes prompts then.
	shortLoad = 0.6
)

// overflow completes a placement with the decode endpoint alone when no prefill endpoint
// may take the request in time, or far too few of them for decode endpoints that are half empty.
// Otherwise waiting serves callers better: prompts slow the tokens of everything that
// a decode endpoint runs.
func (p *Planner) overflow(w *queuedRequest, choice *placement) bool {
	mayPrefill := p.mayPrefill(w.request, w.latestStart)
	most := overflowLoad
	if mayPrefill {
		most = shortLoad
	}
	if !p.service.DecodeReadsPrompts || choice.decode.prompts > 0 || 1-choice.free > most {
		return false
	}
	if mayPrefill && !p.isPrefillShort() {
		return false
	}
	choice.tokens, choice.firstToken = float64(w.request.PromptTokens), p.decodePrefillTime(w.request)
	return true
}

// mayPrefill reports whether a prefill endpoint may take a request before latest.
func (p *Planner) mayPrefill(request Request, latest time.Time) bool {
	for _, e := range p.prefill {
		if e.isUsable() && e.health.coolUntil.Before(latest) && !request.excludes(e.endpoint.Name) {
			return true
		}
	}
	return false
}

// isPrefillShort reports whether the prefill pool serves far less than the decode pool.
func (p *Planner) isPrefillShort() bool {
	prefill, decode, ok := p.poolRates()
	return ok && prefill < shortShare*decode
}

// decodePrefillTime returns the time to the first token when a decode endpoint
// computes the prompt.
func (p *Planner) decodePrefillTime(r Request) time.Duration {
	seconds := float64(r.PromptTokens) / p.nominalRate() * decodePrefillSlowdown
	return time.Duration(seconds*float64(time.Second)) + p.firstStep(r.Rank)
}

// nominalRate returns the prompt tokens a second of one prefill endpoint.
func (p *Planner) nominalRate() float64 {
	best := 0.0
	for _, e := range p.prefill {
		best = max(best, e.tokensPerSecond())
	}
	for _, e := range p.decode {
		best = max(best, e.endpoint.TokensPerSecond)
	}
	return max(best, 1)
}

// chooseDecode returns the open endpoint with the largest free part of its
// places that has the memory, and that part, or nil.
func (p *Planner) chooseDecode(now time.Time, w *queuedRequest) (*decodeEndpoint, float64) {
	var best *decodeEndpoint
	bestFree, bestShare := 0.0, 0.0
	for _, e := range p.decode {
		barred := (e.savedFor != nil && e.savedFor != w) || (w.request.Suspect && e.suspects > 0) ||
			(w.request.computesPrompt() && e.prompts > 0)
		if barred || e.free() <= 0 || !e.isOpen(now) || w.request.excludes(e.endpoint.Name) {
			continue
		}
		free, fits := p.room(now, e, w.request)
		if !fits {
			continue
		}
		share := free
		switch {
		case w.request.computesPrompt():
			// The prompt holds up the tokens of all that the endpoint runs. Where one
			// has done so already, the next makes fewer streams late.
			share = -float64(e.used)
			if now.Sub(e.promptAt) < gatherTime {
				share += gathered
			}
		case isLocal(e.endpoint, w.request):
			share += localShare
		}
		if best == nil || share > bestShare {
			best, bestFree, bestShare = e, free, share
		}
	}
	return best, bestFree
}

const (
	// gatherTime is the time for which an endpoint that computed a prompt is preferred
	// for the next one: most of its streams have run beside the first.
	gatherTime = 3 * time.Second
	// gathered is that preference, in requests that the endpoint runs more than another.
	gathered = 20
	// localShare is how much fuller an endpoint in the front's own availability
	// zone may be and still be chosen: its streams survive a cut between zones, and
	// it costs no traffic between them.
	localShare = 0.6
	// localTime is how much later a prefill endpoint in the decode endpoint's zone
	// may finish and still be chosen, since transfers between zones take longer and
	// can be cut.
	localTime = 40 * time.Millisecond
)

// isLocal reports whether an endpoint is in the zone of a request's front.
func isLocal(e ticket.Endpoint, r Request) bool {
	return r.Zone != "" && e.AvailabilityZone == r.Zone
}

// choosePrefill completes a placement with the prefill endpoint that is
// predicted to finish first, counting the prefill that its cache saves, and reports
// whether there is one.
func (p *Planner) choosePrefill(now time.Time, w *queuedRequest, priority int, choice *placement) bool {
	request, decode := w.request, choice.decode
	bytes := float64(request.PromptTokens) * float64(p.service.KVBytesPerToken)
	var bestRating time.Duration
	for _, e := range p.prefill {
		barred := request.excludes(e.endpoint.Name) || (request.Suspect && e.suspects > 0)
		if barred || !e.isOpen(now) || !p.mayQueueAt(now, e, priority) {
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
			rating += localTime
		}
		if choice.prefill == nil || rating < bestRating {
			choice.prefill, choice.tokens, choice.bytes, choice.firstToken = e, tokens, bytes, firstToken
			bestRating = rating
		}
	}
	return choice.prefill != nil
}

// isLinkIdle reports whether both links carry nothing, so that a transfer which
// is slow in any case may begin.
func isLinkIdle(links ...*linkState) bool {
	for _, link := range links {
		if link != nil && link.outstanding > 0 {
			return false
		}
	}
	return true
}

// mayQueueAt reports whether a request may add to what waits at a prefill
// endpoint. Lower priorities leave a place for the highest, which the endpoint
// serves first.
func (p *Planner) mayQueueAt(now time.Time, e *prefillEndpoint, priority int) bool {
	if e.outstanding == 0 {
		return true
	}
	if priority > 0 && e.outstanding >= e.endpoint.Places-1 {
		return false
	}
	return e.backlog(now, priority) <= prefillBacklogLimit
}

// noteBlocked keeps a decode endpoint for a request that has waited a quarter
// of its target for enough memory pieces, so that small requests do not pass it
// for ever. Where memory grows with the output, what is kept for a predicted peak
// stays empty for long, so one endpoint is kept at a time.
func (p *Planner) noteBlocked(now time.Time, w *queuedRequest) {
	if w.blockedSince.IsZero() {
		w.blockedSince = now
	}
	patience := p.queues.ranks[w.request.Rank].targets.firstToken / 4
	pieces := memoryPieces(p.service, w.request)
	if pieces <= 1 || now.Sub(w.blockedSince) < patience {
		return
	}
	var best *decodeEndpoint
	for _, e := range p.decode {
		if e.savedFor == w || (p.service.MemoryGrows && e.savedFor != nil) {
			return
		}
		if !e.isOpen(now) || e.savedFor != nil {
			continue
		}
		if _, fits := p.room(now, e, w.request); fits {
			return
		}
		if pieces > e.endpoint.Pieces {
			continue
		}
		if best == nil || e.endpoint.Pieces-e.pieces > best.endpoint.Pieces-best.pieces {
			best = e
		}
	}
	if best != nil {
		best.savedFor = w
	}
}

// clearSaved gives back an endpoint that was kept for a request.
func (p *Planner) clearSaved(w *queuedRequest) {
	for _, e := range p.decode {
		if e.savedFor == w {
			e.savedFor = nil
		}
	}
}
