package daemon

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// closeListenerDelay is the time between failing readiness and closing the caller
	// listener, in which the load balancer stops sending new connections.
	closeListenerDelay = 500 * time.Millisecond
	// closeTimeout limits the wait for work that continues after its request.
	closeTimeout = 5 * time.Second
)

// awaitStop returns when ctx ends or a signal to stop arrives, and calls onHangUp for
// each SIGHUP until then.
func awaitStop(ctx context.Context, signals <-chan os.Signal, onHangUp func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case signal := <-signals:
			if signal != syscall.SIGHUP {
				return
			}
			onHangUp()
		}
	}
}

// ErrCut is returned after a shutdown that interrupted requests in flight.
var ErrCut = errors.New("requests in flight were cut")

// shutDown drains the daemon. It fails readiness and notifies the other daemons that it is
// leaving, so that they take over its shards. It then completes the requests in flight, and
// closes the links last. A signal or the shutdown timeout ends the wait for the requests.
func (d *Daemon) shutDown(signals <-chan os.Signal) error {
	d.front.SetReady(false)
	d.members.Leave()
	d.log.Info("daemon drains", "serving", d.front.Serving())
	time.Sleep(closeListenerDelay)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Limits.ShutdownTimeout)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := d.caller.server.Shutdown(ctx)
	cut := d.front.Serving()
	_ = d.caller.server.Close()
	d.front.Close(closeTimeout)
	d.canceller.Close()
	d.keeper.Close()
	_ = d.router.Close()
	_ = d.mesh.Close()
	_ = d.operator.server.Close()
	_ = d.peer.server.Close()
	if err != nil {
		d.log.Error(ErrCut, "shutdown was ended early", "cut", cut)
		return errors.Newf("%d: %w", cut, ErrCut)
	}
	d.log.Info("daemon has drained")
	return nil
}

const (
	// balancerDelay is the time in which the platform's load balancer stops sending new
	// connections: two checks a second apart, and one in transit.
	balancerDelay = 3200 * time.Millisecond
	// rejectStreamsDelay is the time after which a daemon that shuts down rejects new
	// streams. A stream that starts later might not finish in the remaining time.
	rejectStreamsDelay = 2500 * time.Millisecond
	// plainCallReserve is the part of the shutdown timeout that is reserved for plain
	// calls, which take less than a second.
	plainCallReserve = 800 * time.Millisecond
	// exitReserve is the part of the shutdown timeout that is reserved for the exit of the
	// process.
	exitReserve = 500 * time.Millisecond
)

// shutDown drains the daemon. It accepts requests until the load balancer has detected
// that the daemon is not ready. It rejects streams earlier, since they may take longer
// than the remaining time. It returns when the requests in flight have completed, when
// the shutdown timeout expires or when a signal arrives during the delays.
func (d *PlatformDaemon) shutDown(signals <-chan os.Signal) error {
	d.draining.Store(true)
	d.members.Leave()
	d.log.Info("daemon drains", "serving", d.relay.ActiveCalls())
	ctx, cancel := context.WithTimeout(context.Background(), d.shutdownTimeout()-exitReserve)
	defer cancel()
	d.waitOrCancel(ctx, signals, rejectStreamsDelay, cancel)
	d.relay.RejectStreams()
	d.waitOrCancel(ctx, signals, balancerDelay-rejectStreamsDelay, cancel)
	d.awaitStreams(ctx)
	d.caller.close()
	err := d.callers.drain(ctx)
	cut := d.relay.ActiveCalls()
	_ = d.caller.server.Close()
	d.pool.Close()
	_ = d.router.Close()
	_ = d.mesh.Close()
	for _, l := range []*listener{d.ready, d.metric, d.peer} {
		_ = l.server.Close()
	}
	if err != nil {
		d.log.Error(ErrCut, "shutdown was ended early", "cut", cut)
		return errors.Newf("%d: %w", cut, ErrCut)
	}
	d.log.Info("daemon has drained")
	return nil
}

// waitOrCancel returns after duration or when ctx ends. A signal calls cancel and ends the wait.
func (d *PlatformDaemon) waitOrCancel(ctx context.Context, signals <-chan os.Signal, duration time.Duration, cancel func()) {
	select {
	case <-ctx.Done():
	case <-signals:
		cancel()
	case <-time.After(duration):
	}
}

// streamPollInterval is the interval between checks whether streams are in flight.
const streamPollInterval = 20 * time.Millisecond

// awaitStreams returns when no stream is in flight or ctx ends. It returns early enough to
// leave plainCallReserve and exitReserve of the shutdown timeout.
func (d *PlatformDaemon) awaitStreams(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, max(d.shutdownTimeout()-balancerDelay-exitReserve-plainCallReserve, 0))
	defer cancel()
	ticker := time.NewTicker(streamPollInterval)
	defer ticker.Stop()
	for d.relay.ActiveStreams() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
