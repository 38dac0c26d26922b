// Package endpoint calls model engines and plain services over HTTP.
//
// A chat request takes three calls. Prefill posts the caller's body to a prefill
// engine's /v1/chat/completions with kv_transfer_params.do_remote_decode and
// receives a handle of the exported KV cache. Decode posts the same body with
// that handle to a decode engine, which pulls the cache from the prefill engine
// and responds with server-sent events, one token each, numbered by token_offset.
// Resume continues a stream that sends no data on a new connection. Cancel and
// ReleaseKV free the resources of a request at an engine.
//
// The HTTP transport never sends a call twice. It resends a request only after a
// reused connection is lost, and here no connection is reused.
package endpoint

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotSent reports a call that failed before any byte reached the endpoint.
var ErrNotSent = errors.New("request was not sent")

// ErrBusy reports an endpoint that rejected a request because it is at capacity.
var ErrBusy = errors.New("endpoint is at capacity")

// ErrFailedAfterSend reports a call that failed after it may have reached the endpoint.
var ErrFailedAfterSend = errors.New("call failed after it was sent")

// ErrIdleTimeout reports a stream that received no data within its idle timeout.
var ErrIdleTimeout = errors.New("stream received no data within its idle timeout")

// ErrNotFound reports a request or KV cache that the endpoint does not have.
var ErrNotFound = errors.New("request or KV cache not found at the endpoint")

// ErrRejected reports a request that the endpoint rejected as invalid.
var ErrRejected = errors.New("endpoint rejected the request")

// The headers of the engine protocol.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	HeaderFencing   = "X-Fencing-Number"
)

const (
	// dialTimeout limits the time to connect to an endpoint.
	dialTimeout = time.Second
	// maxHeadBytes limits the head of a response. The default of net/http, 10 MiB, is a sixth of the
	// memory of a small host.
	maxHeadBytes = 64 << 10
)

// newClient returns a client that uses each connection for one request and returns
// redirects as responses.
func newClient() *http.Client {
	return &http.Client{
		Transport: exchangeTransport{&http.Transport{
			DialContext:            dialExchange,
			DisableKeepAlives:      true,
			MaxResponseHeaderBytes: maxHeadBytes,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// classifyError returns ErrNotSent if the connection could not be opened, and
// ErrFailedAfterSend otherwise.
func classifyError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errors.Newf("%v: %w", err, ErrNotSent)
	}
	return errors.Newf("%v: %w", err, ErrFailedAfterSend)
}

// statusError maps an unsuccessful HTTP status to one of this package's errors.
func statusError(status int) error {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return errors.Newf("status %d: %w", status, ErrBusy)
	case http.StatusNotFound, http.StatusGone:
		return errors.Newf("status %d: %w", status, ErrNotFound)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return errors.Newf("status %d: %w", status, ErrRejected)
	default:
		return errors.Newf("status %d: %w", status, ErrFailedAfterSend)
	}
}

func urlOf(address netip.AddrPort, path string) string {
	return "http://" + address.String() + path
}
