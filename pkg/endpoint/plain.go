package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

// maxResponseBytes limits the response body of a plain service.
const maxResponseBytes = 16 << 20

// PlainCall is one call to a plain service.
type PlainCall struct {
	Method string
	// Path contains the path and the query.
	Path   string
	Header http.Header
	Body   []byte
}

// PlainResponse is the complete response to a PlainCall.
type PlainResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// PlainClient sends requests to plain services.
type PlainClient struct {
	client *http.Client
}

// NewPlainClient returns a PlainClient that does not follow redirects. A redirect is
// forwarded to the caller.
func NewPlainClient() *PlainClient {
	return &PlainClient{client: newClient()}
}

// hopByHopHeaders apply to a single connection and are not forwarded. Authorization
// is on the list because it contains the caller's token for the front.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization",
}

// Send sends the call once. With ErrNotSent, no byte reached the endpoint. With
// ErrFailedAfterSend, the call may have run.
func (p *PlainClient) Send(ctx context.Context, address netip.AddrPort, call PlainCall) (PlainResponse, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, urlOf(address, call.Path), bytes.NewReader(call.Body))
	if err != nil {
		return PlainResponse{}, errors.Newf("build request: %v: %w", err, ErrNotSent)
	}
	request.GetBody = nil
	request.Header = forwardHeader(call.Header)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	response, err := p.client.Do(request)
	if err != nil {
		return PlainResponse{}, classifyError(err)
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		// Its body is a connection without an end.
		_ = response.Body.Close()
		return PlainResponse{}, errors.Newf("status %d: %w", response.StatusCode, ErrFailedAfterSend)
	}
	defer drainAndClose(response)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return PlainResponse{}, errors.Newf("read response: %v: %w", err, ErrFailedAfterSend)
	}
	if len(body) > maxResponseBytes {
		return PlainResponse{}, errors.Newf("response is larger than %d bytes: %w", maxResponseBytes, ErrFailedAfterSend)
	}
	return PlainResponse{Status: response.StatusCode, Header: forwardHeader(response.Header), Body: body}, nil
}

// Probe returns an error if the service does not accept a connection.
func (p *PlainClient) Probe(ctx context.Context, address netip.AddrPort) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return errors.Newf("open connection: %w", err)
	}
	return conn.Close()
}

// forwardHeader returns a copy without the headers that apply to a single connection.
func forwardHeader(header http.Header) http.Header {
	result := header.Clone()
	if result == nil {
		result = http.Header{}
	}
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		result.Del(strings.TrimSpace(name))
	}
	for _, name := range hopByHopHeaders {
		result.Del(name)
	}
	return result
}
