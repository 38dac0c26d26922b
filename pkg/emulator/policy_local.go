package emulator

import "time"

// localPolicy is the contender "alone". Each front decides locally on load reports that are
// up to 1 s old, and chooses the less loaded of two random engines.
type localPolicy struct {
	sim          *simulation
	prefillLoads []int
	decodeLoads  []int
	reportedAt   time.Time
}

func newLocalPolicy(sim *simulation) policy {
	return &localPolicy{sim: sim, prefillLoads: make([]int, len(sim.prefill)), decodeLoads: make([]int, len(sim.decode)), reportedAt: Epoch}
}

func (p *localPolicy) arrive(j *job) {
	p.sim.sendPrefill(j, p.choose(p.prefillLoads))
}

func (p *localPolicy) choose(loads []int) int {
	first, second := p.sim.random.IntN(len(loads)), p.sim.random.IntN(len(loads))
	if loads[second] < loads[first] {
		return second
	}
	return first
}

func (p *localPolicy) prefilled(j *job)  { p.sim.transfer(j, p.choose(p.decodeLoads)) }
func (p *localPolicy) started(*job)      {}
func (p *localPolicy) finished(*job)     {}
func (p *localPolicy) decodeCrashed(int) {}

func (p *localPolicy) decodeFailed(j *job) {
	j.attempts++
	if j.attempts < attemptLimit {
		p.arrive(j)
	}
}

func (p *localPolicy) tick() {
	frozen := p.sim.scenario.FrozenReports && p.sim.now.Sub(Epoch) > p.sim.scenario.Duration/3
	if frozen || p.sim.now.Sub(p.reportedAt) < time.Second {
		return
	}
	p.reportedAt = p.sim.now
	for i, e := range p.sim.prefill {
		p.prefillLoads[i] = len(e.queue)
	}
	for i, e := range p.sim.decode {
		p.decodeLoads[i] = len(e.running) + len(e.queue)
		if e.crashed {
			p.decodeLoads[i] = 1 << 20
		}
	}
}
