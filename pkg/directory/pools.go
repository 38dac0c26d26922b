package directory

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/turmerictide/turmerictide/pkg/route"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const (
	// pieceTokens is the number of tokens in a piece, the unit of engine memory.
	pieceTokens = 64
	// defaultPrefillTokensPerSecond is the prefill rate assumed for an engine until its
	// rate is measured.
	defaultPrefillTokensPerSecond = 50000
	// firstStep is the time that a transfer and the first decode step take at a typical
	// batch size.
	firstStep = 90 * time.Millisecond
	// tokenTime is the time per output token of a large model at a large batch size.
	tokenTime = 900 * time.Microsecond
	// longestPause limits the pause of an engine that failed. The platform removes lost
	// engines after three heartbeats.
	longestPause = 3 * time.Second
	// returnTargets is how long a caller that retries after a rejection waits for its
	// first token, in first-token targets. Callers give up after a silence of four targets.
	returnTargets = 2.5
	// floorShare is the share of granted work that each less urgent rank keeps.
	floorShare = 0.05
)

// Priorities returns the priorities of the streaming routes to a service, the most urgent
// first. The index of a priority is its rank.
func Priorities(state *State, service string) []int {
	return slices.Sorted(maps.Keys(targetsByPriority(state, service)))
}

// targets are the shortest targets among the routes of one priority.
type targets struct {
	firstToken time.Duration
	gap        time.Duration
}

// targetsByPriority returns the targets of the streaming routes to a service by priority.
func targetsByPriority(state *State, service string) map[int]targets {
	result := map[int]targets{}
	for _, r := range state.Config.Routes.All() {
		serves := slices.ContainsFunc(r.Shares, func(s route.Share) bool { return s.Service == service })
		if r.Kind != route.KindStream || !serves {
			continue
		}
		for _, priority := range state.Config.Priorities(r) {
			known, ok := result[priority]
			if !ok || known.firstToken == 0 || r.Target < known.firstToken {
				known.firstToken = r.Target
			}
			if !ok || known.gap == 0 || r.GapTarget < known.gap {
				known.gap = r.GapTarget
			}
			result[priority] = known
		}
	}
	return result
}

// TicketState returns the services with model engines, and their endpoints, in the form
// that dispatchers use. bySpeed is Service.BySpeed of all services.
func TicketState(state *State, bySpeed bool) *ticket.State {
	result := &ticket.State{
		Head:     ticket.Head{Number: state.Config.Number},
		Services: map[string]ticket.Service{}, Pools: map[string]ticket.Pool{},
	}
	for name, service := range state.Config.Services {
		if service.Engine == nil {
			continue
		}
		result.Services[name] = ticketService(state, service, bySpeed)
	}
	for _, e := range state.Endpoints {
		service, ok := result.Services[e.Service]
		if !ok || (e.Role != ticket.RolePrefill && e.Role != ticket.RoleDecode) {
			continue
		}
		key := e.Service + "/" + e.AvailabilityZone + "/" + string(e.Role)
		pool := result.Pools[key]
		pool.Service, pool.AvailabilityZone, pool.Role = e.Service, e.AvailabilityZone, e.Role
		pool.Endpoints = append(pool.Endpoints, ticketEndpoint(e, *state.Config.Services[e.Service].Engine, service))
		result.Pools[key] = pool
	}
	return result
}

func ticketService(state *State, service Service, bySpeed bool) ticket.Service {
	result := ticket.Service{
		Name: service.Name, Kind: ticket.KindModel,
		KVBytesPerToken: service.Engine.BytesPerToken, PieceTokens: pieceTokens,
		AllZones: true, MemoryGrows: true, LongestPause: ticket.Duration(longestPause), DecodeReadsPrompts: true, ReturnTargets: returnTargets, FirstStep: ticket.Duration(firstStep), TokenTime: ticket.Duration(tokenTime),
		BySpeed: bySpeed,
	}
	byPriority := targetsByPriority(state, service.Name)
	for i, priority := range slices.Sorted(maps.Keys(byPriority)) {
		target, gap := byPriority[priority].firstToken, byPriority[priority].gap
		gap /= time.Duration(max(service.Engine.TokensPerEvent, 1))
		rank := ticket.Rank{Name: strconv.Itoa(priority), FirstTokenTarget: ticket.Duration(target), TokenGapTarget: ticket.Duration(gap)}
		if i > 0 {
			rank.FloorShare = floorShare
		}
		result.Ranks = append(result.Ranks, rank)
	}
	if len(result.Ranks) == 0 {
		// The endpoints of a service without routes are still included.
		result.Ranks = []ticket.Rank{{FirstTokenTarget: ticket.Duration(time.Second)}}
	}
	return result
}

func ticketEndpoint(e Endpoint, engine Engine, service ticket.Service) ticket.Endpoint {
	places := e.Places
	if places <= 0 {
		places = engine.Places
	}
	return ticket.Endpoint{
		Name: e.Name, Address: e.Address, AvailabilityZone: e.AvailabilityZone, Places: places,
		Pieces: engine.MemoryTokens / service.PieceTokens, TokensPerSecond: defaultPrefillTokensPerSecond,
		Link: e.Name, LinkBytesPerSecond: engine.LinkBytesPerSecond, Leaving: e.Leaving,
		Version: e.Version, Born: e.Born,
	}
}
