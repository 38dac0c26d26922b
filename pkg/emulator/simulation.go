package emulator

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// Epoch is the virtual start time of each run.
var Epoch = time.Unix(1_800_000_000, 0)

// kvExportTimeout is the time after which an engine drops an exported KV cache that was not
// fetched.
const kvExportTimeout = 800 * time.Millisecond

// job is the state of one request.
type job struct {
	id          int
	rank        int
	priority    int
	caller      int
	prompt      int
	output      int
	outputLimit int
	arrival     time.Time
	// offeredAt is the time of the last attempt of the caller.
	offeredAt     time.Time
	retries       int
	prefillEngine int
	decodeEngine  int
	attempts      int

	// prefillLeft is the remaining prefill work in prompt tokens.
	prefillLeft  float64
	prefilledAt  time.Time
	firstTokenAt time.Time
	endedAt      time.Time
	// endTokens is the value of the decode engine's tokensPerRequest at which the job is
	// complete.
	endTokens   float64
	kvExpiresAt time.Time
	state       jobState
	measured    bool
}

type jobState uint8

const (
	stateWaiting jobState = iota
	statePrefill
	stateTransfer
	stateQueued
	stateDecode
	stateServed
	stateRejected
	stateCancelled
	stateFailed
)

func (j *job) isFinished() bool { return j.state >= stateServed }

// event runs a function at a virtual time. Events of equal time run in order of serial.
type event struct {
	at     time.Time
	serial int
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// policy decides where requests run. The simulation calls it at each state change.
type policy interface {
	arrive(j *job)
	prefilled(j *job)
	started(j *job)
	finished(j *job)
	// decodeFailed is called when a job fails after its prefill: its decode engine had no
	// place or memory for it in time, or crashed.
	decodeFailed(j *job)
	decodeCrashed(decode int)
	tick()
}

// simulation is one run of a scenario.
type simulation struct {
	scenario Scenario
	random   *rand.Rand
	now      time.Time
	events   eventQueue
	serial   int
	policy   policy
	prefill  []*prefillEngine
	decode   []*decodeEngine
	linkFree time.Time
	jobs     []*job

	// samples are taken every sampleInterval.
	samples []Sample

	prefillDone, prefillWasted float64
	capacity                   float64
}

func newSimulation(s Scenario, newPolicy func(sim *simulation) policy) *simulation {
	sm := &simulation{scenario: s, random: rand.New(rand.NewPCG(s.Seed, 7)), now: Epoch, capacity: s.Capacity()}
	for range s.Prefill {
		sm.prefill = append(sm.prefill, &prefillEngine{advancedAt: Epoch})
	}
	for range s.Decode {
		sm.decode = append(sm.decode, &decodeEngine{running: map[int]*job{}, advancedAt: Epoch})
	}
	sm.policy = newPolicy(sm)
	return sm
}

func (sm *simulation) schedule(t time.Time, run func()) {
	sm.serial++
	heap.Push(&sm.events, event{at: t, serial: sm.serial, run: run})
}

func (sm *simulation) scheduleAfter(d time.Duration, run func()) { sm.schedule(sm.now.Add(d), run) }

const (
	// tickInterval is the interval between ticks of a policy.
	tickInterval = 20 * time.Millisecond
	// sampleInterval is the interval between samples of a run.
	sampleInterval = time.Second
)

// run processes the events of the scenario until its end.
func (sm *simulation) run() {
	end := Epoch.Add(sm.scenario.Duration)
	for rank := range sm.scenario.Ranks {
		sm.scheduleArrival(rank, Epoch)
	}
	if sm.scenario.DecodeCrashes > 0 {
		sm.schedule(Epoch.Add(sm.scenario.Duration/2), sm.crashDecodeEngines)
	}
	var tick func()
	tick = func() {
		sm.policy.tick()
		sm.scheduleAfter(tickInterval, tick)
	}
	sm.scheduleAfter(tickInterval, tick)
	sm.scheduleAfter(sampleInterval, sm.takeSample)
	for len(sm.events) > 0 && sm.events[0].at.Before(end) {
		next := heap.Pop(&sm.events).(event)
		sm.now = next.at
		next.run()
	}
}

// takeSample records the number of running requests.
func (sm *simulation) takeSample() {
	sample := Sample{At: sm.now.Sub(Epoch)}
	for _, e := range sm.decode {
		sample.Running += len(e.running)
	}
	sm.samples = append(sm.samples, sample)
	sm.scheduleAfter(sampleInterval, sm.takeSample)
}

// arrivalRate returns the arrivals per second of a rank at time t.
func (sm *simulation) arrivalRate(rank int, t time.Time) float64 {
	share := 0.0
	for _, r := range sm.scenario.Ranks {
		share += r.Share
	}
	since := t.Sub(Epoch)
	rate := sm.scenario.Load * sm.capacity * sm.scenario.Ranks[rank].Share / share
	for _, burst := range sm.scenario.Bursts {
		if burst.Rank == rank && since >= burst.From && since < burst.From+burst.Duration {
			rate *= burst.Factor
		}
	}
	if sm.scenario.WavePeriod > 0 {
		rate *= 1 + sm.scenario.WaveAmplitude*math.Sin(2*math.Pi*since.Seconds()/sm.scenario.WavePeriod.Seconds())
	}
	return rate
}

func (sm *simulation) scheduleArrival(rank int, t time.Time) {
	rate := sm.arrivalRate(rank, t)
	if rate == 0 {
		sm.schedule(t.Add(time.Second), func() { sm.scheduleArrival(rank, sm.now) })
		return
	}
	gap := time.Duration(sm.random.ExpFloat64() / rate * float64(time.Second))
	// The rate may change during a long gap. A gap of more than a second is drawn again after
	// a second.
	if gap > time.Second {
		sm.schedule(t.Add(time.Second), func() { sm.scheduleArrival(rank, sm.now) })
		return
	}
	sm.schedule(t.Add(gap), func() {
		sm.addArrival(rank)
		sm.scheduleArrival(rank, sm.now)
	})
}

func (sm *simulation) addArrival(rank int) {
	load := sm.scenario.Ranks[rank]
	output := max(int(load.OutputMean*sm.random.ExpFloat64()), 2)
	j := &job{
		id: len(sm.jobs), rank: rank, priority: rank, caller: sm.random.IntN(sm.scenario.Callers),
		prompt: load.drawPrompt(sm.random), output: min(output, sm.scenario.OutputLimit), outputLimit: sm.scenario.OutputLimit,
		arrival: sm.now, offeredAt: sm.now, prefillEngine: -1, decodeEngine: -1,
		measured: sm.now.Sub(Epoch) >= sm.scenario.WarmUp && sm.now.Sub(Epoch) < sm.scenario.Duration-sm.scenario.tailDuration(),
	}
	if sm.scenario.FloodingCaller {
		sm.skewCallers(j)
	}
	sm.jobs = append(sm.jobs, j)
	if sm.random.Float64() < sm.scenario.CancelledShare {
		sm.scheduleAfter(time.Duration(sm.random.Float64()*float64(cancelDelayLimit)), func() { sm.cancelJob(j) })
	}
	sm.policy.arrive(j)
}

// skewCallers assigns half of all requests to caller 0. It multiplies the prompt lengths of
// caller 1 by twenty, up to the limit of the rank.
func (sm *simulation) skewCallers(j *job) {
	if sm.random.Float64() < 0.5 {
		j.caller = 0
	}
	if j.caller == 1 {
		j.prompt = min(j.prompt*20, sm.scenario.Ranks[j.rank].PromptLimit)
	}
}

func (sm *simulation) cancelJob(j *job) {
	if j.isFinished() {
		return
	}
	sm.removeFromEngine(j)
	j.state, j.endedAt = stateCancelled, sm.now
	sm.policy.finished(j)
}

const (
	// cancelDelayLimit is the maximum time from the arrival of a request to its cancellation.
	cancelDelayLimit = 5 * time.Second
	// ImpatientRetryDelay is the retry delay of a caller that ignores the suggested delay.
	ImpatientRetryDelay = 20 * time.Millisecond
	// defaultRetryAfter is the retry delay that policies suggest if they compute none.
	defaultRetryAfter = time.Second
)

// reject ends a job that the policy does not serve. Its caller may retry.
func (sm *simulation) reject(j *job, retryAfter time.Duration) {
	if j.isFinished() {
		return
	}
	j.state, j.endedAt = stateRejected, sm.now
	if j.retries >= sm.scenario.RetryLimit {
		return
	}
	j.retries++
	if sm.random.Float64() < sm.scenario.ImpatientShare {
		retryAfter = ImpatientRetryDelay
	}
	sm.scheduleAfter(retryAfter, func() {
		j.state, j.offeredAt = stateWaiting, sm.now
		sm.policy.arrive(j)
	})
}

// removeFromEngine removes a job from the engine that queues or runs it, if any.
func (sm *simulation) removeFromEngine(j *job) {
	switch j.state {
	case statePrefill:
		sm.advancePrefill(j.prefillEngine)
		e := sm.prefill[j.prefillEngine]
		e.queue = removeJob(e.queue, j)
		sm.schedulePrefill(j.prefillEngine)
	case stateQueued:
		e := sm.decode[j.decodeEngine]
		e.queue = removeJob(e.queue, j)
	case stateDecode:
		sm.removeFromDecode(j)
	}
}

func removeJob(queue []*job, j *job) []*job {
	for i, other := range queue {
		if other == j {
			return append(queue[:i], queue[i+1:]...)
		}
	}
	return queue
}
