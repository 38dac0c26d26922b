package retry

import "time"

// slots is the number of parts in which a window is counted.
const slots = 20

// counter sums amounts in a sliding window. Its time is the steady one, so that a step
// of the time of day changes nothing.
type counter struct {
	base time.Time
	slot time.Duration
	// counts holds one slot more than a window, the newest at position newest%len.
	counts [slots + 1]float64
	newest int64
}

func newCounter(now time.Time, window time.Duration) counter {
	return counter{base: now, slot: window / slots}
}

// advance empties the slots that are over.
func (c *counter) advance(now time.Time) {
	at := max(int64(now.Sub(c.base)/c.slot), c.newest)
	for steps := min(at-c.newest, int64(len(c.counts))); steps > 0; steps-- {
		c.counts[(at-steps+1)%int64(len(c.counts))] = 0
	}
	c.newest = at
}

func (c *counter) add(now time.Time, amount float64) {
	c.advance(now)
	c.counts[c.newest%int64(len(c.counts))] += amount
}

// most returns the sum of the window, and of up to one slot before it.
func (c *counter) most(now time.Time) float64 {
	c.advance(now)
	sum := 0.0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// least returns the sum of the window without its oldest slot, of which a part is over.
func (c *counter) least(now time.Time) float64 {
	return c.most(now) - c.counts[(c.newest+1)%int64(len(c.counts))]
}
