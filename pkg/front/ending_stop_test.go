package front_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStopOfTheDaemonEndsNoResponseAsComplete closes the connections of callers while streams and
// calls are in flight, as a daemon does after its shutdown timeout.
func TestStopOfTheDaemonEndsNoResponseAsComplete(t *testing.T) {
	for _, c := range []struct {
		name, request string
		// begins is true when the response has begun when the connections are closed.
		begins bool
		// framed is true when the end of the connection is the only end of the body.
		framed bool
	}{
		{"streamed, HTTP/1.1", chatRequest("1.1", true), true, false},
		{"streamed, HTTP/1.0", chatRequest("1.0", true), true, true},
		{"not streamed, HTTP/1.0", chatRequest("1.0", false), false, false},
		{"plain, HTTP/1.0", rawRequest("1.0", http.MethodPost, "/services/desk/reservations", "", ""), false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			hold := make(chan struct{})
			defer close(hold)
			s := startStandin(t, func(s *standin, received call) reply {
				switch received.stage {
				case "prefill":
					return s.prefilled()
				case "decode", "resume":
					return reply{raw: streamHead + chunkedHeader + chunks(tokenEvents(received.from, 2)), hold: hold}
				case "plain":
					return reply{raw: plainHead + lengthHeader(len(plainBody)) + plainBody[:100], hold: hold}
				}
				return sound(http.StatusOK, "application/json", "{}")
			})
			server := startServer(t, s.address)
			go func() {
				time.Sleep(200 * time.Millisecond)
				server.CloseClientConnections()
			}()
			got, err := exchange(server.Listener.Addr().String(), c.request)
			require.Equal(t, c.begins, err == nil)
			require.Equal(t, c.framed, got.framed)
			require.False(t, parseAnswer(got, true).complete)
		})
	}
}
