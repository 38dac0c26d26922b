package retry

import "time"

// slotsPerWindow is the resolution of a windowCounter.
const slotsPerWindow = 20

// windowCounter sums amounts in a sliding window. It uses the monotonic clock, so a step of
// the wall clock has no effect.
type windowCounter struct {
	start      time.Time
	slotLength time.Duration
	// counts is a ring with one slot more than a window. The newest slot is at newest%len.
	counts [slotsPerWindow + 1]float64
	newest int64
}

func newWindowCounter(now time.Time, window time.Duration) windowCounter {
	return windowCounter{start: now, slotLength: window / slotsPerWindow}
}

// advance clears the slots that have left the window.
func (c *windowCounter) advance(now time.Time) {
	current := max(int64(now.Sub(c.start)/c.slotLength), c.newest)
	for steps := min(current-c.newest, int64(len(c.counts))); steps > 0; steps-- {
		c.counts[(current-steps+1)%int64(len(c.counts))] = 0
	}
	c.newest = current
}

func (c *windowCounter) add(now time.Time, amount float64) {
	c.advance(now)
	c.counts[c.newest%int64(len(c.counts))] += amount
}

// upperBound returns the sum of the window and of up to one slot before it.
func (c *windowCounter) upperBound(now time.Time) float64 {
	c.advance(now)
	sum := 0.0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// lowerBound returns the sum of the window without its oldest slot, which is partly outside
// the window.
func (c *windowCounter) lowerBound(now time.Time) float64 {
	return c.upperBound(now) - c.counts[(c.newest+1)%int64(len(c.counts))]
}
