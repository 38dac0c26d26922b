// Package command implements the command lines of the programs.
//
// Each verb of the tool has a file with its usage text, flags and action. A new
// verb needs such a file and an entry in the list verbs. A verb reads its flags,
// calls the store or the operator listener of a daemon, and writes a table or,
// with --json, one JSON value.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Version is the version of both programs.
const Version = "0.1.0"

// The exit codes of both programs.
const (
	ExitOK        = 0
	ExitFailed    = 1
	ExitRefused   = 2
	ExitUnsettled = 3
)

// verbs lists the verbs of the tool in the order of its help.
var verbs = []func() *cli.Command{
	newTicketCommand,
	newServiceCommand,
	newEndpointCommand,
	newRankCommand,
	newHostCommand,
	newShardCommand,
	newRequestCommand,
	newExperimentCommand,
	newLoadCommand,
	newVersionCommand,
}

// NewTool returns the tool's command line.
func NewTool(stdout, stderr io.Writer) *cli.Command {
	tool := &cli.Command{
		Name: "turmerictide", Usage: "operate turmerictide daemons",
		Version: Version,
		Writer:  stdout, ErrWriter: stderr,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "store", Sources: cli.EnvVars("TURMERICTIDE_STORE"), Usage: "`URL` of the platform's key-value service"},
			&cli.StringSliceFlag{Name: "operator", Sources: cli.EnvVars("TURMERICTIDE_OPERATOR"), Usage: "`ADDRESS` of a daemon's operator listener"},
			&cli.StringFlag{Name: "ca", Sources: cli.EnvVars("TURMERICTIDE_CA"), Usage: "`FILE` with the certificates that sign those of TLS listeners"},
			&cli.StringFlag{Name: "token", Sources: cli.EnvVars("TURMERICTIDE_TOKEN"), Usage: "operator `TOKEN`"},
			&cli.DurationFlag{Name: "timeout", Value: 10 * time.Second, Usage: "`TIME` after which a verb gives up"},
			&cli.BoolFlag{Name: "json", Usage: "write JSON"},
		},
	}
	for _, verb := range verbs {
		tool.Commands = append(tool.Commands, verb())
	}
	return tool
}

// RunTool runs turmerictide and returns its exit code.
func RunTool(arguments []string, stdout, stderr io.Writer) int {
	return exitCode(NewTool(stdout, stderr).Run(context.Background(), arguments), stderr)
}

// exitError is an error with its exit code.
type exitError struct {
	code int
	text string
}

// Error returns the error message.
func (e *exitError) Error() string { return e.text }

func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, err)
	var known *exitError
	if errors.As(err, &known) {
		return known.code
	}
	return ExitFailed
}

// writeTable writes rows in aligned columns.
func writeTable(w io.Writer, header []any, rows [][]any) error {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]any{header}, rows...) {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(writer, "\t")
			}
			_, _ = fmt.Fprint(writer, cell)
		}
		_, _ = fmt.Fprintln(writer)
	}
	return writer.Flush()
}

// writeOutput writes value as JSON if the flag --json is set, and the rows as a table
// otherwise.
func writeOutput(c *cli.Command, value any, header []any, rows [][]any) error {
	if c.Root().Bool("json") {
		encoder := json.NewEncoder(c.Root().Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	return writeTable(c.Root().Writer, header, rows)
}
