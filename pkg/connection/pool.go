package connection

import (
	"bufio"
	"context"
	"hash/maphash"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Pool contains the connections to all endpoints.
type Pool struct {
	// Limit returns the maximum number of open connections to an address.
	Limit func(address netip.AddrPort) int
	// Now returns the current time.
	Now func() time.Time

	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
	open map[netip.AddrPort]int
	// closedAt contains the times when idle connections were found closed by the endpoint.
	closedAt map[netip.AddrPort]time.Time
	closed   bool
	opened   int64
	reused   int64
}

// connection is one open connection. It serves one exchange at a time.
type connection struct {
	pool    *Pool
	address netip.AddrPort
	socket  *OrderlyConn
	bounded *boundedReader
	reader  *bufio.Reader
	// openedAt is the time when it was opened.
	openedAt time.Time
	// usableUntil is the time at which the idle timeout expires.
	usableUntil time.Time
	// carried contains the hashes of the IDs of all requests that were sent on the connection.
	carried []idHash
}

// idHash is the hash of the ID of a request, 0 for a request without an ID. If the hashes of
// two IDs are equal, a connection is avoided without need.
type idHash uint64

var idSeed = maphash.MakeSeed()

func hashID(id string) idHash {
	if id == "" {
		return 0
	}
	return max(idHash(maphash.String(idSeed, id)), 1)
}

// NewPool returns an empty Pool.
func NewPool(limit func(netip.AddrPort) int, now func() time.Time) *Pool {
	return &Pool{
		Limit: limit, Now: now,
		idle: map[netip.AddrPort][]*connection{}, open: map[netip.AddrPort]int{}, closedAt: map[netip.AddrPort]time.Time{},
	}
}

// Counts returns the number of connections opened, and how often an idle one was removed
// from the pool to be used again.
func (p *Pool) Counts() (opened, reused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, p.reused
}

// OpenConnections returns the number of open connections to an address.
func (p *Pool) OpenConnections(address netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// Sweep closes idle connections whose idle timeout has expired at now.
func (p *Pool) Sweep(now time.Time) {
	var expired []*connection
	p.mu.Lock()
	maps.DeleteFunc(p.closedAt, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > closedTTL })
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) {
				kept = append(kept, c)
				continue
			}
			expired = append(expired, c)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.closeIdle()
	}
}

// closedTTL is how long it is known that an endpoint closed idle connections.
const closedTTL = 10 * time.Second

// HasClosed reports whether the endpoint at an address has closed an idle connection since a time
// and kept none that was open then. It removes the closed ones.
func (p *Pool) HasClosed(address netip.AddrPort, since time.Time) bool {
	var ended []*connection
	isOpen := false
	p.mu.Lock()
	p.idle[address] = slices.DeleteFunc(p.idle[address], func(c *connection) bool {
		if isReusable(c.socket) {
			isOpen = isOpen || c.openedAt.Before(since)
			return false
		}
		ended = append(ended, c)
		return true
	})
	if len(p.idle[address]) == 0 {
		delete(p.idle, address)
	}
	if len(ended) > 0 {
		p.closedAt[address] = p.Now()
	}
	hasClosed := !isOpen && p.closedAt[address].After(since)
	p.mu.Unlock()
	for _, c := range ended {
		c.closeIdle()
	}
	return hasClosed
}

// Close closes all idle connections. Connections in use are closed after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[netip.AddrPort][]*connection{}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.closeIdle()
		}
	}
}

// Do sends a request and returns the head of its response. The connection is closed when
// ctx is done, also while the body is read. Errors wrap ErrNotSent or ErrBroken.
func (p *Pool) Do(ctx context.Context, address netip.AddrPort, request *Request) (*Response, error) {
	c, err := p.acquire(ctx, address, request)
	if err != nil {
		return nil, err
	}
	e := &exchange{connection: c, written: make(chan struct{})}
	e.stopInterrupt = context.AfterFunc(ctx, c.interrupt)
	if len(request.Body) <= smallBodyLimit {
		e.write(request)
	} else {
		go e.write(request)
	}
	response, err := e.readHead(request)
	if err == nil {
		return response, nil
	}
	e.stopInterrupt()
	c.reset()
	<-e.written
	if ctx.Err() != nil {
		return nil, errors.Newf("await response: %w", errors.Mark(context.Cause(ctx), ErrBroken))
	}
	return nil, errors.Newf("await response: %w", errors.Mark(err, ErrBroken))
}

// OpenIdle opens a connection to an address and adds it to the idle connections. It fails
// when the address accepts no connections.
func (p *Pool) OpenIdle(ctx context.Context, address netip.AddrPort) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	c.usableUntil = p.Now().Add(defaultIdleTimeout)
	p.pushIdle(c)
	return nil
}

// acquire returns a connection that has not carried the ID of a request, and records that it
// carries it now.
func (p *Pool) acquire(ctx context.Context, address netip.AddrPort, request *Request) (*connection, error) {
	id := hashID(request.id())
	var c *connection
	if !request.NewConnection && (request.IDHeader == "" || id != 0) {
		c = p.reuse(address, id)
	}
	if c == nil {
		var err error
		if c, err = p.connect(ctx, address); err != nil {
			return nil, err
		}
	}
	if id != 0 {
		c.carried = append(c.carried, id)
	}
	return c, nil
}

// reuse removes and returns a usable idle connection that has not carried an ID, nil for none.
func (p *Pool) reuse(address netip.AddrPort, id idHash) *connection {
	now := p.Now()
	for {
		c := p.popIdle(address, id)
		if c == nil || (now.Before(c.usableUntil) && isReusable(c.socket)) {
			return c
		}
		if now.Before(c.usableUntil) {
			p.mu.Lock()
			p.closedAt[address] = now
			p.mu.Unlock()
		}
		c.closeIdle()
	}
}

// connect opens a connection within the limit of the address. At the limit, it replaces the
// idle connection that was used least recently.
func (p *Pool) connect(ctx context.Context, address netip.AddrPort) (*connection, error) {
	p.mu.Lock()
	limit, idle := p.Limit(address), p.idle[address]
	switch {
	case p.open[address] < limit:
		p.open[address]++
	case p.open[address] == limit && len(idle) > 0:
		closeInOrder(idle[0].socket)
		p.idle[address] = slices.Delete(idle, 0, 1)
	default:
		p.mu.Unlock()
		return nil, errors.Newf("%d connections to %s: %w", limit, address, ErrLimit)
	}
	p.mu.Unlock()
	socket, err := dial(ctx, address)
	if err != nil {
		p.release(address)
		return nil, errors.Newf("open connection: %w", errors.Mark(err, ErrNotSent))
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	bounded := &boundedReader{source: socket}
	return &connection{pool: p, address: address, socket: socket, bounded: bounded, reader: bufio.NewReader(bounded), openedAt: p.Now()}, nil
}

// popIdle removes and returns the idle connection that was used last and has not carried an
// ID, nil for none.
func (p *Pool) popIdle(address netip.AddrPort, id idHash) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if id == 0 || !slices.Contains(c.carried, id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			p.reused++
			return c
		}
	}
	return nil
}

func (p *Pool) release(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// pushIdle adds a connection to the idle ones after a complete exchange. It closes the
// connection when the pool is closed or has maxIdlePerAddress idle connections.
func (p *Pool) pushIdle(c *connection) {
	p.mu.Lock()
	if p.closed || len(p.idle[c.address]) >= maxIdlePerAddress {
		p.mu.Unlock()
		c.closeIdle()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	p.mu.Unlock()
}

// closeIdle closes a connection whose exchanges are complete.
func (c *connection) closeIdle() {
	closeInOrder(c.socket)
	c.pool.release(c.address)
}

// reset closes a connection with an exchange that is not complete. What the endpoint has not
// acknowledged is not sent again, so that it does not get the request after its caller has been
// answered.
func (c *connection) reset() {
	_ = c.socket.Close()
	c.pool.release(c.address)
}

// interrupt makes pending reads and writes fail.
func (c *connection) interrupt() {
	_ = c.socket.SetDeadline(time.Unix(1, 0))
}

// exchange is one request and its response on a connection.
type exchange struct {
	connection    *connection
	stopInterrupt func() bool
	// written is closed when write returns. writeErr is set before.
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

// hasBody reports whether requests of a method have a Content-Length even when the body is
// empty.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func (e *exchange) readHead(request *Request) (*Response, error) {
	c := e.connection
	for late := 0; late <= maxLateResponses; late++ {
		head, err := c.readFinalHead(request.Method)
		if err != nil {
			return nil, errors.Newf("read response head: %w", err)
		}
		if request.matches(head.Header) {
			body := &Body{exchange: e, body: &trailerBody{ReadCloser: head.Body, head: head}, reusable: !head.Close, idleTimeout: idleTimeout(head.Header)}
			return &Response{Status: head.StatusCode, Header: head.Header, Framing: framingOf(head), Body: body}, nil
		}
		if head.Close {
			return nil, errors.New("the only response belongs to another request")
		}
		if _, err := io.CopyN(io.Discard, head.Body, maxLateBytes); !errors.Is(err, io.EOF) {
			return nil, errors.New("body of a late response is too long or incomplete")
		}
	}
	return nil, errors.New("too many late responses")
}

// readFinalHead reads the head of the next response and skips the interim responses before it.
// maxInterimResponses limits these, and maxHeadBytes all of them together.
func (c *connection) readFinalHead(method string) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.bounded.setLimit(maxHeadBytes, buffered)
	defer c.bounded.removeLimit()
	for range maxInterimResponses + 1 {
		head, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := CheckResponse(head); err != nil {
			return nil, err
		}
		if head.StatusCode < http.StatusOK {
			continue
		}
		raw := c.bounded.recorded
		return head, CheckLines(raw[:len(raw)-c.reader.Buffered()])
	}
	return nil, errors.New("too many interim responses")
}

func framingOf(head *http.Response) Framing {
	switch {
	case len(head.TransferEncoding) > 0:
		return FramingChunks
	case head.ContentLength >= 0:
		return FramingLength
	}
	return FramingClose
}

// idleTimeout returns how long a connection may be idle, from the Keep-Alive header of a
// response.
func idleTimeout(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

// awaitClose waits for a channel to be closed, and reports whether it is within timeout. A channel that
// is closed at the call always is, however late the process runs on.
func awaitClose(done <-chan struct{}, timeout time.Duration) bool {
	select {
	case <-done:
		return true
	default:
	}
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Body is the body of a response.
type Body struct {
	exchange    *exchange
	body        io.ReadCloser
	reusable    bool
	idleTimeout time.Duration
	complete    bool
	closed      bool
}

// Read reads the body. The error is io.EOF only at the end of a complete body. Other errors
// wrap ErrBroken.
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

// Close ends the exchange. The connection becomes idle when the request was written and the
// response was read completely, if the endpoint allows it, and is reset when they were not.
func (b *Body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	e, c := b.exchange, b.exchange.connection
	// An endpoint may respond before it has received the whole request.
	uninterrupted, isWritten := e.stopInterrupt(), awaitClose(e.written, writerWaitTimeout)
	isComplete := b.complete && uninterrupted && isWritten && e.writeErr == nil
	switch {
	case isComplete && b.reusable && c.reader.Buffered() == 0 && len(c.carried) < maxCarriedIDs:
		c.usableUntil = c.pool.Now().Add(b.idleTimeout)
		c.pool.pushIdle(c)
	case isComplete:
		c.closeIdle()
	default:
		c.reset()
	}
	return nil
}
