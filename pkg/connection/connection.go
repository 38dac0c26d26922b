// Package connection sends HTTP/1.1 requests to endpoints over persistent connections.
//
// Pool.Do uses an idle connection that is still usable, or opens one within the limit of its
// address. It writes the request with the bytes of its target and body unchanged, and reads
// the head of the response that belongs to it. The caller reads the body. A connection
// returns to the pool only when the request was written completely and the response was read
// to its end. Otherwise it is closed.
//
// The package never retries a request, since only its users can decide which requests may
// be retried. Errors report whether anything was sent: ErrNotSent means that the endpoint
// certainly received no part of the request.
package connection

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotSent is returned for a request of which the endpoint certainly received nothing.
var ErrNotSent = errors.New("request was not sent")

// ErrBroken is returned when a connection fails after the request, or a part of it, was sent.
// The endpoint may have run the request.
var ErrBroken = errors.New("connection broke during the exchange")

// ErrLimit is returned when the limit of connections to an address is reached. It wraps
// ErrNotSent.
var ErrLimit = errors.Newf("connection limit is reached: %w", ErrNotSent)

// Request is a request to an endpoint.
type Request struct {
	Method string
	// Target is the request target as it is written on the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the field of Header that identifies the request. The endpoint repeats it
	// in its response. Responses with another value, or without the field, belong to earlier
	// requests and are skipped. A response to an earlier request may have the same value if
	// that request was sent on the same connection, so no connection carries a value twice.
	// Without IDHeader, each response is accepted.
	IDHeader string
	// NewConnection requires a new connection, on which no response to an earlier request
	// can arrive. It is for requests whose responses cannot be distinguished.
	NewConnection bool
}

// id returns the value that identifies the request.
func (r *Request) id() string {
	if r.IDHeader == "" {
		return ""
	}
	return r.Header.Get(r.IDHeader)
}

// matches reports whether the head of a response belongs to the request.
func (r *Request) matches(response http.Header) bool {
	return r.IDHeader == "" || response.Get(r.IDHeader) == r.id()
}

// Framing is the way in which a response shows the end of its body (RFC 9112, section 6.3).
type Framing string

// The framings. A body that ends with its connection is complete if the connection was closed
// and not reset.
const (
	FramingLength Framing = "length"
	FramingChunks Framing = "chunks"
	FramingClose  Framing = "close"
)

// Response is the head of a response and its body.
type Response struct {
	Status  int
	Header  http.Header
	Framing Framing
	// Body ends with io.EOF only when the response is complete. Close must be called. It
	// closes the connection when the body was not read to its end.
	Body *Body
}

const (
	// dialTimeout limits the opening of a connection. A healthy endpoint takes a few
	// milliseconds.
	dialTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout is how long sent data may stay unacknowledged before the
	// connection is closed. It is longer than the retransmissions on a lossy link take.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// probeInterval is the interval between keep-alive probes of an idle connection.
	probeInterval = time.Second
	// probeCount is the number of unanswered probes after which a connection is closed.
	probeCount = 2
	// defaultIdleTimeout is how long a connection may be idle and still be used again,
	// when the endpoint states no idle timeout. It is shorter than the usual 5 s of HTTP
	// servers.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that an endpoint states, so that
	// a request is not sent while the endpoint closes the connection.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxIdlePerAddress limits the idle connections to one address.
	maxIdlePerAddress = 64
	// maxCarriedIDs limits the requests with an ID that one connection carries. It bounds the
	// memory of their IDs to 8 KB per connection. A connection is closed after its last
	// request, so no ID is forgotten while a response to it can arrive.
	maxCarriedIDs = 1024
	// smallBodyLimit is the size up to which a body is written before the response is read.
	// The buffer of the socket has 16 KB or more, so the write completes even when the peer
	// reads nothing.
	smallBodyLimit = 4 << 10
	// writerWaitTimeout limits the wait at the end of an exchange for the goroutine that
	// writes a larger request. If the request was sent completely, the goroutine only needs
	// to be scheduled to report it.
	writerWaitTimeout = 10 * time.Millisecond
	// maxHeadBytes limits the head of a response and of the interim ones before it. HTTP servers
	// and proxies usually allow 8 to 64 KB.
	maxHeadBytes = 64 << 10
	// maxInterimResponses limits the interim responses (status 1xx) before a response.
	maxInterimResponses = 32
	// maxLateResponses limits the late responses to earlier requests that are skipped for
	// one request.
	maxLateResponses = 4
	// maxLateBytes limits the body of each skipped response.
	maxLateBytes = 1 << 20
)
