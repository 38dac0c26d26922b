package command

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/turmerictide/turmerictide/pkg/emulator"
	"github.com/turmerictide/turmerictide/pkg/experiment"
	"github.com/turmerictide/turmerictide/pkg/load"
)

func newLoadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send the load that a FILE describes to running daemons and report the results", ArgsUsage: "FILE",
		Description: "Sends the requests that an experiment generates from the FILE's first seed, and measures\n" +
			"them at the caller. Fractions of capacity refer to the engines that the FILE describes.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "caller", Usage: "`ADDRESS` of a daemon's caller listener", Required: true},
			&cli.StringFlag{Name: "caller-token", Sources: cli.EnvVars("TURMERICTIDE_CALLER_TOKEN"), Usage: "bearer `TOKEN` of the callers"},
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model", Required: true},
			&cli.DurationFlag{Name: "limit", Value: time.Minute, Usage: "`TIME` after which a caller gives up"},
			&cli.StringFlag{Name: "report", Usage: "`DIRECTORY` for a page with plots"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	path := c.Args().First()
	if path == "" {
		return errors.New("the load's FILE is needed")
	}
	e, err := experiment.ReadFile(path)
	if err != nil {
		return err
	}
	client, scheme, err := newHTTPClient(c)
	if err != nil {
		return err
	}
	generator := &load.Generator{
		Scheme: scheme, Client: client,
		Token: c.String("caller-token"), Model: c.String("model"), AttemptTimeout: c.Duration("limit"),
	}
	for _, text := range c.StringSlice("caller") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return errors.Newf("parse address of a daemon: %w", err)
		}
		generator.Daemons = append(generator.Daemons, address)
	}
	e.Seeds = e.Seeds[:1]
	e.Scenario.Seed = e.Seeds[0]
	results := []experiment.Result{{Contender: "site", Runs: []emulator.Run{generator.Run(ctx, e.Scenario)}}}
	if err := writeReport(c, e, results); err != nil {
		return err
	}
	header, rows := e.Table(results)
	return writeOutput(c, rows, header, rows)
}
