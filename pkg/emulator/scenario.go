package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// RankLoad describes the requests of one rank.
type RankLoad struct {
	Rank ticket.Rank
	// Share is the rank's part of the requests, against the sum of all shares.
	Share float64
	// PromptMean and PromptLimit are in tokens, as is OutputMean.
	PromptMean  float64
	PromptLimit int
	OutputMean  float64
}

// Burst multiplies the arrivals of a rank for a while.
type Burst struct {
	Rank   int
	From   time.Duration
	For    time.Duration
	Factor float64
}

// Scenario is one load on one shard. Times count from its start.
type Scenario struct {
	Name string
	Seed uint64
	// Duration is played; arrivals of WarmUp, and of the end whose outputs would not
	// be complete, are not judged.
	Duration time.Duration
	WarmUp   time.Duration

	// Prefill and Decode are the engines of each kind.
	Prefill, Decode int
	// PrefillRate is the prompt tokens a second of one prefill engine.
	PrefillRate float64
	// Places and Pieces bound the requests and the memory of one decode engine.
	Places, Pieces int
	// A token takes GapBase and GapSlope for each request that runs beside it.
	GapBase, GapSlope time.Duration
	// KVBytes is the size of the KV cache of one prompt token.
	KVBytes int
	// LinkRate is the bytes a second of the link between the pools.
	LinkRate float64

	Ranks       []RankLoad
	OutputLimit int
	Callers     int
	// Load is the arrivals as a part of Capacity.
	Load float64
	// Wave is the part by which arrivals swing around Load in each WavePeriod.
	Wave       float64
	WavePeriod time.Duration
	Bursts     []Burst

	// Cancelled is the part of the requests whose caller leaves within 5 s.
	Cancelled float64
	// Returns is how often a refused caller comes back, at the time that it was told,
	// or at once for the part Impatient.
	Returns   int
	Impatient float64
	// ReturnTargets is how long one that came back waits, in targets; with 0 it is served
	// as if it had not come before.
	ReturnTargets float64
	// Flooder has caller 0 send half of all requests, and caller 1 prompts of twenty
	// times the length.
	Flooder bool
	// Lose decode engines die at half time.
	Lose int
	// Frozen stops the reports of engines at a third of the time.
	Frozen bool
	// SecondOwner has a second dispatcher believe for 10 s that it owns the shard.
	SecondOwner bool
}

func (s Scenario) shard() shard.Shard {
	result := shard.Shard{Service: ticket.Service{
		Name: "model", Kind: ticket.KindModel, KVBytesPerToken: s.KVBytes, OutputTokens: s.OutputLimit, ReturnTargets: s.ReturnTargets,
	}}
	for _, r := range s.Ranks {
		result.Service.Ranks = append(result.Service.Ranks, r.Rank)
	}
	for i := range s.Prefill {
		result.Prefill = append(result.Prefill, ticket.Endpoint{Name: engineName("prefill", i), Places: 4, TokensPerSecond: s.PrefillRate, Link: "link", LinkBytesPerSecond: s.LinkRate})
	}
	for i := range s.Decode {
		result.Decode = append(result.Decode, ticket.Endpoint{Name: engineName("decode", i), Places: s.Places, Pieces: s.Pieces, Link: "link", LinkBytesPerSecond: s.LinkRate})
	}
	return result
}

func engineName(role string, i int) string {
	return role + "-" + string(rune('a'+i/26)) + string(rune('a'+i%26))
}

func (s Scenario) gap(running int) time.Duration {
	return s.GapBase + time.Duration(running)*s.GapSlope
}

// Capacity returns the requests a second that the engines can complete when
// every decode place is always busy, or every prefill engine, whichever is less.
func (s Scenario) Capacity() float64 {
	share, prompt, output := 0.0, 0.0, 0.0
	for _, r := range s.Ranks {
		share += r.Share
		prompt += r.Share * r.meanPrompt()
		output += r.Share * r.OutputMean
	}
	decode := float64(s.Decode*s.Places) / (output / share * s.gap(s.Places).Seconds())
	prefill := float64(s.Prefill) * s.PrefillRate / (prompt / share)
	return min(decode, prefill)
}

const promptSpread = 0.8

func (r RankLoad) drawPrompt(source *rand.Rand) int {
	drawn := r.PromptMean * math.Exp(promptSpread*source.NormFloat64()-promptSpread*promptSpread/2)
	return min(max(int(drawn), 50), r.PromptLimit)
}

// meanPrompt is the mean of drawPrompt, which its limits have moved.
func (r RankLoad) meanPrompt() float64 {
	source := rand.New(rand.NewPCG(1, 1))
	total := 0
	const draws = 20000
	for range draws {
		total += r.drawPrompt(source)
	}
	return float64(total) / draws
}

// tail is the time before the end whose arrivals are not judged, because the longest
// outputs would not be complete.
func (s Scenario) tail() time.Duration {
	return time.Duration(s.OutputLimit)*s.gap(s.Places) + 10*time.Second
}

// judgedTime is the time whose arrivals are judged.
func (s Scenario) judgedTime() time.Duration { return s.Duration - s.WarmUp - s.tail() }
