package dispatch

import (
	"time"
)

// HasQueued reports whether a request is queued, so that Tick must be called.
func (p *Planner) HasQueued() bool {
	return len(p.queues.queued) > 0
}

// HoldsGrantedBefore returns the holds that were granted before a time, in no
// particular order.
func (p *Planner) HoldsGrantedBefore(before time.Time) []Hold {
	var holds []Hold
	for _, h := range p.holds {
		if h.grantedAt.Before(before) {
			holds = append(holds, h.toHold())
		}
	}
	return holds
}

// Hold returns the hold of a request. It returns false if the request is not granted
// or already done.
func (p *Planner) Hold(id RequestID) (Hold, bool) {
	h, ok := p.holds[id]
	if !ok {
		return Hold{}, false
	}
	return h.toHold(), true
}

// Load is a summary of a shard for operators.
type Load struct {
	Queued      int
	Held        int
	DecodeUsed  int
	DecodeLimit int
	PiecesUsed  int
	PiecesLimit int
	// OpenDecode and OpenPrefill are the numbers of endpoints that can be granted now.
	OpenDecode  int
	OpenPrefill int
	// RoomyDecode is the number of open decode endpoints with a place and memory for a
	// request of mean size, SavedDecode the number of decode endpoints saved for a
	// queued request.
	RoomyDecode int
	SavedDecode int
	// PrefillWait is the shortest time until an open prefill endpoint can start another
	// request.
	PrefillWait time.Duration
}

// Load returns the current load of the shard.
func (p *Planner) Load(now time.Time) Load {
	load := Load{Queued: len(p.queues.queued), Held: len(p.holds), DecodeLimit: p.decodeLimit()}
	last := len(p.queues.ranks) - 1
	meanRequest := Request{PromptTokens: int(p.offeredPrompt.value), OutputTokens: int(p.offeredOutput.value)}
	for _, e := range p.decode {
		load.DecodeUsed += e.used
		load.PiecesUsed += e.usedPieces
		load.PiecesLimit += e.endpoint.Pieces
		if e.savedFor != nil {
			load.SavedDecode++
		}
		if e.isOpen(now) {
			load.OpenDecode++
			if _, fits := p.freeShare(now, e, meanRequest); fits && e.freePlaces() > 0 {
				load.RoomyDecode++
			}
		}
	}
	for _, e := range p.prefill {
		if !e.isOpen(now) {
			continue
		}
		wait := e.backlog(now, last)
		if load.OpenPrefill == 0 || wait < load.PrefillWait {
			load.PrefillWait = wait
		}
		load.OpenPrefill++
	}
	return load
}

// loadAtGrant returns the load of the decode endpoint that was predicted when a
// request was granted, 0 for a request without a grant.
func (p *Planner) loadAtGrant(id RequestID) float64 {
	if h, ok := p.holds[id]; ok {
		return h.predictedLoad
	}
	return 0
}

// tokenTimeOf returns the time for one output token of a decode endpoint, 0 for other
// endpoints.
func (p *Planner) tokenTimeOf(endpoint string) time.Duration {
	e, ok := p.byName[endpoint]
	if !ok {
		return 0
	}
	return time.Duration(p.tokenTime(e) * float64(time.Second))
}

// remainingCooldown returns the remaining time for which an endpoint gets no requests
// because of failures.
func (p *Planner) remainingCooldown(now time.Time, endpoint string) time.Duration {
	for _, e := range p.prefill {
		if e.endpoint.Name == endpoint {
			return max(e.health.cooldownUntil.Sub(now), 0)
		}
	}
	if e, ok := p.byName[endpoint]; ok {
		return max(e.health.cooldownUntil.Sub(now), e.busyUntil.Sub(now), 0)
	}
	return 0
}

// Pressure is the predicted wait of the least urgent rank, in units of 1/64 of the
// rank's first-token target, at most MaxPressure.
type Pressure uint8

// MaxPressure means a wait of almost four targets or more, or a shard without usable
// endpoints.
const MaxPressure Pressure = 255

const pressureUnit = 64

// Pressure returns the current pressure of the shard.
func (p *Planner) Pressure(now time.Time) Pressure {
	p.refresh(now)
	last := len(p.queues.ranks) - 1
	target := p.queues.ranks[last].targets.firstToken
	if p.unservableCause(Request{Rank: last}, now.Add(target)) != "" {
		return MaxPressure
	}
	wait := p.predictWait(now, Request{Rank: last})
	if target <= 0 {
		return 0
	}
	return Pressure(min(float64(wait)/float64(target)*pressureUnit, float64(MaxPressure)))
}
