// Package route finds the route of a request: the rules that operators set for
// all requests to a host under a path prefix.
//
// A Table is immutable. Match is a pure lookup of the longest prefix; Choose
// divides the requests of a route between services by weight.
package route

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Kind tells what may be repeated.
type Kind string

// The kinds of routes.
const (
	// KindOnce requests run at most once.
	KindOnce Kind = "once"
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindStream requests are answered by a stream of events.
	KindStream Kind = "stream"
)

// Share is a service with its weight among the services of a route.
type Share struct {
	Service string
	Weight  int
}

// Route is the rules for the requests to Host whose path begins with Prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time from the request's arrival to the end of its answer.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event, for which the
	// request counts as served in time.
	Target time.Duration
	// GapTarget is the longest pause between events that is still in time.
	GapTarget time.Duration
	// Priority orders routes, 0 the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts is the number of endpoints that may run one request.
	MaxAttempts int
	// Resumable streams may go on at another endpoint after their last event.
	Resumable bool
}

// IsRepeatable reports whether a request that may have run may run again.
func (r Route) IsRepeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Choose returns the service for a request. Requests with evenly spread numbers
// are divided by weight. It returns "" when the route has no service.
func (r Route) Choose(number uint64) string {
	total := 0
	for _, share := range r.Shares {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	at := int(number % uint64(total))
	for _, share := range r.Shares {
		at -= max(share.Weight, 0)
		if at < 0 {
			return share.Service
		}
	}
	return ""
}

// Table holds the routes of all hosts.
type Table struct {
	hosts map[string][]Route
}

// NewTable returns a Table of routes. Of two routes with one host and prefix
// the first is used.
func NewTable(routes []Route) *Table {
	t := &Table{hosts: map[string][]Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Match returns the route of a host header and a path: the one with the longest
// prefix.
func (t *Table) Match(host, path string) (Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// All returns all routes.
func (t *Table) All() []Route {
	var result []Route
	for _, list := range t.hosts {
		result = append(result, list...)
	}
	sort.Slice(result, func(i, j int) bool { return result[i].Name < result[j].Name })
	return result
}
