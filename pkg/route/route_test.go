package route_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/route"
)

func TestLongestPrefixOfTheHostIsUsed(t *testing.T) {
	table := route.NewTable([]route.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/z", "short"},
		{"a.example", "/x", "all"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/x/y/z", "other"},
	} {
		found, ok := table.Match(c.host, c.path)
		require.True(t, ok, c.path)
		require.Equal(t, c.want, found.Name, c.path)
	}
	_, ok := table.Match("b.example", "/y/")
	require.False(t, ok)
	_, ok = table.Match("c.example", "/x/")
	require.False(t, ok)
}

func TestSharesDivideRequestsByWeight(t *testing.T) {
	r := route.Route{Shares: []route.Share{{Service: "old", Weight: 9}, {Service: "new", Weight: 1}}}
	counts := map[string]int{}
	for number := range uint64(1000) {
		counts[r.Choose(number)]++
	}
	require.Equal(t, map[string]int{"old": 900, "new": 100}, counts)
	require.Empty(t, route.Route{Shares: []route.Share{{Service: "none", Weight: 0}}}.Choose(7))
}

func TestOnlyIdempotentAndResumableRequestsAreRetryable(t *testing.T) {
	require.True(t, route.Route{Kind: route.KindIdempotent}.IsRetryable())
	require.True(t, route.Route{Kind: route.KindStream, Resumable: true}.IsRetryable())
	require.False(t, route.Route{Kind: route.KindStream}.IsRetryable())
	require.False(t, route.Route{Kind: route.KindOnce, Resumable: true}.IsRetryable())
}
