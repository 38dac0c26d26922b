package connection_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/connection"
)

// exchange sends a request and reads the whole response.
func exchange(t *testing.T, pool *connection.Pool, address netip.AddrPort, id string) (string, error) {
	t.Helper()
	response, err := pool.Do(t.Context(), address, request(id))
	if err != nil {
		return "", err
	}
	content, err := io.ReadAll(response.Body)
	require.NoError(t, response.Body.Close())
	return string(content), err
}

// requireIs checks for a marked error, which only errors.Is of cockroachdb/errors finds.
func requireIs(t *testing.T, err, mark error) {
	t.Helper()
	require.True(t, errors.Is(err, mark), "%v", err)
}

func requireExchange(t *testing.T, pool *connection.Pool, address netip.AddrPort, id string) {
	t.Helper()
	content, err := exchange(t, pool, address, id)
	require.NoError(t, err)
	require.Equal(t, "ok", content)
}

func TestConnectionIsReusedAndBytesAreUnchanged(t *testing.T) {
	address, accepted := serve(t, func(t *testing.T, conn net.Conn, r *http.Request, number int) bool {
		content, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.Equal(t, "body of "+r.Header.Get("X-Id"), string(content))
		require.Equal(t, "/a%2Fb?c=d", r.RequestURI)
		require.Equal(t, "host.example", r.Host)
		return respondOK(t, conn, r, number)
	})
	pool := newPool(4)
	for _, id := range []string{"1", "2", "3"} {
		requireExchange(t, pool, address, id)
	}
	require.EqualValues(t, 1, accepted.Load())
}

func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	address, accepted := serve(t, func(t *testing.T, conn net.Conn, r *http.Request, number int) bool {
		respondOK(t, conn, r, number)
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: stray\r\nContent-Length: 5\r\n\r\nstray")
		return true
	})
	pool := newPool(4)
	requireExchange(t, pool, address, "1")
	time.Sleep(20 * time.Millisecond)
	requireExchange(t, pool, address, "2")
	require.EqualValues(t, 2, accepted.Load())
}

func TestLateResponseOfAnotherRequestIsSkipped(t *testing.T) {
	address, _ := serve(t, func(t *testing.T, conn net.Conn, r *http.Request, number int) bool {
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: earlier\r\nContent-Length: 5\r\n\r\nwrong")
		return respondOK(t, conn, r, number)
	})
	requireExchange(t, newPool(4), address, "1")
}

func TestTruncatedResponsesAreBroken(t *testing.T) {
	for name, head := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nshort",
		"chunks": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"head":   "HTTP/1.1 200 OK\r\nX-Id",
		"none":   "",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(_ *testing.T, conn net.Conn, r *http.Request, _ int) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				write(conn, head)
				return false
			})
			_, err := exchange(t, newPool(4), address, "1")
			requireIs(t, err, connection.ErrBroken)
			require.False(t, errors.Is(err, connection.ErrNotSent))
		})
	}
}

func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	var reset atomic.Bool
	address, _ := serve(t, func(_ *testing.T, conn net.Conn, r *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok")
		if reset.Load() {
			_ = conn.(*net.TCPConn).SetLinger(0)
			time.Sleep(20 * time.Millisecond)
		}
		return false
	})
	pool := newPool(4)
	requireExchange(t, pool, address, "1")
	reset.Store(true)
	_, err := exchange(t, pool, address, "1")
	requireIs(t, err, connection.ErrBroken)
}

func TestConnectionIsNotReusedAfterResponseToPartialRequest(t *testing.T) {
	address, accepted := serve(t, func(_ *testing.T, conn net.Conn, r *http.Request, _ int) bool {
		write(conn, "HTTP/1.1 413 Too Large\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(100 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
		return true
	})
	pool := newPool(4)
	long := request("1")
	long.Body = []byte(strings.Repeat("x", 32<<20))
	response, err := pool.Do(t.Context(), address, long)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, response.Status)
	require.NoError(t, response.Body.Close())
	requireExchange(t, pool, address, "2")
	require.EqualValues(t, 2, accepted.Load())
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, listener.Close())
	_, err = exchange(t, newPool(4), address, "1")
	requireIs(t, err, connection.ErrNotSent)
	require.Error(t, newPool(4).OpenIdle(t.Context(), address))
}

func TestConnectionLimitOfAnAddressApplies(t *testing.T) {
	address, _ := serve(t, respondOK)
	pool := newPool(1)
	response, err := pool.Do(t.Context(), address, request("1"))
	require.NoError(t, err)
	_, err = pool.Do(t.Context(), address, request("2"))
	requireIs(t, err, connection.ErrLimit)
	requireIs(t, err, connection.ErrNotSent)
	_, _ = io.Copy(io.Discard, response.Body)
	require.NoError(t, response.Body.Close())
	requireExchange(t, pool, address, "3")
}

func TestClosedOrOldConnectionIsNotUsedAgain(t *testing.T) {
	address, accepted := serve(t, func(_ *testing.T, conn net.Conn, r *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nKeep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nok")
		return r.Header.Get("X-Id") != "closes"
	})
	now := time.Now()
	pool := connection.NewPool(func(netip.AddrPort) int { return 4 }, func() time.Time { return now })
	requireExchange(t, pool, address, "closes")
	time.Sleep(20 * time.Millisecond)
	requireExchange(t, pool, address, "2")
	require.EqualValues(t, 2, accepted.Load())
	now = now.Add(1800 * time.Millisecond)
	requireExchange(t, pool, address, "3")
	require.EqualValues(t, 3, accepted.Load(), "the endpoint stated an idle timeout of 2 s")
	pool.Sweep(now.Add(time.Minute))
	require.Zero(t, pool.OpenConnections(address))
}

func TestCancelledContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := serve(t, func(_ *testing.T, conn net.Conn, r *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	response, err := newPool(4).Do(ctx, address, request("1"))
	require.NoError(t, err)
	cancel()
	_, err = io.ReadAll(response.Body)
	require.True(t, errors.Is(err, connection.ErrBroken), "%v", err)
	require.NoError(t, response.Body.Close())
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection of the endpoint is still open")
	}
}
