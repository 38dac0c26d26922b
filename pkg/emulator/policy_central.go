package emulator

import "time"

// centralPolicy uses the exact load of each engine. It has one queue, first come first
// served, or one queue per rank with strict priority. It rejects requests that have already
// missed their first-token target.
type centralPolicy struct {
	sim             *simulation
	byRank          bool
	queues          [][]*job
	usedPlaces      []int
	usedPieces      []int
	pendingPrefills []int
}

func newCentralPolicy(byRank bool) func(sim *simulation) policy {
	return func(sim *simulation) policy {
		return &centralPolicy{
			sim: sim, byRank: byRank, queues: make([][]*job, len(sim.scenario.Ranks)),
			usedPlaces: make([]int, len(sim.decode)), usedPieces: make([]int, len(sim.decode)),
			pendingPrefills: make([]int, len(sim.prefill)),
		}
	}
}

func (p *centralPolicy) arrive(j *job) {
	queue := 0
	if p.byRank {
		queue = j.rank
	}
	j.state = stateWaiting
	p.queues[queue] = append(p.queues[queue], j)
	p.grantQueued()
}

func (p *centralPolicy) grantQueued() {
	for queue := range p.queues {
		for len(p.queues[queue]) > 0 {
			j := p.queues[queue][0]
			target := time.Duration(p.sim.scenario.Ranks[j.rank].Rank.FirstTokenTarget)
			if j.isFinished() || p.sim.now.Sub(j.offeredAt) > target {
				p.sim.reject(j, defaultRetryAfter)
				p.queues[queue] = p.queues[queue][1:]
				continue
			}
			if !p.tryGrant(j) {
				return
			}
			p.queues[queue] = p.queues[queue][1:]
		}
	}
}

func (p *centralPolicy) tryGrant(j *job) bool {
	decode, prefill := -1, 0
	for i := range p.usedPlaces {
		fits := p.usedPlaces[i] < p.sim.scenario.Places && p.usedPieces[i]+p.sim.scenario.memoryPieces(j) <= p.sim.scenario.Pieces
		if fits && !p.sim.decode[i].crashed && (decode < 0 || p.usedPlaces[i] < p.usedPlaces[decode]) {
			decode = i
		}
	}
	for i := range p.pendingPrefills {
		if p.pendingPrefills[i] < p.pendingPrefills[prefill] {
			prefill = i
		}
	}
	if decode < 0 || p.pendingPrefills[prefill] >= 2 {
		return false
	}
	p.usedPlaces[decode]++
	p.usedPieces[decode] += p.sim.scenario.memoryPieces(j)
	p.pendingPrefills[prefill]++
	j.decodeEngine = decode
	p.sim.sendPrefill(j, prefill)
	return true
}

func (p *centralPolicy) prefilled(j *job) {
	p.pendingPrefills[j.prefillEngine]--
	p.sim.transfer(j, j.decodeEngine)
	p.grantQueued()
}

func (p *centralPolicy) started(*job) {}

func (p *centralPolicy) finished(j *job) {
	p.release(j)
}

func (p *centralPolicy) release(j *job) {
	if j.prefillEngine >= 0 {
		p.usedPlaces[j.decodeEngine]--
		p.usedPieces[j.decodeEngine] -= p.sim.scenario.memoryPieces(j)
		if j.prefilledAt.IsZero() {
			p.pendingPrefills[j.prefillEngine]--
		}
	}
	p.grantQueued()
}

func (p *centralPolicy) decodeFailed(j *job) {
	p.release(j)
	j.prefilledAt, j.prefillEngine = time.Time{}, -1
	j.attempts++
	if j.attempts < attemptLimit {
		p.arrive(j)
	}
}

func (p *centralPolicy) decodeCrashed(int) {}
func (p *centralPolicy) tick()             { p.grantQueued() }
