// Package emulator simulates loads on a model of prefill and decode engines in virtual time.
//
// A Scenario describes the engines, the arrivals and the faults. Simulate runs it with
// a Contender: the product's own dispatch.Planner, with a delay for each message, or one of
// the simpler policies that serve as baselines. Prefill engines serve the most urgent prompt
// first and may preempt a less urgent one. The link carries one transfer at a time. The token
// gap of a decode engine grows with the number of requests that it runs. Contenders differ
// only in which request they send to which engine and when. Runs with the same seed are
// equal.
package emulator

import "time"

// Contender is a named policy.
type Contender struct {
	Name      string
	newPolicy func(sim *simulation) policy
}

// Contenders lists the product first, then the baselines.
var Contenders = []Contender{
	{"product", newProductPolicy},
	{"alone", newLocalPolicy},
	{"fcfs", newCentralPolicy(false)},
	{"strict", newCentralPolicy(true)},
}

// Outcome is the final state of a request.
type Outcome uint8

const (
	Unfinished Outcome = iota
	Served
	Rejected
	Cancelled
	Failed
)

var outcomeByState = map[jobState]Outcome{
	stateServed: Served, stateRejected: Rejected, stateCancelled: Cancelled, stateFailed: Failed,
}

// Request is the result of one request. Times are relative to the start of the run.
type Request struct {
	Rank, Caller int
	// Prompt and Output are in tokens.
	Prompt, Output int
	Arrival        time.Duration
	// FirstToken and End are zero if the request did not reach them.
	FirstToken, End time.Duration
	Outcome         Outcome
	// InTarget is true if the request was served within the targets of its rank.
	InTarget bool
	// Retries is the number of times that the caller retried after a rejection.
	Retries int
	// Measured is false for arrivals in the warm-up and at the end of a run.
	Measured bool
}

// Sample is the state of a run at time At.
type Sample struct {
	At time.Duration
	// Running is the number of requests in decode.
	Running int
}

// Run is the result of one run of a scenario.
type Run struct {
	Scenario Scenario
	Requests []Request
	Samples  []Sample
	// PrefillDone and PrefillWasted are in prompt tokens.
	PrefillDone, PrefillWasted float64
	// HoldMismatches is the number of requests for which the holds of the product's
	// Planner differ from what the engines run at the end.
	HoldMismatches int
}

// Simulate runs a scenario with a contender.
func Simulate(s Scenario, c Contender) Run {
	sm := newSimulation(s, c.newPolicy)
	sm.run()
	result := Run{Scenario: s, Samples: sm.samples, PrefillDone: sm.prefillDone, PrefillWasted: sm.prefillWasted}
	for _, j := range sm.jobs {
		result.Requests = append(result.Requests, sm.requestRecord(j))
	}
	if p, ok := sm.policy.(*productPolicy); ok {
		result.HoldMismatches = p.countHoldMismatches()
	}
	return result
}

func (sm *simulation) requestRecord(j *job) Request {
	r := Request{
		Rank: j.rank, Caller: j.caller, Prompt: j.prompt, Output: j.output, Arrival: j.arrival.Sub(Epoch),
		Outcome: outcomeByState[j.state], Retries: j.retries, Measured: j.measured,
	}
	if !j.firstTokenAt.IsZero() {
		r.FirstToken = j.firstTokenAt.Sub(Epoch)
	}
	if !j.endedAt.IsZero() {
		r.End = j.endedAt.Sub(Epoch)
	}
	r.InTarget = sm.scenario.MeetsTargets(r)
	return r
}

// InTargetShare returns the fraction of requests that were served in target. It considers the
// measured requests that match selects and that were not cancelled. A nil match selects all.
func (r Run) InTargetShare(match func(Request) bool) float64 {
	good, offered := r.CountInTarget(match)
	return float64(good) / float64(max(offered, 1))
}

// CountInTarget returns the number of requests in target and the number of requests that
// InTargetShare considers.
func (r Run) CountInTarget(match func(Request) bool) (good, offered int) {
	for _, request := range r.Requests {
		if !request.Measured || request.Outcome == Cancelled || (match != nil && !match(request)) {
			continue
		}
		offered++
		if request.InTarget {
			good++
		}
	}
	return good, offered
}

// WastedPrefillShare returns the fraction of the prefill work whose KV cache was lost.
func (r Run) WastedPrefillShare() float64 { return r.PrefillWasted / max(r.PrefillDone, 1) }

// InTargetOfCapacity returns the rate of measured requests in target, as a fraction of the
// capacity.
func (r Run) InTargetOfCapacity() float64 {
	good, _ := r.CountInTarget(nil)
	return r.shareOfCapacity(good)
}

// ServedOfCapacity returns the rate of measured requests that were served, in target or late,
// as a fraction of the capacity.
func (r Run) ServedOfCapacity() float64 {
	served := 0
	for _, request := range r.Requests {
		if request.Measured && request.Outcome == Served {
			served++
		}
	}
	return r.shareOfCapacity(served)
}

func (r Run) shareOfCapacity(count int) float64 {
	return float64(count) / r.Scenario.measurementWindow().Seconds() / r.Scenario.Capacity()
}
