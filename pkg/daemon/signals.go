package daemon

import (
	"context"
	"os"
	"syscall"
)

// stopSignals are the signals that a process receives, from their only reader.
type stopSignals struct {
	// stop is closed by the first signal to stop, and abort by the second one.
	stop  chan struct{}
	abort chan struct{}
	done  chan struct{}
}

// readSignals reads signals until ctx is done. It calls onHangUp for each SIGHUP, which ends no
// wait. Any other signal is one to stop.
func readSignals(ctx context.Context, signals <-chan os.Signal, onHangUp func()) *stopSignals {
	s := &stopSignals{stop: make(chan struct{}), abort: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for count := 0; ; {
			select {
			case <-ctx.Done():
				return
			case signal := <-signals:
				if signal == syscall.SIGHUP {
					onHangUp()
					continue
				}
			}
			count++
			switch count {
			case 1:
				close(s.stop)
			case 2:
				close(s.abort)
			}
		}
	}()
	return s
}

// await returns when a signal to stop arrives or ctx ends.
func (s *stopSignals) await(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.stop:
	}
}

// withAbort returns a context that ends with ctx and at the second signal to stop.
func (s *stopSignals) withAbort(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-ctx.Done():
		case <-s.abort:
			cancel()
		}
	}()
	return ctx, cancel
}
