package command

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

func newEndpointCommand() *cli.Command {
	return &cli.Command{
		Name: "endpoint", Usage: "show endpoints, and drain and undrain them by tickets",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the endpoints of all pools", Action: listEndpoints},
			{Name: "drain", Usage: "apply the next ticket, which marks an endpoint as leaving", ArgsUsage: "NAME", Action: newLeavingAction(true)},
			{Name: "undrain", Usage: "apply the next ticket, which marks an endpoint as not leaving", ArgsUsage: "NAME", Action: newLeavingAction(false)},
		},
	}
}

func listEndpoints(ctx context.Context, c *cli.Command) error {
	view, err := fetchStateView(ctx, c)
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
	return writeOutput(c, view.Pools, []any{"SERVICE", "POOL", "ZONE", "ROLE", "ENDPOINT", "ADDRESS", "PLACES", "LEAVING"}, rows)
}

// newLeavingAction returns the action that applies the next ticket, in which an endpoint is
// marked as leaving or not.
func newLeavingAction(leaving bool) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		name := c.Args().First()
		if name == "" {
			return errors.New("the endpoint's NAME is needed")
		}
		s, err := openStore(c)
		if err != nil {
			return err
		}
		state, err := ticket.ReadState(ctx, s)
		if err != nil {
			return err
		}
		next, err := state.LeavingTicket(name, leaving)
		if err != nil {
			return err
		}
		return applyAndReport(ctx, c, s, next)
	}
}
