// Package route finds the route of a request: the rules that operators set for
// all requests to a host under a path prefix.
//
// A Table is immutable. Match looks up the longest prefix. Choose divides the
// requests of a route among services by weight.
package route

import (
	"net"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind determines whether the requests of a route may be retried.
type Kind string

// The kinds of routes.
const (
	// KindOnce requests run at most once.
	KindOnce Kind = "once"
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindStream requests have a stream of events as their response.
	KindStream Kind = "stream"
)

// Share is the weight of a service among the services of a route.
type Share struct {
	Service string
	Weight  int
}

// Route contains the rules for requests to Host whose path begins with Prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout limits the time from the arrival of a request to the end of its response.
	Timeout time.Duration
	// Target is the time to the response, or to the first event, within which a request
	// counts as served in time.
	Target time.Duration
	// GapTarget is the longest pause between events that counts as in time.
	GapTarget time.Duration
	// Priority orders routes, 0 the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts is the number of endpoints that may run one request.
	MaxAttempts int
	// IsExempt is true if the requests need no key of a team.
	IsExempt bool
	// Resumable streams may continue at another endpoint after the last event received.
	Resumable bool
}

// IsRetryable reports whether a request may be retried after an endpoint may have run it.
func (r Route) IsRetryable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Choose returns the service for the request with a number. If the numbers are evenly
// distributed, the requests are divided by weight. Choose returns "" if the route has no
// service with a positive weight.
func (r Route) Choose(number uint64) string {
	total := 0
	for _, share := range r.Shares {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	remaining := int(number % uint64(total))
	for _, share := range r.Shares {
		remaining -= max(share.Weight, 0)
		if remaining < 0 {
			return share.Service
		}
	}
	return ""
}

// Table contains the routes of all hosts.
type Table struct {
	routesByHost map[string][]Route
	// all is sorted by name.
	all []Route
}

// NewTable returns a Table of routes. If two routes have the same host and prefix, the
// first is used.
func NewTable(routes []Route) *Table {
	t := &Table{routesByHost: map[string][]Route{}, all: slices.Clone(routes)}
	sort.SliceStable(t.all, func(i, j int) bool { return t.all[i].Name < t.all[j].Name })
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, hostRoutes := range t.routesByHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	return t
}

// Match returns the route with the longest prefix for a Host header and a path.
func (t *Table) Match(host, path string) (Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// All returns all routes, sorted by name. The slice must not be modified.
func (t *Table) All() []Route {
	return t.all
}
