package dispatch

import (
	"slices"
	"time"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// Moves of engines between the prefill and the decode pool.
//
// An engine that changes its role is unavailable for some seconds, so a move must be
// useful for a long time. The decision compares the rate that the two pools can serve, from
// measured values, with the rate that they could serve with one engine moved. This serves
// mixes of prompts and outputs that fill one pool while the other is mostly idle.

const (
	// minMoveGain is the least gain in the rate of the service for which an engine is
	// moved, as a multiple of the rate of one decode engine.
	minMoveGain = 0.6
	// minCompletedSamples is the number of completed requests from which on measured
	// rates are used. The requests that complete first are short.
	minCompletedSamples = 60
	// moveTimeout is the time for which a move counts as pending. It is longer than an
	// engine is unavailable, and longer than an order without a response may still be
	// carried out.
	moveTimeout = 16 * time.Second
	// enginesPerMove is the number of engines in both pools for each move that may be
	// pending. One move may always be pending.
	enginesPerMove = 8
	// moveInterval is the minimum time between moves of one shard.
	moveInterval = time.Second
	// moveRetryDelay is the time after a move that could not be ordered in which no other
	// move is decided.
	moveRetryDelay = 2 * time.Second
	// minOfferedSamples is the number of offers from which on the offered prompts and
	// outputs are used while too few requests have completed.
	minOfferedSamples = 15
	// prefillSlackFactor is the least ratio of the rate of the prefill pool to that of
	// the decode pool after an engine leaves the prefill pool. A prefill that waits is
	// late immediately, and messages cause gaps between consecutive prefills.
	prefillSlackFactor = 1.2
	// spareLoadThreshold is the offered share of the service's rate from which on an
	// engine that the prefill pool can spare is moved.
	spareLoadThreshold = 0.25
	// spareBurstFactor is the multiple of the current load that the prefill pool must be
	// able to serve without an engine that it can spare. It corresponds to a typical
	// burst.
	spareBurstFactor = 2
	// takeoverSettlePeriod is the time after the takeover of a shard during which no engine
	// is moved. By its end, fronts have reported their holds, and starting endpoints have
	// registered.
	takeoverSettlePeriod = 3 * time.Second
	// busyLoadThreshold is the offered share of the service's rate from which on a move
	// is useful.
	busyLoadThreshold = 0.4
	// minPoolEngines is the number of engines that each pool keeps, except that the
	// decode pool may keep one fewer when the prefill pool has none.
	minPoolEngines = 2
)

// Move is an engine that is to change its role.
type Move struct {
	Endpoint ticket.Endpoint
	Role     ticket.Role
	// ThroughputBefore and ThroughputAfter are the requests per second that the service can
	// serve before and after the move. They are 0 if the prefill pool had no engine.
	ThroughputBefore float64
	ThroughputAfter  float64
}

// pendingMove is a move with the time of its decision.
type pendingMove struct {
	Move
	at time.Time
}

// DecideMove returns an engine to move, if a move is worth its cost now. A returned move
// counts as pending for moveTimeout.
func (p *Planner) DecideMove(now time.Time) (Move, bool) {
	p.moves = slices.DeleteFunc(p.moves, func(m pendingMove) bool { return now.Sub(m.at) >= moveTimeout })
	if now.Before(p.rebalanceFrom) || now.Before(p.nextMoveAt) {
		return Move{}, false
	}
	prefill, decode := p.countEngines()
	if len(p.moves) >= max((prefill+decode)/enginesPerMove, 1) {
		return Move{}, false
	}
	move, ok := p.chooseMove(now, prefill, decode)
	if ok {
		p.moves = append(p.moves, pendingMove{Move: move, at: now})
		p.nextMoveAt = now.Add(moveInterval)
	}
	return move, ok
}

// chooseMove returns a move that gains enough, if there is one. prefill and decode are the
// numbers of engines after the pending moves.
func (p *Planner) chooseMove(now time.Time, prefill, decode int) (Move, bool) {
	if prefill == 0 && decode >= minPoolEngines {
		// A pool without engines serves nothing, whatever the measured values are.
		endpoint, ok := p.leastUsedDecode()
		return Move{Endpoint: endpoint, Role: ticket.RolePrefill}, ok
	}
	prefillRate, decodeRate, ok := p.poolRates()
	if !ok {
		return Move{}, false
	}
	prefillEngines, decodeEngines := p.countUsable()
	perPrefill, perDecode := prefillRate/float64(prefillEngines), decodeRate/float64(decodeEngines)
	capacity := func(prefill, decode int) float64 {
		return min(float64(prefill)*perPrefill, float64(decode)*perDecode)
	}
	before := capacity(prefill, decode)
	minAfter := before + minMoveGain*perDecode
	offered := p.offeredRate(now)
	// An engine that the prefill pool can spare is moved before the decode pool needs it.
	canSpare := offered >= spareLoadThreshold*before && offered*spareBurstFactor < float64(prefill-1)*perPrefill
	isBusy := offered >= busyLoadThreshold*before
	switch {
	case (isBusy || canSpare) && prefill > minPoolEngines && capacity(prefill-1, decode+1) >= minAfter &&
		float64(prefill-1)*perPrefill >= prefillSlackFactor*float64(decode+1)*perDecode:
		endpoint, ok := p.leastUsedPrefill()
		return Move{Endpoint: endpoint, Role: ticket.RoleDecode, ThroughputBefore: before, ThroughputAfter: capacity(prefill-1, decode+1)}, ok
	case isBusy && decode > minPoolEngines && capacity(prefill+1, decode-1) >= minAfter:
		endpoint, ok := p.leastUsedDecode()
		return Move{Endpoint: endpoint, Role: ticket.RolePrefill, ThroughputBefore: before, ThroughputAfter: capacity(prefill+1, decode-1)}, ok
	}
	return Move{}, false
}

// dropMove drops a move that could not be ordered. The next move can be decided after
// moveRetryDelay.
func (p *Planner) dropMove(now time.Time, endpoint string) {
	p.moves = slices.DeleteFunc(p.moves, func(m pendingMove) bool { return m.Endpoint.Name == endpoint })
	p.nextMoveAt = now.Add(moveRetryDelay)
}

// isMoving reports whether a move of an engine to a role is pending.
func (p *Planner) isMoving(endpoint string, role ticket.Role) bool {
	return slices.ContainsFunc(p.moves, func(m pendingMove) bool { return m.Endpoint.Name == endpoint && m.Role == role })
}

// countEngines returns the numbers of engines of the pools after the pending moves.
func (p *Planner) countEngines() (prefill, decode int) {
	roles := map[string]ticket.Role{}
	for _, e := range p.prefill {
		if e.isUsable() {
			roles[e.endpoint.Name] = ticket.RolePrefill
		}
	}
	for _, e := range p.decode {
		if e.isUsable() {
			roles[e.endpoint.Name] = ticket.RoleDecode
		}
	}
	for _, m := range p.moves {
		roles[m.Endpoint.Name] = m.Role
	}
	for _, role := range roles {
		if role == ticket.RolePrefill {
			prefill++
		} else {
			decode++
		}
	}
	return prefill, decode
}

// poolRates returns the requests per second that each pool serves. It uses measured rates,
// or an estimate from the first offers while too few requests have completed.
func (p *Planner) poolRates() (prefill, decode float64, ok bool) {
	prefillEngines, decodeEngines := p.countUsable()
	if prefillEngines == 0 || decodeEngines == 0 {
		return 0, 0, false
	}
	if p.holdTime.samples >= minCompletedSamples {
		prefill, decode = p.measuredRates()
		return prefill, decode, true
	}
	if p.service.TokenTime <= 0 || p.offeredPrompt.samples < minOfferedSamples {
		return 0, 0, false
	}
	prompt, output := p.offeredPrompt.value, p.offeredOutput.value
	rate := p.prefillRate()
	holdTime := prompt/rate*float64(prefillEngines) + output*time.Duration(p.service.TokenTime).Seconds()
	concurrency := 0.0
	for _, e := range p.decode {
		if e.isUsable() {
			concurrency += p.concurrencyForFootprint(e, prompt+output/2)
		}
	}
	return rate / max(prompt, 1), concurrency / holdTime, true
}

// offeredRate returns the offered requests per second of all ranks.
func (p *Planner) offeredRate(now time.Time) float64 {
	total := 0.0
	for _, r := range p.queues.ranks {
		total += r.arrivals.value(now)
	}
	return total
}

func (p *Planner) countUsable() (prefill, decode int) {
	for _, e := range p.prefill {
		if e.isUsable() {
			prefill++
		}
	}
	for _, e := range p.decode {
		if e.isUsable() {
			decode++
		}
	}
	return prefill, decode
}

// leastUsedPrefill returns the prefill engine to move: the least busy one in the
// availability zone that has the most prefill engines. It returns false if all are being moved.
func (p *Planner) leastUsedPrefill() (ticket.Endpoint, bool) {
	zones := map[string]int{}
	for _, e := range p.prefill {
		if e.isUsable() && !p.isMoving(e.endpoint.Name, ticket.RoleDecode) {
			zones[e.endpoint.AvailabilityZone]++
		}
	}
	var best *prefillEndpoint
	for _, e := range p.prefill {
		if !e.isUsable() || p.isMoving(e.endpoint.Name, ticket.RoleDecode) {
			continue
		}
		if best == nil || zones[e.endpoint.AvailabilityZone] > zones[best.endpoint.AvailabilityZone] ||
			(zones[e.endpoint.AvailabilityZone] == zones[best.endpoint.AvailabilityZone] && e.outstanding < best.outstanding) {
			best = e
		}
	}
	if best == nil {
		return ticket.Endpoint{}, false
	}
	return best.endpoint, true
}

// leastUsedDecode returns the decode engine to move, or false if all are being moved.
func (p *Planner) leastUsedDecode() (ticket.Endpoint, bool) {
	var best *decodeEndpoint
	for _, e := range p.decode {
		if e.isUsable() && !p.isMoving(e.endpoint.Name, ticket.RolePrefill) && (best == nil || e.used < best.used) {
			best = e
		}
	}
	if best == nil {
		return ticket.Endpoint{}, false
	}
	return best.endpoint, true
}
