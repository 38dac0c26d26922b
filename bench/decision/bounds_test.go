// Package decision_test holds the bounds of the product's decisions: it plays loads on the
// emulator beside simpler policies, prints a table of figures and fails when a bound breaks.
package decision_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/turmerictide/turmerictide/pkg/emulator"
	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

func ranks(urgent, standard, urgentGap, standardGap time.Duration) []ticket.Rank {
	return []ticket.Rank{
		{Name: "urgent", FirstTokenTarget: ticket.Duration(urgent), TokenGapTarget: ticket.Duration(urgentGap), Worth: 10},
		{Name: "standard", FirstTokenTarget: ticket.Duration(standard), TokenGapTarget: ticket.Duration(standardGap), Worth: 1, FloorShare: floorShare},
	}
}

const floorShare = 0.2

// cairo is one firm's site of today: 3 prefill and 7 decode servers.
func cairo() emulator.Scenario {
	r := ranks(1500*time.Millisecond, 10*time.Second, 50*time.Millisecond, 100*time.Millisecond)
	return emulator.Scenario{
		Name: "cairo", Prefill: 3, Decode: 7, PrefillRate: 12000, Places: 12, Pieces: 48,
		GapBase: 25 * time.Millisecond, GapSlope: 1250 * time.Microsecond, KVBytesPerToken: 100_000, LinkRate: 10e9,
		Ranks: []emulator.RankLoad{
			{Rank: r[0], Share: 0.25, PromptMean: 1500, PromptLimit: 6000, OutputMean: 200},
			{Rank: r[1], Share: 0.75, PromptMean: 3000, PromptLimit: 24000, OutputMean: 300},
		},
		OutputLimit: 1024, Callers: 24, Duration: 10 * time.Minute, WarmUp: time.Minute, Seed: 11,
	}
}

// norte reads long dossiers for output of about the same length.
func norte() emulator.Scenario {
	s := cairo()
	r := ranks(2*time.Second, 15*time.Second, 50*time.Millisecond, 120*time.Millisecond)
	s.Name, s.Seed = "norte", 12
	s.Prefill, s.Decode, s.Places = 4, 6, 10
	s.Ranks = []emulator.RankLoad{
		{Rank: r[0], Share: 0.3, PromptMean: 2500, PromptLimit: 9000, OutputMean: 250},
		{Rank: r[1], Share: 0.7, PromptMean: 5000, PromptLimit: 30000, OutputMean: 250},
	}
	return s
}

// fleet is one shard of the fleet of two years.
func fleet() emulator.Scenario {
	s := cairo()
	r := ranks(400*time.Millisecond, 2*time.Second, 44*time.Millisecond, 80*time.Millisecond)
	s.Name, s.Seed = "fleet", 13
	s.Prefill, s.Decode, s.Places, s.Pieces = 5, 8, 256, 1024
	s.PrefillRate, s.KVBytesPerToken, s.LinkRate = 150_000, 100_000, 200e9
	s.GapBase, s.GapSlope = 20*time.Millisecond, 80*time.Microsecond
	s.Ranks = []emulator.RankLoad{
		{Rank: r[0], Share: 0.3, PromptMean: 3000, PromptLimit: 24000, OutputMean: 471},
		{Rank: r[1], Share: 0.7, PromptMean: 5500, PromptLimit: 60000, OutputMean: 471},
	}
	s.OutputLimit, s.Callers, s.Duration, s.WarmUp = 2048, 300, 5*time.Minute, time.Minute
	return s
}

// product is the contender that the bounds are for.
var product = emulator.Contenders[0]

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
	for _, measured := range measureAll([]emulator.Scenario{cairo(), norte(), fleet()}) {
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
func measureAll(bases []emulator.Scenario) [][]figure {
	measurements := []func(emulator.Scenario) []figure{measureLoads, measureFloods, measureFairness, measureFailures}
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
func compare(s emulator.Scenario, value func(emulator.Run) float64) (string, float64) {
	var text []string
	best := 0.0
	for _, c := range emulator.Contenders[1:] {
		v := value(emulator.Play(s, c))
		best = max(best, v)
		text = append(text, fmt.Sprintf("%s %.4f", c.Name, v))
	}
	return strings.Join(text, ", "), best
}

func shareOfAll(r emulator.Run) float64 { return r.InTargetShare(nil) }

func measureLoads(base emulator.Scenario) []figure {
	var figures []figure
	for _, load := range []float64{0.7, 1, 1.3} {
		s := base
		s.Load = load
		r := emulator.Play(s, product)
		others, best := compare(s, shareOfAll)
		name := fmt.Sprintf("%s goodput at %.0f%%", s.Name, load*100)
		figures = append(figures,
			figure{name: name + ", of offered", value: r.InTargetShare(nil), bound: max(best, goodputAt70(load)), others: others},
			figure{name: name + ", wasted prefill", value: r.WastedPrefillShare(), bound: 0.01, atMost: true})
		if load >= 1 {
			figures = append(figures, figure{name: name + ", of capacity", value: r.InTargetOfCapacity(), bound: 0.95})
		}
	}
	s := base
	s.Load, s.CancelledShare = 0.7, 1.0/3
	r := emulator.Play(s, product)
	return append(figures, figure{name: s.Name + " prefill wasted beyond what cancels had computed", value: r.WastedPrefillShare(), atMost: true})
}

func goodputAt70(load float64) float64 {
	if load < 1 {
		return 0.97
	}
	return 0
}

// flood multiplies the arrivals of ranks by ten in the middle third.
func flood(s emulator.Scenario, ranks ...int) emulator.Scenario {
	third := s.Duration / 3
	s.Bursts = nil
	for _, rank := range ranks {
		s.Bursts = append(s.Bursts, emulator.Burst{Rank: rank, From: third, Duration: third, Factor: 10})
	}
	return s
}

// inFlood selects arrivals of the flood, after its first seconds.
func inFlood(s emulator.Scenario, r emulator.Request) bool {
	third := s.Duration / 3
	return r.Arrival >= third+10*time.Second && r.Arrival < 2*third-10*time.Second
}

// urgentInFlood returns the urgent requests of a flood that were served in target.
func urgentInFlood(r emulator.Run) float64 {
	return r.InTargetShare(func(request emulator.Request) bool { return request.Rank == 0 && inFlood(r.Scenario, request) })
}

func measureFloods(base emulator.Scenario) []figure {
	base.Load = 0.7
	s := flood(base, 1)
	r := emulator.Play(s, product)
	others, _ := compare(s, urgentInFlood)
	figures := []figure{{name: s.Name + " urgent in target in a standard flood", value: urgentInFlood(r), bound: 0.99, others: others}}

	s = flood(base, 0)
	r = emulator.Play(s, product)
	others, _ = compare(s, floorServed)
	figures = append(figures, figure{name: s.Name + " standard of its floor in an urgent flood", value: floorServed(r), bound: 0.9, others: others})

	s = flood(base, 0, 1)
	r = emulator.Play(s, product)
	others, _ = compare(s, floorServed)
	figures = append(figures, figure{name: s.Name + " standard of its floor in both floods", value: floorServed(r), bound: 0.9, others: others})

	alone := base
	alone.Ranks = base.Ranks[:1]
	s = base
	s.Load = 1.3 / shareOf(base, 0) * alone.Capacity() / base.Capacity()
	s.Bursts = []emulator.Burst{{Rank: 1, Duration: s.Duration, Factor: 0}}
	r = emulator.Play(s, product)
	lent := r.InTargetOfCapacity() * s.Capacity() / alone.Capacity()
	return append(figures, figure{name: s.Name + " use of an idle floor", value: lent, bound: 0.95})
}

func shareOf(s emulator.Scenario, rank int) float64 {
	total := 0.0
	for _, r := range s.Ranks {
		total += r.Share
	}
	return s.Ranks[rank].Share / total
}

// workOf is the work of a request in prompt tokens, as the product counts it.
func workOf(r emulator.Request) float64 { return float64(r.Prompt) + 4*float64(r.Output) }

// floorServed is the work served in target of the standard rank, as a part of
// the floor of all work served, or of its demand if that is less.
func floorServed(r emulator.Run) float64 {
	served, standard, demand := 0.0, 0.0, 0.0
	for _, request := range r.Requests {
		if !request.Measured || !inFlood(r.Scenario, request) {
			continue
		}
		if request.Rank == 1 {
			demand += workOf(request)
		}
		if request.Outcome != emulator.Served {
			continue
		}
		served += workOf(request)
		if request.Rank == 1 && request.InTarget {
			standard += workOf(request)
		}
	}
	return standard / max(min(floorShare*served, demand), 1)
}

// jain is Jain's fairness index of the work that callers of the standard rank received,
// each as a part of its max-min fair share.
func jain(r emulator.Run) float64 {
	got := map[int]float64{}
	want := map[int]float64{}
	for _, request := range r.Requests {
		if !request.Measured || request.Rank != 1 {
			continue
		}
		want[request.Caller] += workOf(request)
		if request.Outcome == emulator.Served {
			got[request.Caller] += workOf(request)
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

func measureFairness(base emulator.Scenario) []figure {
	s := base
	s.Load, s.FloodingCaller = 1.3, true
	if s.Callers > 60 {
		s.Callers = 60
	}
	r := emulator.Play(s, product)
	others, _ := compare(s, jain)
	return []figure{{name: s.Name + " Jain's index with a flooding caller", value: jain(r), bound: 0.95, others: others}}
}

// secondTime is the time for which two dispatchers believe that they own the shard.
const secondTime = 10 * time.Second

func measureFailures(base emulator.Scenario) []figure {
	s := base
	s.Load, s.DecodeCrashes = 0.7, 1
	r := emulator.Play(s, product)
	others, best := compare(s, shareOfAll)
	figures := []figure{{name: s.Name + " goodput with a decode engine lost", value: r.InTargetShare(nil), bound: best, others: others}}

	s = base
	s.Load, s.FrozenReports = 0.7, true
	r = emulator.Play(s, product)
	others, best = compare(s, shareOfAll)
	figures = append(figures, figure{name: s.Name + " goodput with reports frozen", value: r.InTargetShare(nil), bound: max(best, 0.97), others: others})

	s = base
	s.Load = 0.7
	during := func(request emulator.Request) bool {
		since := request.Arrival - s.Duration/2
		return since >= 0 && since < secondTime
	}
	single := emulator.Play(s, product)
	s.SecondOwner = true
	double := emulator.Play(s, product)
	kept := double.InTargetShare(during) / single.InTargetShare(during)
	return append(figures,
		figure{name: s.Name + " goodput with two owners, of one", value: kept, bound: 0.9},
		figure{name: s.Name + " reservations wrong after two owners", value: float64(double.HoldMismatches), atMost: true})
}

// fleetOf is the fleet's shard with fewer decode servers and the same prefill
// rate for each of them.
func fleetOf(decode int) emulator.Scenario {
	s := fleet()
	s.Name = fmt.Sprintf("fleet shard of %d", decode)
	s.PrefillRate *= float64(s.Prefill) / float64(s.Decode)
	s.Prefill, s.Decode = decode, decode
	s.LinkRate *= float64(decode) / 8
	s.Callers = max(20, s.Callers*decode/8)
	return s
}

// shardServers is the number of decode servers in a shard of the fleet.
const shardServers = shard.MaxPlaces / 256

// TestShardSizes holds small shards against the goodput bound, since the size of
// a shard decides how many messages its owner has.
func TestShardSizes(t *testing.T) {
	for _, decode := range []int{1, shardServers, 4, 8} {
		s := fleetOf(decode)
		s.Load = 1
		r := emulator.Play(s, product)
		t.Logf("%s: goodput at 100%% of capacity %.4f, of offered %.4f, wasted %.4f", s.Name, r.InTargetOfCapacity(), r.InTargetShare(nil), r.WastedPrefillShare())
		if decode == shardServers && r.InTargetOfCapacity() < 0.95 {
			t.Errorf("%s is %.4f of capacity, bound >= 0.95", s.Name, r.InTargetOfCapacity())
		}
	}
}
