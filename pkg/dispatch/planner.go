package dispatch

import (
	"sort"
	"time"

	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// hold is a granted request with all that it reserves.
type hold struct {
	request Request
	stage   Stage
	prefill *prefillEndpoint
	decode  *decodeEndpoint
	// prefillTokens is the prompt without what the endpoint has cached.
	prefillTokens float64
	bytes         float64
	pieces        int
	work          float64
	priority      int
	grantedAt     time.Time
	decodeAt      time.Time
}

// Planner decides for one shard. It is a pure state machine: it reads no clock
// and starts no goroutine. It is not safe for concurrent use.
type Planner struct {
	service ticket.Service
	queues  *rankQueues
	// prefill and decode are in the order of their names.
	prefill []*prefillEndpoint
	decode  []*decodeEndpoint
	byName  map[string]*decodeEndpoint
	links   map[string]*linkState
	holds   map[RequestID]*hold
	fencing FencingNumber

	freeDecode int
	holdTime   mean
	promptWork mean
	blocked    []*callerQueue
}

// NewPlanner returns a Planner without endpoints. Its grants carry fencing
// numbers above fencing.
func NewPlanner(service ticket.Service, fencing FencingNumber) *Planner {
	all := make([]targets, 0, len(service.Ranks))
	for _, rank := range service.Ranks {
		all = append(all, targetsOf(rank))
	}
	return &Planner{
		service: service,
		queues:  newRankQueues(all),
		byName:  map[string]*decodeEndpoint{},
		links:   map[string]*linkState{},
		holds:   map[RequestID]*hold{},
		fencing: fencing,
	}
}

// SetEndpoints replaces the membership of the shard. Endpoints that are gone
// keep their reservations until these end, and receive nothing new.
func (p *Planner) SetEndpoints(s shard.Shard) {
	p.service = s.Service
	for i, rank := range s.Service.Ranks {
		if i < len(p.queues.ranks) {
			p.queues.ranks[i].targets = targetsOf(rank)
		}
	}
	for _, e := range p.prefill {
		e.present = false
	}
	for _, e := range p.decode {
		e.present = false
	}
	for _, endpoint := range s.Prefill {
		p.setPrefill(endpoint)
	}
	for _, endpoint := range s.Decode {
		p.setDecode(endpoint)
	}
	p.dropAbsent()
	sort.Slice(p.prefill, func(i, j int) bool { return p.prefill[i].endpoint.Name < p.prefill[j].endpoint.Name })
	sort.Slice(p.decode, func(i, j int) bool { return p.decode[i].endpoint.Name < p.decode[j].endpoint.Name })
}

func (p *Planner) dropAbsent() {
	prefill := p.prefill[:0]
	for _, e := range p.prefill {
		if e.present || e.outstanding > 0 {
			prefill = append(prefill, e)
		}
	}
	p.prefill = prefill
	decode := p.decode[:0]
	for _, e := range p.decode {
		if e.present || e.used > 0 {
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
			e.endpoint, e.link, e.present = endpoint, link, true
			return
		}
	}
	p.prefill = append(p.prefill, newPrefillEndpoint(endpoint, len(p.queues.ranks), link))
}

func (p *Planner) setDecode(endpoint ticket.Endpoint) {
	link := p.link(endpoint)
	if e, ok := p.byName[endpoint.Name]; ok {
		if endpoint.Places != e.endpoint.Places {
			e.limit = float64(endpoint.Places)
		}
		e.endpoint, e.link, e.present = endpoint, link, true
		return
	}
	e := newDecodeEndpoint(endpoint, link)
	p.decode = append(p.decode, e)
	p.byName[endpoint.Name] = e
}

// link returns the account of an endpoint's link, nil for an unlimited one.
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

// decodeLimit returns the decode places that may be in use.
func (p *Planner) decodeLimit() int {
	total := 0
	for _, e := range p.decode {
		if e.isUsable() {
			total += e.places()
		}
	}
	return total
}

// prefillRate returns the prompt tokens a second of all prefill endpoints.
func (p *Planner) prefillRate() float64 {
	total := 0.0
	for _, e := range p.prefill {
		if e.isUsable() {
			total += e.tokensPerSecond()
		}
	}
	return total
}

// countFree refreshes the number of free decode places.
func (p *Planner) countFree(now time.Time) {
	p.freeDecode = 0
	for _, e := range p.decode {
		if e.isOpen(now) {
			p.freeDecode += max(e.free(), 0)
		}
	}
}

// Offer queues a request and appends the decisions that follow. A request that
// is already known is ignored, so that a repeated message is harmless.
func (p *Planner) Offer(now time.Time, request Request, decisions []Decision) []Decision {
	if p.knows(request.ID) {
		return decisions
	}
	request.Rank = min(max(request.Rank, 0), len(p.queues.ranks)-1)
	queue := p.queues.ranks[request.Rank]
	queue.arrivals.add(now)
	p.countFree(now)
	latest := request.Arrival.Add(queue.targets.firstToken - p.leastTime(request))
	if cause := p.unfit(request, latest); cause != "" {
		return append(decisions, p.refuse(now, request, cause))
	}
	if p.predictWait(now, request) > latest.Sub(now) {
		return append(decisions, p.refuse(now, request, CauseTooLate))
	}
	if len(p.queues.queued) >= maxQueued {
		return append(decisions, p.refuse(now, request, CauseQueueFull))
	}
	p.queues.push(&waiting{request: request, latestStart: latest, deadlineIndex: -1})
	return p.schedule(now, decisions)
}

func (p *Planner) knows(id RequestID) bool {
	if _, ok := p.holds[id]; ok {
		return true
	}
	_, ok := p.queues.queued[id]
	return ok
}

func (p *Planner) refuse(now time.Time, request Request, cause Cause) Decision {
	return Decision{Refusal: Refusal{
		ID: request.ID, Front: request.Front, Cause: cause, RetryAfter: p.retryAfter(now, request),
	}}
}

// unfit returns why no endpoint can serve the request before latest, or "".
func (p *Planner) unfit(request Request, latest time.Time) Cause {
	prefill := p.service.Kind == ticket.KindPlain
	for _, e := range p.prefill {
		prefill = prefill || (e.isUsable() && e.health.coolUntil.Before(latest) && e.endpoint.Name != request.Exclude)
	}
	decode, large := false, false
	pieces := Pieces(request.PromptTokens, request.OutputTokens)
	for _, e := range p.decode {
		if !e.isUsable() || !e.health.coolUntil.Before(latest) || e.endpoint.Name == request.Exclude {
			continue
		}
		decode = true
		large = large || e.endpoint.Pieces == 0 || pieces <= e.endpoint.Pieces
	}
	switch {
	case !prefill || !decode:
		return CauseNoEndpoint
	case !large:
		return CauseTooLarge
	}
	return ""
}

// leastTime returns the time from the grant to the first token when nothing is
// in the way.
func (p *Planner) leastTime(request Request) time.Duration {
	best := 0.0
	for _, e := range p.prefill {
		if e.isUsable() {
			best = max(best, e.tokensPerSecond())
		}
	}
	if best == 0 {
		return 0
	}
	return time.Duration(float64(request.PromptTokens)/best*float64(time.Second)) + p.queues.ranks[request.Rank].targets.gap
}

// Withdraw removes a request whose caller is gone while it waits. It reports
// whether the request was waiting.
func (p *Planner) Withdraw(id RequestID) bool {
	w, ok := p.queues.queued[id]
	if !ok {
		return false
	}
	p.clearSaved(w)
	return p.queues.remove(id)
}

// Prefilled notes that the prefill of a request is complete. Its prefill place
// becomes free.
func (p *Planner) Prefilled(now time.Time, id RequestID, decisions []Decision) []Decision {
	h, ok := p.holds[id]
	if !ok || h.stage != StagePrefill {
		return decisions
	}
	p.measurePrefill(now, h)
	p.leavePrefill(now, h)
	h.stage = StageTransfer
	return p.schedule(now, decisions)
}

// measurePrefill takes the rate from a prefill that had the endpoint to itself.
func (p *Planner) measurePrefill(now time.Time, h *hold) {
	h.prefill.health.succeed()
	elapsed := now.Sub(h.grantedAt).Seconds()
	alone := h.prefill.outstanding == 1 && h.prefill.busySince.Equal(h.grantedAt)
	if alone && elapsed > 0 && h.prefillTokens >= minMeasuredTokens {
		h.prefill.rate.add(h.prefillTokens / elapsed)
	}
}

// minMeasuredTokens is the least prefill from which a rate is taken.
const minMeasuredTokens = 256

func (p *Planner) leavePrefill(now time.Time, h *hold) {
	h.prefill.release(now, h.priority, h.prefillTokens)
	h.prefill.suspects -= suspicion(h.request)
	for _, prefix := range h.request.Prefixes {
		h.prefill.prefixes.add(prefix)
	}
}

// Started notes that the decode endpoint produces tokens. The link becomes free.
func (p *Planner) Started(now time.Time, id RequestID, decisions []Decision) []Decision {
	h, ok := p.holds[id]
	if !ok || h.stage == StageDecode {
		return decisions
	}
	if h.stage == StagePrefill && h.prefill != nil {
		p.leavePrefill(now, h)
	}
	p.leaveLink(h)
	h.stage = StageDecode
	h.decodeAt = now
	return p.schedule(now, decisions)
}

func (p *Planner) leaveLink(h *hold) {
	if h.prefill == nil {
		return
	}
	h.prefill.link.release(h.bytes)
	if h.decode.link != h.prefill.link {
		h.decode.link.release(h.bytes)
	}
}

// Done releases all that a request still holds, on every way out. A second call
// for the same request changes nothing.
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
		p.leavePrefill(now, h)
	}
	if h.stage != StageDecode {
		p.leaveLink(h)
	}
	h.decode.used--
	h.decode.pieces -= h.pieces
	h.decode.suspects -= suspicion(h.request)
	p.measureOutcome(now, h, outcome)
	p.dropAbsent()
	return p.schedule(now, decisions)
}

func (p *Planner) measureOutcome(now time.Time, h *hold, outcome Outcome) {
	h.decode.health.settle()
	if h.prefill != nil {
		h.prefill.health.settle()
	}
	p.markFailure(now, h, outcome)
	if outcome.FailedEndpoint != "" {
		return
	}
	h.decode.health.succeed()
	if h.stage != StageDecode {
		return
	}
	p.holdTime.add(now.Sub(h.grantedAt).Seconds())
	p.promptWork.add(h.prefillTokens)
	if p.service.Kind == ticket.KindPlain || outcome.OutputTokens == 0 {
		return
	}
	rank := p.queues.ranks[h.request.Rank]
	rank.output.add(float64(outcome.OutputTokens))
	rank.slack.add((rank.targets.firstToken - p.leastTime(h.request)).Seconds())
	actual := h.prefillTokens + outputTokenWork*float64(outcome.OutputTokens)
	rank.fair.correct(h.request.Caller, actual-h.work)
	p.queues.settleCredits(h.request.Rank, actual-h.work)
	if outcome.OutputTokens > 1 {
		gap := now.Sub(h.decodeAt) / time.Duration(outcome.OutputTokens-1)
		h.decode.measure(now, gap, p.queues.ranks[0].targets.gap)
	}
}

func (p *Planner) markFailure(now time.Time, h *hold, outcome Outcome) {
	if outcome.FailedEndpoint == "" {
		return
	}
	if h.prefill != nil && outcome.FailedEndpoint == h.prefill.endpoint.Name && !outcome.Busy {
		h.prefill.health.fail(now)
	}
	if outcome.FailedEndpoint != h.decode.endpoint.Name {
		return
	}
	if outcome.Busy {
		h.decode.busyUntil = now.Add(busyPause)
		return
	}
	h.decode.health.fail(now)
}

// Tick refuses what can no longer meet its target and grants what has become
// possible by the passing of time.
func (p *Planner) Tick(now time.Time, decisions []Decision) []Decision {
	return p.schedule(now, decisions)
}

// HasWaiting reports whether a request waits, so that Tick may have to decide.
func (p *Planner) HasWaiting() bool {
	return len(p.queues.queued) > 0
}

func (h *hold) report() Hold {
	result := Hold{Request: h.request, Stage: h.stage, Decode: h.decode.endpoint.Name}
	if h.prefill != nil {
		result.Prefill = h.prefill.endpoint.Name
	}
	return result
}

// Adopt takes over a hold that an earlier owner granted. Holds at endpoints
// that this shard does not know are ignored.
func (p *Planner) Adopt(now time.Time, adopted Hold) {
	decode, ok := p.byName[adopted.Decode]
	if !ok || p.knows(adopted.Request.ID) {
		return
	}
	adopted.Request.Rank = min(max(adopted.Request.Rank, 0), len(p.queues.ranks)-1)
	h := &hold{
		request: adopted.Request, stage: StageDecode, decode: decode, priority: adopted.Request.Rank,
		pieces:    Pieces(adopted.Request.PromptTokens, adopted.Request.OutputTokens),
		grantedAt: now, decodeAt: now,
	}
	for _, e := range p.prefill {
		if e.endpoint.Name == adopted.Prefill && adopted.Stage != StageDecode {
			h.prefill = e
			h.stage = adopted.Stage
		}
	}
	p.reserve(now, h)
}

// suspicion returns 1 for a suspected request and 0 for others.
func suspicion(r Request) int {
	if r.Suspect {
		return 1
	}
	return 0
}

// reserve books all that a hold needs at its stage.
func (p *Planner) reserve(now time.Time, h *hold) {
	h.decode.used++
	h.decode.pieces += h.pieces
	h.decode.suspects += suspicion(h.request)
	p.holds[h.request.ID] = h
	if h.prefill == nil || h.stage == StageDecode {
		return
	}
	if h.stage == StagePrefill {
		h.prefill.reserve(now, h.priority, h.prefillTokens)
		h.prefill.suspects += suspicion(h.request)
	}
	h.prefill.link.reserve(h.bytes)
	if h.decode.link != h.prefill.link {
		h.decode.link.reserve(h.bytes)
	}
}

// LoseRequests removes the waiting requests that lost selects and returns the
// holds that it selects. These stay reserved until Done is called for each, when
// the endpoint has confirmed that it runs them no more.
func (p *Planner) LoseRequests(lost func(Request) bool) []Hold {
	for id, w := range p.queues.queued {
		if lost(w.request) {
			p.Withdraw(id)
		}
	}
	var holds []Hold
	for _, h := range p.holds {
		if lost(h.request) {
			holds = append(holds, h.report())
		}
	}
	sort.Slice(holds, func(i, j int) bool { return holds[i].Request.ID < holds[j].Request.ID })
	return holds
}

// HeldBefore returns the holds that were granted before a time.
func (p *Planner) HeldBefore(before time.Time) []Hold {
	var holds []Hold
	for _, h := range p.holds {
		if h.grantedAt.Before(before) {
			holds = append(holds, h.report())
		}
	}
	return holds
}

// Holds reports whether a request is granted and not yet done.
func (p *Planner) Holds(id RequestID) bool {
	_, ok := p.holds[id]
	return ok
}

// Load is a summary of a shard for operators.
type Load struct {
	Queued      int
	Held        int
	DecodeUsed  int
	DecodeLimit int
	PiecesUsed  int
	PiecesLimit int
}

// Load returns the present summary.
func (p *Planner) Load() Load {
	load := Load{Queued: len(p.queues.queued), Held: len(p.holds), DecodeLimit: p.decodeLimit()}
	for _, e := range p.decode {
		load.DecodeUsed += e.used
		load.PiecesUsed += e.pieces
		load.PiecesLimit += e.endpoint.Pieces
	}
	return load
}

// Pressure is the predicted wait of the least urgent rank in 1/64 of its
// target, at most MaxPressure.
type Pressure uint8

// MaxPressure stands for any wait of almost four targets or more, and for a
// shard without endpoints.
const MaxPressure Pressure = 255

const pressureUnit = 64

// Pressure returns the shard's pressure.
func (p *Planner) Pressure(now time.Time) Pressure {
	p.countFree(now)
	last := len(p.queues.ranks) - 1
	target := p.queues.ranks[last].targets.firstToken
	if p.unfit(Request{Rank: last}, now.Add(target)) != "" {
		return MaxPressure
	}
	wait := p.predictWait(now, Request{Rank: last})
	if target <= 0 {
		return 0
	}
	return Pressure(min(float64(wait)/float64(target)*pressureUnit, float64(MaxPressure)))
}
