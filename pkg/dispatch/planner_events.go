package dispatch

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// Offer queues a request and appends the resulting decisions. A request that is
// already queued or granted is ignored, so that a duplicate message has no effect.
func (p *Planner) Offer(now time.Time, request Request, decisions []Decision) []Decision {
	if p.hasRequest(request.ID) {
		return decisions
	}
	request.Rank = p.clampRank(request.Rank)
	if request.Resumed {
		p.refresh(now)
		return p.offerResumed(now, request, decisions)
	}
	if retryAt, ok := p.retryTimes.lookup(now, request.Fingerprint); ok && request.Fingerprint != 0 && p.service.ReturnTargets > 0 {
		p.refresh(now)
		return p.offerRetry(now, request, retryAt, decisions)
	}
	queue := p.queues.ranks[request.Rank]
	queue.arrivals.add(now)
	p.offeredPrompt.add(float64(request.PromptTokens))
	p.offeredOutput.add(p.expectedOutput(request))
	p.refresh(now)
	latest := request.Arrival.Add(queue.targets.firstToken - p.minFirstTokenTime(request))
	if cause := p.unservableCause(request, latest); cause != "" {
		return append(decisions, p.reject(now, request, cause))
	}
	if p.predictWait(now, request) > latest.Sub(now) {
		return append(decisions, p.reject(now, request, CauseTooLate))
	}
	if len(p.queues.queued) >= queuedRequestLimit {
		displaced, ok := p.displace(now, request)
		if !ok {
			return append(decisions, p.reject(now, request, CauseQueueFull))
		}
		decisions = append(decisions, displaced)
	}
	p.queues.push(&queuedRequest{request: request, latestStart: latest, deadlineIndex: -1})
	return p.schedule(now, decisions)
}

// Decide grants or rejects a request at once. It queues none.
func (p *Planner) Decide(now time.Time, request Request) Decision {
	decisions := p.Offer(now, request, nil)
	if len(decisions) > 0 {
		return decisions[0]
	}
	p.Withdraw(request.ID)
	request.Rank = p.clampRank(request.Rank)
	return p.reject(now, request, CauseTooLate)
}

// displace rejects the last request of the caller that has the most requests in a full queue, so
// that a caller that fills the queue does not keep out the others. It reports false if the caller
// of the new request would then have as many.
func (p *Planner) displace(now time.Time, request Request) (Decision, bool) {
	var longest *callerQueue
	for _, r := range p.queues.ranks {
		if c := r.fair.longest(); c != nil && (longest == nil || len(c.entries) > len(longest.entries)) {
			longest = c
		}
	}
	if longest == nil || len(longest.entries) <= p.queues.ranks[request.Rank].fair.count(request.Caller)+1 {
		return Decision{}, false
	}
	w := longest.entries[len(longest.entries)-1]
	p.releaseSaved(w)
	p.queues.remove(w.request.ID)
	return p.reject(now, w.request, CauseQueueFull), true
}

func (p *Planner) hasRequest(id RequestID) bool {
	if _, ok := p.holds[id]; ok {
		return true
	}
	return p.isQueued(id)
}

func (p *Planner) isQueued(id RequestID) bool {
	_, ok := p.queues.queued[id]
	return ok
}

func (p *Planner) reject(now time.Time, request Request, cause Cause) Decision {
	wait := p.retryAfter(now, request)
	if request.Fingerprint != 0 {
		p.retryTimes.record(now, request.Fingerprint, now.Add(wait))
	}
	return Decision{Rejection: Rejection{ID: request.ID, Front: request.Front, Cause: cause, RetryAfter: wait}}
}

// unservableCause returns why no endpoint can serve the request before latest, or ""
// if one can.
func (p *Planner) unservableCause(request Request, latest time.Time) Cause {
	hasPrefill := p.needsNoPrefill(request) || p.service.DecodeReadsPrompts || p.canPrefillBefore(request, latest)
	hasDecode, hasMemory := false, false
	pieces := memoryPieces(p.service, request)
	for _, e := range p.decode {
		if !e.isUsable() || !e.health.cooldownUntil.Before(latest) || request.excludesDecode(e.endpoint) {
			continue
		}
		hasDecode = true
		hasMemory = hasMemory || e.endpoint.Pieces == 0 || pieces <= e.endpoint.Pieces
	}
	switch {
	case !hasPrefill || !hasDecode:
		return CauseNoEndpoint
	case !hasMemory:
		return CauseTooLarge
	}
	return ""
}

// needsNoPrefill reports whether a decode place is sufficient for a request.
func (p *Planner) needsNoPrefill(request Request) bool {
	return p.service.Kind == ticket.KindPlain || request.DecodeOnly
}

// minFirstTokenTime returns the time from the grant to the first token on the fastest
// prefill endpoint if it is idle.
func (p *Planner) minFirstTokenTime(request Request) time.Duration {
	best := 0.0
	for _, e := range p.prefill {
		if e.isUsable() {
			best = max(best, e.tokensPerSecond())
		}
	}
	if best == 0 {
		return 0
	}
	return time.Duration(float64(request.PromptTokens)/best*float64(time.Second)) + p.firstStep(request.Rank)
}

// Withdraw removes a queued request whose caller has disconnected. It reports whether
// the request was queued.
func (p *Planner) Withdraw(id RequestID) bool {
	w, ok := p.queues.queued[id]
	if !ok {
		return false
	}
	p.releaseSaved(w)
	return p.queues.remove(id)
}

// Prefilled handles the end of a request's prefill. It releases the prefill place and
// appends the resulting decisions.
func (p *Planner) Prefilled(now time.Time, id RequestID, decisions []Decision) []Decision {
	h, ok := p.holds[id]
	if !ok || h.stage != StagePrefill {
		return decisions
	}
	p.recordPrefillRate(now, h)
	p.releasePrefill(now, h)
	h.stage = StageTransfer
	return p.schedule(now, decisions)
}

// recordPrefillRate measures the endpoint's rate from a prefill that ran on it without
// others.
func (p *Planner) recordPrefillRate(now time.Time, h *hold) {
	h.prefill.health.recordSuccess()
	elapsed := now.Sub(h.grantedAt).Seconds()
	isIsolated := h.prefill.outstanding == 1 && h.prefill.busySince.Equal(h.grantedAt) && !h.isAdopted
	if isIsolated && elapsed > 0 && h.prefillTokens >= minPrefillSampleTokens {
		h.prefill.recordRate(now, h.prefillTokens/elapsed)
	}
}

// minPrefillSampleTokens is the length of the shortest prefill from which a rate is
// measured.
const minPrefillSampleTokens = 256

func (p *Planner) releasePrefill(now time.Time, h *hold) {
	h.prefill.release(now, h.priority, h.prefillTokens)
	h.prefill.suspects -= suspectCount(h.request)
	for _, prefix := range h.request.Prefixes {
		h.prefill.prefixes.add(prefix)
	}
}

// Started handles the first token from the decode endpoint. It releases the link and
// appends the resulting decisions.
func (p *Planner) Started(now time.Time, id RequestID, decisions []Decision) []Decision {
	h, ok := p.holds[id]
	if !ok || (h.stage == StageDecode && !h.isComputingPrompt) {
		return decisions
	}
	if h.isComputingPrompt {
		p.finishPrompt(h)
		h.startedAt, h.decodeAt = now, now
		h.decode.demandsAt = time.Time{}
		return p.schedule(now, decisions)
	}
	if h.stage == StagePrefill && h.prefill != nil {
		p.releasePrefill(now, h)
	}
	p.releaseLink(h)
	h.stage = StageDecode
	h.startedAt, h.decodeAt = now, now
	h.decode.demandsAt = time.Time{}
	return p.schedule(now, decisions)
}

// finishPrompt records that a decode endpoint no longer computes the prompt of a hold.
func (p *Planner) finishPrompt(h *hold) {
	if h.isComputingPrompt {
		h.isComputingPrompt = false
		h.decode.prompts--
	}
}

func (p *Planner) releaseLink(h *hold) {
	if h.prefill == nil {
		return
	}
	h.prefill.link.release(h.bytes)
	if h.decode.link != h.prefill.link {
		h.decode.link.release(h.bytes)
	}
}

// Done releases everything that a request still holds and appends the resulting
// decisions. It is called for every outcome, and removes a request that is still
// queued. A second call for the same request has no effect.
func (p *Planner) Done(now time.Time, id RequestID, outcome Outcome, decisions []Decision) []Decision {
	h, ok := p.holds[id]
	if !ok {
		if p.Withdraw(id) {
			return p.schedule(now, decisions)
		}
		return decisions
	}
	delete(p.holds, id)
	if h.stage == StagePrefill && h.prefill != nil {
		p.releasePrefill(now, h)
	}
	if h.stage != StageDecode {
		p.releaseLink(h)
	}
	p.finishPrompt(h)
	h.decode.used--
	h.decode.lastFreedAt = now
	h.decode.usedPieces -= h.pieces
	delete(h.decode.holds, id)
	h.decode.demandsAt = time.Time{}
	h.decode.suspects -= suspectCount(h.request)
	p.recordOutcome(now, h, outcome)
	p.removeAbsent()
	return p.schedule(now, decisions)
}

func (p *Planner) recordOutcome(now time.Time, h *hold, outcome Outcome) {
	h.decode.health.endProbe()
	if h.prefill != nil {
		h.prefill.health.endProbe()
	}
	p.recordFailure(now, h, outcome)
	if outcome.FailedEndpoint != "" {
		return
	}
	h.decode.health.recordSuccess()
	if h.stage != StageDecode {
		return
	}
	p.holdTime.add(now.Sub(h.grantedAt).Seconds())
	p.waitTime.add(h.startedAt.Sub(h.grantedAt).Seconds())
	p.decodeTime.add(now.Sub(h.startedAt).Seconds() / h.decode.speed.timeFactor())
	p.promptWork.add(h.prefillTokens)
	if p.service.Kind == ticket.KindPlain || outcome.OutputTokens == 0 {
		return
	}
	rank := p.queues.ranks[h.request.Rank]
	rank.output.add(float64(outcome.OutputTokens))
	p.footprint.add(float64(h.request.PromptTokens) + float64(outcome.OutputTokens)/2)
	rank.slack.add((rank.targets.firstToken - p.minFirstTokenTime(h.request)).Seconds())
	actual := h.prefillTokens + outputTokenWork*float64(outcome.OutputTokens)
	rank.fair.adjustCharge(h.request.Caller, actual-h.work)
	p.queues.settleCredits(h.request.Rank, actual-h.work)
	if outcome.OutputTokens > 1 {
		gap := now.Sub(h.startedAt) / time.Duration(outcome.OutputTokens-1)
		concurrency := float64(h.requestsAtGrant+h.decode.used)/2 + 1
		p.gapTrend.add(concurrency, gap.Seconds()/h.decode.speed.timeFactor())
		if outcome.OutputTokens >= minSpeedSampleTokens {
			p.recordSpeed(h.decode, concurrency, gap.Seconds())
		}
		prior := p.defaultTokenTime()
		p.tokenGap.add(gap.Seconds())
		h.decode.recordTokenGap(now, gap, prior, p.queues.ranks[0].targets.tokenGap)
	}
}

func (p *Planner) recordFailure(now time.Time, h *hold, outcome Outcome) {
	if outcome.FailedEndpoint == "" {
		return
	}
	cooldownLimit := time.Duration(p.service.LongestPause)
	if h.prefill != nil && outcome.FailedEndpoint == h.prefill.endpoint.Name {
		// A rejection with Busy counts as a failure too. Grants never exceed the places of
		// a prefill endpoint, so it is changing its role or leaving.
		h.prefill.health.recordFailure(now, cooldownLimit)
	}
	if outcome.FailedEndpoint != h.decode.endpoint.Name {
		return
	}
	if outcome.Busy {
		if h.prefill != nil && h.predictedLoad < roomyLoadThreshold {
			// The endpoint had room, so the rejection means that the KV cache could not be
			// fetched from the prefill endpoint.
			h.prefill.health.recordFailure(now, cooldownLimit)
			return
		}
		h.decode.busyUntil = now.Add(busyCooldown)
		return
	}
	h.decode.health.recordFailure(now, cooldownLimit)
}

// Tick rejects requests that can no longer meet their target, grants requests that
// have become possible because time has passed, and appends these decisions.
func (p *Planner) Tick(now time.Time, decisions []Decision) []Decision {
	return p.schedule(now, decisions)
}
