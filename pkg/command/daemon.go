package command

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"github.com/turmerictide/turmerictide/pkg/daemon"
	"github.com/turmerictide/turmerictide/pkg/logsink"
	"github.com/turmerictide/turmerictide/pkg/settings"
	"github.com/turmerictide/turmerictide/pkg/trace"
)

// RunDaemon runs turmerictided and returns its exit code.
func RunDaemon(arguments []string, stdout, stderr io.Writer) int {
	program := &cli.Command{
		Name: "turmerictided", Usage: "route requests across prefill and decode pools",
		Version: Version,
		Writer:  stdout, ErrWriter: stderr,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Value: "turmerictided.ini", Usage: "read settings from `FILE`"},
			&cli.StringFlag{Name: "check-settings", Usage: "only check `FILE` and print its faults"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if path := c.String("check-settings"); path != "" {
				return checkSettings(path, stdout)
			}
			return serveDaemon(ctx, c.String("settings"), stdout)
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	return exitCode(program.Run(context.Background(), arguments), stderr)
}

func checkSettings(path string, stdout io.Writer) error {
	if _, err := settings.Load(path); err != nil {
		return err
	}
	_, err := fmt.Fprintln(stdout, "settings are correct")
	return err
}

// newLog returns a logger that writes JSON lines. It drops messages of a level V(n) above
// verbosity.
func newLog(output io.Writer, verbosity int) logr.Logger {
	handler := slog.NewJSONHandler(output, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	return logr.FromSlogHandler(handler)
}

// gcPercent is half of Go's default, so that the heap grows less between garbage
// collections: the daemon has 64 MB on an entry host.
const gcPercent = 50

// memoryLimitFactor is the fraction of the host's memory above which the garbage collector
// runs more often. The rest is for memory that the runtime does not count, such as socket
// buffers.
const memoryLimitFactor = 0.7

// flushTimeout limits the export of the last spans.
const flushTimeout = 3 * time.Second

func serveDaemon(ctx context.Context, path string, stdout io.Writer) error {
	config, defaulted, err := settings.LoadForStart(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if memory := config.Machine.MemoryBytes; memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFactor * float64(memory)))
	}
	sink := logsink.New(stdout, time.Now)
	sinkContext, closeSink := context.WithCancel(context.Background())
	go sink.Serve(sinkContext)
	defer func() {
		closeSink()
		<-sink.Done()
	}()
	log := newLog(sink, config.Log.Verbosity).WithValues("host", config.Daemon.Host, "availability_zone", config.Daemon.AvailabilityZone)
	for _, fault := range defaulted {
		log.Info("setting is wrong, its default is used", "section", fault.Section, "key", fault.Key, "value", fault.Value, "allowed", fault.Allowed)
	}
	flush, err := trace.Install(ctx, config.Trace, config.Daemon)
	if err != nil {
		return err
	}
	d, err := newDaemon(path, config, log)
	if err != nil {
		return errors.Newf("build daemon: %w", err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	log.Info("daemon starts", "version", Version, "protocol", config.Platform.Protocol, "settings", path)
	result := d.Run(ctx, signals)
	log.Info("daemon stops")
	flushContext, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	return errors.CombineErrors(result, flush(flushContext))
}

// runner is a Daemon or a PlatformDaemon.
type runner interface {
	Run(ctx context.Context, signals <-chan os.Signal) error
}

func newDaemon(path string, config settings.Settings, log logr.Logger) (runner, error) {
	if config.Platform.Protocol == settings.ProtocolPlatform {
		return daemon.NewPlatformDaemon(path, config, log, time.Now)
	}
	return daemon.NewDaemon(config, log, time.Now)
}
