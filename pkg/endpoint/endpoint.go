// Package endpoint speaks to model engines and plain services over HTTP.
//
// A chat request takes three calls. Prefill posts the caller's body to a prefill
// engine's /v1/chat/completions with kv_transfer_params.do_remote_decode and
// receives a handle of the exported KV cache. Decode posts the same body with
// that handle to a decode engine, which pulls the cache from the prefill engine
// and answers with server-sent events, one token each, numbered by token_offset.
// A stream that goes silent is resumed by Resume on a fresh connection. Cancel
// and ReleaseKV free what an engine holds.
//
// No call is ever sent twice by the HTTP transport: every request that may change
// something uses a connection of its own, and the transport only repeats a
// request after losing a reused connection.
package endpoint

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotSent reports a call of which no byte reached the endpoint.
var ErrNotSent = errors.New("request was not sent")

// ErrBusy reports an endpoint that refused a request because it is full.
var ErrBusy = errors.New("endpoint is full")

// ErrBroken reports a call that failed after it may have reached the endpoint.
var ErrBroken = errors.New("endpoint broke off")

// ErrSilent reports a stream on which nothing arrived in time.
var ErrSilent = errors.New("endpoint is silent")

// ErrGone reports a request or KV cache that the endpoint does not hold.
var ErrGone = errors.New("endpoint does not hold this")

// ErrRejected reports a request that the endpoint refused as wrong.
var ErrRejected = errors.New("endpoint rejected the request")

// The headers of the engine protocol.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	HeaderFencing   = "X-Fencing-Number"
)

// dialTimeout bounds the opening of a connection to an endpoint.
const dialTimeout = time.Second

// newTransport returns a transport that uses each connection for one request.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives: true,
	}
}

// classify tells a call that never left from one that may have arrived.
func classify(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Newf("%v: %w", err, ErrNotSent)
	}
	return errors.Newf("%v: %w", err, ErrBroken)
}

// statusError maps a status that is not a success to one of this package's errors.
func statusError(status int) error {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return errors.Newf("status %d: %w", status, ErrBusy)
	case http.StatusNotFound, http.StatusGone:
		return errors.Newf("status %d: %w", status, ErrGone)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return errors.Newf("status %d: %w", status, ErrRejected)
	default:
		return errors.Newf("status %d: %w", status, ErrBroken)
	}
}

func urlOf(address netip.AddrPort, path string) string {
	return "http://" + address.String() + path
}
