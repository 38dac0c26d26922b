package connection

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Pool holds the connections to all endpoints.
type Pool struct {
	// Limit returns the connections that may be open to an address.
	Limit func(address netip.AddrPort) int
	// Now returns the present time.
	Now func() time.Time

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*connection
	open   map[netip.AddrPort]int
	closed bool
	opened int64
	reused int64
}

// connection is one open connection. It serves one exchange at a time.
type connection struct {
	pool    *Pool
	address netip.AddrPort
	socket  *net.TCPConn
	bound   *boundedReader
	reader  *bufio.Reader
	// usableUntil is the time from which an idle connection is not used again.
	usableUntil time.Time
}

// NewPool returns an empty Pool.
func NewPool(limit func(netip.AddrPort) int, now func() time.Time) *Pool {
	return &Pool{
		Limit: limit, Now: now,
		idle: map[netip.AddrPort][]*connection{}, open: map[netip.AddrPort]int{},
	}
}

// Counts returns the connections opened and the exchanges on kept ones so far.
func (p *Pool) Counts() (opened, reused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, p.reused
}

// Open returns the connections to an address that are open.
func (p *Pool) Open(address netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// Sweep closes connections that have been unused for too long.
func (p *Pool) Sweep(now time.Time) {
	var old []*connection
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) {
				kept = append(kept, c)
				continue
			}
			old = append(old, c)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// Close closes all unused connections. Those in use are closed as they end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[netip.AddrPort][]*connection{}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.close()
		}
	}
}

// Do sends a request and returns the head of its response. When ctx ends, also
// later while the body is read, the connection is closed.
func (p *Pool) Do(ctx context.Context, address netip.AddrPort, request *Request) (*Response, error) {
	take := p.take
	if request.Fresh {
		take = p.connect
	}
	c, err := take(ctx, address)
	if err != nil {
		return nil, err
	}
	e := &exchange{connection: c, written: make(chan struct{})}
	e.stop = context.AfterFunc(ctx, c.interrupt)
	if len(request.Body) <= smallBody {
		e.write(request)
	} else {
		go e.write(request)
	}
	response, err := e.readHead(request)
	if err == nil {
		return response, nil
	}
	e.stop()
	c.close()
	<-e.written
	if ctx.Err() != nil {
		return nil, errors.Newf("await response: %w", errors.Mark(context.Cause(ctx), ErrBroken))
	}
	return nil, errors.Newf("await response: %w", errors.Mark(err, ErrBroken))
}

// Reach opens a connection to an address and keeps it for later exchanges. It
// fails when the address takes none.
func (p *Pool) Reach(ctx context.Context, address netip.AddrPort) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	c.usableUntil = p.Now().Add(defaultIdleTimeout)
	p.keep(c)
	return nil
}

// take returns a sound kept connection or a new one.
func (p *Pool) take(ctx context.Context, address netip.AddrPort) (*connection, error) {
	now := p.Now()
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if now.Before(c.usableUntil) && isQuiet(c.socket) {
			return c, nil
		}
		c.close()
	}
	return p.connect(ctx, address)
}

// connect opens one connection within the limit of the address.
func (p *Pool) connect(ctx context.Context, address netip.AddrPort) (*connection, error) {
	p.mu.Lock()
	if limit := p.Limit(address); p.open[address] >= limit {
		p.mu.Unlock()
		return nil, errors.Newf("%d connections to %s: %w", limit, address, ErrLimit)
	}
	p.open[address]++
	p.mu.Unlock()
	socket, err := dial(ctx, address)
	if err != nil {
		p.release(address)
		return nil, errors.Newf("open connection: %w", errors.Mark(err, ErrNotSent))
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	bound := &boundedReader{source: socket}
	return &connection{pool: p, address: address, socket: socket, bound: bound, reader: bufio.NewReader(bound)}, nil
}

// takeIdle removes the connection that was used last, or returns nil.
func (p *Pool) takeIdle(address netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	p.reused++
	return c
}

func (p *Pool) release(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// keep takes a connection back after a complete exchange.
func (p *Pool) keep(c *connection) {
	p.mu.Lock()
	if p.closed || len(p.idle[c.address]) >= maxIdle {
		p.mu.Unlock()
		c.close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	p.mu.Unlock()
}

func (c *connection) close() {
	_ = c.socket.Close()
	c.pool.release(c.address)
}

// interrupt makes pending reads and writes fail.
func (c *connection) interrupt() {
	_ = c.socket.SetDeadline(time.Unix(1, 0))
}

// exchange is one request and its response on a connection.
type exchange struct {
	connection *connection
	stop       func() bool
	// written is closed when the writer has ended; writeErr is set before.
	written  chan struct{}
	writeErr error
}

func (e *exchange) write(request *Request) {
	defer close(e.written)
	writer := bufio.NewWriter(e.connection.socket)
	head := request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n"
	_, _ = writer.WriteString(head)
	_ = request.Header.Write(writer)
	if len(request.Body) > 0 || hasBody(request.Method) {
		_, _ = writer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_, _ = writer.WriteString("\r\n")
	_, _ = writer.Write(request.Body)
	e.writeErr = writer.Flush()
}

// hasBody reports whether requests of a method state the length of their body
// also when it is empty.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func (e *exchange) readHead(request *Request) (*Response, error) {
	c := e.connection
	for late := 0; late <= maxLateResponses; late++ {
		c.bound.limit(maxHeadBytes)
		head, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		c.bound.lift()
		if err != nil {
			return nil, errors.Newf("read response head: %w", err)
		}
		if head.StatusCode < http.StatusOK {
			continue
		}
		if request.Matches == nil || request.Matches(head.Header) {
			body := &Body{exchange: e, body: head.Body, keep: !head.Close, idleTimeout: idleTimeout(head.Header)}
			return &Response{Status: head.StatusCode, Header: head.Header, Body: body}, nil
		}
		if head.Close {
			return nil, errors.New("the only response belongs to another request")
		}
		if _, err := io.CopyN(io.Discard, head.Body, maxLateBytes); !errors.Is(err, io.EOF) {
			return nil, errors.New("a late response has no end")
		}
	}
	return nil, errors.New("too many late responses")
}

// idleTimeout returns how long a connection may be unused, from the Keep-Alive
// header of a response.
func idleTimeout(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// Body is the body of a response.
type Body struct {
	exchange    *exchange
	body        io.ReadCloser
	keep        bool
	idleTimeout time.Duration
	complete    bool
	closed      bool
}

// Read reads the body. The error is io.EOF only at the end of a complete one.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		b.complete = true
		return n, io.EOF
	}
	if err != nil {
		return n, errors.Newf("read response body: %w", errors.Mark(err, ErrBroken))
	}
	return n, nil
}

// Close ends the exchange. The connection is kept if both sides are at its end.
func (b *Body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	e, c := b.exchange, b.exchange.connection
	uninterrupted := e.stop()
	select {
	case <-e.written:
	case <-time.After(writerGrace):
		// The endpoint answered before it had the whole request.
		b.keep = false
	}
	if b.complete && b.keep && uninterrupted && e.writeErr == nil && c.reader.Buffered() == 0 {
		c.usableUntil = c.pool.Now().Add(b.idleTimeout)
		c.pool.keep(c)
		return nil
	}
	c.close()
	return nil
}
