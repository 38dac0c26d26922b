package command

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/turmerictide/turmerictide/pkg/trail"
)

func newRequestCommand() *cli.Command {
	return &cli.Command{
		Name: "request", Usage: "show single requests",
		Commands: []*cli.Command{
			{
				Name: "trace", Usage: "print the lines about a request from the logs of all hosts", ArgsUsage: "ID [FILE...]",
				Description: "ID is the caller's attempt ID. Without a FILE the logs are read from standard input.",
				Action:      traceRequest,
			},
		},
	}
}

func traceRequest(_ context.Context, c *cli.Command) error {
	id := c.Args().First()
	if id == "" {
		return errors.New("the request's ID is needed")
	}
	logs := c.Root().Reader
	if paths := c.Args().Tail(); len(paths) > 0 {
		var files []io.Reader
		for _, path := range paths {
			file, err := os.Open(path)
			if err != nil {
				return errors.Newf("open logs: %w", err)
			}
			defer func() { _ = file.Close() }()
			files = append(files, file)
		}
		logs = io.MultiReader(files...)
	}
	found, err := trail.Find(logs, id)
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return errors.Newf("no log line contains the request %s", id)
	}
	rows := make([][]any, len(found))
	for i, l := range found {
		rows[i] = []any{l.At.UTC().Format(time.StampMilli), l.Host, l.Message, l.Text()}
	}
	return writeOutput(c, found, []any{"TIME", "HOST", "EVENT", "FIELDS"}, rows)
}
