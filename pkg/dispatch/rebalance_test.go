package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// serveAll runs a steady load of requests that last for some seconds and returns
// the moves that were decided on.
func serveAll(t *testing.T, planner *dispatch.Planner, perSecond int, length time.Duration) []dispatch.Move {
	t.Helper()
	const lasts = 4 * time.Second
	step := time.Second / time.Duration(perSecond)
	var moves []dispatch.Move
	ends := map[dispatch.RequestID]time.Time{}
	id := dispatch.RequestID(0)
	for now := epoch; now.Before(epoch.Add(length)); now = now.Add(step) {
		for running, end := range ends {
			if !end.After(now) {
				planner.Done(now, running, dispatch.Outcome{OutputTokens: 4300}, nil)
				delete(ends, running)
			}
		}
		id++
		for _, d := range planner.Offer(now, longRequest(id, now), nil) {
			if d.IsGrant() {
				planner.Prefilled(now.Add(100*time.Millisecond), d.Grant.ID, nil)
				planner.Started(now.Add(120*time.Millisecond), d.Grant.ID, nil)
				ends[d.Grant.ID] = now.Add(lasts)
			}
		}
		if move, ok := planner.Rebalance(now); ok {
			moves = append(moves, move)
		}
	}
	return moves
}

func TestIdlePrefillEngineBecomesADecodeEngine(t *testing.T) {
	planner := newPlanner(growingLayout(4, 5))
	moves := serveAll(t, planner, 12, 20*time.Second)
	require.Len(t, moves, 1, "one move within 20 s")
	require.Equal(t, ticket.RoleDecode, moves[0].Role)
	require.Greater(t, moves[0].After, moves[0].Before*1.1)
}

func TestQuietServiceMovesNothing(t *testing.T) {
	require.Empty(t, serveAll(t, newPlanner(growingLayout(4, 5)), 2, 30*time.Second))
}

func TestPoolWithoutEnginesGetsOneAtOnce(t *testing.T) {
	planner := newPlanner(growingLayout(0, 5))
	move, ok := planner.Rebalance(epoch)
	require.True(t, ok)
	require.Equal(t, ticket.RolePrefill, move.Role)
	_, ok = planner.Rebalance(epoch.Add(time.Second))
	require.False(t, ok, "one move at a time")
}

func TestPoolsKeepTwoEngines(t *testing.T) {
	require.Empty(t, serveAll(t, newPlanner(growingLayout(2, 5)), 14, 20*time.Second))
}
