package ticket

import (
	"encoding/hex"
	"fmt"
	"sort"
	"strings"
)

// MaxObjectBytes is the size limit of a value in the store.
const MaxObjectBytes = 1 << 20

// Fault is one fault of a ticket. Path locates it, such as services.NAME.ranks[0].
type Fault struct {
	Path    string
	Problem string
}

func (f Fault) Error() string {
	return f.Path + ": " + f.Problem
}

// Faults is the error for a ticket with at least one fault.
type Faults []Fault

// Error lists all faults, one per line.
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

func (c *checker) require(ok bool, path, format string, arguments ...any) {
	if ok {
		return
	}
	c.faults = append(c.faults, Fault{Path: path, Problem: fmt.Sprintf(format, arguments...)})
}

// Check returns all faults that can be found without the rest of the state, or nil. The
// error is of type Faults.
func (t Ticket) Check() error {
	c := &checker{}
	c.require(t.Number > 0, "number", "must be at least 1")
	objectCount := len(t.Services) + len(t.Pools) + len(t.Callers) + len(t.Remove)
	c.require(objectCount > 0, "ticket", "changes no object")
	for name, service := range t.Services {
		c.checkService("services."+name, name, service)
	}
	for name, pool := range t.Pools {
		c.checkPool("pools."+name, pool)
	}
	for name, group := range t.Callers {
		c.checkCallers("callers."+name, group)
	}
	for i, name := range t.Remove {
		known := strings.HasPrefix(name, servicePrefix) || strings.HasPrefix(name, poolPrefix) || strings.HasPrefix(name, callersPrefix)
		c.require(known, fmt.Sprintf("remove[%d]", i), "%q is not service/NAME, pool/NAME or callers/NAME", name)
	}
	c.checkSizes(t)
	return c.err()
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	sort.Slice(c.faults, func(i, j int) bool { return c.faults[i].Path < c.faults[j].Path })
	return c.faults
}

func (c *checker) checkSizes(t Ticket) {
	objects, err := t.objects()
	c.require(err == nil, "ticket", "cannot be encoded: %v", err)
	for name, value := range objects {
		c.require(len(value) <= MaxObjectBytes, string(name), "has %d bytes, at most %d are allowed: split it", len(value), MaxObjectBytes)
	}
}

func (c *checker) checkService(path, name string, s Service) {
	c.require(s.Name == name, path+".name", "%q differs from its key %q", s.Name, name)
	c.require(s.Kind == KindModel || s.Kind == KindPlain, path+".kind", "%q is neither model nor plain", s.Kind)
	c.require(s.Kind != KindModel || len(s.Models) > 0, path+".models", "a model service needs at least one model")
	c.require(s.Kind != KindModel || s.OutputTokens > 0, path+".output_tokens", "must be above 0")
	c.require(s.RetryShare >= 0 && s.RetryShare <= 1, path+".retry_share", "%v is not from 0 to 1", s.RetryShare)
	c.require(len(s.Ranks) > 0, path+".ranks", "at least one rank is needed")
	c.require(len(s.Ranks) <= maxRanks, path+".ranks", "at most %d ranks are allowed", maxRanks)
	floors := 0.0
	for i, rank := range s.Ranks {
		rankPath := fmt.Sprintf("%s.ranks[%d]", path, i)
		c.require(rank.Name != "", rankPath+".name", "is empty")
		c.require(rank.FirstTokenTarget > 0, rankPath+".first_token_target", "must be above 0")
		c.require(s.Kind != KindModel || rank.TokenGapTarget > 0, rankPath+".token_gap_target", "must be above 0")
		c.require(rank.Worth > 0, rankPath+".worth", "must be above 0")
		c.require(rank.FloorShare >= 0, rankPath+".floor_share", "must not be below 0")
		floors += rank.FloorShare
	}
	c.require(floors <= 0.9, path+".ranks", "floor shares add up to %.2f, at most 0.90 is allowed", floors)
}

// maxRanks limits the ranks of one service.
const maxRanks = 8

func (c *checker) checkPool(path string, p Pool) {
	c.require(p.Service != "", path+".service", "is empty")
	c.require(p.AvailabilityZone != "", path+".availability_zone", "is empty")
	known := p.Role == RolePrefill || p.Role == RoleDecode || p.Role == RolePlain
	c.require(known, path+".role", "%q is not prefill, decode or plain", p.Role)
	seen := map[string]bool{}
	for i, endpoint := range p.Endpoints {
		endpointPath := fmt.Sprintf("%s.endpoints[%d]", path, i)
		c.require(endpoint.Name != "", endpointPath+".name", "is empty")
		c.require(!seen[endpoint.Name], endpointPath+".name", "%q is listed twice", endpoint.Name)
		seen[endpoint.Name] = true
		c.require(endpoint.Address.IsValid(), endpointPath+".address", "is not an IP address and port")
		c.require(endpoint.Places > 0, endpointPath+".places", "must be above 0")
		c.require(p.Role != RoleDecode || endpoint.Pieces > 0, endpointPath+".pieces", "must be above 0")
		c.require(p.Role != RolePrefill || endpoint.TokensPerSecond > 0, endpointPath+".tokens_per_second", "must be above 0")
	}
}

func (c *checker) checkCallers(path string, g CallerGroup) {
	for i, team := range g.Teams {
		teamPath := fmt.Sprintf("%s.teams[%d]", path, i)
		c.require(team.Name != "", teamPath+".name", "is empty")
		digest, err := hex.DecodeString(team.TokenSHA256)
		c.require(err == nil && len(digest) == 32, teamPath+".token_sha256", "is not a SHA-256 digest in hexadecimal")
		c.require(len(team.Ranks) > 0, teamPath+".ranks", "at least one rank is needed")
	}
}
