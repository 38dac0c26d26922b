// Package credential identifies the team of a request by the key that its caller sent.
//
// The operators' configuration lists the keys of each team. A Table contains their SHA-256
// digests only, so that no key can be written to a log, a message or a dump. Authorize decides
// whether a request may be served, and for which team.
package credential

import (
	"crypto/sha256"
	"strings"
)

// maxKeyBytes limits the length of a key. A longer one is malformed.
const maxKeyBytes = 512

// scheme is the authentication scheme of keys (RFC 6750, section 2.1).
const scheme = "bearer"

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// NewDigest returns the digest of a key.
func NewDigest(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// Limit is the rate limit of a team. The zero value is no limit.
type Limit struct {
	// Rate is the number of tokens or requests a second, 0 for no limit. Burst is the number
	// that may be used at once after a pause.
	Rate  float64
	Burst float64
	// PerToken is true if tokens are counted, and false if requests are.
	PerToken bool
	// PlainTokens is the cost in tokens of a request that states no token counts.
	PlainTokens int
}

// Cost returns the cost of a request in the unit of the limit. hasCounts is true if the request
// states its token counts.
func (l Limit) Cost(promptTokens, outputTokens int, hasCounts bool) float64 {
	switch {
	case !l.PerToken:
		return 1
	case hasCounts:
		return float64(promptTokens) + float64(outputTokens)
	}
	return float64(l.PlainTokens)
}

// Team is a customer whose callers share keys.
type Team struct {
	Name string
	// Priority replaces the priority of the route if HasPriority is true. 0 is the most urgent.
	Priority    int
	HasPriority bool
	Limit       Limit
}

// Presented is the credential that a caller sent.
type Presented struct {
	digest  Digest
	isValid bool
}

// Parse reads the values of the Authorization fields of a request. Several fields, another scheme,
// an empty key and one of more than 512 bytes match no team.
func Parse(values []string) Presented {
	if len(values) != 1 {
		return Presented{}
	}
	name, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(name, scheme) || key == "" || len(key) > maxKeyBytes {
		return Presented{}
	}
	return Presented{digest: NewDigest(key), isValid: true}
}

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	// Allowed requests may be served.
	Allowed Verdict = iota
	// Unknown requests have no key of a team.
	Unknown
	// Stale means that the configuration may be too old to tell.
	Stale
)

// Authorize decides on a request whose caller sent a credential. table is nil where no keys are
// required, and isFresh is false if keys may have been revoked in the meantime. The Team is zero
// for requests that need no key.
func Authorize(table *Table, presented Presented, isExempt, isFresh bool) (Team, Verdict) {
	switch {
	case table == nil || isExempt:
		return Team{}, Allowed
	case !isFresh:
		return Team{}, Stale
	case !presented.isValid:
		return Team{}, Unknown
	}
	team, ok := table.Identify(presented.digest)
	if !ok {
		return Team{}, Unknown
	}
	return team, Allowed
}
