package ratelimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/ratelimit"
)

var (
	epoch = time.Unix(1_800_000_000, 0)
	born  = epoch.Add(-time.Hour)
)

func limitAt(rate float64, at time.Duration) ratelimit.Limit {
	return ratelimit.Limit{Endpoint: "desk-1", Born: born, Rate: rate, HeardAt: epoch.Add(at)}
}

func requireRate(t *testing.T, r *ratelimit.Register, expected float64) {
	t.Helper()
	rate, ok := r.Rate("desk-1", born)
	require.Equal(t, expected > 0, ok)
	require.InDelta(t, expected, rate, 1e-9)
}

func TestLimitLastsAsLongAsItIsNamed(t *testing.T) {
	r := ratelimit.NewRegister()
	require.True(t, r.Record(limitAt(7.4, 0), epoch))
	requireRate(t, r, 7.4)
	require.False(t, r.Record(limitAt(7.4, time.Second), epoch), "unchanged")
	require.True(t, r.Record(limitAt(6, 2*time.Second), epoch))
	requireRate(t, r, 6)
	// The response without a limit overtook one with a limit.
	require.False(t, r.Record(limitAt(0, 3*time.Second), epoch.Add(time.Second)))
	requireRate(t, r, 6)
	require.True(t, r.Record(limitAt(0, 4*time.Second), epoch.Add(3*time.Second)))
	requireRate(t, r, 0)
	require.False(t, r.Record(limitAt(0, 5*time.Second), epoch.Add(5*time.Second)), "no limit is known")
}

func TestLimitBelongsToAnIncarnation(t *testing.T) {
	r := ratelimit.NewRegister()
	r.Record(limitAt(7.4, 0), epoch)
	_, ok := r.Rate("desk-1", born.Add(time.Minute))
	require.False(t, ok)
	next := limitAt(3, time.Second)
	next.Born = born.Add(time.Minute)
	require.True(t, r.Record(next, epoch))
	requireRate(t, r, 0)
	require.False(t, r.Apply(limitAt(7.4, 2*time.Second)), "earlier incarnation")
}

// TestLimitNeverStopsAllRequests names a limit that no request would ever lift.
func TestLimitNeverStopsAllRequests(t *testing.T) {
	for _, named := range []float64{0, 0.0001} {
		r := ratelimit.NewRegister()
		r.Record(limitAt(ratelimit.Bound(named), 0), epoch)
		rate, ok := r.Rate("desk-1", born)
		require.True(t, ok)
		require.GreaterOrEqual(t, rate, 0.5)
	}
	r := ratelimit.NewRegister()
	r.Apply(limitAt(0.0001, 0))
	requireRate(t, r, 0.5)
}

func TestLatestReportOfALimitApplies(t *testing.T) {
	r := ratelimit.NewRegister()
	require.False(t, r.Apply(limitAt(0, 0)))
	require.True(t, r.Apply(limitAt(7.4, 2*time.Second)))
	require.False(t, r.Apply(limitAt(5, time.Second)))
	requireRate(t, r, 7.4)
	require.True(t, r.Apply(limitAt(0, 3*time.Second)))
	require.False(t, r.Apply(limitAt(7.4, 2*time.Second)), "the limit has ended since")
	requireRate(t, r, 0)
}

func TestLimitsOfGoneEndpointsAreDropped(t *testing.T) {
	r := ratelimit.NewRegister()
	r.Record(limitAt(7.4, 0), epoch)
	isCurrent := true
	sweep := func(at time.Duration) {
		r.Sweep(epoch.Add(at), func(string, time.Time) bool { return isCurrent })
	}
	sweep(time.Hour)
	requireRate(t, r, 7.4)
	isCurrent = false
	sweep(time.Hour)
	requireRate(t, r, 0)
}
