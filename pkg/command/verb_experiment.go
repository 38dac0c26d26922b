package command

import (
	"context"
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/turmerictide/turmerictide/pkg/experiment"
)

func newExperimentCommand() *cli.Command {
	return &cli.Command{
		Name: "experiment", Usage: "run the load that a FILE describes on the emulator and report the results", ArgsUsage: "FILE...",
		Description: "Runs each FILE with all of its seeds, on the product and on the baselines. The exit\n" +
			"code is 1 if a bound in a FILE does not hold.",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "report", Usage: "`DIRECTORY` for a page with plots of each FILE"}},
		Action: runExperiments,
	}
}

// verdict is the result for a bound of one load, as in the table and in JSON.
type verdict struct {
	Load string `json:"load"`
	experiment.Verdict
}

func runExperiments(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("the load's FILE is needed")
	}
	var verdicts []verdict
	for _, path := range c.Args().Slice() {
		results, err := runExperiment(c, path)
		if err != nil {
			return errors.Newf("%s: %w", path, err)
		}
		verdicts = append(verdicts, results...)
	}
	violations := 0
	rows := make([][]any, len(verdicts))
	for i, v := range verdicts {
		rows[i] = []any{v.Load, v.Figure, fmt.Sprintf("%.4f", v.Worst), fmt.Sprintf("%.4f", v.Bound), v.Holds}
		if !v.Holds {
			violations++
		}
	}
	if err := writeOutput(c, verdicts, []any{"LOAD", "FIGURE", "WORST SEED", "BOUND", "HOLDS"}, rows); err != nil {
		return err
	}
	if violations > 0 {
		return errors.Newf("%d bounds do not hold", violations)
	}
	return nil
}

// runExperiment runs one file and returns its bounds with the measured values.
func runExperiment(c *cli.Command, path string) ([]verdict, error) {
	e, err := experiment.ReadFile(path)
	if err != nil {
		return nil, err
	}
	results := e.Run()
	if err := writeReport(c, e, results); err != nil {
		return nil, err
	}
	var verdicts []verdict
	for _, v := range e.CheckBounds(results) {
		verdicts = append(verdicts, verdict{Load: e.Name, Verdict: v})
	}
	return verdicts, nil
}

// writeReport writes the report page if the flag report is set, and prints its path.
func writeReport(c *cli.Command, e experiment.Experiment, results []experiment.Result) error {
	directory := c.String("report")
	if directory == "" {
		return nil
	}
	page, err := e.Report(filepath.Join(directory, e.Name), results)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Root().Writer, page)
	return err
}
