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
	// newConnectionTimeout is the time after which a draining daemon closes a new
	// connection that has received nothing. A caller opens a connection when it has a
	// request, so the request arrives within this time.
	newConnectionTimeout = time.Second
	// drainPollInterval is the interval between checks of the connections while the daemon
	// drains.
	drainPollInterval = 20 * time.Millisecond
)

// callerConnections tracks the state of callers' connections and the time of its last
// change. It replaces the idle timeout of the HTTP server for two reasons: that timeout is
// fixed at the start, while the operators may change theirs at any time, and it may close a
// connection while the next request is being read.
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

// setState is the ConnState callback of the server for callers.
func (c *callerConnections) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	c.open[conn] = connState{state: state, since: c.now()}
}

// closeIdle closes the connections that have been idle for longer than limit.
func (c *callerConnections) closeIdle(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.open {
		if s.state == http.StateIdle && now.Sub(s.since) > limit {
			connection.CloseIfIdle(conn)
		}
	}
}

// drain closes each connection after the response to its request, and returns when none
// is left.
func (c *callerConnections) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for c.closeInactive(c.now()) > 0 {
		select {
		case <-ctx.Done():
			return errors.Newf("wait for responses: %w", ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// closeInactive closes the connections on which no request is being read or served. It
// returns the number of connections that were open before.
func (c *callerConnections) closeInactive(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.open {
		if s.state == http.StateIdle || (s.state == http.StateNew && now.Sub(s.since) > newConnectionTimeout) {
			connection.CloseIfIdle(conn)
		}
	}
	return len(c.open)
}
