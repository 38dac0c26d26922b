package shard_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/shard"
)

func hostNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint("entry-", i))
	}
	return names
}

func TestLossMovesOnlyTheShardsOfTheLost(t *testing.T) {
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

func TestOwnersAreSpread(t *testing.T) {
	hosts := hostNames(10)
	owned := map[string]int{}
	for i := range 1000 {
		owned[shard.Owner(fmt.Sprint("service/zone/", i), hosts)]++
	}
	for _, host := range hosts {
		require.InDelta(t, 100, owned[host], 50)
	}
}
