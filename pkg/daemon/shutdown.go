package daemon

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// drainNotice is the time between failing readiness and closing the caller
	// listener, in which the balancer in front takes notice.
	drainNotice = 500 * time.Millisecond
	// closeGrace bounds the work that outlives its request.
	closeGrace = 5 * time.Second
)

// awaitStop returns when ctx ends or a signal to stop arrives, and calls hangUp for
// each SIGHUP until then.
func awaitStop(ctx context.Context, signals <-chan os.Signal, hangUp func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case signal := <-signals:
			if signal != syscall.SIGHUP {
				return
			}
			hangUp()
		}
	}
}

// ErrCut reports a shutdown that cut requests in flight.
var ErrCut = errors.New("requests in flight were cut")

// shutDown drains the daemon: it fails readiness, tells the other daemons that
// it leaves, so that they own its shards, serves what is in flight to the end
// and closes its links last. A second signal or the limit ends the wait.
func (d *Daemon) shutDown(signals <-chan os.Signal) error {
	d.front.SetReady(false)
	d.members.Leave()
	d.log.Info("daemon drains", "serving", d.front.Serving())
	time.Sleep(drainNotice)
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
	d.front.Close(closeGrace)
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
	// balancerNotice is the time in which the platform's balancer stops sending new
	// connections: two looks a second apart, and one on its way.
	balancerNotice = 3200 * time.Millisecond
	// streamNotice is the time after which a daemon that shuts down takes no more streams:
	// one that came later might not end in the time that is left.
	streamNotice = 2500 * time.Millisecond
	// plainWords is the part that is left for plain calls, which last under a second.
	plainWords = 800 * time.Millisecond
	// lastWords is the part of the shutdown time that is left for the end of the
	// process.
	lastWords = 500 * time.Millisecond
)

// shutDown drains the daemon. It goes on taking requests until the balancer has
// noticed that it is not ready, but streams, which may last longer than the time that is
// left, for a shorter time. It ends as soon as those in flight have.
func (d *PlatformDaemon) shutDown(signals <-chan os.Signal) error {
	d.draining.Store(true)
	d.members.Leave()
	d.log.Info("daemon drains", "serving", d.relay.ActiveCalls())
	ctx, cancel := context.WithTimeout(context.Background(), d.shutdownTimeout()-lastWords)
	defer cancel()
	d.await(ctx, signals, streamNotice, cancel)
	d.relay.RejectStreams()
	d.await(ctx, signals, balancerNotice-streamNotice, cancel)
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

// await waits for a part of the shutdown, which a second signal ends.
func (d *PlatformDaemon) await(ctx context.Context, signals <-chan os.Signal, part time.Duration, end func()) {
	select {
	case <-ctx.Done():
	case <-signals:
		end()
	case <-time.After(part):
	}
}

// streamsPeriod spaces the looks at whether streams are in flight.
const streamsPeriod = 20 * time.Millisecond

// awaitStreams returns when no stream is in flight, or shortly before ctx ends.
func (d *PlatformDaemon) awaitStreams(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, max(d.shutdownTimeout()-balancerNotice-lastWords-plainWords, 0))
	defer cancel()
	ticker := time.NewTicker(streamsPeriod)
	defer ticker.Stop()
	for d.relay.ActiveStreams() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
