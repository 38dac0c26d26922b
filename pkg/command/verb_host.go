package command

import (
	"context"

	"github.com/urfave/cli/v3"
)

func newHostCommand() *cli.Command {
	return &cli.Command{
		Name: "host", Usage: "show daemons",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the daemons as seen by each queried daemon", Action: listHosts},
		},
	}
}

func listHosts(ctx context.Context, c *cli.Command) error {
	all, err := fetchStatuses(ctx, c)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, status := range all {
		for _, host := range status.Hosts {
			rows = append(rows, []any{status.Host, host.Host, host.AvailabilityZone, host.Peer, host.State})
		}
	}
	return writeOutput(c, all, []any{"SEEN BY", "HOST", "ZONE", "PEER", "STATE"}, rows)
}
