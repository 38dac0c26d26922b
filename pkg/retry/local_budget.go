package retry

import (
	"sync"
	"time"
)

// Allowance limits the retries that one daemon may make in a window without tokens of the pool.
type Allowance struct {
	// RequestShare is the number of retries per request of this daemon.
	RequestShare float64
	// Slack is the number of retries allowed in addition.
	Slack float64
}

// LocalBudget counts the requests and retries of one daemon against its part of a retry
// budget that all daemons of a site share. In its first window a LocalBudget allows only a
// part of the slack, since an earlier incarnation of the daemon may have used the rest.
type LocalBudget struct {
	mu       sync.Mutex
	start    time.Time
	window   time.Duration
	requests windowCounter
	retries  windowCounter
	// released counts the unused retry tokens that were released to the pool.
	released windowCounter
}

// NewLocalBudget returns the budget of a daemon that starts now.
func NewLocalBudget(now time.Time, window time.Duration) *LocalBudget {
	return &LocalBudget{
		start: now, window: window,
		requests: newWindowCounter(now, window), retries: newWindowCounter(now, window), released: newWindowCounter(now, window),
	}
}

// RecordRequest counts the first attempt of a request.
func (b *LocalBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.add(now, 1)
}

// Acquire acquires one retry token, if the allowance has one left, and reports whether it did.
func (b *LocalBudget) Acquire(now time.Time, allowance Allowance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slack := allowance.Slack
	if now.Sub(b.start) < b.window {
		slack *= firstWindowFactor
	}
	if b.unusedTokens(now, allowance)+slack < 1 {
		return false
	}
	b.retries.add(now, 1)
	return true
}

// unusedTokens returns the retry tokens that the requests of the window add and that were neither
// used nor released. It is negative when more were used. b.mu must be held.
func (b *LocalBudget) unusedTokens(now time.Time, allowance Allowance) float64 {
	return allowance.RequestShare*b.requests.lowerBound(now) - b.retries.upperBound(now) - b.released.upperBound(now)
}

// ReleaseUnused releases the retry tokens that the requests of the window add and that were
// not used, and returns their number for the pool. It is usually a fraction of a token, which
// this daemon cannot use.
func (b *LocalBudget) ReleaseUnused(now time.Time, allowance Allowance) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	amount := max(b.unusedTokens(now, allowance), 0)
	if amount > 0 {
		b.released.add(now, amount)
	}
	return amount
}

// firstWindowFactor is the fraction of a daemon's slack, and the largest fraction of a pool,
// that is available in the first window after a start.
const firstWindowFactor = 0.4

// rampUpFactor returns the fraction of a pool that its keeper may grant. It is below 1 in the
// first window after start, since the previous keeper may have granted the whole pool.
func rampUpFactor(now, start time.Time, window time.Duration) float64 {
	age := now.Sub(start)
	if age >= window {
		return 1
	}
	return firstWindowFactor * float64(age) / float64(window)
}
