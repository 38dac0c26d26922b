// Package standin is a program with a command for each external system that the product
// uses: store, engine, plain and hosts. The stand-ins are for demos and tests, and share no
// code with the product.
package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/turmerictide/turmerictide/standin/engine"
	"github.com/turmerictide/turmerictide/standin/hosts"
	"github.com/turmerictide/turmerictide/standin/plain"
	"github.com/turmerictide/turmerictide/standin/storesite"
)

// Run runs the program and returns its exit code.
func Run(arguments []string, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program := &cli.Command{
		Name:     "standin",
		Usage:    "run a stand-in for an external system",
		Commands: []*cli.Command{newStore(), newEngine(), newPlain(), newHosts()},
	}
	if err := program.Run(ctx, arguments); err != nil {
		_, _ = fmt.Fprintln(stderr, "standin:", err)
		return 1
	}
	return 0
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "`ADDRESS` and port to serve on"}
}

// serve serves HTTP requests until ctx is cancelled.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func newStore() *cli.Command {
	return &cli.Command{
		Name: "store", Usage: "the platform's key-value service",
		Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), storesite.NewStore(time.Now).Handler())
		},
	}
}

func newEngine() *cli.Command {
	return &cli.Command{
		Name: "engine", Usage: "a model engine for prefill or decode",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Usage: "`NAME` of the engine"},
			&cli.IntFlag{Name: "places", Value: 8, Usage: "maximum concurrent requests"},
			&cli.IntFlag{Name: "pieces", Value: 64, Usage: "memory pieces of 4,096 tokens"},
			&cli.FloatFlag{Name: "tokens-per-second", Value: 20000, Usage: "prefill rate"},
			&cli.DurationFlag{Name: "token-gap", Value: 5 * time.Millisecond, Usage: "time between two tokens"},
			&cli.IntFlag{Name: "kv-bytes-per-token", Value: 1000, Usage: "size of an exported cache"},
			&cli.FloatFlag{Name: "link-bytes-per-second", Value: 1e9, Usage: "rate of the transfer link"},
			&cli.DurationFlag{Name: "kv-keep", Value: 800 * time.Millisecond, Usage: "time for which an exported cache is kept"},
			&cli.DurationFlag{Name: "report-lag", Value: 500 * time.Millisecond, Usage: "age of load reports"},
			&cli.StringFlag{Name: "order-token", Usage: "reject orders without this `TOKEN`"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "reject orders with an old fencing number"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			e := engine.NewEngine(engine.Config{
				Name: c.String("name"), Places: c.Int("places"), Pieces: c.Int("pieces"),
				TokensPerSecond: c.Float("tokens-per-second"), TokenGap: c.Duration("token-gap"),
				KVBytesPerToken: c.Int("kv-bytes-per-token"), LinkBytesPerSecond: c.Float("link-bytes-per-second"),
				KVKeep: c.Duration("kv-keep"), ReportLag: c.Duration("report-lag"), ChecksFencing: c.Bool("checks-fencing"), OrderToken: c.String("order-token"),
			}, func() { os.Exit(crashExitCode) })
			defer e.Close()
			return serve(ctx, c.String("listen"), e.Handler())
		},
	}
}

// crashExitCode is the exit code of a stand-in that a request has crashed.
const crashExitCode = 42

func newPlain() *cli.Command {
	return &cli.Command{
		Name: "plain", Usage: "a plain service that counts its runs",
		Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), plain.NewService(func() { os.Exit(crashExitCode) }).Handler())
		},
	}
}

func newHosts() *cli.Command {
	return &cli.Command{
		Name: "hosts", Usage: "the list of live and leaving hosts, with a lag",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "lag", Value: time.Second, Usage: "time after which a change is shown"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), hosts.NewList(c.Duration("lag")).Handler())
		},
	}
}
