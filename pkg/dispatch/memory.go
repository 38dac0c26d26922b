package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Decode memory that grows with the output.
//
// An engine takes memory for a prompt at once and for the output token by token.
// Reserving every request's limit would leave most of the memory idle, and
// counting only what is taken now would fill it until running requests are
// preempted. The Planner therefore admits by the predicted peak: all requests of
// an engine advance together, one token a step, so the memory in use rises until
// one of them ends and gives back all of its own. The load pattern it answers is
// a burst of requests whose limits are far above their outputs.

const (
	// memoryShare is the part of an engine's memory that predicted peaks may fill;
	// the rest takes up outputs that are longer than predicted.
	memoryShare = 0.95
	// roomyLoad is the predicted load below which an engine that refuses is not
	// short of memory.
	roomyLoad = 0.8
	// overrunShare is what is left of an output that is past its prediction, as a
	// part of the prediction.
	overrunShare = 0.25
)

// demand is the memory of one request: what it has now, and how many tokens it
// is still expected to add.
type demand struct {
	taken float64
	left  float64
}

// sortDemands puts those first that last longest, as peak wants them.
func sortDemands(demands []demand) {
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(b.left, a.left) })
}

// peak returns the largest memory that sorted demands and one more take at any time,
// when all advance by one token a step.
func peak(demands []demand, more demand) float64 {
	highest, taken, count := 0.0, 0.0, 0.0
	add := func(d demand) {
		taken += d.taken
		count++
		highest = max(highest, taken+count*d.left)
	}
	added := false
	for _, d := range demands {
		if !added && more.left > d.left {
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
// its caller's guess and the mean of its rank, since guesses are as far off as outputs are
// spread.
func (p *Planner) expectedOutput(r Request) float64 {
	limit := float64(r.OutputTokens)
	mean := min(p.queues.ranks[r.Rank].output.or(limit*typicalOutput), limit)
	if r.ExpectedTokens <= 0 || mean <= 0 {
		return mean
	}
	return math.Sqrt(min(float64(r.ExpectedTokens), limit) * mean)
}

// typicalOutput is the part of its limit that an output takes while none has
// been measured.
const typicalOutput = 0.6

// tokenTime returns the seconds for one output token, measured or usual.
func (p *Planner) tokenTime(e *decodeEndpoint) float64 {
	return e.gap.or(p.usualTokenTime())
}

// usualTokenTime returns the seconds for one output token at an endpoint of which nothing
// was measured: the mean over the others, the service's own figure, or the target.
func (p *Planner) usualTokenTime() float64 {
	switch stated := time.Duration(p.service.TokenTime).Seconds(); {
	case stated <= 0:
		return p.queues.ranks[0].targets.tokenGap.Seconds()
	case p.tokenGap.samples < usualSamples:
		return stated
	}
	return p.tokenGap.value
}

// usualSamples is the number of requests from which on the mean of all endpoints is
// believed: a few may hold the time for which messages were on their way.
const usualSamples = 16

// demandOf returns the memory demand of a granted request.
func (p *Planner) demandOf(now time.Time, h *hold) demand {
	expected := p.expectedOutput(h.request)
	made := float64(h.priorOutputTokens)
	if h.stage == StageDecode {
		made += now.Sub(h.decodeAt).Seconds() / p.tokenTime(h.decode)
	}
	made = min(made, float64(h.request.OutputTokens))
	left := max(expected-made, overrunShare*expected)
	left = min(left, float64(h.request.OutputTokens)-made)
	return demand{taken: float64(h.request.PromptTokens) + made, left: left}
}

// memoryLoad returns the predicted peak of an endpoint with one more request, as
// a part of what may be filled.
func (p *Planner) memoryLoad(now time.Time, e *decodeEndpoint, r Request) float64 {
	more := demand{taken: float64(r.PromptTokens), left: p.expectedOutput(r)}
	return peak(p.demandsAt(now, e), more) / (float64(e.endpoint.Pieces*p.service.PieceTokens) * memoryShare)
}

// demandsAt returns the demands of all that an endpoint holds, sorted. They are worked
// out once for each time and change of its holds: in an overload many requests are tried
// at each endpoint, again and again.
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

// room returns how much of an endpoint is free for one more request, from 0 to 1, and
// whether it has the memory.
func (p *Planner) room(now time.Time, e *decodeEndpoint, r Request) (free float64, fits bool) {
	free = float64(e.free()) / float64(e.endpoint.Places)
	if !p.service.MemoryGrows {
		return free, e.fits(memoryPieces(p.service, r))
	}
	if e.endpoint.Pieces == 0 {
		return free, true
	}
	load := p.memoryLoad(now, e, r)
	return min(free, 1-load), load <= 1 || len(e.holds) == 0
}

// concurrency returns the requests that an endpoint runs at once when it is
// full, by its places and by the memory of the mean request.
func (p *Planner) concurrency(e *decodeEndpoint) float64 {
	if p.footprint.samples == 0 {
		return float64(e.places())
	}
	return p.concurrencyOf(e, p.footprint.value)
}

// concurrencyOf returns the requests of a mean memory that an endpoint runs at once.
func (p *Planner) concurrencyOf(e *decodeEndpoint, footprint float64) float64 {
	places := float64(e.places())
	if !p.service.MemoryGrows || e.endpoint.Pieces == 0 {
		return places
	}
	return min(places, float64(e.endpoint.Pieces*p.service.PieceTokens)*memoryShare/max(footprint, 1))
}
