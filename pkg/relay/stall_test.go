package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/internal/virtual"
	"github.com/turmerictide/turmerictide/pkg/relay"
)

// TestSilentRunIsCancelledOnlyForPlacesThatAreHeld watches runs that are silent for 1 s at first, with
// searches that take some time.
func TestSilentRunIsCancelledOnlyForPlacesThatAreHeld(t *testing.T) {
	const timeout = time.Second
	for name, c := range map[string]struct {
		// searchTime is the time that a search takes, and found whether it finds places. A search that
		// isDeaf does not end early.
		searchTime    time.Duration
		found, isDeaf bool
		// eventAt is the time of the next event, 0 for none. The run ends at endsAt.
		eventAt, endsAt time.Duration
		searches        int64
		cancelled       bool
		released        int64
	}{
		"places are found":                       {found: true, searchTime: 100 * time.Millisecond, endsAt: 5 * time.Second, searches: 1, cancelled: true},
		"no places are found":                    {searchTime: 100 * time.Millisecond, endsAt: 3 * time.Second, searches: 4},
		"an event comes before the search":       {found: true, eventAt: 900 * time.Millisecond, endsAt: 1800 * time.Millisecond},
		"an event comes during the search":       {found: true, searchTime: time.Second, eventAt: 1500 * time.Millisecond, endsAt: 2200 * time.Millisecond, searches: 1},
		"places are found just after an event":   {found: true, isDeaf: true, searchTime: time.Second, eventAt: 1500 * time.Millisecond, endsAt: 2200 * time.Millisecond, searches: 1, released: 1},
		"the run ends during the search":         {found: true, searchTime: time.Second, endsAt: 1500 * time.Millisecond, searches: 1},
		"places are found as the run has ended":  {found: true, isDeaf: true, searchTime: time.Second, endsAt: 1500 * time.Millisecond, searches: 1, released: 1},
		"the run is silent again after an event": {found: true, eventAt: 900 * time.Millisecond, endsAt: 5 * time.Second, searches: 1, cancelled: true},
	} {
		t.Run(name, func(t *testing.T) {
			virtual.Run(t, func(t *testing.T) {
				var searches, cancels, released atomic.Int64
				w := relay.WatchStall(timeout, func(ctx context.Context) bool {
					searches.Add(1)
					if c.isDeaf {
						ctx = context.Background()
					}
					select {
					case <-ctx.Done():
						return false
					case <-time.After(c.searchTime):
						return c.found
					}
				}, func() { cancels.Add(1) }, func() { released.Add(1) })
				if c.eventAt > 0 {
					time.AfterFunc(c.eventAt, func() { w.Extend(timeout) })
				}
				time.Sleep(c.endsAt)
				require.Equal(t, c.cancelled, w.Close())
				require.Equal(t, c.searches, searches.Load())
				require.Equal(t, c.cancelled, cancels.Load() == 1)
				require.Equal(t, c.released, released.Load())
			})
		})
	}
}

// TestRestOfAStreamMovesOnlyIfItFits asks for streams of which half the output is left.
func TestRestOfAStreamMovesOnlyIfItFits(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	const rest = 0.5
	// Half of 1.25 times 4 s, and the time in which another endpoint goes on.
	const needed = 2500*time.Millisecond + 500*time.Millisecond
	d := relay.NewDrainer()
	require.True(t, d.HasTimeForRest(start, "assistant", start.Add(500*time.Millisecond), rest), "no stream is known")
	require.False(t, d.HasTimeForRest(start, "assistant", start.Add(499*time.Millisecond), rest))
	d.Record("assistant", 4*time.Second)
	require.True(t, d.HasTimeForRest(start, "assistant", start.Add(needed), rest))
	require.False(t, d.HasTimeForRest(start, "assistant", start.Add(needed-time.Millisecond), rest))
	d.Begin(start, start.Add(needed-time.Millisecond))
	require.False(t, d.HasTimeForRest(start, "assistant", start.Add(time.Hour), rest), "the host stops earlier")
}
