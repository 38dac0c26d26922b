// Package retry bounds how often requests are repeated.
//
// A Budget earns a part of a retry with each request and spends one on each
// retry, so that retries stay a set share of the traffic however many requests
// fail. Where all daemons of a site share one budget, each has a Share of it, and a Pool
// lends the rest to those that need it. Backoff spaces the attempts of one request.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// defaultBurst is the number of retries that a quiet service may make at once.
const defaultBurst = 10

// Budget limits the retries of one service.
type Budget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	earned float64
	spent  int64
	denied int64
}

// NewBudget returns a full budget that allows share retries for each request.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, burst: defaultBurst, earned: defaultBurst}
}

// SetShare changes the allowed retries for each request.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// SetBurst changes the number of retries that may be made at once.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.earned = min(b.earned, burst)
}

// Earn notes a first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+b.share, b.burst)
}

// Spend reports whether a retry is allowed and takes it from the budget.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned < 1 {
		b.denied++
		return false
	}
	b.earned--
	b.spent++
	return true
}

// Counts returns the retries that were made and denied.
func (b *Budget) Counts() (spent, denied int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent, b.denied
}

const (
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

// Backoff returns the pause before a retry: full jitter over a bound that
// doubles with each attempt. The first retry is attempt 1.
func Backoff(attempt int, source *rand.Rand) time.Duration {
	bound := min(firstBackoff<<min(attempt-1, 10), maxBackoff)
	return time.Duration(source.Int64N(int64(bound)) + 1)
}
