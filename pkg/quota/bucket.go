package quota

import (
	"math"
	"time"

	"github.com/turmerictide/turmerictide/pkg/retry"
)

const (
	// leaseLifetime is the time from the request for a lease to its end.
	leaseLifetime = time.Second
	// maxExtraShare is the fraction of the remaining tokens that one lease may contain in addition
	// to the cost of the request, so that the host that asks first does not get all of them.
	maxExtraShare = 0.25
)

// terms are the parameters of a bucket.
type terms struct {
	// rate is the rate of the limit in tokens a second. The bucket accrues the confirmed fraction of it.
	rate float64
	// baseRate accrues without confirmations.
	baseRate float64
	// capacity bounds the tokens in the bucket and in leases. Without confirmations, tokens accrue up to
	// baseCapacity.
	capacity, baseCapacity float64
	// start is the level of a new bucket if all hosts allow it.
	start float64
	// expectedShare is the fraction of the rate that is expected if no host confirms the source now.
	expectedShare float64
	support       support
	// window limits the time until a denied request should be sent again.
	window time.Duration
}

// bucket is the token bucket of a team at its keeper or at a deputy.
type bucket struct {
	level     float64
	updatedAt time.Time
	// sum is the value of support.sum up to which tokens have accrued, started that of support.started
	// for which the start level was granted.
	sum     time.Duration
	started float64
	// former are the confirmations under the last list of keepers, if this host was and is the keeper.
	// formerSum is the value of their sum up to which tokens have accrued.
	former    *tally
	formerSum time.Duration
	// leased are the tokens that hosts got in advance and may still use.
	leased recentSum
	// retries are the times at which denied requests should be sent again.
	retries retry.Schedule
	// isRetired is true while this host is not the keeper.
	isRetired bool
}

// newBucket returns the bucket of a host that has been a source since a time, and got no request before.
func newBucket(now, since time.Time, t terms) *bucket {
	b := &bucket{updatedAt: since}
	b.update(now, t)
	return b
}

// update adds the tokens that have accrued.
func (b *bucket) update(now time.Time, t terms) {
	leased := b.leased.sum(now)
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		fromFormer, formerFraction := b.readFormer(now, t)
		confirmed := min(max((t.support.sum-b.sum+fromFormer).Seconds(), 0)/t.support.hosts, elapsed.Seconds())
		// The capacity of a source is that of the hosts that confirm it, but what it has is not lost
		// when they stop.
		fraction := min(max(t.support.fraction+formerFraction, confirmed/elapsed.Seconds()), 1)
		limit := max(t.capacity*fraction, t.baseCapacity) - leased
		b.level = max(b.level, min(b.level+confirmed*t.rate+elapsed.Seconds()*t.baseRate, limit))
		b.updatedAt, b.sum = now, t.support.sum
	}
	if t.support.started > b.started {
		b.level += t.start * (t.support.started - b.started)
		b.started = t.support.started
	}
	b.level = max(min(b.level, t.capacity-leased), 0)
}

// readFormer returns the time that the former confirmations add, and the fraction of the hosts that they
// still contain. Each of these hosts confirms no other source of the team before they expire.
func (b *bucket) readFormer(now time.Time, t terms) (time.Duration, float64) {
	if b.former == nil {
		return 0, 0
	}
	s := b.former.read(now, int(t.support.hosts))
	added := s.sum - b.formerSum
	b.formerSum = s.sum
	if s.fraction == 0 {
		b.former = nil
	}
	return added, s.fraction
}

// changeList makes the bucket accrue from new confirmations, and until they expire from the former ones.
func (b *bucket) changeList(former *tally) {
	b.former, b.formerSum, b.sum = former, b.sum, 0
	if b.isRetired {
		b.former = nil
	}
}

// take grants the cost of a request and up to extra tokens in advance, or denies the request if there
// are too few.
func (b *bucket) take(now time.Time, t terms, cost, extra float64) decision {
	b.update(now, t)
	if b.level < cost {
		rate := t.expectedRate()
		wait := timeToAccrue(cost-b.level, rate)
		return decision{verdict: denied, wait: wait, retryAfter: b.retries.Assign(now, wait, timeToAccrue(cost, rate), t.window)}
	}
	extra = math.Floor(min(max(extra, 0), (b.level-cost)*maxExtraShare))
	b.level -= cost + extra
	b.leased.add(now, extra)
	return decision{verdict: granted, amount: cost + extra}
}

// put adds tokens that were granted and not used.
func (b *bucket) put(now time.Time, t terms, amount float64) {
	b.update(now, t)
	b.level += amount
	b.update(now, t)
}

// retire stops the accrual, as another host may be the keeper now. It leaves at most what a new keeper
// starts with, and nothing is granted as a start later.
func (b *bucket) retire(t terms) {
	b.level = min(b.level, t.start)
	b.started = 1
	b.former = nil
	b.isRetired = true
}

// resume starts the accrual at a time.
func (b *bucket) resume(now time.Time, s support) {
	b.updatedAt, b.sum = now, s.sum
	b.isRetired = false
}

// expectedRate returns the rate on which denied requests are told when to return.
func (t terms) expectedRate() float64 {
	if t.support.fraction > 0 {
		return t.rate*t.support.fraction + t.baseRate
	}
	return t.rate*t.expectedShare + t.baseRate
}

// isFull reports whether a new bucket of a long-standing keeper would be equal.
func (b *bucket) isFull(now time.Time, t terms) bool {
	b.update(now, t)
	return t.support.fraction > 0 && b.level >= max(t.capacity*t.support.fraction, t.baseCapacity)
}

// maxWait bounds the times until tokens are available.
const maxWait = time.Hour

func timeToAccrue(amount, rate float64) time.Duration {
	if seconds := amount / rate; seconds < maxWait.Seconds() {
		return time.Duration(math.Ceil(seconds*1000)) * time.Millisecond
	}
	return maxWait
}

const (
	slotLength = 250 * time.Millisecond
	// slotCount is one more than the number of slots of a leaseLifetime, as the oldest slot counts
	// until all of it is older.
	slotCount = int64(leaseLifetime/slotLength) + 1
)

// recentSum is the sum of the amounts of the last leaseLifetime and up to slotLength more.
type recentSum struct {
	slots [slotCount]float64
	// start is the beginning of the first slot, last is the number of the newest.
	start time.Time
	last  int64
}

func (s *recentSum) advance(now time.Time) {
	if s.start.IsZero() {
		s.start = now
	}
	number := int64(now.Sub(s.start) / slotLength)
	for steps := min(number-s.last, slotCount); steps > 0; steps-- {
		s.slots[(number-steps+1)%slotCount] = 0
	}
	s.last = max(s.last, number)
}

func (s *recentSum) add(now time.Time, amount float64) {
	s.advance(now)
	s.slots[s.last%slotCount] += amount
}

func (s *recentSum) sum(now time.Time) float64 {
	s.advance(now)
	total := 0.0
	for _, amount := range s.slots {
		total += amount
	}
	return total
}
