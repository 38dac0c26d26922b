package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/emulator"
)

// boundedContender is the name of the contender that the bounds apply to.
const boundedContender = "product"

// Verdict compares one bound with the result of the worst seed.
type Verdict struct {
	Figure string  `json:"figure"`
	Worst  float64 `json:"worst"`
	Bound  float64 `json:"bound"`
	Holds  bool    `json:"holds"`
}

// CheckBounds compares the results of the product with the bounds.
func (e Experiment) CheckBounds(results []Result) []Verdict {
	var verdicts []Verdict
	for _, r := range results {
		if r.Contender != boundedContender {
			continue
		}
		addMinimum := func(figure string, bound float64, value func(emulator.Run) float64) {
			if worst := slices.Min(r.values(value)); bound > 0 {
				verdicts = append(verdicts, Verdict{Figure: figure, Worst: worst, Bound: bound, Holds: worst >= bound})
			}
		}
		addMinimum("in target", e.Bounds.InTarget, inTargetShare)
		for i, rank := range e.Scenario.Ranks {
			addMinimum(rank.Rank.Name+" in target", e.Bounds.RankInTarget[i], inTargetShareOf(i))
		}
		addMinimum("of capacity", e.Bounds.InTargetOfCapacity, emulator.Run.InTargetOfCapacity)
		addMinimum("served, of capacity", e.Bounds.ServedOfCapacity, emulator.Run.ServedOfCapacity)
		if worst := slices.Max(r.values(emulator.Run.WastedPrefillShare)); e.Bounds.WastedPrefill > 0 {
			verdicts = append(verdicts, Verdict{Figure: "wasted prefill, at most", Worst: worst, Bound: e.Bounds.WastedPrefill, Holds: worst <= e.Bounds.WastedPrefill})
		}
	}
	return verdicts
}

// header returns the names of the columns of rows.
func (e Experiment) header() []string {
	columns := []string{"contender", "in target"}
	for _, rank := range e.Scenario.Ranks {
		columns = append(columns, rank.Rank.Name)
	}
	return append(columns, "of capacity", "served of capacity", "refused", "wasted prefill", "first token p50", "p99")
}

// rows returns a row for each contender: the mean over all seeds, with the minimum and the
// maximum if there are several.
func (e Experiment) rows(results []Result) [][]string {
	var rows [][]string
	for _, r := range results {
		row := []string{r.Contender, formatMeanAndRange(r.values(inTargetShare))}
		for rank := range e.Scenario.Ranks {
			row = append(row, formatMeanAndRange(r.values(inTargetShareOf(rank))))
		}
		waits := r.firstTokenWaits()
		rows = append(rows, append(row,
			formatMeanAndRange(r.values(emulator.Run.InTargetOfCapacity)), formatMeanAndRange(r.values(emulator.Run.ServedOfCapacity)), formatMeanAndRange(r.values(rejectedShare)), formatMeanAndRange(r.values(emulator.Run.WastedPrefillShare)),
			quantile(0.5, waits).Round(time.Millisecond).String(), quantile(0.99, waits).Round(time.Millisecond).String()))
	}
	return rows
}

func formatMeanAndRange(values []float64) string {
	total := 0.0
	for _, v := range values {
		total += v
	}
	mean := fmt.Sprintf("%.3f", total/float64(len(values)))
	if lowest, highest := slices.Min(values), slices.Max(values); len(values) > 1 {
		return fmt.Sprintf("%s (%.3f to %.3f)", mean, lowest, highest)
	}
	return mean
}

// Table returns the header and the rows of a report. The header is in upper case.
func (e Experiment) Table(results []Result) (header []any, rows [][]any) {
	for _, cell := range e.header() {
		header = append(header, strings.ToUpper(cell))
	}
	for _, cells := range e.rows(results) {
		row := make([]any, len(cells))
		for i, cell := range cells {
			row[i] = cell
		}
		rows = append(rows, row)
	}
	return header, rows
}

// reportFileName is the file name of the page.
const reportFileName = "report.md"

// Report writes the page and its plots into a directory and returns the path of the page. It
// creates the directory if needed.
func (e Experiment) Report(directory string, results []Result) (string, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return "", errors.Newf("create report directory: %w", err)
	}
	var page strings.Builder
	fmt.Fprintf(&page, "# %s\n\nSeeds %v; %s each, %s of which is not judged; %.0f%% of a capacity of %.2f requests a second.\nMeans of all seeds, with the least and the most.\n\n",
		e.Name, e.Seeds, e.Scenario.Duration, e.Scenario.WarmUp, e.Scenario.Load*100, e.Scenario.Capacity())
	writeTable(&page, e.header(), e.rows(results))
	var bounds [][]string
	for _, v := range e.CheckBounds(results) {
		bounds = append(bounds, []string{v.Figure, fmt.Sprintf("%.3f", v.Worst), fmt.Sprintf("%.3f", v.Bound), fmt.Sprint(v.Holds)})
	}
	if len(bounds) > 0 {
		page.WriteString("\n")
		writeTable(&page, []string{"bound of the product", "worst seed", "bound", "holds"}, bounds)
	}
	page.WriteString("\n")
	for _, p := range plots {
		name := p.file + ".svg"
		if err := p.draw(e, results, filepath.Join(directory, name)); err != nil {
			return "", errors.Newf("draw %s: %w", p.title, err)
		}
		fmt.Fprintf(&page, "![%s](%s)\n", p.title, name)
	}
	path := filepath.Join(directory, reportFileName)
	if err := os.WriteFile(path, []byte(page.String()), 0o644); err != nil {
		return "", errors.Newf("write report: %w", err)
	}
	return path, nil
}

func writeTable(page *strings.Builder, header []string, rows [][]string) {
	rule := slices.Repeat([]string{"---"}, len(header))
	for _, row := range append([][]string{header, rule}, rows...) {
		fmt.Fprintf(page, "| %s |\n", strings.Join(row, " | "))
	}
}
