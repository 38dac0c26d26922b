package decision_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// This file models one shard's engines in virtual time. Prefill engines serve
// the most urgent prompt first and may interrupt a less urgent one; links carry
// one transfer after the other; a decode engine's token gap grows with the
// requests it runs. Policies differ only in what they send where and when.

// epoch is the virtual time at which each run begins.
var epoch = time.Unix(1_800_000_000, 0)

// kvKeep is the time for which an exported KV cache waits to be fetched.
const kvKeep = 800 * time.Millisecond

// rankLoad describes the requests of one rank.
type rankLoad struct {
	rank        ticket.Rank
	share       float64
	promptMean  float64
	promptLimit int
	outputMean  float64
}

// scenario is one workload on one shard.
type scenario struct {
	name         string
	prefill      int
	decode       int
	prefillRate  float64
	places       int
	pieces       int
	gapBase      time.Duration
	gapSlope     time.Duration
	kvBytes      int
	linkRate     float64
	ranks        []rankLoad
	outputLimit  int
	callers      int
	duration     time.Duration
	load         float64
	flood        map[int]float64 // rank to a factor on its arrivals in the middle third
	cancelled    float64
	flooder      bool // caller 0 sends ten times the requests, caller 1 prompts of twenty times the length
	lose         int  // decode engines that die at half time
	frozen       bool // reports stop at a third of the time
	secondOwner  bool // a second dispatcher believes for 10 s that it owns the shard
	seed         uint64
	warmUp       time.Duration
	idleStandard bool
}

func (s scenario) shard() shard.Shard {
	result := shard.Shard{Service: ticket.Service{
		Name: "model", Kind: ticket.KindModel, KVBytesPerToken: s.kvBytes, OutputTokens: s.outputLimit,
	}}
	for _, r := range s.ranks {
		result.Service.Ranks = append(result.Service.Ranks, r.rank)
	}
	for i := range s.prefill {
		result.Prefill = append(result.Prefill, ticket.Endpoint{Name: engineName("prefill", i), Places: 4, TokensPerSecond: s.prefillRate, Link: "link", LinkBytesPerSecond: s.linkRate})
	}
	for i := range s.decode {
		result.Decode = append(result.Decode, ticket.Endpoint{Name: engineName("decode", i), Places: s.places, Pieces: s.pieces, Link: "link", LinkBytesPerSecond: s.linkRate})
	}
	return result
}

func engineName(role string, i int) string {
	return role + "-" + string(rune('a'+i/26)) + string(rune('a'+i%26))
}

func (s scenario) gap(running int) time.Duration {
	return s.gapBase + time.Duration(running)*s.gapSlope
}

// capacity returns the requests a second that the engines can complete when
// every decode place is always busy, or every prefill engine, whichever is less.
func (s scenario) capacity() float64 {
	share, prompt, output := 0.0, 0.0, 0.0
	for _, r := range s.ranks {
		share += r.share
		prompt += r.share * r.meanPrompt()
		output += r.share * r.outputMean
	}
	decode := float64(s.decode*s.places) / (output / share * s.gap(s.places).Seconds())
	prefill := float64(s.prefill) * s.prefillRate / (prompt / share)
	return min(decode, prefill)
}

const promptSpread = 0.8

func (r rankLoad) drawPrompt(source *rand.Rand) int {
	drawn := r.promptMean * math.Exp(promptSpread*source.NormFloat64()-promptSpread*promptSpread/2)
	return min(max(int(drawn), 50), r.promptLimit)
}

// meanPrompt is the mean of drawPrompt, which its limits have moved.
func (r rankLoad) meanPrompt() float64 {
	source := rand.New(rand.NewPCG(1, 1))
	total := 0
	const draws = 20000
	for range draws {
		total += r.drawPrompt(source)
	}
	return float64(total) / draws
}

// job is one request on its way through the model.
type job struct {
	id       int
	rank     int
	priority int
	caller   int
	prompt   int
	output   int
	limit    int
	arrival  time.Time
	cancelAt time.Time
	prefill  int
	decode   int
	tries    int

	// left is the prefill work that is not done yet.
	left     float64
	prefillT time.Time
	firstT   time.Time
	finishV  float64
	kvUntil  time.Time
	state    jobState
	measured bool
}

type jobState uint8

const (
	stateWaiting jobState = iota
	statePrefill
	stateTransfer
	stateQueued
	stateDecode
	stateServed
	stateRefused
	stateCancelled
	stateFailed
)

func (j *job) isOver() bool { return j.state >= stateServed }

// happening is an event at a virtual time.
type happening struct {
	at     time.Time
	serial int
	run    func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].serial < a[j].serial
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// policy is what decides. The model calls it at each event.
type policy interface {
	arrive(j *job)
	prefilled(j *job)
	started(j *job)
	over(j *job)
	// full is called when a decode engine has no place for a job that was sent to it.
	full(j *job)
	lost(decode int)
	tick()
}

// world is one run of a scenario.
type world struct {
	scenario scenario
	source   *rand.Rand
	now      time.Time
	agenda   agenda
	serial   int
	policy   policy
	prefill  []*prefillEngine
	decode   []*decodeEngine
	linkFree time.Time
	jobs     []*job

	prefillDone, prefillWasted float64
	capacity                   float64
}

func newWorld(s scenario, build func(w *world) policy) *world {
	w := &world{scenario: s, source: rand.New(rand.NewPCG(s.seed, 7)), now: epoch, capacity: s.capacity()}
	for range s.prefill {
		w.prefill = append(w.prefill, &prefillEngine{since: epoch})
	}
	for range s.decode {
		w.decode = append(w.decode, &decodeEngine{running: map[int]*job{}, since: epoch})
	}
	w.policy = build(w)
	return w
}

func (w *world) at(t time.Time, run func()) {
	w.serial++
	heap.Push(&w.agenda, happening{at: t, serial: w.serial, run: run})
}

func (w *world) after(d time.Duration, run func()) { w.at(w.now.Add(d), run) }

const tickEvery = 20 * time.Millisecond

// run plays the scenario to its end.
func (w *world) run() {
	end := epoch.Add(w.scenario.duration)
	for rank := range w.scenario.ranks {
		w.scheduleArrival(rank, epoch)
	}
	if w.scenario.lose > 0 {
		w.at(epoch.Add(w.scenario.duration/2), w.loseEngines)
	}
	var tick func()
	tick = func() {
		w.policy.tick()
		w.after(tickEvery, tick)
	}
	w.after(tickEvery, tick)
	for len(w.agenda) > 0 && w.agenda[0].at.Before(end) {
		next := heap.Pop(&w.agenda).(happening)
		w.now = next.at
		next.run()
	}
}

// isFlooding reports whether a time lies in the middle third.
func (w *world) isFlooding(t time.Time) bool {
	third := w.scenario.duration / 3
	since := t.Sub(epoch)
	return since >= third && since < 2*third
}

func (w *world) rate(rank int, t time.Time) float64 {
	share := 0.0
	for _, r := range w.scenario.ranks {
		share += r.share
	}
	rate := w.scenario.load * w.capacity * w.scenario.ranks[rank].share / share
	if factor, ok := w.scenario.flood[rank]; ok && w.isFlooding(t) {
		rate *= factor
	}
	if w.scenario.idleStandard && rank > 0 {
		rate = 0
	}
	return rate
}

func (w *world) scheduleArrival(rank int, t time.Time) {
	rate := w.rate(rank, t)
	if rate == 0 {
		w.at(t.Add(time.Second), func() { w.scheduleArrival(rank, w.now) })
		return
	}
	gap := time.Duration(w.source.ExpFloat64() / rate * float64(time.Second))
	// A long gap is drawn again, since the rate may change in it.
	if gap > time.Second {
		w.at(t.Add(time.Second), func() { w.scheduleArrival(rank, w.now) })
		return
	}
	w.at(t.Add(gap), func() {
		w.arrive(rank)
		w.scheduleArrival(rank, w.now)
	})
}

func (w *world) arrive(rank int) {
	load := w.scenario.ranks[rank]
	output := max(int(load.outputMean*w.source.ExpFloat64()), 2)
	j := &job{
		id: len(w.jobs), rank: rank, priority: rank, caller: w.source.IntN(w.scenario.callers),
		prompt: load.drawPrompt(w.source), output: min(output, w.scenario.outputLimit), limit: w.scenario.outputLimit,
		arrival: w.now, prefill: -1, decode: -1,
		measured: w.now.Sub(epoch) >= w.scenario.warmUp && w.now.Sub(epoch) < w.scenario.duration-w.tail(),
	}
	if w.scenario.flooder {
		w.skew(j)
	}
	w.jobs = append(w.jobs, j)
	if w.source.Float64() < w.scenario.cancelled {
		j.cancelAt = w.now.Add(time.Duration(w.source.Float64() * float64(5*time.Second)))
		w.at(j.cancelAt, func() { w.cancel(j) })
	}
	w.policy.arrive(j)
}

// skew gives caller 0 half of all requests, and caller 1 very long prompts.
func (w *world) skew(j *job) {
	if w.source.Float64() < 0.5 {
		j.caller = 0
	}
	if j.caller == 1 {
		j.prompt = min(j.prompt*20, w.scenario.ranks[j.rank].promptLimit)
	}
}

// tail is the time before the end whose arrivals are not judged, because the
// longest outputs would not be complete.
func (w *world) tail() time.Duration {
	return time.Duration(w.scenario.outputLimit)*w.scenario.gap(w.scenario.places) + 10*time.Second
}

func (w *world) cancel(j *job) {
	if j.isOver() {
		return
	}
	w.leave(j)
	j.state = stateCancelled
	w.policy.over(j)
}

// refuse is the final answer of a policy that does not serve a job.
func (w *world) refuse(j *job) {
	if j.isOver() {
		return
	}
	j.state = stateRefused
}

// leave takes a job out of the engine that holds it.
func (w *world) leave(j *job) {
	switch j.state {
	case statePrefill:
		w.advancePrefill(j.prefill)
		e := w.prefill[j.prefill]
		e.queue = remove(e.queue, j)
		w.planPrefill(j.prefill)
	case stateQueued:
		e := w.decode[j.decode]
		e.waiting = remove(e.waiting, j)
	case stateDecode:
		w.leaveDecode(j)
	}
}

func remove(queue []*job, j *job) []*job {
	for i, other := range queue {
		if other == j {
			return append(queue[:i], queue[i+1:]...)
		}
	}
	return queue
}

// inTarget reports whether a served job met both targets.
func (w *world) inTarget(j *job, finished time.Time) bool {
	rank := w.scenario.ranks[j.rank].rank
	gap := finished.Sub(j.firstT) / time.Duration(max(j.output-1, 1))
	return j.firstT.Sub(j.arrival) <= time.Duration(rank.FirstTokenTarget) && gap <= time.Duration(rank.TokenGapTarget)
}
