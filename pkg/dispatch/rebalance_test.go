package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/internal/virtual"
	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// serveSteadyLoad offers a steady load of requests that hold their places for 4 s each, and
// returns the moves that the planner decided.
func serveSteadyLoad(t *testing.T, planner *dispatch.Planner, perSecond int, length time.Duration) []dispatch.Move {
	t.Helper()
	const holdTime = 4 * time.Second
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
				ends[d.Grant.ID] = now.Add(holdTime)
			}
		}
		if move, ok := planner.DecideMove(now); ok {
			moves = append(moves, move)
		}
	}
	return moves
}

func TestIdlePrefillEngineBecomesADecodeEngine(t *testing.T) {
	planner := newPlanner(growingMemoryLayout(4, 5))
	moves := serveSteadyLoad(t, planner, 12, 16*time.Second)
	require.Len(t, moves, 1, "one move while an engine may be unavailable")
	require.Equal(t, ticket.RoleDecode, moves[0].Role)
	require.Greater(t, moves[0].ThroughputAfter, moves[0].ThroughputBefore*1.1)
}

// TestSparePrefillEngineIsMovedBeforeABurst offers the load of the first seconds of a day,
// when no request has completed yet. A burst 6 s later would need the engine.
func TestSparePrefillEngineIsMovedBeforeABurst(t *testing.T) {
	moves := serveSteadyLoad(t, newPlanner(growingMemoryLayout(4, 5)), 9, 3*time.Second)
	require.Len(t, moves, 1)
	require.Equal(t, ticket.RoleDecode, moves[0].Role)
	require.Empty(t, serveSteadyLoad(t, newPlanner(growingMemoryLayout(2, 5)), 9, 3*time.Second))
}

// TestHoldTimeIsExtrapolatedToFullEngines offers a load that rises from four to seven requests
// per engine, with tokens that come more slowly the more an engine runs. The hold time at
// full engines must be predicted from this low load, before any engine is full.
func TestHoldTimeIsExtrapolatedToFullEngines(t *testing.T) {
	const output = 4300
	gap := func(running int) time.Duration { return time.Duration(500+50*running) * time.Microsecond }
	planner := newPlanner(growingMemoryLayout(4, 1))
	now := epoch
	var running []dispatch.RequestID
	id := dispatch.RequestID(0)
	for completed := range 80 {
		steady := 4 + completed/20
		for len(running) < steady {
			id++
			for _, d := range planner.Offer(now, longRequest(id, now), nil) {
				require.True(t, d.IsGrant())
				planner.Prefilled(now, id, nil)
				planner.Started(now, id, nil)
				running = append(running, id)
			}
		}
		now = now.Add(output * gap(steady) / time.Duration(steady))
		planner.Done(now, running[0], dispatch.Outcome{OutputTokens: output}, nil)
		running = running[1:]
	}
	lowLoad := output * gap(6).Seconds()
	full := output * gap(13).Seconds()
	require.Greater(t, dispatch.FullHoldTime(planner), (lowLoad+full)/2)
	require.Less(t, dispatch.FullHoldTime(planner), 1.2*full)
}

// TestPrefillPoolKeepsSlack offers a load at which two prefill engines would barely keep up
// with seven decode engines. The first burst would then make prefills late.
func TestPrefillPoolKeepsSlack(t *testing.T) {
	require.Empty(t, serveSteadyLoad(t, newPlanner(growingMemoryLayout(3, 6)), 18, 16*time.Second))
}

// TestNewOwnerMeasuresWholeRequests changes the owner in the middle of the requests that the
// new owner adopts. The measured times must include the time before the change.
func TestNewOwnerMeasuresWholeRequests(t *testing.T) {
	const half = 2 * time.Second
	planner := newPlanner(growingMemoryLayout(4, 5))
	for id := range dispatch.RequestID(10) {
		planner.Adopt(epoch, dispatch.Hold{
			Request: longRequest(id+1, epoch), Stage: dispatch.StageDecode, Decode: "decode-0", DecodingTime: half, OutputTokens: 2150,
		})
		planner.Done(epoch.Add(half), id+1, dispatch.Outcome{OutputTokens: 4300}, nil)
	}
	require.InDelta(t, (2 * half).Seconds(), dispatch.FullHoldTime(planner), 0.1)
	require.InDelta(t, 5200, dispatch.PromptWork(planner), 1)
}

func TestQuietServiceMovesNothing(t *testing.T) {
	require.Empty(t, serveSteadyLoad(t, newPlanner(growingMemoryLayout(4, 5)), 2, 30*time.Second))
}

func TestEmptyPrefillPoolGetsAnEngineImmediately(t *testing.T) {
	planner := newPlanner(growingMemoryLayout(0, 5))
	move, ok := planner.DecideMove(epoch)
	require.True(t, ok)
	require.Equal(t, ticket.RolePrefill, move.Role)
	_, ok = planner.DecideMove(epoch.Add(time.Second))
	require.False(t, ok, "no second move while one is pending")
}

func TestPoolsKeepTwoEngines(t *testing.T) {
	require.Empty(t, serveSteadyLoad(t, newPlanner(growingMemoryLayout(2, 5)), 14, 20*time.Second))
}

// TestNewOwnerDoesNotOverfillAPrefillEngine changes the owner just before a prefill ends. The
// remaining time of that prefill must not be taken as a measurement of the engine's rate.
func TestNewOwnerDoesNotOverfillAPrefillEngine(t *testing.T) {
	planner := newPlanner(growingMemoryLayout(1, 5))
	planner.Adopt(epoch, dispatch.Hold{Request: longRequest(1, epoch), Stage: dispatch.StagePrefill, Prefill: "prefill-0", Decode: "decode-0"})
	now := epoch.Add(2 * time.Millisecond)
	planner.Prefilled(now, 1, nil)
	granted := 0
	for id := range dispatch.RequestID(20) {
		for _, d := range planner.Offer(now, longRequest(id+2, now), nil) {
			if d.IsGrant() && d.Grant.Prefill != "" {
				granted++
			}
		}
	}
	require.LessOrEqual(t, granted, 2, "one running and one queued")
}

// TestDecodeEnginesComputePromptsAfterPrefillLoss runs a service that has lost most of its
// prefill pool. Until another engine has changed its role, decode engines that are half
// empty compute prompts, one at a time. With a sufficient prefill pool they compute none.
func TestDecodeEnginesComputePromptsAfterPrefillLoss(t *testing.T) {
	countDecodeOnly := func(prefill int) int {
		planner := newPlanner(growingMemoryLayout(prefill, 6))
		count := 0
		for id := range dispatch.RequestID(60) {
			now := epoch.Add(time.Duration(id) * 5 * time.Millisecond)
			for _, d := range planner.Offer(now, longRequest(id+1, now), nil) {
				if d.IsGrant() && d.Grant.Prefill == "" {
					count++
				}
			}
		}
		return count
	}
	require.Positive(t, countDecodeOnly(1))
	require.LessOrEqual(t, countDecodeOnly(1), 6)
	require.Zero(t, countDecodeOnly(3))
}

// TestMoveMayBeDroppedWhenItIsOrdered guards against a deadlock of a Dispatcher whose MoveEngine
// drops the move at once.
func TestMoveMayBeDroppedWhenItIsOrdered(t *testing.T) {
	virtual.Run(t, func(t *testing.T) {
		hosts := func(string) []string { return []string{"host-0"} }
		dropped := make(chan string, 10)
		var d *dispatch.Dispatcher
		d = dispatch.NewDispatcher(dispatch.DispatcherConfig{
			EligibleOwners: allHostsEligible, StartedTogether: alwaysStartedTogether, Host: "host-0", AvailabilityZone: "a", Now: time.Now, Log: logr.Discard(),
			Publish: func(string, ...*message.Message) error { return nil },
			Hosts:   hosts, Fronts: func() []string { return hosts("") },
			FrontIncarnation: func(uint32, string, time.Time) dispatch.IncarnationState { return dispatch.IncarnationAlive },
			ZoneOf:           func(string) string { return "a" }, BroadcastPressure: func(dispatch.ShardID, dispatch.Pressure) {},
			CancelHold: func(dispatch.Hold, dispatch.FencingNumber, func()) {},
			MoveEngine: func(service string, move dispatch.Move) {
				d.DropMove(service, move.Endpoint.Name)
				dropped <- move.Endpoint.Name
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = d.Serve(ctx) }()
		state := siteState("decode-0", "decode-1", "decode-2")
		delete(state.Pools, "prefill")
		d.Refresh(state)
		for range 2 {
			select {
			case endpoint := <-dropped:
				require.Contains(t, endpoint, "decode-")
			case <-time.After(10 * time.Second):
				require.Fail(t, "no move was ordered")
			}
		}
		d.Refresh(state)
		cancel()
		<-d.Done()
	})
}
