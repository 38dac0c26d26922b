package endingserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Ending is how a server ends a connection after an early response.
type Ending string

const (
	// Reset resets the connection. Orderly ends the response and reads the rest of the request.
	Reset   Ending = "reset"
	Orderly Ending = "orderly"
	// OrderlyUnread ends the response and never reads the rest, and OrderlyThenReset resets the
	// connection a moment later.
	OrderlyUnread    Ending = "orderly, the rest is not read"
	OrderlyThenReset Ending = "orderly, then reset"
)

// IsOrderly reports whether a response without a length is complete.
func (e Ending) IsOrderly() bool { return e != Reset }

// Endings are all endings.
var Endings = []Ending{Reset, Orderly, OrderlyUnread, OrderlyThenReset}

// earlyPause is the time between an early response and the end of the connection, in which the client
// fills the buffers of the connection.
const earlyPause = 20 * time.Millisecond

// Respond returns a function that responds to all requests alike.
func Respond(response string) func(r *http.Request) string {
	return func(*http.Request) string { return response }
}

// StartEarly starts a server that responds to each connection when it has read the head of the request,
// and then ends the connection.
func StartEarly(t *testing.T, respond func(r *http.Request) string, ending Ending) netip.AddrPort {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	end := make(chan struct{})
	t.Cleanup(func() { close(end) })
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go respondEarly(conn.(*net.TCPConn), respond, ending, end)
		}
	}()
	return netip.MustParseAddrPort(socket.Addr().String())
}

func respondEarly(conn *net.TCPConn, respond func(r *http.Request) string, ending Ending, end <-chan struct{}) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 2<<10)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, respond(request))
	time.Sleep(earlyPause)
	if ending == Reset {
		_ = conn.SetLinger(0)
		return
	}
	_ = conn.CloseWrite()
	switch ending {
	case Orderly:
		_, _ = io.Copy(io.Discard, reader)
	case OrderlyUnread:
		<-end
	case OrderlyThenReset:
		time.Sleep(earlyPause)
		_ = conn.SetLinger(0)
	}
}
