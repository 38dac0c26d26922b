package connection

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
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
// after the start. A guarded connection reports such requests through IsAmbiguous, responds
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

var (
	headTerminator = []byte("\r\n\r\n")
	// errHeadRejected is returned to the HTTP server, which then closes the connection.
	errHeadRejected = errors.New("head of request is rejected")
)

// guardedConn is an accepted connection.
type guardedConn struct {
	net.Conn
	config GuardConfig
	// release lets another connection be accepted.
	release func()

	mu sync.Mutex
	// head contains the bytes that were read since the end of the last request, up to the
	// limit on heads.
	head []byte
	// headStart is the time at which the first byte of head was read.
	headStart time.Time
}

// Close closes the connection.
func (g *guardedConn) Close() error {
	defer g.release()
	return g.Conn.Close()
}

// Read reads from the connection. It rejects a head that is too long or not complete in
// time.
func (g *guardedConn) Read(p []byte) (int, error) {
	limits := g.config.Limits()
	if start, partial := g.partialHead(); partial && limits.Timeout > 0 {
		if err := g.SetReadDeadline(start.Add(limits.Timeout)); err != nil {
			return 0, errors.Newf("set deadline of request head: %w", err)
		}
	}
	n, err := g.Conn.Read(p)
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

// partialHead returns the start time of the current head, and whether it is incomplete.
func (g *guardedConn) partialHead() (start time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.headStart, len(g.head) > 0 && !bytes.Contains(g.head, headTerminator)
}

// record appends the bytes read to the head, and returns the status with which the head must
// be rejected, 0 for none.
func (g *guardedConn) record(read []byte, limits HeadLimits, err error) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.head) == 0 {
		g.headStart = g.config.Now()
	}
	g.head = append(g.head, read[:max(min(len(read), limits.Bytes-len(g.head)), 0)]...)
	switch {
	case len(g.head) == 0 || bytes.Contains(g.head, headTerminator):
		return 0
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case len(g.head) >= limits.Bytes:
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return 0
}

// reject responds to a head, and then reads for up to lingerTimeout so that the sender
// receives the response.
func (g *guardedConn) reject(status int) {
	g.config.OnReject(g.RemoteAddr(), status)
	line := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status)
	_, err := io.WriteString(g.Conn, line+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	if err != nil || g.SetReadDeadline(g.config.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(g.Conn, lingerByteLimit))
}

// fieldNames returns the names of the fields in the head of a request, in lower case. It returns false if
// the head was not recorded: it was read together with the request before it.
func (g *guardedConn) fieldNames(r *http.Request) (names []string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !bytes.HasPrefix(g.head, []byte(r.Method+" "+r.RequestURI+" ")) {
		return nil, false
	}
	// Like the HTTP server, it takes lines that end in LF alone.
	for line := range bytes.Lines(g.head) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return names, true
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		names = append(names, strings.ToLower(string(bytes.TrimSpace(name))))
	}
	return nil, false
}

// isAmbiguous reports whether the end of a request can be taken for different ones (RFC 9112, sections
// 6.1 and 6.3). The HTTP server drops Content-Length beside chunks, and Transfer-Encoding in HTTP/1.0.
func (g *guardedConn) isAmbiguous(r *http.Request) bool {
	isChunked := len(r.TransferEncoding) > 0
	if !isChunked && r.ProtoAtLeast(1, 1) {
		return false
	}
	names, ok := g.fieldNames(r)
	return !ok || slices.Contains(names, "transfer-encoding") && (!isChunked || slices.Contains(names, "content-length"))
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
	if len(g.head) == 0 {
		// A blocked read fails without reading a byte. A read that already has bytes records
		// them after this, and the server clears the deadline before it handles the request.
		_ = g.SetReadDeadline(pastDeadline)
	}
}

type guardKey struct{}

// GuardContext must be the ConnContext of an http.Server that serves a listener of Guard.
func GuardContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, guardKey{}, conn)
}

// IsAmbiguous reports whether the end of a request can be taken for different ones, or that cannot be
// known. The connection must be closed after the response. It must be called before the body is read, and
// the request's context must derive from GuardContext.
func IsAmbiguous(r *http.Request) bool {
	g, ok := r.Context().Value(guardKey{}).(*guardedConn)
	return ok && g.isAmbiguous(r)
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

// EndRequest discards the head of the request of a context. The handler must call it when it has read the
// body. Bytes that are read later belong to the next request.
func EndRequest(ctx context.Context) {
	if g, ok := ctx.Value(guardKey{}).(*guardedConn); ok {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.head = g.head[:0]
	}
}

// EndResponse starts the timeout of a head that has begun while the request before it was served. The
// handler must call it when it has finished the request.
func EndResponse(ctx context.Context) {
	if g, ok := ctx.Value(guardKey{}).(*guardedConn); ok {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.headStart = g.config.Now()
	}
}
