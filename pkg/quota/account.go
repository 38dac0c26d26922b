package quota

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/retry"
)

const (
	// leaseAhead is the time whose use a host requests in advance.
	leaseAhead = 250 * time.Millisecond
	// denialPeriod limits the time in which a host applies a denial to further requests without
	// asking again, since tokens may be returned to the keeper in the meantime.
	denialPeriod = 250 * time.Millisecond
)

// lease is a number of tokens that a host may use until a time.
type lease struct {
	tokens float64
	expiry time.Time
}

// account contains the leases of a team at one host.
type account struct {
	leases []lease
	// used are the recent charges to leases. usedAt is the time of the last request.
	used   recentSum
	usedAt time.Time
	// deniedCost is the cost of the last request that was denied. It is available at deniedUntil at
	// the earliest.
	deniedCost  float64
	deniedAt    time.Time
	deniedUntil time.Time
	// retries are the times at which denied requests should be sent again.
	retries retry.Schedule
}

// take uses the tokens that expire first. It reports whether there are enough for the cost.
func (a *account) take(now time.Time, cost float64) bool {
	held := 0.0
	for _, l := range a.leases {
		if now.Before(l.expiry) {
			held += l.tokens
		}
	}
	if held < cost {
		return false
	}
	for i := range a.leases {
		l := &a.leases[i]
		if now.Before(l.expiry) {
			part := min(l.tokens, cost)
			l.tokens -= part
			cost -= part
		}
	}
	return true
}

// add adds a lease, unless it is empty. Leases are in the order of their expiry.
func (a *account) add(l lease) {
	if l.tokens <= 0 {
		return
	}
	i := len(a.leases)
	for i > 0 && l.expiry.Before(a.leases[i-1].expiry) {
		i--
	}
	a.leases = append(a.leases, lease{})
	copy(a.leases[i+1:], a.leases[i:])
	a.leases[i] = l
}

// expire removes the expired leases and returns their unused tokens.
func (a *account) expire(now time.Time) float64 {
	unused := 0.0
	kept := a.leases[:0]
	for _, l := range a.leases {
		switch {
		case l.tokens <= 0:
		case now.Before(l.expiry):
			kept = append(kept, l)
		default:
			unused += l.tokens
		}
	}
	a.leases = kept
	return unused
}

// recordUse counts a charge.
func (a *account) recordUse(now time.Time, cost float64) {
	a.used.add(now, cost)
	a.usedAt = now
}

// extra returns the number of tokens to request in addition to the cost of a request.
func (a *account) extra(now time.Time, cost float64) float64 {
	return max(a.used.sum(now)*leaseAhead.Seconds()/leaseLifetime.Seconds()-cost, 0)
}

// deny records a denial by the keeper.
func (a *account) deny(now time.Time, cost float64, d decision) {
	a.deniedCost, a.deniedAt, a.deniedUntil = cost, now, now.Add(d.wait)
	a.retries.Continue(now.Add(d.retryAfter))
}

// isDenied reports whether a request would be denied now, and the time after which it should be sent
// again. rate is that of the limit.
func (a *account) isDenied(now time.Time, cost, rate float64, window time.Duration) (time.Duration, bool) {
	if cost < a.deniedCost || !now.Before(a.deniedUntil) || now.Sub(a.deniedAt) >= denialPeriod {
		return 0, false
	}
	return a.retries.Assign(now, a.deniedUntil.Sub(now), timeToAccrue(cost, rate), window), true
}
