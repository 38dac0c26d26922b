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
	// Share is the weight of the rank's requests, relative to the sum of all shares.
	Share float64
	// PromptMean and PromptLimit are in tokens, as is OutputMean.
	PromptMean  float64
	PromptLimit int
	OutputMean  float64
}

// Burst multiplies the arrival rate of a rank by Factor for a Duration.
type Burst struct {
	Rank     int
	From     time.Duration
	Duration time.Duration
	Factor   float64
}

// Scenario is one load on one shard. Times are relative to its start.
type Scenario struct {
	Name string
	Seed uint64
	// Duration is the virtual time of the run. Arrivals during WarmUp are not measured,
	// nor are those near the end, because their outputs would be incomplete.
	Duration time.Duration
	WarmUp   time.Duration

	// Prefill and Decode are the numbers of engines of each kind.
	Prefill, Decode int
	// PrefillRate is the rate of one prefill engine in prompt tokens per second.
	PrefillRate float64
	// Places and Pieces limit the requests and the memory of one decode engine.
	Places, Pieces int
	// The token gap of an engine is GapBase, plus GapSlope for each running request.
	GapBase, GapSlope time.Duration
	// GapFactors multiply the token gaps of the first decode engines. The others have 1.
	GapFactors []float64
	// KVBytesPerToken is the size of the KV cache of one prompt token.
	KVBytesPerToken int
	// LinkRate is the rate of the link between the pools in bytes per second.
	LinkRate float64

	Ranks       []RankLoad
	OutputLimit int
	Callers     int
	// Load is the arrival rate as a fraction of Capacity.
	Load float64
	// WaveAmplitude is the amplitude of a sine wave on the arrival rate with the period
	// WavePeriod, as a fraction of Load.
	WaveAmplitude float64
	WavePeriod    time.Duration
	Bursts        []Burst

	// CancelledShare is the fraction of requests that the caller cancels within 5 s.
	CancelledShare float64
	// RetryLimit is the maximum number of times that a caller retries after a rejection. The
	// fraction ImpatientShare of the retries uses ImpatientRetryDelay, the others use the
	// suggested delay.
	RetryLimit     int
	ImpatientShare float64
	// ReturnTargets is how long a caller that retries after a rejection waits for its first
	// token, in first-token targets of its rank. With 0 a retry is served like a first
	// request.
	ReturnTargets float64
	// FloodingCaller makes caller 0 send half of all requests, and multiplies the prompt
	// lengths of caller 1 by twenty.
	FloodingCaller bool
	// DecodeCrashes is the number of decode engines that crash in the middle of the run.
	DecodeCrashes int
	// FrozenReports stops the load reports of engines after a third of the run.
	FrozenReports bool
	// SecondOwner adds a second dispatcher that acts as owner of the shard for 10 s, from the
	// middle of the run.
	SecondOwner bool
}

func (s Scenario) shard() shard.Shard {
	result := shard.Shard{Service: ticket.Service{
		Name: "model", Kind: ticket.KindModel, KVBytesPerToken: s.KVBytesPerToken, OutputTokens: s.OutputLimit, ReturnTargets: s.ReturnTargets, BySpeed: true,
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

// tokenGap returns the token gap of a decode engine that runs a number of requests.
func (s Scenario) tokenGap(engine, running int) time.Duration {
	gap := s.GapBase + time.Duration(running)*s.GapSlope
	if engine < len(s.GapFactors) {
		return time.Duration(float64(gap) * s.GapFactors[engine])
	}
	return gap
}

// slowestGap returns the token gap of the slowest decode engine when it is full.
func (s Scenario) slowestGap() time.Duration {
	slowest := time.Duration(0)
	for i := range s.Decode {
		slowest = max(slowest, s.tokenGap(i, s.Places))
	}
	return slowest
}

// Capacity returns the rate of requests, per second, that the engines can complete. It is the
// lower of two limits: all decode places are always busy, or all prefill engines are.
func (s Scenario) Capacity() float64 {
	share, prompt, output := 0.0, 0.0, 0.0
	for _, r := range s.Ranks {
		share += r.Share
		prompt += r.Share * r.meanPrompt()
		output += r.Share * r.OutputMean
	}
	decode := 0.0
	for i := range s.Decode {
		decode += float64(s.Places) / (output / share * s.tokenGap(i, s.Places).Seconds())
	}
	prefill := float64(s.Prefill) * s.PrefillRate / (prompt / share)
	return min(decode, prefill)
}

// promptLengthSigma is the sigma of the log-normal distribution of prompt lengths.
const promptLengthSigma = 0.8

func (r RankLoad) drawPrompt(random *rand.Rand) int {
	drawn := r.PromptMean * math.Exp(promptLengthSigma*random.NormFloat64()-promptLengthSigma*promptLengthSigma/2)
	return min(max(int(drawn), 50), r.PromptLimit)
}

// meanPrompt estimates the mean of drawPrompt. It differs from PromptMean because drawPrompt
// limits the length.
func (r RankLoad) meanPrompt() float64 {
	random := rand.New(rand.NewPCG(1, 1))
	total := 0
	const draws = 20000
	for range draws {
		total += r.drawPrompt(random)
	}
	return float64(total) / draws
}

// tailDuration is the time before the end whose arrivals are not measured, because the
// longest outputs would be incomplete.
func (s Scenario) tailDuration() time.Duration {
	return time.Duration(s.OutputLimit)*s.slowestGap() + 10*time.Second
}

// measurementWindow is the duration of the part of the run whose arrivals are measured.
func (s Scenario) measurementWindow() time.Duration { return s.Duration - s.WarmUp - s.tailDuration() }
