package dispatch

import (
	"slices"
	"time"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// The division of engines between prefill and decode.
//
// An engine that changes its role is away for some seconds, so a change must be
// worth it for long: the decision compares what the two pools can serve, from
// measured rates, with what they could serve with one engine moved. The load
// pattern it answers is a mix of prompts and outputs that fills one pool while
// the other is mostly idle.

const (
	// rebalanceGain is the least growth of what the service can serve for which an
	// engine is moved, in what one decode engine serves.
	rebalanceGain = 0.6
	// rebalanceSamples is the number of completed requests before rates are believed:
	// those that complete first are short.
	rebalanceSamples = 60
	// rebalancePause is the time for which a move counts as under way. It is longer
	// than an engine is away and an order without an answer may still be carried out.
	rebalancePause = 16 * time.Second
	// enginesPerMove is the number of engines for each of which one may be under way.
	enginesPerMove = 8
	// moveSpacing spaces the moves of one shard.
	moveSpacing = time.Second
	// retryMoveAfter is the pause after a move that could not be ordered.
	retryMoveAfter = 2 * time.Second
	// offeredSamples is the number of offers from which prompts and outputs are
	// believed before requests have been completed.
	offeredSamples = 15
	// prefillSlack is how much more than the decode pool the prefill pool must serve
	// without the engine: a prefill that waits is late at once, and prefills that
	// follow each other are spaced by their messages.
	prefillSlack = 1.2
	// spareShare is the part of what the service can serve that must be asked for, for
	// an engine to be moved that its pool can spare.
	spareShare = 0.25
	// spareFactor is how many times the present load a prefill pool must serve without
	// an engine that it can spare: a usual burst.
	spareFactor = 2
	// settleTime is the time after taking a shard over in which no engine is moved: by
	// then fronts have told what they hold, and endpoints that start have registered.
	settleTime = 3 * time.Second
	// busyShare is the part of what the service can serve that must be asked for,
	// for a move to be of use.
	busyShare = 0.4
	// leastPool is the number of engines that each pool keeps.
	leastPool = 2
)

// Move is an engine that is to change its role.
type Move struct {
	Endpoint ticket.Endpoint
	Role     ticket.Role
	// ThroughputBefore and ThroughputAfter are the requests a second that the service can serve.
	ThroughputBefore float64
	ThroughputAfter  float64
}

// madeMove is a move that was decided on.
type madeMove struct {
	Move
	at time.Time
}

// Rebalance returns an engine to move, if that is worth it now. A move that is
// returned counts as made.
func (p *Planner) Rebalance(now time.Time) (Move, bool) {
	p.moves = slices.DeleteFunc(p.moves, func(m madeMove) bool { return now.Sub(m.at) >= rebalancePause })
	if now.Before(p.rebalanceFrom) || now.Before(p.nextMoveAt) {
		return Move{}, false
	}
	prefill, decode := p.countEngines()
	if len(p.moves) >= max((prefill+decode)/enginesPerMove, 1) {
		return Move{}, false
	}
	move, ok := p.chooseMove(now, prefill, decode)
	if ok {
		p.moves = append(p.moves, madeMove{Move: move, at: now})
		p.nextMoveAt = now.Add(moveSpacing)
	}
	return move, ok
}

// chooseMove returns the move that gains enough, if there is one.
func (p *Planner) chooseMove(now time.Time, prefill, decode int) (Move, bool) {
	if prefill == 0 && decode >= leastPool {
		// Whatever is measured, a pool without engines serves nothing.
		return Move{Endpoint: p.leastUsedDecode(), Role: ticket.RolePrefill}, true
	}
	prefillRate, decodeRate, ok := p.poolRates()
	if !ok {
		return Move{}, false
	}
	prefillEngines, decodeEngines := p.countUsable()
	perPrefill, perDecode := prefillRate/float64(prefillEngines), decodeRate/float64(decodeEngines)
	serves := func(prefill, decode int) float64 {
		return min(float64(prefill)*perPrefill, float64(decode)*perDecode)
	}
	before := serves(prefill, decode)
	least := before + rebalanceGain*perDecode
	asked := p.asked(now)
	// An engine that the prefill pool can spare is moved before it is missed.
	spare := asked >= spareShare*before && asked*spareFactor < float64(prefill-1)*perPrefill
	busy := asked >= busyShare*before
	switch {
	case (busy || spare) && prefill > leastPool && serves(prefill-1, decode+1) >= least &&
		float64(prefill-1)*perPrefill >= prefillSlack*float64(decode+1)*perDecode:
		return Move{Endpoint: p.leastUsedPrefill(), Role: ticket.RoleDecode, ThroughputBefore: before, ThroughputAfter: serves(prefill-1, decode+1)}, true
	case busy && decode > leastPool && serves(prefill+1, decode-1) >= least:
		return Move{Endpoint: p.leastUsedDecode(), Role: ticket.RolePrefill, ThroughputBefore: before, ThroughputAfter: serves(prefill+1, decode-1)}, true
	}
	return Move{}, false
}

// retryMove forgets a move that could not be ordered, and decides anew soon.
func (p *Planner) retryMove(now time.Time, endpoint string) {
	p.moves = slices.DeleteFunc(p.moves, func(m madeMove) bool { return m.Endpoint.Name == endpoint })
	p.nextMoveAt = now.Add(retryMoveAfter)
}

// isMoving reports whether an engine is on its way to a role.
func (p *Planner) isMoving(endpoint string, role ticket.Role) bool {
	return slices.ContainsFunc(p.moves, func(m madeMove) bool { return m.Endpoint.Name == endpoint && m.Role == role })
}

// countEngines returns the engines of the pools, those on their way included.
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

// poolRates returns the requests a second that each pool serves: as measured, or as
// the first offers let expect while too few have been completed.
func (p *Planner) poolRates() (prefill, decode float64, ok bool) {
	prefillEngines, decodeEngines := p.countUsable()
	if prefillEngines == 0 || decodeEngines == 0 {
		return 0, 0, false
	}
	if p.holdTime.samples >= rebalanceSamples {
		prefill, decode = p.measuredRates()
		return prefill, decode, true
	}
	if p.service.TokenTime <= 0 || p.offeredPrompt.samples < offeredSamples {
		return 0, 0, false
	}
	prompt, output := p.offeredPrompt.value, p.offeredOutput.value
	rate := p.prefillRate()
	hold := prompt/rate*float64(prefillEngines) + output*time.Duration(p.service.TokenTime).Seconds()
	concurrency := 0.0
	for _, e := range p.decode {
		if e.isUsable() {
			concurrency += p.concurrencyOf(e, prompt+output/2)
		}
	}
	return rate / max(prompt, 1), concurrency / hold, true
}

// asked returns the requests a second that are offered.
func (p *Planner) asked(now time.Time) float64 {
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

// leastUsedPrefill returns the prefill engine to move: one of the zone that has
// most of them, the least busy of these.
func (p *Planner) leastUsedPrefill() ticket.Endpoint {
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
	return best.endpoint
}

func (p *Planner) leastUsedDecode() ticket.Endpoint {
	var best *decodeEndpoint
	for _, e := range p.decode {
		if e.isUsable() && !p.isMoving(e.endpoint.Name, ticket.RolePrefill) && (best == nil || e.used < best.used) {
			best = e
		}
	}
	return best.endpoint
}
