package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/connection"
)

// exchangeConn is a connection that carries one exchange. It ends with an orderly close after a complete
// exchange, and with a reset otherwise: what a connection that is closed in order has not delivered is sent
// again by the kernel, also after the call was given up.
type exchangeConn struct {
	*connection.OrderlyConn
	// isInUse is set when a request gets the connection. Its exchange then closes the socket.
	isInUse atomic.Bool
	endOnce sync.Once

	mu sync.Mutex
	// recorded are the first bytes that were read, with the head of the response, until isHeadRead is set.
	recorded   []byte
	isHeadRead bool
}

// Read reads from the connection.
func (c *exchangeConn) Read(p []byte) (int, error) {
	n, err := c.OrderlyConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isHeadRead {
		c.recorded = append(c.recorded, p[:n]...)
	}
	return n, err
}

// takeRecorded returns the recorded bytes and ends the recording.
func (c *exchangeConn) takeRecorded() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	recorded := c.recorded
	c.recorded, c.isHeadRead = nil, true
	return recorded
}

func dialExchange(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	socket := conn.(*net.TCPConn)
	if err := socket.SetLinger(0); err != nil {
		_ = socket.Close()
		return nil, errors.Newf("set how a connection is closed: %w", err)
	}
	return &exchangeConn{OrderlyConn: connection.NewOrderlyConn(socket)}, nil
}

// Close makes pending reads and writes fail. The transport calls it as soon as a response ends, before the
// exchange is known to be complete.
func (c *exchangeConn) Close() error {
	if !c.isInUse.Load() {
		c.end(false)
		return nil
	}
	return c.SetDeadline(time.Unix(1, 0))
}

// end closes the socket.
func (c *exchangeConn) end(isComplete bool) {
	c.endOnce.Do(func() {
		if isComplete {
			// With a negative value, a close sends the remaining data first.
			_ = c.SetLinger(-1)
		}
		_ = c.OrderlyConn.Close()
	})
}

// exchangeTransport sends each request on a connection of its own.
type exchangeTransport struct {
	transport *http.Transport
}

// RoundTrip sends a request. The connection ends when the body of the response is closed.
func (t exchangeTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	e := &exchangeBody{written: make(chan struct{})}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn := info.Conn.(*exchangeConn)
			conn.isInUse.Store(true)
			e.conn.Store(conn)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				close(e.written)
			}
		},
	})
	response, err := t.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		if conn := e.conn.Load(); conn != nil {
			conn.end(false)
		}
		return nil, err
	}
	e.ReadCloser, response.Body = response.Body, e
	if err := errors.CombineErrors(connection.CheckResponse(response), connection.CheckLines(e.conn.Load().takeRecorded())); err != nil {
		_ = e.Close()
		return nil, err
	}
	return response, nil
}

// exchangeBody is the body of a response. It ends the connection of its exchange.
type exchangeBody struct {
	io.ReadCloser
	conn atomic.Pointer[exchangeConn]
	// written is closed when the request was written.
	written chan struct{}
	isRead  atomic.Bool
}

// writerWaitTimeout limits the wait at the end of an exchange for the goroutine that writes the request. If
// the request was sent completely, the goroutine only needs to be scheduled to report it.
const writerWaitTimeout = 10 * time.Millisecond

// Read reads the body.
func (e *exchangeBody) Read(p []byte) (int, error) {
	n, err := e.ReadCloser.Read(p)
	if err == io.EOF {
		e.isRead.Store(true)
	}
	return n, err
}

// Close ends the connection, in order if the request was written and the response was read completely.
func (e *exchangeBody) Close() error {
	err := e.ReadCloser.Close()
	e.conn.Load().end(e.isRead.Load() && e.isWritten())
	return err
}

func (e *exchangeBody) isWritten() bool {
	select {
	case <-e.written:
		return true
	default:
	}
	select {
	case <-e.written:
		return true
	case <-time.After(writerWaitTimeout):
		return false
	}
}
