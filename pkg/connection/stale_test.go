package connection_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/connection"
)

// requireBody sends a request and requires the body of its response.
func requireBody(t *testing.T, pool *connection.Pool, address netip.AddrPort, request *connection.Request, body string) {
	t.Helper()
	response, err := pool.Do(t.Context(), address, request)
	require.NoError(t, err)
	content, err := io.ReadAll(response.Body)
	require.NoError(t, response.Body.Close())
	require.NoError(t, err)
	require.Equal(t, body, string(content))
}

// repeatLastResponse returns a script whose response is the number of the request on its
// connection, in words. When it has read the next request of the connection, it writes the
// previous response again before its own.
func repeatLastResponse() script {
	var mu sync.Mutex
	last := map[net.Conn]string{}
	return func(_ *testing.T, conn net.Conn, r *http.Request, number int) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		defer mu.Unlock()
		write(conn, last[conn])
		body := fmt.Sprint("request ", number)
		last[conn] = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), len(body), body)
		write(conn, last[conn])
		return true
	}
}

func TestStaleResponseToAnotherIDIsSkipped(t *testing.T) {
	address, accepted := serve(t, repeatLastResponse())
	pool := newPool(4)
	for i := range 10 {
		requireBody(t, pool, address, request(fmt.Sprint("id ", i)), fmt.Sprint("request ", i+1))
	}
	require.EqualValues(t, 1, accepted.Load())
}

func TestNoConnectionCarriesAnIDTwice(t *testing.T) {
	address, accepted := serve(t, repeatLastResponse())
	pool := newPool(4)
	for i := range 4 {
		requireBody(t, pool, address, request("repeated"), "request 1")
		require.EqualValues(t, i+1, accepted.Load())
	}
	// All other requests are sent on these connections.
	for i := range 4 {
		requireBody(t, pool, address, request(fmt.Sprint("other ", i)), fmt.Sprint("request ", i+2))
	}
	require.EqualValues(t, 4, accepted.Load())
}

func TestConnectionThatCarriedAnIDIsReplacedAtTheLimit(t *testing.T) {
	address, accepted := serve(t, repeatLastResponse())
	pool := newPool(2)
	for i := range 6 {
		requireBody(t, pool, address, request("repeated"), "request 1")
		require.EqualValues(t, i+1, accepted.Load())
		require.LessOrEqual(t, pool.OpenConnections(address), 2)
	}
	requireBody(t, pool, address, request("other"), "request 2")
	newConnectionRequest := request("another")
	newConnectionRequest.NewConnection = true
	requireBody(t, pool, address, newConnectionRequest, "request 1")
	require.EqualValues(t, 7, accepted.Load())
	require.Equal(t, 2, pool.OpenConnections(address))
}

// TestConnectionInUseIsNotReplacedAtTheLimit has all connections but one in use.
func TestConnectionInUseIsNotReplacedAtTheLimit(t *testing.T) {
	address, _ := serve(t, respondOK)
	pool := newPool(2)
	first, err := pool.Do(t.Context(), address, request("repeated"))
	require.NoError(t, err)
	second, err := pool.Do(t.Context(), address, request("repeated"))
	require.NoError(t, err)
	_, err = pool.Do(t.Context(), address, request("repeated"))
	requireIs(t, err, connection.ErrLimit)
	for _, response := range []*connection.Response{first, second} {
		content, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "ok", string(content))
		require.NoError(t, response.Body.Close())
	}
}

// TestConnectionIsClosedWhenItsMemoryOfIDsIsFull sends more requests than a connection
// remembers, and then the ID of the first one.
func TestConnectionIsClosedWhenItsMemoryOfIDsIsFull(t *testing.T) {
	const carried = 1024
	address, accepted := serve(t, repeatLastResponse())
	pool := newPool(1)
	for i := range carried {
		requireBody(t, pool, address, request(fmt.Sprint("id ", i)), fmt.Sprint("request ", i+1))
	}
	require.EqualValues(t, 1, accepted.Load())
	require.Zero(t, pool.OpenConnections(address))
	requireBody(t, pool, address, request("id 0"), "request 1")
	require.EqualValues(t, 2, accepted.Load())
}

func TestResponseWithoutTheIDIsSkipped(t *testing.T) {
	address, _ := serve(t, func(t *testing.T, conn net.Conn, r *http.Request, number int) bool {
		write(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nrefused")
		return respondOK(t, conn, r, number)
	})
	requireExchange(t, newPool(1), address, "a")
}

// TestRequestWithAnEmptyIDUsesANewConnection sends requests whose field for the ID is empty.
// A response to one cannot be told from a response to another.
func TestRequestWithAnEmptyIDUsesANewConnection(t *testing.T) {
	address, accepted := serve(t, repeatLastResponse())
	pool := newPool(1)
	for i := range 3 {
		requireBody(t, pool, address, request(""), "request 1")
		require.EqualValues(t, i+1, accepted.Load())
	}
	requireBody(t, pool, address, request("a"), "request 2")
}

// TestRequestIsNotHarmedByAStaleResponseToOneWithoutID sends a request without an ID, which
// accepts a stale response. Its own response arrives when the next request has been sent.
func TestRequestIsNotHarmedByAStaleResponseToOneWithoutID(t *testing.T) {
	address, accepted := serve(t, func(_ *testing.T, conn net.Conn, r *http.Request, number int) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		if number == 2 {
			write(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\nrequest 1")
			time.Sleep(20 * time.Millisecond)
		}
		write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 9\r\n\r\nrequest %d", r.Header.Get("X-Id"), number))
		return true
	})
	pool := newPool(1)
	requireBody(t, pool, address, request("a"), "request 1")
	withoutID := &connection.Request{Method: http.MethodDelete, Target: "/x", Host: "host.example", Header: http.Header{}}
	requireBody(t, pool, address, withoutID, "request 1")
	requireBody(t, pool, address, request("b"), "request 3")
	require.EqualValues(t, 1, accepted.Load())
}

// TestConnectionIsClosedWhenABodyIsNotRead closes a response before its body has arrived.
func TestConnectionIsClosedWhenABodyIsNotRead(t *testing.T) {
	address, accepted := serve(t, func(_ *testing.T, conn net.Conn, r *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nContent-Length: 2\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		write(conn, "ok")
		return true
	})
	pool := newPool(1)
	response, err := pool.Do(t.Context(), address, request("a"))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	requireExchange(t, pool, address, "b")
	require.EqualValues(t, 2, accepted.Load())
}

func TestEarlyResponsesWithoutEndAreLimited(t *testing.T) {
	address, accepted := serve(t, func(t *testing.T, conn net.Conn, r *http.Request, number int) bool {
		write(conn, strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Id: a\r\n\r\n", 100))
		return respondOK(t, conn, r, number)
	})
	pool := newPool(1)
	_, err := exchange(t, pool, address, "a")
	requireIs(t, err, connection.ErrBroken)
	require.Zero(t, pool.OpenConnections(address))
	require.EqualValues(t, 1, accepted.Load())
}
