package daemon

import (
	"context"
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

// ErrCut is returned after a shutdown that interrupted requests in flight.
var ErrCut = errors.New("requests in flight were cut")

// shutDown drains the daemon. It fails readiness and notifies the other daemons that it is
// leaving, so that they take over its shards. It then completes the requests in flight, and
// closes the links last. The second signal to stop or the shutdown timeout ends the wait for the
// requests.
func (d *Daemon) shutDown(signals *stopSignals) error {
	d.front.SetReady(false)
	d.members.Leave()
	d.log.Info("daemon drains", "serving", d.front.Serving())
	abortCtx, cancelAbort := signals.withAbort(context.Background())
	defer cancelAbort()
	wait(abortCtx, closeListenerDelay)
	ctx, cancel := context.WithTimeout(abortCtx, d.settings.Limits.ShutdownTimeout)
	defer cancel()
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
	// earlyStreamDelay is the time in which a draining daemon accepts streams of which most are
	// served to their end. The load balancer sends few later.
	earlyStreamDelay = 2500 * time.Millisecond
	// closeReserve is the part of the shutdown timeout that is reserved for closing the
	// connections of callers after their last responses.
	closeReserve = 800 * time.Millisecond
	// exitReserve is the part of the shutdown timeout that is reserved for the exit of the
	// process. Its first part, answerReserve, is for the final responses to calls without one.
	exitReserve   = 500 * time.Millisecond
	answerReserve = 200 * time.Millisecond
)

// shutDown drains the daemon. It accepts connections until the load balancer has detected that
// the daemon is not ready, and the requests that fit into the time that is left. It returns when
// the requests in flight have completed, when the shutdown timeout expires or at the second
// signal to stop. Requests without a response then get a final one; streams that have begun are cut.
// A reload changes the timeout of the next shutdown only.
func (d *PlatformDaemon) shutDown(signals *stopSignals) error {
	timeout := d.shutdownTimeout() - exitReserve
	d.draining.Store(true)
	now := d.now()
	d.relay.Drain(now.Add(earlyStreamDelay), now.Add(timeout))
	d.members.Leave()
	d.log.Info("daemon drains", "serving", d.relay.ActiveCalls())
	abortCtx, cancelAbort := signals.withAbort(context.Background())
	defer cancelAbort()
	ctx, cancel := context.WithTimeout(abortCtx, timeout)
	defer cancel()
	wait(ctx, balancerDelay)
	d.awaitStreams(ctx, timeout-balancerDelay-closeReserve)
	d.caller.close()
	err := d.callers.drain(ctx)
	cut := 0
	if err != nil {
		cut = d.interruptCalls()
	}
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

// interruptCalls sends final responses to the calls without one, and waits for answerReserve at most. It
// returns the number of these calls and of the streams that are still in flight.
func (d *PlatformDaemon) interruptCalls() int {
	ctx, cancel := context.WithTimeout(context.Background(), answerReserve)
	defer cancel()
	interrupted := d.relay.Interrupt()
	if d.callers.drain(ctx) == nil {
		return interrupted
	}
	return interrupted + d.relay.ActiveCalls()
}

// wait returns after a duration or when ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// streamPollInterval is the interval between checks whether streams are in flight.
const streamPollInterval = 20 * time.Millisecond

// awaitStreams returns when no stream is in flight, after timeout or when ctx ends.
func (d *PlatformDaemon) awaitStreams(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, max(timeout, 0))
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
