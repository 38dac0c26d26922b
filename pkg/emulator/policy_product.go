package emulator

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
	switched bool
}

// messageDelay is the way of one message between daemons.
const messageDelay = 500 * time.Microsecond

func newProductPolicy(w *world) policy {
	p := &productPolicy{
		w: w, byID: map[dispatch.RequestID]*job{}, owner: map[*job]*dispatch.Planner{},
		grants: map[*job]dispatch.RequestID{},
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
	p.offer(j, planner, j.offered)
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
		PromptTokens: j.prompt, OutputTokens: j.limit, Arrival: arrival, Fingerprint: dispatch.Fingerprint(j.id + 1),
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
		j := p.byID[decision.Rejection.ID]
		if j.state == stateWaiting && p.grants[j] == decision.Rejection.ID {
			p.w.refuse(j, decision.Rejection.RetryAfter)
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
	if !p.w.scenario.SecondOwner || p.switched {
		return
	}
	since := p.w.now.Sub(Epoch) - p.w.scenario.Duration/2
	if since >= 0 && p.second == nil {
		p.second = p.newPlanner()
	}
	if since < secondTime {
		return
	}
	p.switched = true
	second := p.second
	p.second = nil
	for _, j := range p.w.jobs {
		if p.owner[j] != second || j.isOver() {
			continue
		}
		id := p.grants[j]
		p.owner[j] = p.planner
		request := dispatch.Request{ID: id, Front: "front", Caller: callerName(j.caller), Rank: j.rank, PromptTokens: j.prompt, OutputTokens: j.limit, Arrival: j.offered}
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

// wrongHolds compares the planner's account with what the engines run, a second after
// the last message.
func (p *productPolicy) wrongHolds() int {
	wrong := 0
	settled := p.w.now.Add(-time.Second)
	for _, j := range p.w.jobs {
		_, held := p.planner.Hold(p.grants[j])
		running := j.state == stateDecode && j.firstT.Before(settled)
		ended := j.state >= stateServed && !j.endT.IsZero() && j.endT.Before(settled)
		if (running && !held) || (ended && held) {
			wrong++
		}
	}
	return wrong
}
