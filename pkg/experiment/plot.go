package experiment

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/turmerictide/turmerictide/pkg/emulator"
)

// plotSpec describes a plot. A plot over time shows only the first seed, because the mean of
// several seeds hides how a run changes.
type plotSpec struct {
	file, title, x, y string
	// lines returns the named lines in drawing order.
	lines func(e Experiment, results []Result) []line
}

type line struct {
	name   string
	points plotter.XYs
}

// plots are the plots of a report.
var plots = []plotSpec{
	{"goodput", "Requests in target", "seconds", "requests a second", goodputLines},
	{"ranks", "Part in target by rank, product", "seconds", "part of the arrivals", rankLines},
	{"refusals", "Refusals", "seconds", "requests a second", rejectionLines},
	{"places", "Decode places in use", "seconds", "requests", placeLines},
	{"waits", "Time to the first token", "seconds", "part of the requests", waitLines},
}

const (
	// plotInterval is the time between two points of a plot.
	plotInterval = 5 * time.Second
	// plotWidth and plotHeight are the size of a plot.
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	// waitPoints is the number of points of a distribution of times to the first token.
	waitPoints = 100
)

func (p plotSpec) draw(e Experiment, results []Result, path string) error {
	graph := plot.New()
	graph.Title.Text, graph.X.Label.Text, graph.Y.Label.Text = p.title, p.x, p.y
	graph.Legend.Top = true
	for i, l := range p.lines(e, results) {
		curve, err := plotter.NewLine(l.points)
		if err != nil {
			return err
		}
		curve.Color = plotutil.Color(i)
		graph.Add(curve)
		graph.Legend.Add(l.name, curve)
	}
	return graph.Save(plotWidth, plotHeight, path)
}

// countByInterval counts the requests that match selects, by the interval of their arrival.
func countByInterval(r emulator.Run, match func(emulator.Request) bool) []float64 {
	counts := make([]float64, int(r.Scenario.Duration/plotInterval)+1)
	for _, request := range r.Requests {
		if match(request) {
			counts[request.Arrival/plotInterval]++
		}
	}
	return counts
}

func timeSeries(values []float64, scale float64) plotter.XYs {
	result := make(plotter.XYs, len(values))
	for i, v := range values {
		result[i].X, result[i].Y = float64(i)*plotInterval.Seconds(), v*scale
	}
	return result
}

func isInTarget(r emulator.Request) bool { return r.InTarget }

func isRejected(r emulator.Request) bool { return r.Outcome == emulator.Rejected }

// rateLines returns a line for each contender with the rate of requests that match selects.
func rateLines(results []Result, match func(emulator.Request) bool) []line {
	var lines []line
	for _, r := range results {
		lines = append(lines, line{r.Contender, timeSeries(countByInterval(r.Runs[0], match), 1/plotInterval.Seconds())})
	}
	return lines
}

func goodputLines(_ Experiment, results []Result) []line {
	arrivals := countByInterval(results[0].Runs[0], func(emulator.Request) bool { return true })
	return append([]line{{"arrivals", timeSeries(arrivals, 1/plotInterval.Seconds())}}, rateLines(results, isInTarget)...)
}

func rejectionLines(_ Experiment, results []Result) []line {
	return rateLines(results, isRejected)
}

func rankLines(e Experiment, results []Result) []line {
	var lines []line
	for rank, load := range e.Scenario.Ranks {
		arrivals := countByInterval(results[0].Runs[0], func(r emulator.Request) bool { return r.Rank == rank })
		inTarget := countByInterval(results[0].Runs[0], func(r emulator.Request) bool { return r.Rank == rank && r.InTarget })
		for i := range inTarget {
			inTarget[i] /= max(arrivals[i], 1)
		}
		lines = append(lines, line{load.Rank.Name, timeSeries(inTarget, 1)})
	}
	return lines
}

func placeLines(e Experiment, results []Result) []line {
	var lines []line
	for _, r := range results {
		running := make(plotter.XYs, len(r.Runs[0].Samples))
		for i, sample := range r.Runs[0].Samples {
			running[i].X, running[i].Y = sample.At.Seconds(), float64(sample.Running)
		}
		lines = append(lines, line{r.Contender, running})
	}
	allPlaces := float64(e.Scenario.Decode * e.Scenario.Places)
	full := plotter.XYs{{X: 0, Y: allPlaces}, {X: e.Scenario.Duration.Seconds(), Y: allPlaces}}
	return append(lines, line{fmt.Sprintf("all %.0f places", allPlaces), full})
}

func waitLines(_ Experiment, results []Result) []line {
	var lines []line
	for _, r := range results {
		waits := r.firstTokenWaits()
		if len(waits) == 0 {
			continue
		}
		distribution := make(plotter.XYs, waitPoints)
		for i := range distribution {
			fraction := float64(i) / waitPoints
			distribution[i].X, distribution[i].Y = quantile(fraction, waits).Seconds(), fraction
		}
		lines = append(lines, line{r.Contender, distribution})
	}
	return lines
}
