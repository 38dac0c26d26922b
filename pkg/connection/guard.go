package connection

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// HeadLimits are the limits on the head of a request.
type HeadLimits struct {
	// Bytes is the maximum length of a head.
	Bytes int
	// Timeout is the maximum time from the first byte of a head to its end. With 0, only
	// the timeout of the HTTP server applies.
	Timeout time.Duration
}

type GuardConfig struct {
	// Connections is the maximum number of open connections, at least 1. Further ones are
	// accepted when others have been closed.
	Connections int
	// Limits returns the current limits. It is called for each read.
	Limits func() HeadLimits
	// OnReject is called for each rejected head with the status of the response.
	OnReject func(remote net.Addr, status int)
	Now      func() time.Time
}

// Guard returns a listener whose connections keep the raw head of the current request. The
// HTTP server treats a request with both Content-Length and Transfer-Encoding as chunked,
// closes a connection without a response when its head is late, and never changes its limits
// after the start. A guarded connection reports such requests through CheckEnd, responds
// with status 408 to late heads and applies changed limits to the next read.
func Guard(listener net.Listener, config GuardConfig) net.Listener {
	return &guardListener{Listener: listener, config: config, slots: make(chan struct{}, config.Connections), done: make(chan struct{})}
}

// guardListener limits the number of its connections itself, since a listener in between would
// hide their sockets.
type guardListener struct {
	net.Listener
	config GuardConfig
	// slots contains an element for each open connection.
	slots     chan struct{}
	closeOnce sync.Once
	done      chan struct{}
}

// Accept waits for the next connection and returns it guarded.
func (l *guardListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, errors.Newf("accept connection: %w", net.ErrClosed)
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &guardedConn{Conn: conn, config: l.config, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close stops accepting connections.
func (l *guardListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}

const (
	// lingerTimeout is how long the rest of a rejected request is read, so that its sender
	// receives the response and not a connection reset. The HTTP server waits as long.
	lingerTimeout = 500 * time.Millisecond
	// lingerByteLimit limits the bytes that are read in this time. The HTTP server reads as
	// many.
	lingerByteLimit = 256 << 10
)

// errHeadRejected is returned to the HTTP server, which then closes the connection.
var errHeadRejected = errors.New("head of request is rejected")

// guardedConn is an accepted connection.
type guardedConn struct {
	net.Conn
	config GuardConfig
	// release lets another connection be accepted.
	release func()

	mu     sync.Mutex
	framer framer
	// headStart is the time at which the first byte of the partial head was read.
	headStart time.Time
	// isServing is true from the check of a request to the end of its response.
	isServing bool
	// deadline is the deadline of reads.
	deadline time.Time

	// isRejected is set when a head was rejected. The HTTP server, which takes the part of a line
	// before an error for a whole one, might respond once more.
	isRejected atomic.Bool
}

// Write writes to the connection unless a head was rejected.
func (g *guardedConn) Write(p []byte) (int, error) {
	if g.isRejected.Load() {
		return 0, errHeadRejected
	}
	return g.Conn.Write(p)
}

// Close closes the connection.
func (g *guardedConn) Close() error {
	defer g.release()
	return g.Conn.Close()
}

// SetReadDeadline sets the deadline of reads.
func (g *guardedConn) SetReadDeadline(at time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.setReadDeadline(at)
}

// setReadDeadline implements SetReadDeadline. mu must be held.
func (g *guardedConn) setReadDeadline(at time.Time) error {
	g.deadline = at
	return g.Conn.SetReadDeadline(at)
}

// SetDeadline sets the deadlines of reads and writes.
func (g *guardedConn) SetDeadline(at time.Time) error {
	return errors.CombineErrors(g.SetReadDeadline(at), g.SetWriteDeadline(at))
}

// Read reads from the connection. It rejects a head that is too long or not complete in
// time.
func (g *guardedConn) Read(p []byte) (int, error) {
	if g.isRejected.Load() {
		return 0, errHeadRejected
	}
	limits := g.config.Limits()
	if start, ok := g.awaitedHead(); ok && limits.Timeout > 0 {
		if err := g.SetReadDeadline(start.Add(limits.Timeout)); err != nil {
			return 0, errors.Newf("set deadline of request head: %w", err)
		}
	}
	n, err := g.Conn.Read(p)
	respondToPlainHTTP(err)
	switch g.record(p[:n], limits, err) {
	case http.StatusRequestTimeout:
		g.reject(http.StatusRequestTimeout)
		return n, err
	case http.StatusRequestHeaderFieldsTooLarge:
		g.reject(http.StatusRequestHeaderFieldsTooLarge)
		return 0, errHeadRejected
	}
	return n, err
}

// respondToPlainHTTP responds to a request without TLS on a connection with TLS, which the error of its
// handshake shows. The HTTP server does so only where it sees the TLS connection itself.
func respondToPlainHTTP(err error) {
	var header tls.RecordHeaderError
	if !errors.As(err, &header) || header.Conn == nil {
		return
	}
	switch string(header.RecordHeader[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO":
		_, _ = io.WriteString(header.Conn, "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n")
		_ = header.Conn.Close()
	}
}

// awaitedHead returns the start time of the current head, and whether it is incomplete and all requests
// before it have been served.
func (g *guardedConn) awaitedHead() (start time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.headStart, len(g.framer.head) > 0 && !g.hasRequest()
}

// hasRequest reports whether a request was read whose response has not ended. A response to another head
// would be taken for the one to this request. mu must be held.
func (g *guardedConn) hasRequest() bool {
	return g.isServing || len(g.framer.heads) > 0
}

// record passes the bytes read to the framer, and returns the status with which the head must
// be rejected, 0 for none.
func (g *guardedConn) record(read []byte, limits HeadLimits, err error) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	hadHead := len(g.framer.head) > 0
	g.framer.add(read, limits.Bytes)
	if !hadHead && len(g.framer.head) > 0 {
		g.headStart = g.config.Now()
	}
	switch {
	case g.hasRequest():
		return 0
	case g.framer.isTooLong:
		return http.StatusRequestHeaderFieldsTooLarge
	case len(g.framer.head) > 0 && errors.Is(err, os.ErrDeadlineExceeded) && g.deadline.After(g.headStart):
		// The HTTP server ends reads with a deadline in the past.
		return http.StatusRequestTimeout
	}
	return 0
}

// reject responds to a head, and then reads for up to lingerTimeout so that the sender
// receives the response.
func (g *guardedConn) reject(status int) {
	g.isRejected.Store(true)
	g.config.OnReject(g.RemoteAddr(), status)
	line := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status)
	_, err := io.WriteString(g.Conn, line+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	if err != nil || g.SetReadDeadline(g.config.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(g.Conn, lingerByteLimit))
}

// checkEnd implements CheckEnd.
func (g *guardedConn) checkEnd(r *http.Request) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isServing = true
	for len(g.framer.heads) > 0 && g.framer.heads[0].start != r.Method+" "+r.RequestURI {
		// The HTTP server responds to OPTIONS * without a handler.
		g.framer.heads = g.framer.heads[1:]
	}
	if len(g.framer.heads) == 0 || !g.framer.heads[0].matches(r) {
		return ErrAmbiguousEnd
	}
	g.framer.heads = g.framer.heads[1:]
	return nil
}

// pastDeadline is a deadline that makes pending reads fail.
var pastDeadline = time.Unix(1, 0)

// CloseIfIdle makes the HTTP server close an accepted connection, unless a byte of a request
// has been read from it. The server itself closes connections that it considers idle even
// while the next request is being read, and that request gets no response.
func CloseIfIdle(conn net.Conn) {
	g, ok := conn.(*guardedConn)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isIdle() {
		// A blocked read fails without reading a byte. A read that already has bytes records
		// them after this, and the server clears the deadline before it handles the request.
		_ = g.setReadDeadline(pastDeadline)
	}
}

// isIdle reports whether no byte of a request without a response has been read. mu must be held.
func (g *guardedConn) isIdle() bool {
	return len(g.framer.head) == 0 && !g.hasRequest()
}

type guardKey struct{}

// GuardContext must be the ConnContext of an http.Server that serves a listener of Guard.
func GuardContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, guardKey{}, conn)
}

// ErrAmbiguousEnd reports a request whose end can be taken for different ones (RFC 9112, sections 6.1 and
// 6.3), or one behind such a request.
var ErrAmbiguousEnd = errors.New("end of request is ambiguous")

// CheckEnd returns ErrAmbiguousEnd, or nil if the end of a request is certain. After an error the request
// must not be run, and the connection must be closed after the response. The handler must call CheckEnd
// once for each request, before it reads the body, and EndResponse when it has finished the request. The
// request's context must derive from GuardContext.
func CheckEnd(r *http.Request) error {
	if g, ok := r.Context().Value(guardKey{}).(*guardedConn); ok {
		return g.checkEnd(r)
	}
	return nil
}

// ResetOnClose makes the connection of a request's context end with a reset, whoever closes it and
// for whatever reason. To a peer that cannot receive chunks, only a reset shows that a response is
// incomplete. ctx must derive from GuardContext.
func ResetOnClose(ctx context.Context) error {
	return setLinger(ctx, 0)
}

// CloseInOrder makes the connection of a request's context end with an orderly close again.
func CloseInOrder(ctx context.Context) error {
	// With a negative value, a close sends the remaining data first.
	return setLinger(ctx, -1)
}

func setLinger(ctx context.Context, seconds int) error {
	g, ok := ctx.Value(guardKey{}).(*guardedConn)
	if !ok {
		return nil
	}
	socket, ok := g.Conn.(*net.TCPConn)
	if !ok {
		return errors.Newf("%T cannot be reset", g.Conn)
	}
	if err := socket.SetLinger(seconds); err != nil {
		return errors.Newf("set how a connection is closed: %w", err)
	}
	return nil
}

// EndResponse starts the timeout of a head that has begun while the request before it was served. The
// handler must call it when it has finished the request.
func EndResponse(ctx context.Context) {
	if g, ok := ctx.Value(guardKey{}).(*guardedConn); ok {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.headStart, g.isServing = g.config.Now(), false
	}
}
