package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// overloadedShard returns a shard as in a site of hundreds of hosts: engines whose memory
// use grows with the output, two ranks, and requests of several thousand tokens.
func overloadedShard(prefill, decode int) shard.Shard {
	s := shard.Shard{Service: ticket.Service{
		Name: "model", Kind: ticket.KindModel, KVBytesPerToken: 35136, PieceTokens: 64, MemoryGrows: true, AllZones: true,
		DecodeReadsPrompts: true, LongestPause: ticket.Duration(3 * time.Second),
		FirstStep: ticket.Duration(90 * time.Millisecond), TokenTime: ticket.Duration(900 * time.Microsecond),
		Ranks: []ticket.Rank{
			{FirstTokenTarget: ticket.Duration(800 * time.Millisecond), TokenGapTarget: ticket.Duration(5 * time.Millisecond)},
			{FirstTokenTarget: ticket.Duration(2 * time.Second), TokenGapTarget: ticket.Duration(5 * time.Millisecond), FloorShare: 0.05},
		},
	}}
	endpoint := func(name string, i int) ticket.Endpoint {
		return ticket.Endpoint{
			Name: fmt.Sprint(name, i), AvailabilityZone: fmt.Sprint("zone-", i%5), Places: 16, Pieces: 71351 / 64, TokensPerSecond: 50000,
			Link: fmt.Sprint(name, i), LinkBytesPerSecond: 7e11,
		}
	}
	for i := range prefill {
		s.Prefill = append(s.Prefill, endpoint("prefill-", i))
	}
	for i := range decode {
		s.Decode = append(s.Decode, endpoint("decode-", i))
	}
	return s
}

// overload keeps the Planner of an overloaded shard overloaded: each step offers one
// request, from one of many fronts in rotation, and finishes a running one.
type overload struct {
	planner *dispatch.Planner
	now     time.Time
	last    dispatch.RequestID
	running []dispatch.RequestID
	buffer  []dispatch.Decision
}

func newOverload() *overload {
	s := overloadedShard(11, 21)
	return &overload{planner: newPlanner(s), now: epoch}
}

func (o *overload) step() {
	o.now = o.now.Add(8 * time.Millisecond)
	o.last++
	o.applyDecisions(o.planner.Offer(o.now, dispatch.Request{
		ID: o.last, Front: fmt.Sprint("front-", o.last%295), Caller: fmt.Sprint("caller-", o.last%114), Rank: int(o.last % 37 / 36),
		PromptTokens: 5200, OutputTokens: 7930, ExpectedTokens: 4200, Arrival: o.now, Zone: fmt.Sprint("zone-", o.last%5),
	}, o.buffer[:0]))
	if len(o.running) > 150 {
		id := o.running[0]
		o.running = o.running[1:]
		o.applyDecisions(o.planner.Started(o.now, id, o.buffer[:0]))
		o.applyDecisions(o.planner.Done(o.now, id, dispatch.Outcome{OutputTokens: 4200}, o.buffer[:0]))
	}
	o.applyDecisions(o.planner.Tick(o.now, o.buffer[:0]))
}

func (o *overload) applyDecisions(decisions []dispatch.Decision) {
	o.buffer = decisions
	for _, d := range decisions {
		if d.IsGrant() {
			o.running = append(o.running, d.Grant.ID)
			o.planner.Prefilled(o.now, d.Grant.ID, nil)
		}
	}
}

func BenchmarkOverload(b *testing.B) {
	o := newOverload()
	for range 1000 {
		o.step()
	}
	b.ReportAllocs()
	for b.Loop() {
		o.step()
	}
}
