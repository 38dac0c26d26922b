package endpoint_test

import (
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/endpoint"
)

// TestEndlessHeadOfAnEndpointIsNotKept guards against callers that run out of memory since they keep
// the head of a response that never ends. The client closes the connection within a few times the
// longest head.
func TestEndlessHeadOfAnEndpointIsNotKept(t *testing.T) {
	const longestHead = 64 << 10
	for name, s := range map[string]struct{ first, rest string }{
		"status line": {"HTTP/1.1 200 ", "OK"},
		"field":       {"HTTP/1.1 200 OK\r\nX-More: ", "xxxx"},
		"fields":      {"HTTP/1.1 200 OK\r\n", "X-More: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			written := make(chan int, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				// Small buffers, so that what is written has been read.
				_ = conn.(*net.TCPConn).SetWriteBuffer(4096)
				_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
				total, _ := io.WriteString(conn, s.first)
				text := strings.Repeat(s.rest, 1+4096/len(s.rest))
				for {
					n, err := io.WriteString(conn, text)
					if total += n; err != nil {
						written <- total
						return
					}
				}
			}()
			client := endpoint.NewPlainClient()
			_, err = client.Send(t.Context(), netip.MustParseAddrPort(listener.Addr().String()), newKeyedCall())
			require.ErrorIs(t, err, endpoint.ErrFailedAfterSend)
			// The receive buffer of the client takes some as well.
			require.Less(t, <-written, 4*longestHead+(1<<20))
		})
	}
}
