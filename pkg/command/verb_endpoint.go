package command

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

func newEndpointCommand() *cli.Command {
	return &cli.Command{
		Name: "endpoint", Usage: "show endpoints, and take them out and in by tickets",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the endpoints of all pools", Action: listEndpoints},
			{Name: "drain", Usage: "apply the next ticket: an endpoint leaves", ArgsUsage: "NAME", Action: leaveAction(true)},
			{Name: "undrain", Usage: "apply the next ticket: an endpoint stays", ArgsUsage: "NAME", Action: leaveAction(false)},
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

// leaveAction returns the action that marks an endpoint as leaving or staying.
func leaveAction(leaving bool) cli.ActionFunc {
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
		return applyNow(ctx, c, s, next)
	}
}
