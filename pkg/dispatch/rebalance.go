package dispatch

import (
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
	// engine is moved.
	rebalanceGain = 1.12
	// rebalanceSamples is the number of completed requests before rates are believed.
	rebalanceSamples = 25
	// rebalancePause spaces the moves of one shard. It is longer than an engine is
	// away and an order without an answer may still be carried out.
	rebalancePause = 16 * time.Second
	// retryMoveAfter is the pause after a move that could not be ordered.
	retryMoveAfter = 2 * time.Second
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
	// Before and After are the requests a second that the service can serve.
	Before float64
	After  float64
}

// Rebalance returns an engine to move, if that is worth it now. A move that is
// returned counts as made.
func (p *Planner) Rebalance(now time.Time) (Move, bool) {
	if now.Sub(p.movedAt) < rebalancePause {
		return Move{}, false
	}
	prefill, decode := p.countUsable()
	if prefill == 0 && decode >= leastPool {
		// Whatever is measured, a pool without engines serves nothing.
		p.movedAt = now
		return Move{Endpoint: p.leastUsedDecode(), Role: ticket.RolePrefill}, true
	}
	if prefill == 0 || decode == 0 || p.holdTime.samples < rebalanceSamples {
		return Move{}, false
	}
	perPrefill := p.prefillRate() / float64(prefill) / max(p.promptWork.value, 1)
	perDecode := p.decodeConcurrency() / float64(decode) / p.holdTime.value
	serves := func(prefill, decode int) float64 {
		return min(float64(prefill)*perPrefill, float64(decode)*perDecode)
	}
	before := serves(prefill, decode)
	if p.asked(now) < busyShare*before {
		return Move{}, false
	}
	move := Move{Before: before}
	switch {
	case prefill > leastPool && serves(prefill-1, decode+1) >= before*rebalanceGain:
		move.After, move.Role = serves(prefill-1, decode+1), ticket.RoleDecode
		move.Endpoint = p.leastUsedPrefill()
	case decode > leastPool && serves(prefill+1, decode-1) >= before*rebalanceGain:
		move.After, move.Role = serves(prefill+1, decode-1), ticket.RolePrefill
		move.Endpoint = p.leastUsedDecode()
	default:
		return Move{}, false
	}
	p.movedAt = now
	return move, true
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
		if e.isUsable() {
			zones[e.endpoint.AvailabilityZone]++
		}
	}
	var best *prefillEndpoint
	for _, e := range p.prefill {
		if !e.isUsable() {
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
		if e.isUsable() && (best == nil || e.used < best.used) {
			best = e
		}
	}
	return best.endpoint
}
