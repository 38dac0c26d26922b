package shard_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

func hostNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint("entry-", i))
	}
	return names
}

func TestHostLossMovesOnlyItsShards(t *testing.T) {
	hosts := hostNames(20)
	for i := range 200 {
		key := fmt.Sprint("service/zone/", i)
		before := shard.Owner(key, hosts)
		after := shard.Owner(key, hosts[1:])
		if before != hosts[0] {
			require.Equal(t, before, after)
		}
		require.Equal(t, []string{before}, shard.Owners(key, hosts, 1))
	}
}

func TestShardsAreSpreadOverHosts(t *testing.T) {
	hosts := hostNames(10)
	owned := map[string]int{}
	for i := range 1000 {
		owned[shard.Owner(fmt.Sprint("service/zone/", i), hosts)]++
	}
	for _, host := range hosts {
		require.InDelta(t, 100, owned[host], 50)
	}
}

func fleetState(t *testing.T, prefill, decode int) *ticket.State {
	t.Helper()
	service := ticket.Service{Name: "model", Kind: ticket.KindModel}
	pool := func(role ticket.Role, count int) ticket.Pool {
		p := ticket.Pool{Service: "model", AvailabilityZone: "zone", Role: role}
		for i := range count {
			p.Endpoints = append(p.Endpoints, ticket.Endpoint{Name: fmt.Sprint(role, "-", i), Places: 256})
		}
		return p
	}
	values := map[ticket.ObjectName][]byte{}
	for name, object := range map[ticket.ObjectName]any{
		"service/model": service, "pool/prefill": pool(ticket.RolePrefill, prefill), "pool/decode": pool(ticket.RoleDecode, decode),
	} {
		encoded, err := json.Marshal(object)
		require.NoError(t, err)
		values[name] = encoded
	}
	state, err := ticket.NewState(ticket.Head{Number: 1}, values)
	require.NoError(t, err)
	return state
}

func TestEveryShardHasEveryRole(t *testing.T) {
	for _, size := range []struct{ prefill, decode, shards int }{{1, 3, 1}, {52, 98, 49}, {10, 98, 10}, {3, 2, 1}} {
		shards := shard.Divide(fleetState(t, size.prefill, size.decode))
		require.Len(t, shards, size.shards)
		prefill, decode := 0, 0
		for _, s := range shards {
			require.InDelta(t, float64(size.prefill)/float64(size.shards), len(s.Prefill), 1)
			require.InDelta(t, float64(size.decode)/float64(size.shards), len(s.Decode), 1)
			prefill += len(s.Prefill)
			decode += len(s.Decode)
		}
		require.Equal(t, size.prefill, prefill)
		require.Equal(t, size.decode, decode)
	}
}

func TestAddingAnEndpointMovesFewOthers(t *testing.T) {
	shardIndexes := func(decode int) map[string]int {
		result := map[string]int{}
		for _, s := range shard.Divide(fleetState(t, 49, decode)) {
			for _, endpoint := range s.Decode {
				result[endpoint.Name] = s.Key.Index
			}
		}
		return result
	}
	before, after := shardIndexes(97), shardIndexes(98)
	moved := 0
	for name, index := range before {
		if after[name] != index {
			moved++
		}
	}
	require.LessOrEqual(t, moved, len(before)/4)
}
