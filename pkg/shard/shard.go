// Package shard divides the endpoints of a service in an availability zone into
// shards of bounded size and names the owner of each.
//
// Owners are found by rendezvous hashing (Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998): each daemon computes the
// same owner from the same list of hosts, and the loss of a host moves only the
// shards that it owned.
package shard

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// MaxDecodeEndpoints bounds the decode or plain endpoints of one shard.
const MaxDecodeEndpoints = 32

// Key identifies a shard within the whole system.
type Key struct {
	Service          string
	AvailabilityZone string
	Index            int
}

// String returns service/zone/index.
func (k Key) String() string {
	return k.Service + "/" + k.AvailabilityZone + "/" + strconv.Itoa(k.Index)
}

// Shard is a set of endpoints that one dispatcher grants.
type Shard struct {
	Key     Key
	Service ticket.Service
	Prefill []ticket.Endpoint
	// Decode holds the decode endpoints, or the endpoints of a plain service.
	Decode []ticket.Endpoint
}

// Score is the rendezvous weight of a host for a key.
func Score(key, host string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(host)
	return digest.Sum64()
}

// Owners returns the count hosts with the highest scores for key, best first.
func Owners(key string, hosts []string, count int) []string {
	ordered := append([]string(nil), hosts...)
	sort.Slice(ordered, func(i, j int) bool {
		left, right := Score(key, ordered[i]), Score(key, ordered[j])
		if left != right {
			return left > right
		}
		return ordered[i] < ordered[j]
	})
	return ordered[:min(count, len(ordered))]
}

// Owner returns the host with the highest score, or "" without hosts.
func Owner(key string, hosts []string) string {
	best, bestScore := "", uint64(0)
	for _, host := range hosts {
		score := Score(key, host)
		if best == "" || score > bestScore || (score == bestScore && host < best) {
			best, bestScore = host, score
		}
	}
	return best
}

// Divide returns the shards of a state in a fixed order. Endpoints are spread
// over the shards of a pool by rendezvous hashing, so that adding one endpoint
// moves few others.
func Divide(state *ticket.State) []Shard {
	type site struct{ service, zone string }
	prefill := map[site][]ticket.Endpoint{}
	decode := map[site][]ticket.Endpoint{}
	sites := map[site]bool{}
	for _, pool := range state.Pools {
		at := site{service: pool.Service, zone: pool.AvailabilityZone}
		sites[at] = true
		if pool.Role == ticket.RolePrefill {
			prefill[at] = append(prefill[at], pool.Endpoints...)
			continue
		}
		decode[at] = append(decode[at], pool.Endpoints...)
	}
	var result []Shard
	for at := range sites {
		service := state.Services[at.service]
		result = append(result, divideSite(service, at.zone, prefill[at], decode[at])...)
	}
	sort.Slice(result, func(i, j int) bool { return result[i].Key.String() < result[j].Key.String() })
	return result
}

func divideSite(service ticket.Service, zone string, prefill, decode []ticket.Endpoint) []Shard {
	count := max(1, (len(decode)+MaxDecodeEndpoints-1)/MaxDecodeEndpoints)
	shards := make([]Shard, count)
	names := make([]string, count)
	for i := range shards {
		shards[i] = Shard{Key: Key{Service: service.Name, AvailabilityZone: zone, Index: i}, Service: service}
		names[i] = strconv.Itoa(i)
	}
	for _, endpoint := range sorted(prefill) {
		i, _ := strconv.Atoi(Owner(endpoint.Name, names))
		shards[i].Prefill = append(shards[i].Prefill, endpoint)
	}
	for _, endpoint := range sorted(decode) {
		i, _ := strconv.Atoi(Owner(endpoint.Name, names))
		shards[i].Decode = append(shards[i].Decode, endpoint)
	}
	return shards
}

func sorted(endpoints []ticket.Endpoint) []ticket.Endpoint {
	result := append([]ticket.Endpoint(nil), endpoints...)
	sort.Slice(result, func(i, j int) bool { return result[i].Name < result[j].Name })
	return result
}
