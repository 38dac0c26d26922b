// Package endingserver is a server for tests that shows how its client ends a connection.
package endingserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// Pause stands for a pause in a response.
	Pause       = "<pause>"
	pauseLength = 5 * time.Millisecond
	// maxWait is the time in which a client must end its connection.
	maxWait = 5 * time.Second
)

// Start starts a server that reads a request, writes response and sends the error of that or of its next
// read: io.EOF after an orderly close and ECONNRESET after a reset.
func Start(t *testing.T, response string) (netip.AddrPort, <-chan error) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	ended := make(chan error, 1)
	go func() {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		for i, part := range strings.Split(response, Pause) {
			if i > 0 {
				time.Sleep(pauseLength)
			}
			if _, err := io.WriteString(conn, part); err != nil {
				ended <- err
				return
			}
		}
		_ = conn.SetReadDeadline(time.Now().Add(maxWait))
		_, err = conn.Read(make([]byte, 1))
		ended <- err
	}()
	return netip.MustParseAddrPort(socket.Addr().String()), ended
}
