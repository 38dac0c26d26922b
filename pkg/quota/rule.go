// Package quota keeps the use of each team, summed over all hosts, within its rate limit.
//
// The keeper of a team has its token bucket. The other hosts request leases from it: tokens that
// are valid for a short time. Without the keeper, a host asks the deputy of its availability zone,
// and without that one it uses its turns, an allowance at staggered times. Deputies, turns, leases
// and changes of the keeper together may exceed the limit by the error budget of the Rule.
// docs/design/quota.md contains the arithmetic.
package quota

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/credential"
)

// Rule limits the use of a team in any window to (rate x window + burst) x (1 + overage) + slack.
type Rule struct {
	Window  time.Duration
	Overage float64
	// Slack is a number of tokens. It does not apply to limits that count requests.
	Slack float64
}

// The parts of the error budget. docs/design/quota.md adds them up for each failure.
const (
	// surplusShare is added to the burst, as the bound on the keeper's bucket and the leases.
	surplusShare = 0.2
	// startShare is what new keepers start with, if all hosts allow it.
	startShare = 0.2
	// deputyRateShare is what all deputies accrue in a window without confirmations,
	// deputyCapacityShare is the capacity of their buckets together. The largest request of a small
	// team must fit in that of a third of the hosts.
	deputyRateShare     = 0.1
	deputyCapacityShare = 0.24
	// grainShare is the size of a turn. The largest request must fit in.
	grainShare = 0.08
	// turnRateShare is what the turns of all hosts amount to in a window.
	turnRateShare = 0.1
)

// errorBudget returns the amount by which the use of a team may exceed its limit in a window.
func (r Rule) errorBudget(limit credential.Limit) float64 {
	budget := r.Overage * (limit.Rate*r.Window.Seconds() + limit.Burst)
	if limit.PerToken {
		budget += r.Slack
	}
	return budget
}

// grain returns the size of a turn. It is at least one request, if the error budget allows four.
func (r Rule) grain(limit credential.Limit) float64 {
	budget := r.errorBudget(limit)
	return max(grainShare*budget, min(1, budget/4))
}

// keeperTerms returns the terms of a keeper's bucket. share is the fraction of the hosts that are live.
func (r Rule) keeperTerms(limit credential.Limit, share float64, s support) terms {
	budget := r.errorBudget(limit)
	return terms{
		rate: limit.Rate, capacity: (limit.Burst + surplusShare*budget) * share, start: startShare * budget,
		expectedShare: share, support: s, window: r.Window,
	}
}

// deputyTerms returns the terms of a deputy's bucket. share is the fraction of the hosts that are in
// its availability zone.
func (r Rule) deputyTerms(limit credential.Limit, share float64, s support) terms {
	budget := r.errorBudget(limit) * share
	capacity := deputyCapacityShare * budget
	return terms{
		rate: limit.Rate, baseRate: deputyRateShare * budget / r.Window.Seconds(), capacity: capacity, baseCapacity: capacity,
		support: s, window: r.Window,
	}
}

// turnRate returns the number of turns a second of one of the hosts.
func (r Rule) turnRate(limit credential.Limit, hosts int) float64 {
	return turnRateShare * r.errorBudget(limit) / r.Window.Seconds() / r.grain(limit) / float64(max(hosts, 1))
}
