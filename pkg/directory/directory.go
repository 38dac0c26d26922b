// Package directory maintains a daemon's copy of the operators' configuration and
// of the registered endpoints: the routes, the services, and the endpoints that
// serve them.
//
// A Mirror of the platform's store, or a peer, passes raw entries to
// Directory.Update. The platform's adapter decodes each entry once. The Directory
// builds an immutable State and passes it to the daemon. Within a process the
// configuration number never decreases. Entries that cannot be decoded are logged
// and skipped, and do not affect other entries.
package directory

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/turmerictide/turmerictide/pkg/credential"
	"github.com/turmerictide/turmerictide/pkg/route"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// Engine describes the model engines of a service.
type Engine struct {
	// Places is the number of requests that an engine runs concurrently.
	Places int
	// MemoryTokens is the KV memory of an engine in tokens.
	MemoryTokens int
	// BytesPerToken is the size of the KV cache per token. It determines the size of a
	// transfer.
	BytesPerToken int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// LinkBytesPerSecond is the rate of an engine's transfer link.
	LinkBytesPerSecond float64
	// HandleTime is how long an exported KV cache is kept.
	HandleTime time.Duration
}

// Service is the configuration of one service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that an endpoint accepts from all
	// daemons combined.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits contains the limits on the size and the duration of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is the operators' configuration.
type Config struct {
	Number   ticket.Number
	Routes   *route.Table
	Services map[string]Service
	Limits   Limits
	// Credentials contains the teams and their keys, nil if requests need no key.
	Credentials *credential.Table
	// KeyConflicts are the pairs of teams that hold the same key.
	KeyConflicts []credential.Conflict
}

// Priorities returns the priorities that the requests of a route may have. The priority of a team
// replaces that of the route.
func (c Config) Priorities(r route.Route) []int {
	if c.Credentials == nil || r.IsExempt {
		return []int{r.Priority}
	}
	return c.Credentials.Priorities(r.Priority)
}

// Endpoint is one registered server.
type Endpoint struct {
	// Name identifies the server. Several incarnations may use the same name.
	Name             string
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Role             ticket.Role
	// Places is the number of requests that it runs concurrently.
	Places  int
	Leaving bool
	// Version is that of its software. A stream goes on only at the version that began it.
	Version string
	// Born is the start time of this incarnation, zero if it is unknown.
	Born time.Time
}

// State is the current configuration and endpoints. It is immutable.
type State struct {
	Config Config
	// Endpoints contains the usable and the leaving endpoints by name.
	Endpoints map[string]Endpoint
	// Since is the time at which this daemon received the configuration.
	Since time.Time
	// ranks contains the priorities of each service with model engines, the most urgent
	// first.
	ranks map[string][]int

	// indexOnce guards the indexes, which are built on first use.
	indexOnce        sync.Once
	servingByService map[string][]Endpoint
	byAddress        map[netip.AddrPort]Endpoint
	// mostUrgent contains the most urgent priority of the requests for each service.
	mostUrgent map[string]int
	// targets contains the shortest latency target of the routes to each service that have one.
	targets map[string]time.Duration
}

// buildIndexes builds the indexes. Every request looks up the endpoints of one service,
// and every connection one address, among thousands of endpoints. Requests also look up the most
// urgent priority of their service, and reports on endpoints its target, among thousands of routes.
func (s *State) buildIndexes() {
	s.servingByService, s.byAddress = map[string][]Endpoint{}, make(map[netip.AddrPort]Endpoint, len(s.Endpoints))
	for _, e := range s.Endpoints {
		// The entry of an endpoint that has ended may remain for some time.
		if known, ok := s.byAddress[e.Address]; !ok || e.Born.After(known.Born) {
			s.byAddress[e.Address] = e
		}
		if !e.Leaving {
			s.servingByService[e.Service] = append(s.servingByService[e.Service], e)
		}
	}
	s.mostUrgent, s.targets = map[string]int{}, map[string]time.Duration{}
	if s.Config.Routes == nil {
		return
	}
	for _, r := range s.Config.Routes.All() {
		priority := slices.Min(s.Config.Priorities(r))
		for _, share := range r.Shares {
			if known, ok := s.mostUrgent[share.Service]; !ok || priority < known {
				s.mostUrgent[share.Service] = priority
			}
			if known, ok := s.targets[share.Service]; r.Target > 0 && (!ok || r.Target < known) {
				s.targets[share.Service] = r.Target
			}
		}
	}
}

// Serving returns the endpoints of a service that accept new work. The slice must not
// be modified.
func (s *State) Serving(service string) []Endpoint {
	s.indexOnce.Do(s.buildIndexes)
	return s.servingByService[service]
}

// At returns the endpoint at an address, which may be leaving.
func (s *State) At(address netip.AddrPort) (Endpoint, bool) {
	s.indexOnce.Do(s.buildIndexes)
	e, ok := s.byAddress[address]
	return e, ok
}

// IsServing reports whether the same incarnation of an endpoint still accepts new work at
// the same address.
func (s *State) IsServing(endpoint Endpoint) bool {
	e, ok := s.ServingAt(endpoint.Name, endpoint.Address)
	return ok && e.Born.Equal(endpoint.Born)
}

// ServingAt returns the endpoint with a name if it still accepts new work at an
// address.
func (s *State) ServingAt(name string, address netip.AddrPort) (Endpoint, bool) {
	e, ok := s.Endpoints[name]
	return e, ok && !e.Leaving && e.Address == address
}

// IsMostUrgent reports whether no request for a service can be more urgent than a priority.
func (s *State) IsMostUrgent(service string, priority int) bool {
	s.indexOnce.Do(s.buildIndexes)
	known, ok := s.mostUrgent[service]
	return !ok || priority <= known
}

// Target returns the shortest latency target of the routes to a service, 0 if none has one.
func (s *State) Target(service string) time.Duration {
	s.indexOnce.Do(s.buildIndexes)
	return s.targets[service]
}

// Rank returns the rank of a priority among the routes to a service.
func (s *State) Rank(service string, priority int) (int, bool) {
	rank := slices.Index(s.ranks[service], priority)
	return rank, rank >= 0
}
