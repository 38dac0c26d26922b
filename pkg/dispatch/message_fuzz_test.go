package dispatch_test

import (
	"math"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"
	"pgregory.net/rapid"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/link"
)

// anyValue draws values that a malformed message, or one of another version, may contain in
// any field.
func anyValue(depth int) *rapid.Generator[any] {
	leaves := []*rapid.Generator[any]{
		rapid.Map(rapid.Int64(), func(n int64) any { return n }),
		rapid.Map(rapid.SampledFrom([]int64{0, 1, -1, math.MaxInt64, math.MinInt64, 1 << 31}), func(n int64) any { return n }),
		rapid.Map(rapid.Uint64(), func(n uint64) any { return n }),
		rapid.Map(rapid.SampledFrom([]string{"", "decode-0", "prefill-0", "one"}), func(s string) any { return s }),
		rapid.Map(rapid.Bool(), func(b bool) any { return b }),
		rapid.Map(rapid.Float64(), func(f float64) any { return f }),
		rapid.Just[any](nil),
	}
	if depth == 0 {
		return rapid.OneOf(leaves...)
	}
	list := rapid.Map(rapid.SliceOfN(anyValue(depth-1), 0, 10), func(list []any) any { return list })
	return rapid.OneOf(append(leaves, list, list, list)...)
}

// anyBody draws message bodies with arbitrary numbers.
func anyBody(t *rapid.T) any {
	number := func() any {
		return rapid.SampledFrom([]int64{0, 1, -1, 2, 60, 4096, math.MaxInt64, math.MinInt64, 1 << 31, 1 << 40}).Draw(t, "number")
	}
	id := func() any { return rapid.Uint64Range(0, 3).Draw(t, "id") | 7<<32 }
	endpoint := func() any {
		return rapid.SampledFrom([]string{"", "decode-0", "decode-1", "prefill-0", "x"}).Draw(t, "endpoint")
	}
	list := func(draw func() any) any {
		result := []any{}
		for range rapid.IntRange(0, 6).Draw(t, "length") {
			result = append(result, draw())
		}
		return result
	}
	hash := func() any { return rapid.Uint32().Draw(t, "hash") }
	request := func() any {
		var rare any
		if rapid.Bool().Draw(t, "rare") {
			rare = []any{endpoint(), number(), list(hash), hash()}
		}
		return []any{id(), "caller", number(), number(), number(), list(hash), number(), rapid.IntRange(0, 255).Draw(t, "flags"), rare}
	}
	hold := func() any {
		return []any{request(), rapid.IntRange(0, 255).Draw(t, "stage"), endpoint(), endpoint(), number(), number()}
	}
	return rapid.SampledFrom([]func() any{
		request, id, func() any { return []any{id(), number(), endpoint()} },
		func() any { return []any{list(hold), rapid.Bool().Draw(t, "complete")} }, func() any { return []any{list(id)} },
		func() any { return []any{id(), hash(), hash(), number(), number()} }, func() any { return []any{id(), "cause", number()} },
		func() any { return anyValue(3).Draw(t, "value") },
	}).Draw(t, "shape")()
}

// TestArbitraryMessagesDoNotPanic sends an owner and a front random bytes and messages with
// random values. Neither may panic or return an error.
func TestArbitraryMessagesDoNotPanic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := epoch
		publish := func(string, ...*message.Message) error { return nil }
		hosts := func(string) []string { return []string{"one", "two"} }
		state := siteState("decode-0", "decode-1")
		client := dispatch.NewClient(dispatch.ClientConfig{
			EligibleOwners: allHostsEligible, Host: "one", AvailabilityZone: "a", FrontTag: 7, Publish: publish, Now: func() time.Time { return now }, Log: logr.Discard(),
			Hosts: hosts, IncarnationSince: func(string) time.Time { return time.Time{} },
		})
		owner := dispatch.NewDispatcher(dispatch.DispatcherConfig{
			EligibleOwners: allHostsEligible, StartedTogether: alwaysStartedTogether, Host: "one", AvailabilityZone: "a", Publish: publish, Now: func() time.Time { return now }, Log: logr.Discard(), Hosts: hosts,
			Fronts:           func() []string { return hosts("") },
			FrontIncarnation: func(uint32, string, time.Time) dispatch.IncarnationState { return dispatch.IncarnationAlive }, ZoneOf: func(string) string { return "a" },
			CancelHold:        func(dispatch.Hold, dispatch.FencingNumber, func()) {},
			BroadcastPressure: func(dispatch.ShardID, dispatch.Pressure) {},
		})
		client.Refresh(state)
		owner.Refresh(state)
		shards := dispatch.ShardIDs(state)
		for range rapid.IntRange(1, 30).Draw(rt, "messages") {
			payload := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(rt, "bytes")
			if rapid.IntRange(0, 4).Draw(rt, "formed") > 0 {
				body, err := cbor.Marshal(anyBody(rt))
				require.NoError(rt, err)
				payload, err = cbor.Marshal([]any{
					rapid.IntRange(0, 15).Draw(rt, "kind"), rapid.SampledFrom(append(shards, 0, 9)).Draw(rt, "shard"), cbor.RawMessage(body),
				})
				require.NoError(rt, err)
			}
			m := link.NewMessage(rapid.SampledFrom([]string{"one", "two", ""}).Draw(rt, "from"), payload, trace.SpanContext{})
			require.NotPanics(rt, func() {
				require.NoError(rt, dispatch.HandleDispatcherMessage(owner, m))
				require.NoError(rt, dispatch.HandleClientMessage(client, m))
			})
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
		}
	})
}
