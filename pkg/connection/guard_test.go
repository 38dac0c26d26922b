package connection_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/connection"
)

// headBytes and headTimeout are the limits of guardedServer.
const (
	headBytes   = 512
	headTimeout = 100 * time.Millisecond
)

// guardedServer rejects ambiguous requests and echoes the bodies of others. It records the
// status of each rejected head.
func guardedServer(t *testing.T, rejected *sync.Map) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		ReadHeaderTimeout: 3 * time.Second, ConnContext: connection.GuardContext,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer connection.EndRequest(r.Context())
			if connection.IsAmbiguous(r.Context()) {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			_, _ = io.Copy(w, r.Body)
		}),
	}
	guard := connection.GuardConfig{
		Limits:   func() connection.HeadLimits { return connection.HeadLimits{Bytes: headBytes, Timeout: headTimeout} },
		OnReject: func(_ net.Addr, status int) { rejected.Store(status, true) },
		Now:      time.Now,
	}
	go func() { _ = server.Serve(connection.Guard(listener, guard)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// sendRaw sends raw requests on one connection and returns the statuses of the responses.
func sendRaw(t *testing.T, address string, requests ...string) []int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var statuses []int
	for _, request := range requests {
		_, err := io.WriteString(conn, request)
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
		statuses = append(statuses, response.StatusCode)
	}
	return statuses
}

func TestLengthBesideChunksIsAmbiguous(t *testing.T) {
	address := guardedServer(t, &sync.Map{})
	plain := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	both := strings.Replace(chunked, "\r\nTransfer", "\r\ncontent-LENGTH: 3\r\nTransfer", 1)
	require.Equal(t, []int{200, 200, 200}, sendRaw(t, address, plain, chunked, plain))
	require.Equal(t, []int{200, 400}, sendRaw(t, address, plain, both))
}

func TestLateHeadIsRejectedWithResponse(t *testing.T) {
	rejected := &sync.Map{}
	address := guardedServer(t, rejected)
	require.Equal(t, []int{http.StatusRequestTimeout}, sendRaw(t, address, "POST / HTTP/1.1\r\nHost: "))
	_, reported := rejected.Load(http.StatusRequestTimeout)
	require.True(t, reported)
}

func TestHeadTimeoutBeginsAtFirstByte(t *testing.T) {
	conn, err := net.Dial("tcp", guardedServer(t, &sync.Map{}))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	start := time.Now()
	go func() {
		for range 100 {
			if _, err := io.WriteString(conn, "P"); err != nil {
				return
			}
			time.Sleep(headTimeout / 4)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.Less(t, time.Since(start), 20*headTimeout)
}

func TestHeadOverTheLimitIsRejected(t *testing.T) {
	rejected := &sync.Map{}
	address := guardedServer(t, rejected)
	request := func(head int) string {
		start := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nX-Fill: "
		return start + strings.Repeat("x", head-len(start)-4) + "\r\n\r\nok"
	}
	require.Equal(t, []int{200, 200}, sendRaw(t, address, request(headBytes), request(headBytes-1)))
	require.Equal(t, []int{200, 431}, sendRaw(t, address, request(headBytes), request(headBytes+1)))
	require.Equal(t, []int{431}, sendRaw(t, address, request(100*headBytes)))
	_, reported := rejected.Load(http.StatusRequestHeaderFieldsTooLarge)
	require.True(t, reported)
	body := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n" + strings.Repeat("x", 4000)
	require.Equal(t, []int{200}, sendRaw(t, address, body), "the limit applies to heads only")
}
