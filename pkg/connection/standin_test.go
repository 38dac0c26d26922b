package connection_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/connection"
)

// script responds to one request of a connection. The connection is closed when it returns
// false. number counts the requests of the connection from 1.
type script func(t *testing.T, conn net.Conn, request *http.Request, number int) bool

// serve runs a server that responds with a script. It returns the address and the number of
// accepted connections.
func serve(t *testing.T, s script) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go serveConn(t, conn, s)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort(), &accepted
}

func serveConn(t *testing.T, conn net.Conn, s script) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !s(t, conn, request, number) {
			return
		}
	}
}

func write(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, text)
}

// respondOK reads the request and responds with status 200 and the request's X-Id.
func respondOK(_ *testing.T, conn net.Conn, request *http.Request, _ int) bool {
	_, _ = io.Copy(io.Discard, request.Body)
	write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nContent-Length: 2\r\n\r\nok")
	return true
}

func newPool(limit int) *connection.Pool {
	return connection.NewPool(func(netip.AddrPort) int { return limit }, time.Now)
}

func request(id string) *connection.Request {
	return &connection.Request{
		Method: http.MethodPost, Target: "/a%2Fb?c=d", Host: "host.example",
		Header: http.Header{"X-Id": {id}}, Body: []byte("body of " + id),
		IDHeader: "X-Id",
	}
}
