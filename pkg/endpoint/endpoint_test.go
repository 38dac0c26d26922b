package endpoint_test

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/endpoint"
)

// startClosingServer starts a server that responds to the first request of each
// connection, if respondsFirst is set, and closes the connection without a
// response on the next request. It returns a counter of all requests.
func startClosingServer(t *testing.T, respondsFirst bool) (netip.AddrPort, *atomic.Int64) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	var count atomic.Int64
	go func() {
		for {
			connection, err := socket.Accept()
			if err != nil {
				return
			}
			go serveConnection(connection, respondsFirst, &count)
		}
	}()
	return netip.MustParseAddrPort(socket.Addr().String()), &count
}

func serveConnection(connection net.Conn, respondsFirst bool, count *atomic.Int64) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body bytes.Buffer
		_, _ = body.ReadFrom(request.Body)
		count.Add(1)
		if number > 0 || !respondsFirst {
			return
		}
		_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}

func newKeyedCall() endpoint.PlainCall {
	return endpoint.PlainCall{
		Method: http.MethodPost, Path: "/reservations", Body: []byte("{}"),
		Header: http.Header{"Idempotency-Key": {"k"}},
	}
}

func TestPromiseTransportNeverSendsAgain(t *testing.T) {
	address, count := startClosingServer(t, true)
	plain := endpoint.NewPlainClient()
	for range 5 {
		_, err := plain.Send(t.Context(), address, newKeyedCall())
		require.NoError(t, err)
	}
	require.Equal(t, int64(5), count.Load())

	address, count = startClosingServer(t, false)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		before := count.Load()
		call := newKeyedCall()
		call.Method = method
		_, err := plain.Send(t.Context(), address, call)
		require.ErrorIs(t, err, endpoint.ErrFailedAfterSend, method)
		require.Equal(t, before+1, count.Load(), method)
	}
}

// The default transport resends a request with an Idempotency-Key after a reused
// connection is lost. This shows that the test above can fail.
func TestDefaultTransportResendsRequest(t *testing.T) {
	address, count := startClosingServer(t, true)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		request, err := http.NewRequest(http.MethodPost, "http://"+address.String(), bytes.NewReader([]byte("{}")))
		require.NoError(t, err)
		request.Header.Set("Idempotency-Key", "k")
		response, err := client.Do(request)
		require.NoError(t, err)
		var body bytes.Buffer
		_, err = body.ReadFrom(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	require.Equal(t, int64(3), count.Load())
}

func TestSendToUnreachableEndpointReportsNotSent(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(socket.Addr().String())
	require.NoError(t, socket.Close())
	_, err = endpoint.NewPlainClient().Send(t.Context(), address, newKeyedCall())
	require.ErrorIs(t, err, endpoint.ErrNotSent)
}
