// Package retry limits how often requests are retried.
//
// A Budget is a token bucket. Each request adds a fraction of a token and each retry
// spends one token, so retries stay a fixed share of the traffic however many requests
// fail. When all daemons of a site share one retry budget, each daemon has a LocalBudget
// and acquires further retry tokens from a Pool. Backoff returns the delay before a retry.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// defaultBurst is the capacity of the bucket: the retries that a service may make in a
// burst after a period without retries.
const defaultBurst = 10

// Budget limits the retries of one service. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
	spent  int64
	denied int64
}

// NewBudget returns a full budget that allows share retries per request.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, burst: defaultBurst, tokens: defaultBurst}
}

// SetShare changes the number of retries allowed per request.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// SetBurst changes the capacity of the bucket.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Earn adds the tokens for the first attempt of a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.burst)
}

// Spend reports whether a retry is allowed, and if so takes its token.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	b.spent++
	return true
}

// Counts returns the number of retries that were allowed and denied.
func (b *Budget) Counts() (spent, denied int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent, b.denied
}

const (
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

// Backoff returns the delay before a retry: full jitter up to a bound that
// doubles with each attempt. The first retry is attempt 1.
func Backoff(attempt int, source *rand.Rand) time.Duration {
	bound := min(firstBackoff<<min(attempt-1, 10), maxBackoff)
	return time.Duration(source.Int64N(int64(bound)) + 1)
}
