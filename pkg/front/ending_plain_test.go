package front_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// plainBody is longer than the 2 KB up to which the HTTP server itself names a length.
var plainBody = `{"reservations":"` + strings.Repeat("x", 5000) + "\"}\n\n"

// plainCase is one row of the table of endings of plain calls.
type plainCase struct {
	transport transport
	// method and key are those of the call. Calls with GET may be sent again.
	method, key string
	// version is the caller's version of HTTP.
	version string
	// healsAt is the number of the first call whose response is sound, 0 for none.
	healsAt int
}

func (c plainCase) String() string {
	return fmt.Sprintf("%s; %s %s; HTTP/%s; heals at %d", c.transport.name, c.method, c.key, c.version, c.healsAt)
}

const plainHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

func (c plainCase) respond(_ *standin, received call) reply {
	if c.healsAt > 0 && received.number >= c.healsAt {
		return sound(http.StatusOK, "application/json", plainBody)
	}
	return c.transport.reply(plainHead, plainBody)
}

func (c plainCase) request() string {
	header := ""
	if c.key != "" {
		header = "Idempotency-Key: " + c.key + "\r\n"
	}
	return rawRequest(c.version, c.method, "/services/desk/reservations", header, "")
}

// run sends the call, and with a key sends it again, and returns what is wrong with the
// responses, or "".
func (c plainCase) run(t *testing.T) string {
	s := startStandin(t, c.respond)
	address := startFront(t, s.address)
	got, err := exchange(address, c.request())
	if err != nil {
		return err.Error()
	}
	if fault := c.check(got, c.healsAt > 0 && c.method == http.MethodGet); fault != "" {
		return fault
	}
	if c.key == "" {
		return ""
	}
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		again, err := exchange(address, c.request())
		switch {
		case err != nil:
			return err.Error()
		case s.count("plain") != 1:
			return "runs twice"
		case again.header.Get("X-Outcome") == "in_progress" && time.Now().Before(deadline):
			// The outcome is recorded in the background.
			continue
		case again.status != http.StatusOK && got.status != http.StatusOK && again.header.Get("X-Outcome") != "outcome_unknown":
			return "tells the outcome " + again.header.Get("X-Outcome") + " later"
		case again.status == http.StatusOK && (got.status != http.StatusOK || again.body != plainBody):
			return "is stored as the result"
		}
		return ""
	}
}

// check returns what is wrong with a response, or "".
func (c plainCase) check(got received, heals bool) string {
	wantComplete := c.transport.isWhole || heals
	switch {
	case got.header.Get("Content-Length") != strconv.Itoa(len(got.body)):
		return "has no length"
	case wantComplete && (got.status != http.StatusOK || got.body != plainBody):
		return fmt.Sprintf("is not complete although the endpoint's was: %d %.200q", got.status, got.body)
	case !wantComplete && got.status == http.StatusOK:
		return fmt.Sprintf("is complete although no endpoint's was: %d bytes", len(got.body))
	case !wantComplete && c.method == http.MethodPost && got.header.Get("X-Outcome") != "outcome_unknown":
		return "tells the outcome " + got.header.Get("X-Outcome")
	}
	return ""
}

func plainCases() []plainCase {
	var cases []plainCase
	for _, t := range transports {
		if t.name == "length too short" {
			// Nothing but its length shows the end of such an answer.
			continue
		}
		for _, version := range []string{"1.1", "1.0"} {
			for _, healsAt := range []int{0, 2} {
				cases = append(cases,
					plainCase{t, http.MethodGet, "", version, healsAt},
					plainCase{t, http.MethodPost, "", version, healsAt},
					plainCase{t, http.MethodPost, "key-1", version, healsAt})
			}
		}
	}
	return cases
}

// TestPromisePlainAnswerIsForwardedWholeOrAsAFailure ends the answers of services in each way,
// for callers of both versions of HTTP.
func TestPromisePlainAnswerIsForwardedWholeOrAsAFailure(t *testing.T) {
	faults := runCases(plainCases(), func(c plainCase) string { return c.run(t) })
	require.Empty(t, faults, "%d faults:\n%s", len(faults), strings.Join(faults, "\n"))
}

// TestLongAnswersHaveALengthForCallersOfHTTP10 guards against answers whose only end is that of
// the connection, which a daemon that is killed ends as well.
func TestLongAnswersHaveALengthForCallersOfHTTP10(t *testing.T) {
	word := strings.Repeat("y", 4000)
	s := startStandin(t, func(s *standin, received call) reply {
		if received.stage == "prefill" {
			return s.prefilled()
		}
		event := fmt.Sprintf("data: {\"token_offset\":0,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", word)
		return transports[0].reply(streamHead, event+finishEvent(1)+doneEvent)
	})
	address := startFront(t, s.address)
	for name, request := range map[string]string{
		"chat":   chatRequest("1.0", false),
		"models": rawRequest("1.0", http.MethodGet, "/v1/models", "", ""),
	} {
		got, err := exchange(address, request)
		require.NoError(t, err, name)
		require.Equal(t, http.StatusOK, got.status, name)
		require.Greater(t, len(got.body), 2048, name)
		require.Equal(t, strconv.Itoa(len(got.body)), got.header.Get("Content-Length"), name)
	}
}

// TestHeadResponseKeepsTheLengthOfItsEndpoint checks responses that have no body.
func TestHeadResponseKeepsTheLengthOfItsEndpoint(t *testing.T) {
	s := startStandin(t, func(_ *standin, received call) reply {
		if received.request.Method == http.MethodHead {
			return reply{raw: plainHead + lengthHeader(4711)}
		}
		return reply{raw: "HTTP/1.1 204 No Content\r\n\r\n"}
	})
	address := startFront(t, s.address)
	got, err := exchange(address, rawRequest("1.1", http.MethodHead, "/services/desk/reservations", "", ""))
	require.NoError(t, err)
	require.Equal(t, "4711", got.header.Get("Content-Length"))
	got, err = exchange(address, rawRequest("1.1", http.MethodGet, "/services/desk/reservations", "", ""))
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, got.status)
	require.Empty(t, got.header.Get("Content-Length"))
}

// TestSwitchOfProtocolsIsNoAnswer guards against a response that has no end.
func TestSwitchOfProtocolsIsNoAnswer(t *testing.T) {
	s := startStandin(t, func(*standin, call) reply {
		return reply{raw: "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n" + plainBody}
	})
	address := startFront(t, s.address)
	got, err := exchange(address, rawRequest("1.1", http.MethodPost, "/services/desk/reservations", "", ""))
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Equal(t, "outcome_unknown", got.header.Get("X-Outcome"))
	require.True(t, got.framed)
}

// TestStoredAnswerIsDecodedLikeTheFirst replays an answer that its service has compressed.
func TestStoredAnswerIsDecodedLikeTheFirst(t *testing.T) {
	s := startStandin(t, func(*standin, call) reply {
		return reply{raw: "HTTP/1.1 201 Created\r\nContent-Type: application/json\r\nContent-Encoding: gzip\r\n" + lengthHeader(4) + "gzip"}
	})
	address := startFront(t, s.address)
	request := rawRequest("1.1", http.MethodPost, "/services/desk/reservations", "Idempotency-Key: key-1\r\nAccept-Encoding: gzip\r\n", "")
	first, err := exchange(address, request)
	require.NoError(t, err)
	require.Equal(t, "gzip", first.header.Get("Content-Encoding"))
	var again received
	require.Eventually(t, func() bool {
		again, err = exchange(address, request)
		return err == nil && again.status != http.StatusConflict
	}, testTimeout, 5*time.Millisecond)
	require.Equal(t, http.StatusCreated, again.status)
	require.Equal(t, "true", again.header.Get("Idempotent-Replayed"))
	require.Equal(t, first.body, again.body)
	require.Equal(t, "gzip", again.header.Get("Content-Encoding"))
}
