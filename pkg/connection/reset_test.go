package connection_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/connection"
)

// TestExchangeThatIsNotCompleteEndsWithAReset guards against requests that reach an endpoint seconds
// after they were given up, since the kernel sends again what a connection that is closed in order has
// not delivered.
func TestExchangeThatIsNotCompleteEndsWithAReset(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n"
	giveUp := func(t *testing.T, pool *connection.Pool, address netip.AddrPort) {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		response, err := pool.Do(ctx, address, request("a"))
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, response.Body.Close())
		}
		requireIs(t, err, connection.ErrBroken)
	}
	leaveBody := func(t *testing.T, pool *connection.Pool, address netip.AddrPort) {
		response, err := pool.Do(t.Context(), address, request("a"))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	complete := func(t *testing.T, pool *connection.Pool, address netip.AddrPort) {
		requireExchange(t, pool, address, "a")
	}
	for name, c := range map[string]struct {
		response string
		do       func(t *testing.T, pool *connection.Pool, address netip.AddrPort)
		// after is called when the exchange has ended.
		after    func(pool *connection.Pool, address netip.AddrPort)
		expected error
	}{
		"no response":                   {do: giveUp, expected: syscall.ECONNRESET},
		"part of a head":                {response: "HTTP/1.1 200 OK\r\nX-Id", do: giveUp, expected: syscall.ECONNRESET},
		"part of a body":                {response: ok + "\r\no", do: giveUp, expected: syscall.ECONNRESET},
		"body that is not read":         {response: ok + "\r\nok", do: leaveBody, expected: syscall.ECONNRESET},
		"no HTTP":                       {response: "\x00\xff\r\n\r\n", do: giveUp, expected: syscall.ECONNRESET},
		"complete, must not be reused":  {response: ok + "Connection: close\r\n\r\nok", do: complete, expected: io.EOF},
		"complete, idle for too long":   {response: ok + "\r\nok", do: complete, after: func(p *connection.Pool, _ netip.AddrPort) { p.Sweep(time.Now().Add(time.Minute)) }, expected: io.EOF},
		"complete, the pool is closed":  {response: ok + "\r\nok", do: complete, after: func(p *connection.Pool, _ netip.AddrPort) { p.Close() }, expected: io.EOF},
		"complete, replaced at a limit": {response: ok + "\r\nok", do: complete, after: func(p *connection.Pool, a netip.AddrPort) { _ = p.OpenIdle(context.Background(), a) }, expected: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 2)
			address, _ := serve(t, func(_ *testing.T, conn net.Conn, request *http.Request, _ int) bool {
				_, _ = io.Copy(io.Discard, request.Body)
				write(conn, c.response)
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				_, err := conn.Read(make([]byte, 1))
				ended <- err
				return false
			})
			pool := newPool(1)
			c.do(t, pool, address)
			if c.after != nil {
				c.after(pool, address)
			}
			require.ErrorIs(t, <-ended, c.expected)
		})
	}
}

// TestRestOfARequestThatIsGivenUpIsNotDelivered has an endpoint that reads a long request only after its
// caller has given it up.
func TestRestOfARequestThatIsGivenUpIsNotDelivered(t *testing.T) {
	// The endpoint takes a few KB before it reads, and the kernel of the caller keeps the rest.
	const length, receiveBuffer = 48 << 10, 4 << 10
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	received, givenUp := make(chan int64, 1), make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		<-givenUp
		n, _ := io.Copy(io.Discard, conn)
		received <- n
	}()
	long := request("a")
	long.Body = bytes.Repeat([]byte("x"), length)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = newPool(1).Do(ctx, listener.Addr().(*net.TCPAddr).AddrPort(), long)
	requireIs(t, err, connection.ErrBroken)
	close(givenUp)
	require.Less(t, <-received, int64(length))
}

// TestWrittenRequestIsSeenByALateProcess guards against sound connections that are not reused since the
// process runs on only when the wait for a write that has ended has timed out too.
func TestWrittenRequestIsSeenByALateProcess(t *testing.T) {
	done := make(chan struct{})
	require.False(t, connection.AwaitClose(done, 0))
	close(done)
	for range 1000 {
		require.True(t, connection.AwaitClose(done, 0))
	}
}
