package connection_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/connection"
)

// writeForever writes a text repeatedly until the peer closes the connection, and counts the
// bytes written.
func writeForever(conn net.Conn, text string, written *atomic.Int64) {
	for {
		n, err := io.WriteString(conn, text)
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

func TestResponseHeadLengthIsLimited(t *testing.T) {
	long := strings.Repeat("x", 1000)
	for name, s := range map[string]struct{ first, rest string }{
		"status line":  {"HTTP/1.1 200 ", long},
		"header lines": {"HTTP/1.1 200 OK\r\n", "X-More: " + long + "\r\n"},
		"one header":   {"HTTP/1.1 200 OK\r\nX-More: ", long},
		"continuation": {"HTTP/1.1 200 OK\r\nX-More: a\r\n", " " + long + "\r\n"},
		"early hints":  {"", "HTTP/1.1 103 Early Hints\r\nX-More: " + long + "\r\n\r\n"},
		"no response":  {"", "\x00\xff" + long},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			closed := make(chan struct{})
			address, _ := serve(t, func(_ *testing.T, conn net.Conn, request *http.Request, _ int) bool {
				defer close(closed)
				_, _ = io.Copy(io.Discard, request.Body)
				write(conn, s.first)
				writeForever(conn, s.rest, &written)
				return false
			})
			_, err := exchange(t, newPool(1), address, "a")
			requireIs(t, err, connection.ErrBroken)
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

func TestLongResponseHeadIsAccepted(t *testing.T) {
	address, _ := serve(t, func(_ *testing.T, conn net.Conn, request *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		write(conn, "HTTP/1.1 200 OK\r\nX-More: "+strings.Repeat("x", 40_000)+"\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	pool := newPool(1)
	for range 3 {
		requireExchange(t, pool, address, "a")
	}
}

// TestConnectionIsClosedAfterResponseLongerThanItsLength has the first further bytes arrive with
// the response.
func TestConnectionIsClosedAfterResponseLongerThanItsLength(t *testing.T) {
	var written atomic.Int64
	address, accepted := serve(t, func(_ *testing.T, conn net.Conn, request *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nContent-Length: 2\r\n\r\nokmore")
		writeForever(conn, "more", &written)
		return false
	})
	pool := newPool(1)
	requireExchange(t, pool, address, "a")
	requireExchange(t, pool, address, "b")
	require.EqualValues(t, 2, accepted.Load())
}

// TestBytesAfterAResponseAreNoResponseToTheNextRequest has the further bytes arrive when the next
// request has been sent. It cannot be known then that the endpoint did not run that request.
func TestBytesAfterAResponseAreNoResponseToTheNextRequest(t *testing.T) {
	var written atomic.Int64
	address, accepted := serve(t, func(t *testing.T, conn net.Conn, request *http.Request, number int) bool {
		if request.Header.Get("X-Id") == "b" {
			writeForever(conn, "more", &written)
			return false
		}
		return respondOK(t, conn, request, number)
	})
	pool := newPool(1)
	requireExchange(t, pool, address, "a")
	_, err := exchange(t, pool, address, "b")
	requireIs(t, err, connection.ErrBroken)
	require.False(t, errors.Is(err, connection.ErrNotSent))
	require.EqualValues(t, 1, accepted.Load())
	requireExchange(t, pool, address, "c")
	require.EqualValues(t, 2, accepted.Load())
}

func TestNewConnectionRequestReusesNoConnection(t *testing.T) {
	address, accepted := serve(t, respondOK)
	pool := newPool(2)
	requireExchange(t, pool, address, "a")
	newConnectionRequest := request("b")
	newConnectionRequest.NewConnection = true
	response, err := pool.Do(t.Context(), address, newConnectionRequest)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.EqualValues(t, 2, accepted.Load())
}
