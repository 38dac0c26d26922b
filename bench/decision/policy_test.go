package decision_test

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
)

// productPolicy drives the product's Planner, one message delay away.
type productPolicy struct {
	w        *world
	planner  *dispatch.Planner
	second   *dispatch.Planner
	byID     map[dispatch.RequestID]*job
	owner    map[*job]*dispatch.Planner
	grants   map[*job]dispatch.RequestID
	serial   dispatch.RequestID
	over10s  bool
	finished map[*job]time.Time
}

// messageDelay is the way of one message between daemons.
const messageDelay = 500 * time.Microsecond

func newProductPolicy(w *world) policy {
	p := &productPolicy{
		w: w, byID: map[dispatch.RequestID]*job{}, owner: map[*job]*dispatch.Planner{},
		grants: map[*job]dispatch.RequestID{}, finished: map[*job]time.Time{},
	}
	p.planner = p.newPlanner()
	return p
}

func (p *productPolicy) newPlanner() *dispatch.Planner {
	s := p.w.scenario.shard()
	planner := dispatch.NewPlanner(s.Service, 0)
	planner.SetEndpoints(s)
	return planner
}

func (p *productPolicy) arrive(j *job) {
	planner := p.planner
	if p.second != nil && j.id%2 == 0 {
		planner = p.second
	}
	p.offer(j, planner, j.arrival)
}

func (p *productPolicy) offer(j *job, planner *dispatch.Planner, arrival time.Time) {
	p.serial++
	id := p.serial
	p.byID[id] = j
	p.owner[j] = planner
	p.grants[j] = id
	j.state = stateWaiting
	request := dispatch.Request{
		ID: id, Front: "front", Caller: callerName(j.caller), Rank: j.rank,
		PromptTokens: j.prompt, OutputTokens: j.limit, Arrival: arrival,
	}
	p.w.after(messageDelay, func() {
		if !j.isOver() {
			p.act(planner, planner.Offer(p.w.now, request, nil))
		}
	})
}

func callerName(i int) string {
	return "caller-" + string(rune('a'+i/26)) + string(rune('a'+i%26))
}

// act carries out decisions one message delay later.
func (p *productPolicy) act(planner *dispatch.Planner, decisions []dispatch.Decision) {
	for _, decision := range decisions {
		p.w.after(messageDelay, func() { p.carryOut(planner, decision) })
	}
}

func (p *productPolicy) carryOut(planner *dispatch.Planner, decision dispatch.Decision) {
	if !decision.IsGrant() {
		j := p.byID[decision.Refusal.ID]
		if j.state == stateWaiting && p.grants[j] == decision.Refusal.ID {
			p.w.refuse(j)
		}
		return
	}
	j := p.byID[decision.Grant.ID]
	if j.isOver() {
		p.act(planner, planner.Done(p.w.now, decision.Grant.ID, dispatch.Outcome{}, nil))
		return
	}
	j.decode = engineIndex(decision.Grant.Decode)
	j.priority = decision.Grant.Priority
	p.w.sendPrefill(j, engineIndex(decision.Grant.Prefill))
}

func engineIndex(name string) int {
	tail := name[len(name)-2:]
	return int(tail[0]-'a')*26 + int(tail[1]-'a')
}

func (p *productPolicy) prefilled(j *job) {
	planner, id := p.owner[j], p.grants[j]
	p.w.after(messageDelay, func() { p.act(planner, planner.Prefilled(p.w.now, id, nil)) })
	p.w.transfer(j, j.decode)
}

func (p *productPolicy) started(j *job) {
	planner, id := p.owner[j], p.grants[j]
	p.w.after(max(j.firstT.Sub(p.w.now), 0)+messageDelay, func() { p.act(planner, planner.Started(p.w.now, id, nil)) })
}

func (p *productPolicy) over(j *job) {
	p.finished[j] = p.w.now
	p.done(j, dispatch.Outcome{OutputTokens: j.output})
}

func (p *productPolicy) done(j *job, outcome dispatch.Outcome) {
	planner, id := p.owner[j], p.grants[j]
	p.w.after(messageDelay, func() { p.act(planner, planner.Done(p.w.now, id, outcome, nil)) })
}

// maxTries bounds the attempts of one job, for all policies.
const maxTries = 3

func (p *productPolicy) full(j *job) {
	dead := p.w.decode[j.decode].dead
	p.done(j, dispatch.Outcome{FailedEndpoint: engineName("decode", j.decode), Busy: !dead})
	j.tries++
	if j.tries < maxTries {
		p.offer(j, p.owner[j], p.w.now)
	}
}

// lost closes a dead engine after two readings of its report have failed.
func (p *productPolicy) lost(decode int) {
	p.w.after(2*time.Second, func() {
		s := p.w.scenario.shard()
		s.Decode[decode].Leaving = true
		p.planner.SetEndpoints(s)
	})
}

func (p *productPolicy) tick() {
	p.switchOwners()
	p.act(p.planner, p.planner.Tick(p.w.now, nil))
	if p.second != nil {
		p.act(p.second, p.second.Tick(p.w.now, nil))
	}
}

// secondTime is the time for which two dispatchers believe that they own the shard.
const secondTime = 10 * time.Second

// switchOwners lets a second owner work in the middle of the run. Afterwards the
// first adopts what the second granted, as fronts report it.
func (p *productPolicy) switchOwners() {
	if !p.w.scenario.secondOwner || p.over10s {
		return
	}
	since := p.w.now.Sub(epoch) - p.w.scenario.duration/2
	if since >= 0 && p.second == nil {
		p.second = p.newPlanner()
	}
	if since < secondTime {
		return
	}
	p.over10s = true
	second := p.second
	p.second = nil
	for _, j := range p.w.jobs {
		if p.owner[j] != second || j.isOver() {
			continue
		}
		id := p.grants[j]
		p.owner[j] = p.planner
		request := dispatch.Request{ID: id, Front: "front", Caller: callerName(j.caller), Rank: j.rank, PromptTokens: j.prompt, OutputTokens: j.limit, Arrival: j.arrival}
		if j.state == stateWaiting {
			p.act(p.planner, p.planner.Offer(p.w.now, request, nil))
			continue
		}
		stage := dispatch.StageDecode
		if j.state == statePrefill {
			stage = dispatch.StagePrefill
		}
		p.planner.Adopt(p.w.now, dispatch.Hold{Request: request, Stage: stage, Prefill: engineName("prefill", j.prefill), Decode: engineName("decode", j.decode)})
	}
}

// alonePolicy lets each front decide by itself on reports that are 1 s old: two
// random engines, the less loaded one.
type alonePolicy struct {
	w        *world
	prefill  []int
	decode   []int
	at       time.Time
	finished map[*job]time.Time
}

func newAlonePolicy(w *world) policy {
	return &alonePolicy{w: w, prefill: make([]int, len(w.prefill)), decode: make([]int, len(w.decode)), at: epoch, finished: map[*job]time.Time{}}
}

func (p *alonePolicy) arrive(j *job) {
	p.w.sendPrefill(j, p.choose(p.prefill))
}

func (p *alonePolicy) choose(loads []int) int {
	first, second := p.w.source.IntN(len(loads)), p.w.source.IntN(len(loads))
	if loads[second] < loads[first] {
		return second
	}
	return first
}

func (p *alonePolicy) prefilled(j *job) { p.w.transfer(j, p.choose(p.decode)) }
func (p *alonePolicy) started(*job)     {}
func (p *alonePolicy) over(j *job)      { p.finished[j] = p.w.now }
func (p *alonePolicy) lost(int)         {}

func (p *alonePolicy) full(j *job) {
	j.tries++
	if j.tries < maxTries {
		p.arrive(j)
	}
}

func (p *alonePolicy) tick() {
	frozen := p.w.scenario.frozen && p.w.now.Sub(epoch) > p.w.scenario.duration/3
	if frozen || p.w.now.Sub(p.at) < time.Second {
		return
	}
	p.at = p.w.now
	for i, e := range p.w.prefill {
		p.prefill[i] = len(e.queue)
	}
	for i, e := range p.w.decode {
		p.decode[i] = len(e.running) + len(e.waiting)
		if e.dead {
			p.decode[i] = 1 << 20
		}
	}
}

// centralPolicy has exact accounts and one queue, first come first served, or
// by strict priority of ranks. It refuses what is over its target already.
type centralPolicy struct {
	w        *world
	ranked   bool
	queue    [][]*job
	used     []int
	pieces   []int
	pending  []int
	finished map[*job]time.Time
}

func newCentralPolicy(ranked bool) func(w *world) policy {
	return func(w *world) policy {
		return &centralPolicy{
			w: w, ranked: ranked, queue: make([][]*job, len(w.scenario.ranks)),
			used: make([]int, len(w.decode)), pieces: make([]int, len(w.decode)),
			pending: make([]int, len(w.prefill)), finished: map[*job]time.Time{},
		}
	}
}

func (p *centralPolicy) arrive(j *job) {
	line := 0
	if p.ranked {
		line = j.rank
	}
	j.state = stateWaiting
	p.queue[line] = append(p.queue[line], j)
	p.grant()
}

func (p *centralPolicy) grant() {
	for line := range p.queue {
		for len(p.queue[line]) > 0 {
			j := p.queue[line][0]
			target := time.Duration(p.w.scenario.ranks[j.rank].rank.FirstTokenTarget)
			if j.isOver() || p.w.now.Sub(j.arrival) > target {
				p.w.refuse(j)
				p.queue[line] = p.queue[line][1:]
				continue
			}
			if !p.place(j) {
				return
			}
			p.queue[line] = p.queue[line][1:]
		}
	}
}

func (p *centralPolicy) place(j *job) bool {
	decode, prefill := -1, 0
	for i := range p.used {
		fits := p.used[i] < p.w.scenario.places && p.pieces[i]+p.w.scenario.piecesOf(j) <= p.w.scenario.pieces
		if fits && !p.w.decode[i].dead && (decode < 0 || p.used[i] < p.used[decode]) {
			decode = i
		}
	}
	for i := range p.pending {
		if p.pending[i] < p.pending[prefill] {
			prefill = i
		}
	}
	if decode < 0 || p.pending[prefill] >= 2 {
		return false
	}
	p.used[decode]++
	p.pieces[decode] += p.w.scenario.piecesOf(j)
	p.pending[prefill]++
	j.decode = decode
	p.w.sendPrefill(j, prefill)
	return true
}

func (p *centralPolicy) prefilled(j *job) {
	p.pending[j.prefill]--
	p.w.transfer(j, j.decode)
	p.grant()
}

func (p *centralPolicy) started(*job) {}

func (p *centralPolicy) over(j *job) {
	p.finished[j] = p.w.now
	p.release(j)
}

func (p *centralPolicy) release(j *job) {
	if j.prefill >= 0 {
		p.used[j.decode]--
		p.pieces[j.decode] -= p.w.scenario.piecesOf(j)
		if j.prefillT.IsZero() {
			p.pending[j.prefill]--
		}
	}
	p.grant()
}

func (p *centralPolicy) full(j *job) {
	p.release(j)
	j.prefillT, j.prefill = time.Time{}, -1
	j.tries++
	if j.tries < maxTries {
		p.arrive(j)
	}
}

func (p *centralPolicy) lost(int) {}
func (p *centralPolicy) tick()    { p.grant() }
