// Package shard divides the endpoints of a service in an availability zone into
// shards of bounded size and determines the owner of each shard.
//
// Owners are determined by rendezvous hashing (Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998). Each daemon computes the same
// owner from the same list of hosts, and the loss of a host moves only the shards
// that it owned.
package shard

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const (
	// MaxDecodeEndpoints limits the number of decode or plain endpoints of one shard.
	MaxDecodeEndpoints = 32
	// MaxPlaces is the number of places of these endpoints above which a service has more
	// shards in a zone. It limits the messages of one owner.
	MaxPlaces = 512
	// MaxSharedEndpoints and MaxSharedPlaces are the same limits for a service whose
	// shards span all zones, where only the largest hosts own shards. Larger shards are
	// better there: an engine that moves to another shard has two owners for a while, and
	// a small shard can be full while others have room.
	MaxSharedEndpoints = 256
	MaxSharedPlaces    = 2048
	// typicalRequestTokens is the memory of a typical request in tokens. It applies where
	// the memory of an engine, and not its places, limits its concurrent requests.
	typicalRequestTokens = 4096
)

// AllZones is the availability zone of shards that span all zones.
const AllZones = ""

// Key identifies a shard in the system.
type Key struct {
	Service          string
	AvailabilityZone string
	Index            int
}

// String returns service/zone/index.
func (k Key) String() string {
	return k.Service + "/" + k.AvailabilityZone + "/" + strconv.Itoa(k.Index)
}

// Shard is a set of endpoints whose places one dispatcher grants.
type Shard struct {
	Key     Key
	Service ticket.Service
	Prefill []ticket.Endpoint
	// Decode contains the decode endpoints, or the endpoints of a plain service.
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

// Owners returns the hosts with the highest scores for key, at most count, in
// descending order of the score.
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

// Divide returns the shards of a state in a fixed order. The endpoints of a service in
// a zone are spread evenly over its shards by rendezvous hashing with bounded loads, so
// that adding one endpoint moves few others.
func Divide(state *ticket.State) []Shard {
	type groupKey struct{ service, zone string }
	prefill := map[groupKey][]ticket.Endpoint{}
	decode := map[groupKey][]ticket.Endpoint{}
	groups := map[groupKey]bool{}
	for _, pool := range state.Pools {
		key := groupKey{service: pool.Service, zone: pool.AvailabilityZone}
		if state.Services[pool.Service].AllZones {
			key.zone = AllZones
		}
		groups[key] = true
		if pool.Role == ticket.RolePrefill {
			prefill[key] = append(prefill[key], pool.Endpoints...)
			continue
		}
		decode[key] = append(decode[key], pool.Endpoints...)
	}
	var result []Shard
	for key := range groups {
		service := state.Services[key.service]
		result = append(result, divideGroup(service, key.zone, prefill[key], decode[key])...)
	}
	sort.Slice(result, func(i, j int) bool { return result[i].Key.String() < result[j].Key.String() })
	return result
}

func divideGroup(service ticket.Service, zone string, prefill, decode []ticket.Endpoint) []Shard {
	count := countShards(service, prefill, decode)
	shards := make([]Shard, count)
	for i := range shards {
		shards[i] = Shard{Key: Key{Service: service.Name, AvailabilityZone: zone, Index: i}, Service: service}
	}
	for i, endpoints := range assign(prefill, count) {
		shards[i].Prefill = endpoints
	}
	for i, endpoints := range assign(decode, count) {
		shards[i].Decode = endpoints
	}
	return shards
}

// countShards returns the number of shards for a service in a zone. It satisfies the
// limits, but does not exceed the number of endpoints of a role, so that each shard has
// endpoints of every role.
func countShards(service ticket.Service, prefill, decode []ticket.Endpoint) int {
	places := 0
	for _, endpoint := range decode {
		places += effectivePlaces(service, endpoint)
	}
	endpointLimit, placeLimit := MaxDecodeEndpoints, MaxPlaces
	if service.AllZones {
		endpointLimit, placeLimit = MaxSharedEndpoints, MaxSharedPlaces
	}
	count := max(ceilDivide(len(decode), endpointLimit), ceilDivide(places, placeLimit), 1)
	count = min(count, max(len(decode), 1))
	if service.Kind == ticket.KindModel {
		count = min(count, max(len(prefill), 1))
	}
	return count
}

// effectivePlaces returns the number of requests that an endpoint can run concurrently,
// limited by its places and its memory.
func effectivePlaces(service ticket.Service, endpoint ticket.Endpoint) int {
	if !service.MemoryGrows || endpoint.Pieces == 0 {
		return endpoint.Places
	}
	return max(min(endpoint.Places, endpoint.Pieces*service.PieceTokens/typicalRequestTokens), 1)
}

func ceilDivide(total, size int) int {
	return (total + size - 1) / size
}

// assign divides endpoints among count shards. Each endpoint goes to the shard with the
// highest score among those that have room. The sizes of shards differ by at most one.
func assign(endpoints []ticket.Endpoint, count int) [][]ticket.Endpoint {
	result := make([][]ticket.Endpoint, count)
	quota, extra := len(endpoints)/count, len(endpoints)%count
	for _, endpoint := range sortedByName(endpoints) {
		best, bestScore := -1, uint64(0)
		for i := range result {
			hasRoom := len(result[i]) < quota || (len(result[i]) == quota && extra > 0)
			score := Score(endpoint.Name, strconv.Itoa(i))
			if hasRoom && (best < 0 || score > bestScore) {
				best, bestScore = i, score
			}
		}
		if len(result[best]) == quota {
			extra--
		}
		result[best] = append(result[best], endpoint)
	}
	return result
}

func sortedByName(endpoints []ticket.Endpoint) []ticket.Endpoint {
	result := append([]ticket.Endpoint(nil), endpoints...)
	sort.Slice(result, func(i, j int) bool { return result[i].Name < result[j].Name })
	return result
}
