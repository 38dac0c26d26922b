package connection

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// OrderlyConn is a TCP connection whose Read returns io.EOF only after an orderly close. The kernel
// reports a reset to one call. If that is a Write, the next Read returns an end as after an orderly close.
type OrderlyConn struct {
	*net.TCPConn
	// write writes to the connection.
	write func(p []byte) (int, error)

	mu sync.Mutex
	// writing is closed when the Write in progress ends, nil if there is none.
	writing chan struct{}
	// writeErr is the error of the first Write that failed.
	writeErr error
}

// NewOrderlyConn returns an OrderlyConn on a connection. All writes must go through it, one at a time.
func NewOrderlyConn(conn *net.TCPConn) *OrderlyConn {
	return &OrderlyConn{TCPConn: conn, write: conn.Write}
}

// Write writes to the connection.
func (c *OrderlyConn) Write(p []byte) (int, error) {
	writing := make(chan struct{})
	defer close(writing)
	c.mu.Lock()
	c.writing = writing
	c.mu.Unlock()
	n, err := c.write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = nil
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// ReadFrom writes what it reads from source. That of the embedded connection would bypass Write.
func (c *OrderlyConn) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, source)
}

// WriteTo writes what it reads to w. That of the embedded connection would bypass Read.
func (c *OrderlyConn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// Read reads from the connection. At the end of the input, it ends the Write in progress: the peer has
// responded and closed its side.
func (c *OrderlyConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failure := c.endWrite(); isReset(failure) {
		return n, errors.Newf("connection ended while it was written to: %w", failure)
	}
	return n, io.EOF
}

// endWrite ends the Write in progress and returns the first error of a Write. A Write that waits for room
// has taken no error from the kernel, and one that has taken an error returns it.
func (c *OrderlyConn) endWrite() error {
	c.mu.Lock()
	writing := c.writing
	c.mu.Unlock()
	if writing != nil {
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		<-writing
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// isReset reports whether the error of a Write shows that the connection did not end in order. After an
// orderly close of the peer, the kernel reports a reset as a broken pipe.
func isReset(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}
