package connection

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// Guard returns a listener whose connections remember the head of the present
// request as it came. The HTTP server takes a request with both a length and
// chunks for a chunked one, and closes a connection whose head does not come in
// time without a word; a guarded connection shows the first and answers the second.
func Guard(listener net.Listener) net.Listener {
	return guardListener{Listener: listener}
}

type guardListener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l guardListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guarded{Conn: conn}, nil
}

const (
	// maxHeadBytes bounds what is remembered of a request.
	maxHeadBytes = 32 << 10
	lateAnswer   = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

var headEnd = []byte("\r\n\r\n")

// guarded is an accepted connection.
type guarded struct {
	net.Conn

	mu sync.Mutex
	// head holds what came since the last request was answered.
	head []byte
}

// Read reads from the connection. A head that is not whole at the deadline is
// answered.
func (g *guarded) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	g.mu.Lock()
	g.head = append(g.head, p[:min(n, maxHeadBytes-len(g.head))]...)
	late := errors.Is(err, os.ErrDeadlineExceeded) && len(g.head) > 0 && !bytes.Contains(g.head, headEnd)
	g.mu.Unlock()
	if late {
		_, _ = io.WriteString(g.Conn, lateAnswer)
	}
	return n, err
}

// isAmbiguous reports whether the present request states its length in two ways.
func (g *guarded) isAmbiguous() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	head, _, whole := bytes.Cut(g.head, headEnd)
	lower := bytes.ToLower(head)
	return whole && bytes.Contains(lower, []byte("\r\ncontent-length:")) && bytes.Contains(lower, []byte("\r\ntransfer-encoding:"))
}

type guardKey struct{}

// GuardContext is the ConnContext of a server behind Guard.
func GuardContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, guardKey{}, conn)
}

// IsAmbiguous reports whether the request of a context states its length in two
// ways.
func IsAmbiguous(ctx context.Context) bool {
	g, ok := ctx.Value(guardKey{}).(*guarded)
	return ok && g.isAmbiguous()
}

// EndRequest forgets the head of the request of a context, which is answered.
func EndRequest(ctx context.Context) {
	if g, ok := ctx.Value(guardKey{}).(*guarded); ok {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.head = g.head[:0]
	}
}
