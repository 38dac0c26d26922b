package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/connection"
)

const (
	// newTime is the time that a connection on which nothing came is given when the daemon
	// drains: a caller opens one when it has a request.
	newTime = time.Second
	// drainPeriod spaces the looks at connections while the daemon drains.
	drainPeriod = 20 * time.Millisecond
)

// callerConnections knows the connections of callers and since when they are idle, because
// the operators may change how long they may be, and because one whose next request is being
// read must not be closed.
type callerConnections struct {
	now func() time.Time

	mu   sync.Mutex
	open map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

func newCallerConnections(now func() time.Time) *callerConnections {
	return &callerConnections{now: now, open: map[net.Conn]connState{}}
}

// note is the ConnState of the server of callers.
func (c *callerConnections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	c.open[conn] = connState{state: state, since: c.now()}
}

// sweep ends the connections that have been idle for longer than a limit.
func (c *callerConnections) sweep(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, known := range c.open {
		if known.state == http.StateIdle && now.Sub(known.since) > limit {
			connection.CloseIfIdle(conn)
		}
	}
}

// drain ends each connection once its request is answered, and returns when none is left.
func (c *callerConnections) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPeriod)
	defer ticker.Stop()
	for c.endQuiet(c.now()) > 0 {
		select {
		case <-ctx.Done():
			return errors.Newf("await answers: %w", ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// endQuiet ends the connections on which no request is being read or answered, and returns
// the number of all that are open.
func (c *callerConnections) endQuiet(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, known := range c.open {
		if known.state == http.StateIdle || (known.state == http.StateNew && now.Sub(known.since) > newTime) {
			connection.CloseIfIdle(conn)
		}
	}
	return len(c.open)
}
