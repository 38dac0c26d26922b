package command

import (
	"context"

	"github.com/urfave/cli/v3"
)

func newEndpointCommand() *cli.Command {
	return &cli.Command{
		Name: "endpoint", Usage: "show endpoints",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the endpoints of all pools", Action: listEndpoints},
		},
	}
}

func listEndpoints(ctx context.Context, c *cli.Command) error {
	view, err := stateView(ctx, c)
	if err != nil {
		return err
	}
	var rows [][]any
	for name, pool := range view.Pools {
		for _, endpoint := range pool.Endpoints {
			rows = append(rows, []any{pool.Service, name, pool.AvailabilityZone, pool.Role, endpoint.Name, endpoint.Address, endpoint.Places, endpoint.Leaving})
		}
	}
	sortRows(rows)
	return output(c, view.Pools, []any{"SERVICE", "POOL", "ZONE", "ROLE", "ENDPOINT", "ADDRESS", "PLACES", "LEAVING"}, rows)
}
