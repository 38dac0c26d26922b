package dispatch

// prefixCache remembers the prefixes that an endpoint has probably cached, the
// most recently used ones up to a bound. It is a hint: a wrong entry costs
// prefill time and nothing else.
type prefixCache struct {
	tokens map[uint64]int
	// recent is a ring of hashes in the order of their last addition.
	recent []uint64
	next   int
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{tokens: map[uint64]int{}, recent: make([]uint64, 0, size)}
}

func (c *prefixCache) add(prefix Prefix) {
	if _, ok := c.tokens[prefix.Hash]; ok {
		return
	}
	c.tokens[prefix.Hash] = prefix.Tokens
	if len(c.recent) < cap(c.recent) {
		c.recent = append(c.recent, prefix.Hash)
		return
	}
	delete(c.tokens, c.recent[c.next])
	c.recent[c.next] = prefix.Hash
	c.next = (c.next + 1) % len(c.recent)
}

// saved returns the tokens of the longest prefix that is remembered.
func (c *prefixCache) saved(prefixes []Prefix) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if tokens, ok := c.tokens[prefixes[i].Hash]; ok {
			return tokens
		}
	}
	return 0
}
