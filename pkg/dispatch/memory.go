package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Decode memory that grows with the output.
//
// An engine allocates memory for a whole prompt first and then for the output token by
// token. Reserving the output limit of every request would leave most of the memory idle.
// Counting only the memory in use would fill it until running requests are preempted. The
// Planner therefore admits requests by the predicted peak: all requests of an engine
// advance together by one token per step, so the memory in use rises until one of them
// ends and releases all of its memory. This serves bursts of requests whose limits are far
// above their outputs.

const (
	// usableMemoryShare is the share of an engine's memory that predicted peaks may fill.
	// The rest is left for outputs that are longer than predicted.
	usableMemoryShare = 0.95
	// roomyLoadThreshold is the predicted load below which an engine that rejects a
	// request is not short of memory.
	roomyLoadThreshold = 0.8
	// overrunShare is the least remaining output that is assumed for a running request, as
	// a share of its predicted output. It applies to outputs that exceed the prediction.
	overrunShare = 0.25
)

// demand is the memory of one request in tokens: the memory in use, and the tokens that it
// is still expected to add.
type demand struct {
	used      float64
	remaining float64
}

// sortDemands sorts demands by decreasing remaining tokens, as peakMemory requires.
func sortDemands(demands []demand) {
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(b.remaining, a.remaining) })
}

// peakMemory returns the largest memory that sorted demands and one more use at any time,
// when all of them advance by one token per step.
func peakMemory(demands []demand, more demand) float64 {
	highest, used, count := 0.0, 0.0, 0.0
	add := func(d demand) {
		used += d.used
		count++
		highest = max(highest, used+count*d.remaining)
	}
	added := false
	for _, d := range demands {
		if !added && more.remaining > d.remaining {
			add(more)
			added = true
		}
		add(d)
	}
	if !added {
		add(more)
	}
	return highest
}

// expectedOutput returns the predicted output tokens of a request: the geometric mean of
// its caller's estimate and the mean of its rank. Both count equally, since the errors of
// callers' estimates are as large as the spread of outputs.
func (p *Planner) expectedOutput(r Request) float64 {
	limit := float64(r.OutputTokens)
	mean := min(p.queues.ranks[r.Rank].output.valueOr(limit*typicalOutputShare), limit)
	if r.ExpectedTokens <= 0 || mean <= 0 {
		return mean
	}
	return math.Sqrt(min(float64(r.ExpectedTokens), limit) * mean)
}

// typicalOutputShare is the share of its limit that an output is assumed to reach while no
// output has been measured.
const typicalOutputShare = 0.6

// tokenTime returns the seconds per output token of an endpoint, measured or default.
func (p *Planner) tokenTime(e *decodeEndpoint) float64 {
	return e.tokenGap.valueOr(p.defaultTokenTime())
}

// defaultTokenTime returns the seconds per output token of an endpoint without samples: the
// mean over all endpoints, the figure configured for the service, or the target.
func (p *Planner) defaultTokenTime() float64 {
	switch configured := time.Duration(p.service.TokenTime).Seconds(); {
	case configured <= 0:
		return p.queues.ranks[0].targets.tokenGap.Seconds()
	case p.tokenGap.samples < minServiceGapSamples:
		return configured
	}
	return p.tokenGap.value
}

// minServiceGapSamples is the number of requests from which on the mean of all endpoints
// is used. Single samples may include message delays.
const minServiceGapSamples = 16

// demandOf returns the predicted memory demand of a granted request.
func (p *Planner) demandOf(now time.Time, h *hold) demand {
	expected := p.expectedOutput(h.request)
	generated := float64(h.priorOutputTokens)
	if h.stage == StageDecode {
		generated += now.Sub(h.decodeAt).Seconds() / p.tokenTime(h.decode)
	}
	generated = min(generated, float64(h.request.OutputTokens))
	remaining := max(expected-generated, overrunShare*expected)
	remaining = min(remaining, float64(h.request.OutputTokens)-generated)
	return demand{used: float64(h.request.PromptTokens) + generated, remaining: remaining}
}

// memoryLoad returns the predicted peak of an endpoint with one more request, as a share of
// the memory that predicted peaks may fill.
func (p *Planner) memoryLoad(now time.Time, e *decodeEndpoint, r Request) float64 {
	more := demand{used: float64(r.PromptTokens), remaining: p.expectedOutput(r)}
	return peakMemory(p.demandsAt(now, e), more) / (float64(e.endpoint.Pieces*p.service.PieceTokens) * usableMemoryShare)
}

// demandsAt returns the sorted demands of all holds of an endpoint. It caches them until the
// time or the holds change, since in an overload many requests are tried repeatedly at
// each endpoint.
func (p *Planner) demandsAt(now time.Time, e *decodeEndpoint) []demand {
	if e.demandsAt.Equal(now) {
		return e.demands
	}
	e.demands, e.demandsAt = e.demands[:0], now
	for _, h := range e.holds {
		e.demands = append(e.demands, p.demandOf(now, h))
	}
	sortDemands(e.demands)
	return e.demands
}

// freeShare returns the share of an endpoint that is free for one more request, and whether
// the endpoint has memory for it. The share is that of the free places. Where memory grows
// with the output, it is at most the share of memory that stays free at the predicted
// peak with the request, and an endpoint without holds has memory for any request.
func (p *Planner) freeShare(now time.Time, e *decodeEndpoint, r Request) (free float64, fits bool) {
	free = float64(e.freePlaces()) / float64(e.endpoint.Places)
	if !p.service.MemoryGrows {
		return free, e.hasMemoryFor(memoryPieces(p.service, r))
	}
	if e.endpoint.Pieces == 0 {
		return free, true
	}
	load := p.memoryLoad(now, e, r)
	return min(free, 1-load), load <= 1 || len(e.holds) == 0
}

// concurrency returns the number of requests that a full endpoint runs concurrently, limited
// by its places and by the memory of the mean request.
func (p *Planner) concurrency(e *decodeEndpoint) float64 {
	if p.footprint.samples == 0 {
		return float64(e.places())
	}
	return p.concurrencyForFootprint(e, p.footprint.value)
}

// concurrencyForFootprint returns the number of requests with a mean memory of footprint
// tokens that a full endpoint runs concurrently.
func (p *Planner) concurrencyForFootprint(e *decodeEndpoint, footprint float64) float64 {
	places := float64(e.places())
	if !p.service.MemoryGrows || e.endpoint.Pieces == 0 {
		return places
	}
	return min(places, float64(e.endpoint.Pieces*p.service.PieceTokens)*usableMemoryShare/max(footprint, 1))
}
