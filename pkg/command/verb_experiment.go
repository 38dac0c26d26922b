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
		Name: "experiment", Usage: "play a described load on the emulator and report it", ArgsUsage: "FILE...",
		Description: "Plays each FILE over its seeds with the product and the baselines. It ends with\n" +
			"exit code 1 when a bound that a FILE states does not hold.",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "report", Usage: "`DIRECTORY` for a page with plots of each FILE"}},
		Action: runExperiments,
	}
}

// verdict is a bound of one load, as the table and JSON show it.
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
		held, err := runExperiment(c, path)
		if err != nil {
			return errors.Newf("%s: %w", path, err)
		}
		verdicts = append(verdicts, held...)
	}
	broken := 0
	rows := make([][]any, len(verdicts))
	for i, v := range verdicts {
		rows[i] = []any{v.Load, v.Figure, fmt.Sprintf("%.4f", v.Worst), fmt.Sprintf("%.4f", v.Bound), v.Holds}
		if !v.Holds {
			broken++
		}
	}
	if err := output(c, verdicts, []any{"LOAD", "FIGURE", "WORST SEED", "BOUND", "HOLDS"}, rows); err != nil {
		return err
	}
	if broken > 0 {
		return errors.Newf("%d bounds do not hold", broken)
	}
	return nil
}

// runExperiment plays one file and returns its bounds beside what was reached.
func runExperiment(c *cli.Command, path string) ([]verdict, error) {
	e, err := experiment.ReadFile(path)
	if err != nil {
		return nil, err
	}
	results := e.Play()
	if err := writeReport(c, e, results); err != nil {
		return nil, err
	}
	var verdicts []verdict
	for _, v := range e.CheckBounds(results) {
		verdicts = append(verdicts, verdict{Load: e.Name, Verdict: v})
	}
	return verdicts, nil
}

// writeReport writes the page where the flags ask for one, and prints its path.
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
