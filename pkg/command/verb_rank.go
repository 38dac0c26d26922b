package command

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
)

func newRankCommand() *cli.Command {
	return &cli.Command{
		Name: "rank", Usage: "show ranks",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the ranks of all services, the most urgent first", Action: listRanks},
		},
	}
}

func listRanks(ctx context.Context, c *cli.Command) error {
	view, err := fetchStateView(ctx, c)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, service := range view.Services {
		for i, rank := range service.Ranks {
			rows = append(rows, []any{service.Name, i, rank.Name, time.Duration(rank.FirstTokenTarget), time.Duration(rank.TokenGapTarget), rank.Worth, rank.FloorShare})
		}
	}
	sortRows(rows)
	return writeOutput(c, view.Services, []any{"SERVICE", "ORDER", "RANK", "FIRST TOKEN", "TOKEN GAP", "WORTH", "FLOOR"}, rows)
}
