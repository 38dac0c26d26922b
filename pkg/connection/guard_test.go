package connection_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/connection"
)

// guardedServer refuses ambiguous requests and echoes the bodies of others.
func guardedServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		ReadHeaderTimeout: 100 * time.Millisecond, ConnContext: connection.GuardContext,
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
	go func() { _ = server.Serve(connection.Guard(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// ask sends bytes as they are and returns the status that is answered.
func ask(t *testing.T, address string, requests ...string) []int {
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
	address := guardedServer(t)
	plain := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	both := strings.Replace(chunked, "\r\nTransfer", "\r\ncontent-LENGTH: 3\r\nTransfer", 1)
	require.Equal(t, []int{200, 200, 200}, ask(t, address, plain, chunked, plain))
	require.Equal(t, []int{200, 400}, ask(t, address, plain, both))
}

func TestHeadThatDoesNotComeInTimeIsAnswered(t *testing.T) {
	address := guardedServer(t)
	require.Equal(t, []int{http.StatusRequestTimeout}, ask(t, address, "POST / HTTP/1.1\r\nHost: "))
}
