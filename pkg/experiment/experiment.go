// Package experiment runs the loads of load files on the emulator and reports the results.
//
// ReadFile reads a load from an INI file and reports all faults in it. Run simulates it with
// each seed, for the product and the baselines. Report writes a page with a table, plots, and the
// bounds that the load states for the product.
package experiment

import (
	"slices"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/turmerictide/turmerictide/pkg/emulator"
)

// Experiment is a load with its seeds and contenders.
type Experiment struct {
	Name       string
	Scenario   emulator.Scenario
	Seeds      []uint64
	Contenders []emulator.Contender
	Bounds     Bounds
}

// Bounds are the results that the product must reach with every seed. A zero value sets no
// bound.
type Bounds struct {
	// InTarget is the fraction of all requests in target, and RankInTarget that of the
	// requests of a rank.
	InTarget     float64
	RankInTarget map[int]float64
	// InTargetOfCapacity is the rate of requests in target as a fraction of the capacity.
	InTargetOfCapacity float64
	// ServedOfCapacity is the same for all served requests, in target or late.
	ServedOfCapacity float64
	// WastedPrefill is the maximum fraction of the prefill work that may be lost.
	WastedPrefill float64
}

// Result has the runs of one contender with all seeds.
type Result struct {
	Contender string
	Runs      []emulator.Run
}

// concurrentRunLimit is the maximum number of concurrent runs.
const concurrentRunLimit = 4

// Run simulates the load with all contenders and seeds. The results are in the order of
// the contenders, and the runs of each result in the order of the seeds.
func (e Experiment) Run() []Result {
	results := make([]Result, len(e.Contenders))
	slots := make(chan struct{}, concurrentRunLimit)
	var wait sync.WaitGroup
	for i, contender := range e.Contenders {
		results[i] = Result{Contender: contender.Name, Runs: make([]emulator.Run, len(e.Seeds))}
		for k, seed := range e.Seeds {
			wait.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				scenario := e.Scenario
				scenario.Seed = seed
				results[i].Runs[k] = emulator.Simulate(scenario, contender)
			})
		}
	}
	wait.Wait()
	return results
}

// values returns a metric of every run.
func (r Result) values(metric func(emulator.Run) float64) []float64 {
	values := make([]float64, len(r.Runs))
	for i, run := range r.Runs {
		values[i] = metric(run)
	}
	return values
}

func inTargetShare(r emulator.Run) float64 { return r.InTargetShare(nil) }

func inTargetShareOf(rank int) func(emulator.Run) float64 {
	return func(r emulator.Run) float64 {
		return r.InTargetShare(func(request emulator.Request) bool { return request.Rank == rank })
	}
}

// rejectedShare returns the fraction of measured requests whose last attempt was rejected.
func rejectedShare(r emulator.Run) float64 {
	count, all := 0, 0
	for _, request := range r.Requests {
		if !request.Measured {
			continue
		}
		all++
		if request.Outcome == emulator.Rejected {
			count++
		}
	}
	return float64(count) / float64(max(all, 1))
}

// firstTokenWaits returns the times to the first token in seconds, sorted, of the measured
// requests of all runs.
func (r Result) firstTokenWaits() []float64 {
	var seconds []float64
	for _, run := range r.Runs {
		for _, request := range run.Requests {
			if request.Measured && request.FirstToken > 0 {
				seconds = append(seconds, (request.FirstToken - request.Arrival).Seconds())
			}
		}
	}
	slices.Sort(seconds)
	return seconds
}

// quantile returns a quantile of sorted seconds, or 0 if there are none.
func quantile(fraction float64, seconds []float64) time.Duration {
	if len(seconds) == 0 {
		return 0
	}
	return time.Duration(stat.Quantile(fraction, stat.Empirical, seconds, nil) * float64(time.Second))
}
