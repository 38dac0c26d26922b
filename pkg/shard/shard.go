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

const (
	// MaxDecodeEndpoints bounds the decode or plain endpoints of one shard.
	MaxDecodeEndpoints = 32
	// MaxPlaces is the number of their places from which a site has more shards,
	// so that the messages of one owner stay bounded.
	MaxPlaces = 512
	// MaxSharedEndpoints and MaxSharedPlaces are the same for the shards of a service that
	// one owner dispatches for all zones, where only the largest hosts own shards. An
	// engine that changes its shard has two owners for a while, and small shards fill up
	// beside others that are not.
	MaxSharedEndpoints = 256
	MaxSharedPlaces    = 2048
	// usualTokens is the memory of a usual request, where an engine's memory and not its
	// places bounds what it runs.
	usualTokens = 4096
)

// AllZones stands for the availability zone of shards that span all of them.
const AllZones = ""

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
// evenly over the shards of a site by rendezvous hashing with bounded loads, so
// that adding one endpoint moves few others.
func Divide(state *ticket.State) []Shard {
	type site struct{ service, zone string }
	prefill := map[site][]ticket.Endpoint{}
	decode := map[site][]ticket.Endpoint{}
	sites := map[site]bool{}
	for _, pool := range state.Pools {
		at := site{service: pool.Service, zone: pool.AvailabilityZone}
		if state.Services[pool.Service].AllZones {
			at.zone = AllZones
		}
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
	count := countShards(service, prefill, decode)
	shards := make([]Shard, count)
	for i := range shards {
		shards[i] = Shard{Key: Key{Service: service.Name, AvailabilityZone: zone, Index: i}, Service: service}
	}
	for i, endpoints := range spread(prefill, count) {
		shards[i].Prefill = endpoints
	}
	for i, endpoints := range spread(decode, count) {
		shards[i].Decode = endpoints
	}
	return shards
}

// countShards returns the number of shards for a service in a zone: enough for
// the bounds, but never more than each can have endpoints of every role.
func countShards(service ticket.Service, prefill, decode []ticket.Endpoint) int {
	places := 0
	for _, endpoint := range decode {
		places += placesOf(service, endpoint)
	}
	mostEndpoints, mostPlaces := MaxDecodeEndpoints, MaxPlaces
	if service.AllZones {
		mostEndpoints, mostPlaces = MaxSharedEndpoints, MaxSharedPlaces
	}
	count := max(divideUp(len(decode), mostEndpoints), divideUp(places, mostPlaces), 1)
	count = min(count, max(len(decode), 1))
	if service.Kind == ticket.KindModel {
		count = min(count, max(len(prefill), 1))
	}
	return count
}

// placesOf returns the requests that an endpoint runs at once, by its places and by its
// memory.
func placesOf(service ticket.Service, endpoint ticket.Endpoint) int {
	if !service.MemoryGrows || endpoint.Pieces == 0 {
		return endpoint.Places
	}
	return max(min(endpoint.Places, endpoint.Pieces*service.PieceTokens/usualTokens), 1)
}

func divideUp(total, size int) int {
	return (total + size - 1) / size
}

// spread deals endpoints out to shards, each to the shard with its highest score
// that has room. Shards differ by one endpoint at most.
func spread(endpoints []ticket.Endpoint, count int) [][]ticket.Endpoint {
	result := make([][]ticket.Endpoint, count)
	least, extra := len(endpoints)/count, len(endpoints)%count
	for _, endpoint := range sorted(endpoints) {
		best, bestScore := -1, uint64(0)
		for i := range result {
			room := len(result[i]) < least || (len(result[i]) == least && extra > 0)
			score := Score(endpoint.Name, strconv.Itoa(i))
			if room && (best < 0 || score > bestScore) {
				best, bestScore = i, score
			}
		}
		if len(result[best]) == least {
			extra--
		}
		result[best] = append(result[best], endpoint)
	}
	return result
}

func sorted(endpoints []ticket.Endpoint) []ticket.Endpoint {
	result := append([]ticket.Endpoint(nil), endpoints...)
	sort.Slice(result, func(i, j int) bool { return result[i].Name < result[j].Name })
	return result
}
