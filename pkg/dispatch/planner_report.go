package dispatch

import (
	"time"
)

// HasQueued reports whether a request waits, so that Tick may have to decide.
func (p *Planner) HasQueued() bool {
	return len(p.queues.queued) > 0
}

// HoldsGrantedBefore returns the holds that were granted before a time.
func (p *Planner) HoldsGrantedBefore(before time.Time) []Hold {
	var holds []Hold
	for _, h := range p.holds {
		if h.grantedAt.Before(before) {
			holds = append(holds, h.summary())
		}
	}
	return holds
}

// Hold returns what a request holds that is granted and not yet done.
func (p *Planner) Hold(id RequestID) (Hold, bool) {
	h, ok := p.holds[id]
	if !ok {
		return Hold{}, false
	}
	return h.summary(), true
}

// Load is a summary of a shard for operators.
type Load struct {
	Queued      int
	Held        int
	DecodeUsed  int
	DecodeLimit int
	PiecesUsed  int
	PiecesLimit int
	// OpenDecode and OpenPrefill count the endpoints that take work now.
	OpenDecode  int
	OpenPrefill int
	// RoomyDecode counts the open decode endpoints with memory for a mean request,
	// SavedDecode those that are kept for a request that waits.
	RoomyDecode int
	SavedDecode int
	// PrefillWait is the least time until an open prefill endpoint begins one more.
	PrefillWait time.Duration
}

// Load returns the present summary.
func (p *Planner) Load(now time.Time) Load {
	load := Load{Queued: len(p.queues.queued), Held: len(p.holds), DecodeLimit: p.decodeLimit()}
	last := len(p.queues.ranks) - 1
	meanRequest := Request{PromptTokens: int(p.offeredPrompt.value), OutputTokens: int(p.offeredOutput.value)}
	for _, e := range p.decode {
		load.DecodeUsed += e.used
		load.PiecesUsed += e.pieces
		load.PiecesLimit += e.endpoint.Pieces
		if e.savedFor != nil {
			load.SavedDecode++
		}
		if e.isOpen(now) {
			load.OpenDecode++
			if _, fits := p.room(now, e, meanRequest); fits && e.free() > 0 {
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

// loadAtGrant returns the predicted load of the decode endpoint of a granted
// request, when it was granted.
func (p *Planner) loadAtGrant(id RequestID) float64 {
	if h, ok := p.holds[id]; ok {
		return h.predictedLoad
	}
	return 0
}

// tokenTimeOf returns the time for one output token of a decode endpoint, 0 for
// others.
func (p *Planner) tokenTimeOf(endpoint string) time.Duration {
	e, ok := p.byName[endpoint]
	if !ok {
		return 0
	}
	return time.Duration(p.tokenTime(e) * float64(time.Second))
}

// paused returns how much longer an endpoint takes no work because of failures.
func (p *Planner) remainingPause(now time.Time, endpoint string) time.Duration {
	for _, e := range p.prefill {
		if e.endpoint.Name == endpoint {
			return max(e.health.coolUntil.Sub(now), 0)
		}
	}
	if e, ok := p.byName[endpoint]; ok {
		return max(e.health.coolUntil.Sub(now), e.busyUntil.Sub(now), 0)
	}
	return 0
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
