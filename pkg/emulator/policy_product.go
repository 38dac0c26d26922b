package emulator

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
)

// productPolicy uses the product's Planner. Each message to and from it takes messageDelay.
type productPolicy struct {
	sim             *simulation
	planner         *dispatch.Planner
	secondPlanner   *dispatch.Planner
	jobs            map[dispatch.RequestID]*job
	owner           map[*job]*dispatch.Planner
	requestIDs      map[*job]dispatch.RequestID
	lastID          dispatch.RequestID
	hasSwitchedBack bool
}

// messageDelay is the one-way delay of a message between daemons.
const messageDelay = 500 * time.Microsecond

func newProductPolicy(sim *simulation) policy {
	p := &productPolicy{
		sim: sim, jobs: map[dispatch.RequestID]*job{}, owner: map[*job]*dispatch.Planner{},
		requestIDs: map[*job]dispatch.RequestID{},
	}
	p.planner = p.newPlanner()
	return p
}

func (p *productPolicy) newPlanner() *dispatch.Planner {
	shard := p.sim.scenario.shard()
	planner := dispatch.NewPlanner(shard.Service, 0)
	planner.SetEndpoints(shard)
	return planner
}

func (p *productPolicy) arrive(j *job) {
	planner := p.planner
	if p.secondPlanner != nil && j.id%2 == 0 {
		planner = p.secondPlanner
	}
	p.offer(j, planner, j.offeredAt)
}

func (p *productPolicy) offer(j *job, planner *dispatch.Planner, arrival time.Time) {
	p.lastID++
	id := p.lastID
	p.jobs[id] = j
	p.owner[j] = planner
	p.requestIDs[j] = id
	j.state = stateWaiting
	request := dispatch.Request{
		ID: id, Front: "front", Caller: callerName(j.caller), Rank: j.rank,
		PromptTokens: j.prompt, OutputTokens: j.outputLimit, Arrival: arrival, Fingerprint: dispatch.Fingerprint(j.id + 1),
	}
	p.sim.scheduleAfter(messageDelay, func() {
		if !j.isFinished() {
			p.deliver(planner, planner.Offer(p.sim.now, request, nil))
		}
	})
}

func callerName(i int) string {
	return "caller-" + string(rune('a'+i/26)) + string(rune('a'+i%26))
}

// deliver applies decisions after one message delay.
func (p *productPolicy) deliver(planner *dispatch.Planner, decisions []dispatch.Decision) {
	for _, decision := range decisions {
		p.sim.scheduleAfter(messageDelay, func() { p.apply(planner, decision) })
	}
}

func (p *productPolicy) apply(planner *dispatch.Planner, decision dispatch.Decision) {
	if !decision.IsGrant() {
		j := p.jobs[decision.Rejection.ID]
		if j.state == stateWaiting && p.requestIDs[j] == decision.Rejection.ID {
			p.sim.reject(j, decision.Rejection.RetryAfter)
		}
		return
	}
	j := p.jobs[decision.Grant.ID]
	if j.isFinished() {
		p.deliver(planner, planner.Done(p.sim.now, decision.Grant.ID, dispatch.Outcome{}, nil))
		return
	}
	j.decodeEngine = engineIndex(decision.Grant.Decode)
	j.priority = decision.Grant.Priority
	p.sim.sendPrefill(j, engineIndex(decision.Grant.Prefill))
}

func engineIndex(name string) int {
	suffix := name[len(name)-2:]
	return int(suffix[0]-'a')*26 + int(suffix[1]-'a')
}

func (p *productPolicy) prefilled(j *job) {
	planner, id := p.owner[j], p.requestIDs[j]
	p.sim.scheduleAfter(messageDelay, func() { p.deliver(planner, planner.Prefilled(p.sim.now, id, nil)) })
	p.sim.transfer(j, j.decodeEngine)
}

func (p *productPolicy) started(j *job) {
	planner, id := p.owner[j], p.requestIDs[j]
	p.sim.scheduleAfter(max(j.firstTokenAt.Sub(p.sim.now), 0)+messageDelay, func() { p.deliver(planner, planner.Started(p.sim.now, id, nil)) })
}

func (p *productPolicy) finished(j *job) {
	p.reportDone(j, dispatch.Outcome{OutputTokens: j.output})
}

func (p *productPolicy) reportDone(j *job, outcome dispatch.Outcome) {
	planner, id := p.owner[j], p.requestIDs[j]
	p.sim.scheduleAfter(messageDelay, func() { p.deliver(planner, planner.Done(p.sim.now, id, outcome, nil)) })
}

// attemptLimit is the maximum number of attempts of one job, for all policies.
const attemptLimit = 3

func (p *productPolicy) decodeFailed(j *job) {
	crashed := p.sim.decode[j.decodeEngine].crashed
	p.reportDone(j, dispatch.Outcome{FailedEndpoint: engineName("decode", j.decodeEngine), Busy: !crashed})
	j.attempts++
	if j.attempts < attemptLimit {
		p.offer(j, p.owner[j], p.sim.now)
	}
}

// decodeCrashed marks a crashed engine as leaving after 2 s. In that time two queries for its
// load report have failed.
func (p *productPolicy) decodeCrashed(decode int) {
	p.sim.scheduleAfter(2*time.Second, func() {
		shard := p.sim.scenario.shard()
		shard.Decode[decode].Leaving = true
		p.planner.SetEndpoints(shard)
	})
}

func (p *productPolicy) tick() {
	p.switchOwners()
	p.deliver(p.planner, p.planner.Tick(p.sim.now, nil))
	if p.secondPlanner != nil {
		p.deliver(p.secondPlanner, p.secondPlanner.Tick(p.sim.now, nil))
	}
}

// secondOwnerDuration is the time during which two dispatchers act as owner of the shard.
const secondOwnerDuration = 10 * time.Second

// switchOwners adds a second owner in the middle of the run and removes it after
// secondOwnerDuration. The first owner then adopts the grants of the second one, which fronts
// report to it.
func (p *productPolicy) switchOwners() {
	if !p.sim.scenario.SecondOwner || p.hasSwitchedBack {
		return
	}
	since := p.sim.now.Sub(Epoch) - p.sim.scenario.Duration/2
	if since >= 0 && p.secondPlanner == nil {
		p.secondPlanner = p.newPlanner()
	}
	if since < secondOwnerDuration {
		return
	}
	p.hasSwitchedBack = true
	second := p.secondPlanner
	p.secondPlanner = nil
	for _, j := range p.sim.jobs {
		if p.owner[j] != second || j.isFinished() {
			continue
		}
		id := p.requestIDs[j]
		p.owner[j] = p.planner
		request := dispatch.Request{ID: id, Front: "front", Caller: callerName(j.caller), Rank: j.rank, PromptTokens: j.prompt, OutputTokens: j.outputLimit, Arrival: j.offeredAt}
		if j.state == stateWaiting {
			p.deliver(p.planner, p.planner.Offer(p.sim.now, request, nil))
			continue
		}
		stage := dispatch.StageDecode
		if j.state == statePrefill {
			stage = dispatch.StagePrefill
		}
		p.planner.Adopt(p.sim.now, dispatch.Hold{Request: request, Stage: stage, Prefill: engineName("prefill", j.prefillEngine), Decode: engineName("decode", j.decodeEngine)})
	}
}

// countHoldMismatches compares the holds of the planner with what the engines run. It ignores
// requests that changed in the last second, because messages about them may be in transit.
func (p *productPolicy) countHoldMismatches() int {
	mismatches := 0
	cutoff := p.sim.now.Add(-time.Second)
	for _, j := range p.sim.jobs {
		_, held := p.planner.Hold(p.requestIDs[j])
		running := j.state == stateDecode && j.firstTokenAt.Before(cutoff)
		ended := j.state >= stateServed && !j.endedAt.IsZero() && j.endedAt.Before(cutoff)
		if (running && !held) || (ended && held) {
			mismatches++
		}
	}
	return mismatches
}
