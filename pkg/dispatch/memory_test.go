package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// growingMemoryLayout returns a shard like those of the users' platform: the memory of an
// engine holds about eight requests at their output limits, and thirteen at typical
// outputs.
func growingMemoryLayout(prefill, decode int) shard.Shard {
	s := newShard(prefill, decode, 64, 101752/64, 800*time.Millisecond)
	s.Service.PieceTokens, s.Service.MemoryGrows = 64, true
	s.Service.TokenTime = ticket.Duration(time.Millisecond)
	s.Service.FirstStep = ticket.Duration(90 * time.Millisecond)
	s.Service.DecodeReadsPrompts = true
	s.Service.KVBytesPerToken = 0
	for i := range s.Prefill {
		s.Prefill[i].TokensPerSecond, s.Prefill[i].Places = 50000, 64
	}
	for i := range s.Decode {
		s.Decode[i].TokensPerSecond = 50000
	}
	return s
}

func longRequest(id dispatch.RequestID, at time.Time) dispatch.Request {
	return dispatch.Request{ID: id, Front: "front", Caller: "caller", PromptTokens: 5200, OutputTokens: 7930, ExpectedTokens: 4300, Arrival: at}
}

func TestPeakMemory(t *testing.T) {
	require.InDelta(t, 0, dispatch.PeakMemory(nil), 0)
	// One request ends after 10 tokens with 110 in use; the other goes on to 150.
	require.InDelta(t, 220, dispatch.PeakMemory([][2]float64{{100, 10}, {100, 50}}), 0)
	require.InDelta(t, 300, dispatch.PeakMemory([][2]float64{{100, 50}, {100, 50}}), 0)
	require.InDelta(t, 1050, dispatch.PeakMemory([][2]float64{{10, 5}, {1000, 50}}), 0)
}

// TestBurstIsAdmittedByExpectedOutputs offers a burst of requests whose limits are far above
// their outputs. Reserving the limits would admit 7 requests, and more than 10 would exceed
// the memory at the expected outputs.
func TestBurstIsAdmittedByExpectedOutputs(t *testing.T) {
	planner := newPlanner(growingMemoryLayout(40, 1))
	granted := 0
	for id := range dispatch.RequestID(40) {
		for _, d := range planner.Offer(epoch, longRequest(id+1, epoch), nil) {
			if d.IsGrant() {
				granted++
			}
		}
	}
	require.Greater(t, granted, 7)
	require.LessOrEqual(t, granted, 10)
}

// TestNewOwnerCountsProgressOfAdoptedHolds changes the owner during a burst. Adopted holds
// that are nearly complete release their memory soon, so more requests fit.
func TestNewOwnerCountsProgressOfAdoptedHolds(t *testing.T) {
	countGrants := func(outputTokens int) int {
		planner := newPlanner(growingMemoryLayout(40, 1))
		for id := range dispatch.RequestID(6) {
			planner.Adopt(epoch, dispatch.Hold{
				Request: longRequest(id+1, epoch), Stage: dispatch.StageDecode, Decode: "decode-0",
				DecodingTime: 3 * time.Second, OutputTokens: outputTokens,
			})
		}
		granted := 0
		for id := range dispatch.RequestID(20) {
			granted += len(planner.Offer(epoch, longRequest(id+100, epoch), nil))
		}
		return granted
	}
	require.Greater(t, countGrants(4200), countGrants(0))
}

// TestDecodeEndpointComputesOnePromptAtATime resumes streams after a crash that broke many
// of them. Their prompts must not all delay one engine at the same time.
func TestDecodeEndpointComputesOnePromptAtATime(t *testing.T) {
	planner := newPlanner(growingMemoryLayout(1, 2))
	resumed := func(id dispatch.RequestID) dispatch.Request {
		r := longRequest(id, epoch)
		r.DecodeOnly = true
		return r
	}
	endpoints := map[string]int{}
	for id := range dispatch.RequestID(4) {
		for _, d := range planner.Offer(epoch, resumed(id+1), nil) {
			require.True(t, d.IsGrant())
			endpoints[d.Grant.Decode]++
		}
	}
	require.Equal(t, map[string]int{"decode-0": 1, "decode-1": 1}, endpoints)
	next := planner.Started(epoch.Add(200*time.Millisecond), 1, nil)
	require.Len(t, next, 1)
	require.True(t, next[0].IsGrant())
	cached := longRequest(50, epoch)
	cached.DecodeOnly, cached.Cached, cached.Caller = true, true, "another caller"
	require.Len(t, planner.Offer(epoch.Add(200*time.Millisecond), cached, nil), 1, "a request with a cached prompt is granted, since it delays no other request")
}

// TestConsecutivePromptsGoToOneDecodeEndpoint resumes streams that break one after the other.
// Their prompts delay the streams of one engine instead of those of all engines.
func TestConsecutivePromptsGoToOneDecodeEndpoint(t *testing.T) {
	planner := newPlanner(growingMemoryLayout(1, 3))
	id, now := dispatch.RequestID(0), epoch
	resume := func() string {
		id++
		r := longRequest(id, now)
		r.DecodeOnly, r.PromptTokens = true, 1000
		decisions := planner.Offer(now, r, nil)
		require.Len(t, decisions, 1)
		require.True(t, decisions[0].IsGrant())
		planner.Started(now, id, nil)
		return decisions[0].Grant.Decode
	}
	first := resume()
	for range 4 {
		require.Equal(t, first, resume())
	}
	now = now.Add(4 * time.Second)
	require.NotEqual(t, first, resume(), "after the affinity period, an engine that runs fewer requests must be chosen")
}

// TestOneEngineAtATimeIsSavedForLargeRequests offers an overload of large and small requests.
// While one engine is saved for the first large request, the other still takes small
// ones.
func TestOneEngineAtATimeIsSavedForLargeRequests(t *testing.T) {
	planner := newPlanner(growingMemoryLayout(4, 2))
	id, now := dispatch.RequestID(0), epoch
	offer := func(prompt, output int, caller string) (granted bool) {
		id++
		r := longRequest(id, now)
		r.PromptTokens, r.ExpectedTokens, r.OutputTokens, r.Caller = prompt, output, output, caller
		for _, d := range planner.Offer(now, r, nil) {
			granted = granted || (d.IsGrant() && d.Grant.ID == id)
			planner.Prefilled(now, d.Grant.ID, nil)
		}
		return granted
	}
	for range 6 {
		require.True(t, offer(30_000, 100, "first"))
	}
	require.False(t, offer(10_000, 100, "large"))
	require.False(t, offer(10_000, 100, "larger"))
	now = now.Add(300 * time.Millisecond)
	planner.Tick(now, nil)
	require.Equal(t, 1, planner.Load(now).SavedDecode)
	require.True(t, offer(1000, 100, "small"))
}

// TestFrontsZoneIsPreferred offers a low load at a site with three availability zones. The
// network between zones may be partitioned, so the front's own zone must be chosen.
func TestFrontsZoneIsPreferred(t *testing.T) {
	s := growingMemoryLayout(3, 3)
	for i, zone := range []string{"a", "b", "c"} {
		s.Prefill[i].AvailabilityZone, s.Decode[i].AvailabilityZone = zone, zone
	}
	planner := newPlanner(s)
	for id := range dispatch.RequestID(3) {
		r := longRequest(id+1, epoch)
		r.Zone = "b"
		decisions := planner.Offer(epoch, r, nil)
		require.Len(t, decisions, 1)
		require.Equal(t, "decode-1", decisions[0].Grant.Decode)
		planner.Prefilled(epoch, r.ID, nil)
		planner.Started(epoch, r.ID, nil)
	}
}

// TestNewEngineIsAssumedAsFastAsTheOthers adds an idle engine to a site whose engines take
// five times the configured time for a token.
func TestNewEngineIsAssumedAsFastAsTheOthers(t *testing.T) {
	s := growingMemoryLayout(2, 2)
	planner := newPlanner(s)
	now := epoch
	for id := dispatch.RequestID(1); id <= 40; id++ {
		r := longRequest(id, now)
		r.OutputTokens, r.ExpectedTokens = 1530, 600
		planner.Offer(now, r, nil)
		planner.Prefilled(now, id, nil)
		planner.Started(now, id, nil)
		now = now.Add(601 * 5 * time.Millisecond)
		planner.Done(now, id, dispatch.Outcome{OutputTokens: 601}, nil)
	}
	added := s.Decode[0]
	added.Name = "decode-new"
	s.Decode = append(s.Decode, added)
	planner.SetEndpoints(s)
	require.InDelta(t, 5, dispatch.TokenTimeOf(planner, "decode-new").Seconds()*1000, 0.5)
}
