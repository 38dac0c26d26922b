package decision_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// contender is a policy that is measured.
type contender struct {
	name  string
	build func(w *world) policy
}

var contenders = []contender{
	{"product", newProductPolicy},
	{"alone", newAlonePolicy},
	{"fcfs", newCentralPolicy(false)},
	{"strict", newCentralPolicy(true)},
}

func ranks(urgent, standard, urgentGap, standardGap time.Duration) []ticket.Rank {
	return []ticket.Rank{
		{Name: "urgent", FirstTokenTarget: ticket.Duration(urgent), TokenGapTarget: ticket.Duration(urgentGap), Worth: 10},
		{Name: "standard", FirstTokenTarget: ticket.Duration(standard), TokenGapTarget: ticket.Duration(standardGap), Worth: 1, FloorShare: floorShare},
	}
}

const floorShare = 0.2

// cairo is one firm's site of today: 3 prefill and 7 decode servers.
func cairo() scenario {
	r := ranks(1500*time.Millisecond, 10*time.Second, 50*time.Millisecond, 100*time.Millisecond)
	return scenario{
		name: "cairo", prefill: 3, decode: 7, prefillRate: 12000, places: 12, pieces: 48,
		gapBase: 25 * time.Millisecond, gapSlope: 1250 * time.Microsecond, kvBytes: 100_000, linkRate: 10e9,
		ranks: []rankLoad{
			{rank: r[0], share: 0.25, promptMean: 1500, promptLimit: 6000, outputMean: 200},
			{rank: r[1], share: 0.75, promptMean: 3000, promptLimit: 24000, outputMean: 300},
		},
		outputLimit: 1024, callers: 24, duration: 10 * time.Minute, warmUp: time.Minute, seed: 11,
	}
}

// norte reads long dossiers for output of about the same length.
func norte() scenario {
	s := cairo()
	r := ranks(2*time.Second, 15*time.Second, 50*time.Millisecond, 120*time.Millisecond)
	s.name, s.seed = "norte", 12
	s.prefill, s.decode, s.places = 4, 6, 10
	s.ranks = []rankLoad{
		{rank: r[0], share: 0.3, promptMean: 2500, promptLimit: 9000, outputMean: 250},
		{rank: r[1], share: 0.7, promptMean: 5000, promptLimit: 30000, outputMean: 250},
	}
	return s
}

// fleet is one shard of the fleet of two years.
func fleet() scenario {
	s := cairo()
	r := ranks(400*time.Millisecond, 2*time.Second, 44*time.Millisecond, 80*time.Millisecond)
	s.name, s.seed = "fleet", 13
	s.prefill, s.decode, s.places, s.pieces = 5, 8, 256, 1024
	s.prefillRate, s.kvBytes, s.linkRate = 150_000, 100_000, 200e9
	s.gapBase, s.gapSlope = 20*time.Millisecond, 80*time.Microsecond
	s.ranks = []rankLoad{
		{rank: r[0], share: 0.3, promptMean: 3000, promptLimit: 24000, outputMean: 471},
		{rank: r[1], share: 0.7, promptMean: 5500, promptLimit: 60000, outputMean: 471},
	}
	s.outputLimit, s.callers, s.duration, s.warmUp = 2048, 300, 5*time.Minute, time.Minute
	return s
}

// result is what one run measured.
type result struct {
	offered, good int
	goodRank      []int
	offeredRank   []int
	world         *world
	finished      map[*job]time.Time
}

func finishedOf(p policy) map[*job]time.Time {
	switch known := p.(type) {
	case *productPolicy:
		return known.finished
	case *alonePolicy:
		return known.finished
	case *centralPolicy:
		return known.finished
	}
	return nil
}

// play runs a scenario; within selects the jobs that count.
func play(s scenario, c contender, within func(w *world, j *job) bool) result {
	w := newWorld(s, c.build)
	w.run()
	r := result{world: w, finished: finishedOf(w.policy), goodRank: make([]int, len(s.ranks)), offeredRank: make([]int, len(s.ranks))}
	for _, j := range w.jobs {
		if !j.measured || j.state == stateCancelled || (within != nil && !within(w, j)) {
			continue
		}
		r.offered++
		r.offeredRank[j.rank]++
		if j.state == stateServed && w.inTarget(j, r.finished[j]) {
			r.good++
			r.goodRank[j.rank]++
		}
	}
	return r
}

func (r result) share() float64 { return float64(r.good) / float64(max(r.offered, 1)) }

func (r result) wasted() float64 { return r.world.prefillWasted / max(r.world.prefillDone, 1) }

// measuredTime is the time whose arrivals are judged.
func (r result) measuredTime() time.Duration {
	return r.world.scenario.duration - r.world.scenario.warmUp - r.world.tail()
}

// figure is one line of the table.
type figure struct {
	name   string
	value  float64
	bound  float64
	atMost bool
	others string
}

func (f figure) holds() bool {
	if f.atMost {
		return f.value <= f.bound
	}
	return f.value >= f.bound
}

func (f figure) boundText() string {
	if f.atMost {
		return fmt.Sprintf("<= %.4f", f.bound)
	}
	return fmt.Sprintf(">= %.4f", f.bound)
}

// TestDecisionBounds measures the decisions in virtual time and prints a table
// of all figures with their bounds, beside the same figure of the baselines.
func TestDecisionBounds(t *testing.T) {
	var figures []figure
	for _, measured := range measureAll([]scenario{cairo(), norte(), fleet()}) {
		figures = append(figures, measured...)
	}
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "FIGURE\tPRODUCT\tBOUND\tHOLDS\tBASELINES")
	for _, f := range figures {
		_, _ = fmt.Fprintf(writer, "%s\t%.4f\t%s\t%v\t%s\n", f.name, f.value, f.boundText(), f.holds(), f.others)
	}
	_ = writer.Flush()
	for _, f := range figures {
		if !f.holds() {
			t.Errorf("%s is %.4f, bound %s", f.name, f.value, f.boundText())
		}
	}
}

// measureAll runs all measurements side by side; the results keep their order.
func measureAll(bases []scenario) [][]figure {
	measurements := []func(scenario) []figure{measureLoads, measureFloods, measureFairness, measureFailures}
	results := make([][]figure, len(bases)*len(measurements))
	var wait sync.WaitGroup
	for i, base := range bases {
		for k, measure := range measurements {
			wait.Go(func() { results[i*len(measurements)+k] = measure(base) })
		}
	}
	wait.Wait()
	return results
}

// compare runs the baselines and returns their text and the best of them.
func compare(s scenario, within func(*world, *job) bool, value func(result) float64) (string, float64) {
	var text []string
	best := 0.0
	for _, c := range contenders[1:] {
		v := value(play(s, c, within))
		best = max(best, v)
		text = append(text, fmt.Sprintf("%s %.4f", c.name, v))
	}
	return strings.Join(text, ", "), best
}

func measureLoads(base scenario) []figure {
	var figures []figure
	for _, load := range []float64{0.7, 1, 1.3} {
		s := base
		s.load = load
		r := play(s, contenders[0], nil)
		others, best := compare(s, nil, result.share)
		name := fmt.Sprintf("%s goodput at %.0f%%", s.name, load*100)
		figures = append(figures,
			figure{name: name + ", of offered", value: r.share(), bound: max(best, goodputAt70(load)), others: others},
			figure{name: name + ", wasted prefill", value: r.wasted(), bound: 0.01, atMost: true})
		if load >= 1 {
			capacity := float64(r.good) / r.measuredTime().Seconds() / s.capacity()
			figures = append(figures, figure{name: name + ", of capacity", value: capacity, bound: 0.95})
		}
	}
	s := base
	s.load, s.cancelled = 0.7, 1.0/3
	r := play(s, contenders[0], nil)
	return append(figures, figure{name: s.name + " prefill wasted beyond what cancels had computed", value: r.wasted(), atMost: true})
}

func goodputAt70(load float64) float64 {
	if load < 1 {
		return 0.97
	}
	return 0
}

// inFlood selects arrivals of the flood, after its first seconds.
func inFlood(w *world, j *job) bool {
	third := w.scenario.duration / 3
	since := j.arrival.Sub(epoch)
	return since >= third+10*time.Second && since < 2*third-10*time.Second
}

func measureFloods(base scenario) []figure {
	s := base
	s.load = 0.7
	s.flood = map[int]float64{1: 10}
	rankShare := func(rank int) func(result) float64 {
		return func(r result) float64 { return float64(r.goodRank[rank]) / float64(max(r.offeredRank[rank], 1)) }
	}
	r := play(s, contenders[0], inFlood)
	others, _ := compare(s, inFlood, rankShare(0))
	figures := []figure{{name: s.name + " urgent in target in a standard flood", value: rankShare(0)(r), bound: 0.99, others: others}}

	s.flood = map[int]float64{0: 10}
	r = play(s, contenders[0], inFlood)
	others, _ = compare(s, inFlood, floorServed)
	figures = append(figures, figure{name: s.name + " standard of its floor in an urgent flood", value: floorServed(r), bound: 0.9, others: others})

	s.flood = map[int]float64{0: 10, 1: 10}
	r = play(s, contenders[0], inFlood)
	others, _ = compare(s, inFlood, floorServed)
	figures = append(figures, figure{name: s.name + " standard of its floor in both floods", value: floorServed(r), bound: 0.9, others: others})

	alone := s
	alone.ranks = s.ranks[:1]
	s.flood, s.load, s.idleStandard = map[int]float64{}, 1.3/shareOf(s, 0)*alone.capacity()/s.capacity(), true
	r = play(s, contenders[0], nil)
	lent := float64(r.good) / r.measuredTime().Seconds() / alone.capacity()
	return append(figures, figure{name: s.name + " use of an idle floor", value: lent, bound: 0.95})
}

func shareOf(s scenario, rank int) float64 {
	total := 0.0
	for _, r := range s.ranks {
		total += r.share
	}
	return s.ranks[rank].share / total
}

// workOf is the work of a job in prompt tokens, as the product counts it.
func workOf(j *job) float64 { return float64(j.prompt) + 4*float64(j.output) }

// floorServed is the work served in target of the standard rank, as a part of
// the floor of all work served, or of its demand if that is less.
func floorServed(r result) float64 {
	served, standard, demand := 0.0, 0.0, 0.0
	for _, j := range r.world.jobs {
		if !j.measured || !inFlood(r.world, j) {
			continue
		}
		if j.rank == 1 {
			demand += workOf(j)
		}
		if j.state != stateServed {
			continue
		}
		served += workOf(j)
		if j.rank == 1 && r.world.inTarget(j, r.finished[j]) {
			standard += workOf(j)
		}
	}
	return standard / max(min(floorShare*served, demand), 1)
}

// jain is Jain's fairness index of the work that callers received, each as a
// part of its max-min fair share.
func jain(r result, rank int) float64 {
	got := map[int]float64{}
	want := map[int]float64{}
	for _, j := range r.world.jobs {
		if !j.measured || j.rank != rank {
			continue
		}
		want[j.caller] += workOf(j)
		if j.state == stateServed {
			got[j.caller] += workOf(j)
		}
	}
	total := 0.0
	for _, v := range got {
		total += v
	}
	level := waterLevel(want, total)
	sum, squares := 0.0, 0.0
	for caller, demand := range want {
		x := got[caller] / min(demand, level)
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(want)) * squares)
}

// waterLevel returns the share at which callers' demands, cut there, add up to total.
func waterLevel(want map[int]float64, total float64) float64 {
	low, high := 0.0, total
	for range 60 {
		middle := (low + high) / 2
		sum := 0.0
		for _, demand := range want {
			sum += min(demand, middle)
		}
		if sum < total {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

func measureFairness(base scenario) []figure {
	s := base
	s.load, s.flooder = 1.3, true
	if s.callers > 60 {
		s.callers = 60
	}
	r := play(s, contenders[0], nil)
	others, _ := compare(s, nil, func(r result) float64 { return jain(r, 1) })
	return []figure{{name: s.name + " Jain's index with a flooding caller", value: jain(r, 1), bound: 0.95, others: others}}
}

func measureFailures(base scenario) []figure {
	s := base
	s.load, s.lose = 0.7, 1
	r := play(s, contenders[0], nil)
	others, best := compare(s, nil, result.share)
	figures := []figure{{name: s.name + " goodput with a decode engine lost", value: r.share(), bound: best, others: others}}

	s = base
	s.load, s.frozen = 0.7, true
	r = play(s, contenders[0], nil)
	others, best = compare(s, nil, result.share)
	figures = append(figures, figure{name: s.name + " goodput with reports frozen", value: r.share(), bound: max(best, 0.97), others: others})

	s = base
	s.load = 0.7
	during := func(w *world, j *job) bool {
		since := j.arrival.Sub(epoch) - w.scenario.duration/2
		return since >= 0 && since < secondTime
	}
	single := play(s, contenders[0], during)
	s.secondOwner = true
	double := play(s, contenders[0], during)
	kept := double.share() / single.share()
	figures = append(figures, figure{name: s.name + " goodput with two owners, of one", value: kept, bound: 0.9})
	planner := double.world.policy.(*productPolicy).planner
	return append(figures, figure{name: s.name + " reservations wrong after two owners", value: float64(wrongHolds(double.world, planner)), atMost: true})
}

// wrongHolds compares the planner's account with what the engines run.
func wrongHolds(w *world, planner *dispatch.Planner) int {
	p := w.policy.(*productPolicy)
	wrong := 0
	for _, j := range w.jobs {
		running := j.state == stateDecode && j.firstT.Before(w.now.Add(-time.Second))
		if running && !planner.Holds(p.grants[j]) {
			wrong++
		}
		finished, over := p.finished[j]
		if over && finished.Before(w.now.Add(-time.Second)) && planner.Holds(p.grants[j]) {
			wrong++
		}
	}
	return wrong
}

// fleetOf is the fleet's shard with fewer decode servers and the same prefill
// rate for each of them.
func fleetOf(decode int) scenario {
	s := fleet()
	s.name = fmt.Sprintf("fleet shard of %d", decode)
	s.prefillRate *= float64(s.prefill) / float64(s.decode)
	s.prefill, s.decode = decode, decode
	s.linkRate *= float64(decode) / 8
	s.callers = max(20, s.callers*decode/8)
	return s
}

// shardServers is the number of decode servers in a shard of the fleet.
const shardServers = shard.MaxPlaces / 256

// TestShardSizes holds small shards against the goodput bound, since the size of
// a shard decides how many messages its owner has.
func TestShardSizes(t *testing.T) {
	for _, decode := range []int{1, shardServers, 4, 8} {
		s := fleetOf(decode)
		s.load = 1
		r := play(s, contenders[0], nil)
		capacity := float64(r.good) / r.measuredTime().Seconds() / s.capacity()
		t.Logf("%s: goodput at 100%% of capacity %.4f, of offered %.4f, wasted %.4f", s.name, capacity, r.share(), r.wasted())
		if decode == shardServers && capacity < 0.95 {
			t.Errorf("%s is %.4f of capacity, bound >= 0.95", s.name, capacity)
		}
	}
}
