package ticket

import (
	"encoding/hex"
	"fmt"
	"sort"
	"strings"
)

// MaxObjectBytes is the largest value that the store holds.
const MaxObjectBytes = 1 << 20

// Fault is one thing wrong with a ticket, with its place as a path.
type Fault struct {
	Place   string
	Problem string
}

// Error returns the place and the problem.
func (f Fault) Error() string {
	return f.Place + ": " + f.Problem
}

// Faults is the error of a ticket with at least one fault.
type Faults []Fault

// Error lists all faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

type checker struct {
	faults Faults
}

func (c *checker) require(ok bool, place, format string, arguments ...any) {
	if ok {
		return
	}
	c.faults = append(c.faults, Fault{Place: place, Problem: fmt.Sprintf(format, arguments...)})
}

// Check returns all faults that can be seen without the rest of the state, or nil.
func (t Ticket) Check() error {
	c := &checker{}
	c.require(t.Number > 0, "number", "must be at least 1")
	touched := len(t.Services) + len(t.Pools) + len(t.Callers) + len(t.Remove)
	c.require(touched > 0, "ticket", "touches no object")
	for name, service := range t.Services {
		c.service("services."+name, name, service)
	}
	for name, pool := range t.Pools {
		c.pool("pools."+name, pool)
	}
	for name, group := range t.Callers {
		c.callers("callers."+name, group)
	}
	for i, name := range t.Remove {
		known := strings.HasPrefix(name, objectService) || strings.HasPrefix(name, objectPool) || strings.HasPrefix(name, objectCallers)
		c.require(known, fmt.Sprintf("remove[%d]", i), "%q is not service/NAME, pool/NAME or callers/NAME", name)
	}
	c.sizes(t)
	return c.result()
}

func (c *checker) result() error {
	if len(c.faults) == 0 {
		return nil
	}
	sort.Slice(c.faults, func(i, j int) bool { return c.faults[i].Place < c.faults[j].Place })
	return c.faults
}

func (c *checker) sizes(t Ticket) {
	objects, err := t.objects()
	c.require(err == nil, "ticket", "cannot be encoded: %v", err)
	for name, value := range objects {
		c.require(len(value) <= MaxObjectBytes, string(name), "takes %d bytes, at most %d are stored: split it", len(value), MaxObjectBytes)
	}
}

func (c *checker) service(place, name string, s Service) {
	c.require(s.Name == name, place+".name", "%q differs from its key %q", s.Name, name)
	c.require(s.Kind == KindModel || s.Kind == KindPlain, place+".kind", "%q is neither model nor plain", s.Kind)
	c.require(s.Kind != KindModel || len(s.Models) > 0, place+".models", "a model service needs at least one model")
	c.require(s.Kind != KindModel || s.OutputTokens > 0, place+".output_tokens", "must be above 0")
	c.require(s.RetryShare >= 0 && s.RetryShare <= 1, place+".retry_share", "%v is not from 0 to 1", s.RetryShare)
	c.require(len(s.Ranks) > 0, place+".ranks", "at least one rank is needed")
	c.require(len(s.Ranks) <= maxRanks, place+".ranks", "at most %d ranks are allowed", maxRanks)
	floors := 0.0
	for i, rank := range s.Ranks {
		at := fmt.Sprintf("%s.ranks[%d]", place, i)
		c.require(rank.Name != "", at+".name", "is empty")
		c.require(rank.FirstTokenTarget > 0, at+".first_token_target", "must be above 0")
		c.require(s.Kind != KindModel || rank.TokenGapTarget > 0, at+".token_gap_target", "must be above 0")
		c.require(rank.Worth > 0, at+".worth", "must be above 0")
		c.require(rank.FloorShare >= 0, at+".floor_share", "must not be below 0")
		floors += rank.FloorShare
	}
	c.require(floors <= 0.9, place+".ranks", "floor shares add up to %.2f, at most 0.90 is allowed", floors)
}

// maxRanks bounds the ranks of one service.
const maxRanks = 8

func (c *checker) pool(place string, p Pool) {
	c.require(p.Service != "", place+".service", "is empty")
	c.require(p.AvailabilityZone != "", place+".availability_zone", "is empty")
	known := p.Role == RolePrefill || p.Role == RoleDecode || p.Role == RolePlain
	c.require(known, place+".role", "%q is not prefill, decode or plain", p.Role)
	seen := map[string]bool{}
	for i, endpoint := range p.Endpoints {
		at := fmt.Sprintf("%s.endpoints[%d]", place, i)
		c.require(endpoint.Name != "", at+".name", "is empty")
		c.require(!seen[endpoint.Name], at+".name", "%q stands twice", endpoint.Name)
		seen[endpoint.Name] = true
		c.require(endpoint.Address.IsValid(), at+".address", "is not an IP number and port")
		c.require(endpoint.Places > 0, at+".places", "must be above 0")
		c.require(p.Role != RoleDecode || endpoint.Pieces > 0, at+".pieces", "must be above 0")
		c.require(p.Role != RolePrefill || endpoint.TokensPerSecond > 0, at+".tokens_per_second", "must be above 0")
	}
}

func (c *checker) callers(place string, g CallerGroup) {
	for i, team := range g.Teams {
		at := fmt.Sprintf("%s.teams[%d]", place, i)
		c.require(team.Name != "", at+".name", "is empty")
		digest, err := hex.DecodeString(team.TokenSHA256)
		c.require(err == nil && len(digest) == 32, at+".token_sha256", "is not a SHA-256 digest in hexadecimal")
		c.require(len(team.Ranks) > 0, at+".ranks", "at least one rank is needed")
	}
}
