package dispatch

import (
	"slices"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// setRanks replaces the ranks of the service. Requests keep a rank whose position has changed. Those
// of a removed rank get the rank at its position, or the last one.
func (p *Planner) setRanks(ranks []ticket.Rank) {
	if len(ranks) == 0 {
		return
	}
	if p.queues.hasRanks(ranks) {
		for i, rank := range ranks {
			p.queues.ranks[i].targets = targetsOf(rank)
		}
		return
	}
	positions := p.queues.replaceRanks(ranks)
	for _, e := range p.prefill {
		e.tokens = make([]float64, p.retryPriority()+1)
	}
	for _, h := range p.holds {
		h.request.Rank = positions[h.request.Rank]
		h.priority = positions[h.priority]
		if h.prefill != nil && h.stage == StagePrefill {
			h.prefill.tokens[h.priority] += h.prefillTokens
		}
	}
}

// clampRank returns the rank of a request. The front may have another configuration than this daemon.
func (p *Planner) clampRank(rank int) int {
	return min(max(rank, 0), len(p.queues.ranks)-1)
}

// hasRanks reports whether the queues are those of ranks, in their order.
func (q *rankQueues) hasRanks(ranks []ticket.Rank) bool {
	return slices.EqualFunc(q.ranks, ranks, func(r *rankQueue, rank ticket.Rank) bool { return r.name == rank.Name })
}

// replaceRanks replaces the ranks and returns the new position of each former one, and after them that of
// caller retries. The queue and the estimates of a rank follow its name.
func (q *rankQueues) replaceRanks(ranks []ticket.Rank) []int {
	former := q.ranks
	positions := make([]int, len(former), len(former)+1)
	for i := range positions {
		positions[i] = min(i, len(ranks)-1)
	}
	positions = append(positions, len(ranks))
	kept := make([]bool, len(former))
	q.ranks = make([]*rankQueue, 0, len(ranks))
	for i, rank := range ranks {
		found := -1
		for j, r := range former {
			if r.name == rank.Name && !kept[j] {
				found = j
				break
			}
		}
		if found < 0 {
			q.ranks = append(q.ranks, newRankQueue(rank))
			continue
		}
		kept[found], positions[found] = true, i
		former[found].targets = targetsOf(rank)
		q.ranks = append(q.ranks, former[found])
	}
	for _, w := range q.queued {
		w.request.Rank = positions[w.request.Rank]
	}
	for i, r := range former {
		if kept[i] {
			continue
		}
		for _, c := range r.fair.active {
			for _, w := range c.entries {
				q.ranks[positions[i]].fair.push(w)
			}
		}
	}
	return positions
}
