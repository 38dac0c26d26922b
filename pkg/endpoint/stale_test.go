package endpoint_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/endpoint"
)

// startStaleServer starts a faulty server. Its responses to the first request of each
// connection are refusals. When it has read the next request of a connection, it writes the
// refusal again before the response.
func startStaleServer(t *testing.T, response string) netip.AddrPort {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	accepted := 0
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			accepted++
			go serveStale(conn, accepted == 1, response)
		}
	}()
	return netip.MustParseAddrPort(socket.Addr().String())
}

func serveStale(conn net.Conn, refusesFirst bool, response string) {
	defer func() { _ = conn.Close() }()
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if refusesFirst {
			_, _ = io.WriteString(conn, refusal)
		}
		if !refusesFirst || number > 1 {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(response), response)
		}
	}
}

// TestStaleRefusalIsNotBelievedForTheNextCall sends calls to an endpoint that writes a refusal
// again on the connection of the refused call.
func TestStaleRefusalIsNotBelievedForTheNextCall(t *testing.T) {
	t.Run("plain", func(t *testing.T) {
		address := startStaleServer(t, "ok")
		plain := endpoint.NewPlainClient()
		refused, err := plain.Send(t.Context(), address, newKeyedCall())
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, refused.Status)
		for range 5 {
			served, err := plain.Send(t.Context(), address, newKeyedCall())
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, served.Status)
		}
	})
	t.Run("prefill", func(t *testing.T) {
		address := startStaleServer(t, `{"kv_transfer_params":{"handle":{"remote_address":"127.0.0.1:1","remote_kv_id":"h","bytes":1}}}`)
		engine := endpoint.NewEngineClient()
		call := endpoint.Call{RequestID: "0a", Body: map[string]json.RawMessage{}}
		_, err := engine.Prefill(t.Context(), address, call)
		require.ErrorIs(t, err, endpoint.ErrBusy)
		for range 5 {
			handle, err := engine.Prefill(t.Context(), address, call)
			require.NoError(t, err)
			require.Equal(t, "h", handle.ID)
		}
	})
}
