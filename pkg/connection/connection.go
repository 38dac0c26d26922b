// Package connection exchanges HTTP/1.1 requests with endpoints over kept
// connections.
//
// The flow is: Pool.Do takes a kept connection that is still sound, or opens one
// within the limit of its address, writes the request with the bytes of its
// target and body unchanged, and reads the head of the response that belongs to
// it. The caller reads the body. A connection goes back to the pool only when
// both sides are exactly at the end of the exchange; any doubt closes it.
//
// The package never sends a request a second time: whoever calls it knows what
// may be repeated. Errors tell whether anything was sent: ErrNotSent means that
// the endpoint certainly received no part of the request.
package connection

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotSent reports a request of which the endpoint certainly received nothing.
var ErrNotSent = errors.New("request was not sent")

// ErrBroken reports a connection that failed after the request, or a part of
// it, was sent. The request may have run.
var ErrBroken = errors.New("connection broke during the exchange")

// ErrLimit reports that the address has as many connections as are allowed. It
// wraps ErrNotSent.
var ErrLimit = errors.Newf("connection limit is reached: %w", ErrNotSent)

// Request is what is sent.
type Request struct {
	Method string
	// Target is the request target as it stands on the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether the head of a response belongs to this request.
	// Responses to earlier requests may arrive late and are read over.
	Matches func(header http.Header) bool
	// Fresh asks for a new connection, on which no response to an earlier request can
	// arrive. It is for requests whose responses cannot be told apart.
	Fresh bool
}

// Response is the head of a response and its body.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only when the response is complete. Close must be
	// called; before the end of the body it closes the connection.
	Body *Body
}

const (
	// dialTimeout bounds the opening of a connection; a healthy endpoint takes a
	// few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout ends a connection whose peer acknowledges nothing. It
	// is above the retransmissions of a lossy link.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// probePeriod spaces the probes of a connection that carries nothing.
	probePeriod = time.Second
	// probeCount is the number of unanswered probes that end a connection.
	probeCount = 2
	// defaultIdleTimeout is the age of an unused connection from which it is not
	// used again, when the endpoint names none. It is below the usual 5 s of HTTP
	// servers.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is taken off the idle timeout that an endpoint names, so that a
	// request does not cross with the close.
	idleMargin = 500 * time.Millisecond
	// maxIdle bounds the kept connections to one address.
	maxIdle = 64
	// smallBody is the size up to which a body is sent before the answer is awaited:
	// the socket's buffer, 16 KB and more, takes it also when the peer reads nothing.
	smallBody = 4 << 10
	// writerGrace is the time in which the writer of a larger request that was sent
	// whole is scheduled to say so.
	writerGrace = 10 * time.Millisecond
	// maxHeadBytes bounds the head of a response. HTTP servers and proxies usually allow
	// 8 to 64 KB.
	maxHeadBytes = 64 << 10
	// maxLateResponses bounds the responses to earlier requests that are read over.
	maxLateResponses = 4
	// maxLateBytes bounds their bodies.
	maxLateBytes = 1 << 20
)
