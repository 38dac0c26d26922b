package dispatch

// prefixCache records the prefixes that an endpoint has probably cached: the most
// recently added ones, up to a fixed number. It is a hint: a wrong entry costs prefill
// time and nothing else.
type prefixCache struct {
	cached map[PrefixHash]bool
	// recent is a ring buffer of hashes in the order of their addition.
	recent []PrefixHash
	next   int
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{cached: map[PrefixHash]bool{}, recent: make([]PrefixHash, 0, size)}
}

func (c *prefixCache) add(prefix PrefixHash) {
	if c.cached[prefix] {
		return
	}
	c.cached[prefix] = true
	if len(c.recent) < cap(c.recent) {
		c.recent = append(c.recent, prefix)
		return
	}
	delete(c.cached, c.recent[c.next])
	c.recent[c.next] = prefix
	c.next = (c.next + 1) % len(c.recent)
}

// cachedTokens returns the length in tokens of the longest recorded prefix, or 0.
func (c *prefixCache) cachedTokens(prefixes []PrefixHash) int {
	for i := min(len(prefixes), len(PrefixTokens)) - 1; i >= 0; i-- {
		if c.cached[prefixes[i]] {
			return PrefixTokens[i]
		}
	}
	return 0
}
