package command

import (
	"context"

	"github.com/urfave/cli/v3"
)

func newShardCommand() *cli.Command {
	return &cli.Command{
		Name: "shard", Usage: "show shards",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the shards that the queried daemons own", Action: listShards},
		},
	}
}

func listShards(ctx context.Context, c *cli.Command) error {
	all, err := fetchStatuses(ctx, c)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, status := range all {
		for _, s := range status.Shards {
			rows = append(rows, []any{s.Shard, status.Host, s.Owned, s.Queued, s.Held, s.DecodeUsed, s.DecodeLimit})
		}
	}
	sortRows(rows)
	return writeOutput(c, all, []any{"SHARD", "HOST", "OWNED", "QUEUED", "HELD", "USED", "LIMIT"}, rows)
}
