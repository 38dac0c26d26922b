package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// prefillCase is one row of the table of endings of prefills. The second prefill is sound.
type prefillCase struct {
	transport transport
	name      string
	body      string
}

func (c prefillCase) String() string { return c.transport.name + "; " + c.name }

const soundHandle = `{"kv_transfer_params":{"handle":{"remote_address":"127.0.0.1:9","remote_kv_id":"kv-1","bytes":5}}}`

var prefillBodies = map[string]string{
	"whole":                soundHandle,
	"empty":                "",
	"cut":                  soundHandle[:40],
	"an empty object":      "{}",
	"an error":             `{"error":{"message":"out of memory"}}`,
	"a handle without ID":  strings.Replace(soundHandle, "kv-1", "", 1),
	"no address":           strings.Replace(soundHandle, "127.0.0.1:9", "", 1),
	"followed by an error": soundHandle + `{"error":{"message":"out of memory"}}`,
	"an event":             doneEvent,
}

func (c prefillCase) run(t *testing.T) string {
	s := startStandin(t, func(s *standin, received call) reply {
		switch {
		case received.stage == "prefill" && received.number == 1:
			return c.transport.reply(plainHead, c.body)
		case received.stage == "prefill":
			return s.prefilled()
		case received.stage == "decode":
			return transports[0].reply(streamHead, wholeStream(received.from))
		}
		return sound(http.StatusOK, "application/json", "{}")
	})
	got, err := exchange(startFront(t, s.address), chatRequest("1.1", true))
	if err != nil {
		return err.Error()
	}
	wantPrefills := 2
	if c.name == "whole" && c.transport.isWhole {
		wantPrefills = 1
	}
	switch {
	case !parseAnswer(got, true).complete:
		return fmt.Sprintf("%d %q", got.status, got.body)
	case s.count("decode") != 1:
		return fmt.Sprint("decodes: ", s.count("decode"))
	case s.count("prefill") != wantPrefills:
		return fmt.Sprint("prefills: ", s.count("prefill"))
	}
	return ""
}

// TestPrefillIsCompleteOnlyWithAHandle ends the responses of prefills in each way.
func TestPrefillIsCompleteOnlyWithAHandle(t *testing.T) {
	var cases []prefillCase
	for _, transport := range transports {
		for name, body := range prefillBodies {
			cases = append(cases, prefillCase{transport, name, body})
		}
	}
	faults := runCases(cases, func(c prefillCase) string { return c.run(t) })
	require.Empty(t, faults, "%d faults:\n%s", len(faults), strings.Join(faults, "\n"))
}

// TestRedirectOfAnEngineIsNotFollowed guards against a response of another program than the one
// that the request was granted for.
func TestRedirectOfAnEngineIsNotFollowed(t *testing.T) {
	s := startStandin(t, func(s *standin, received call) reply {
		switch {
		case received.stage == "prefill":
			return reply{raw: "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"}
		case received.stage == "plain":
			return s.prefilled()
		case received.stage == "decode":
			return transports[0].reply(streamHead, wholeStream(received.from))
		}
		return sound(http.StatusOK, "application/json", "{}")
	})
	got, err := exchange(startFront(t, s.address), chatRequest("1.1", true))
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, got.status, got.body)
	require.Zero(t, s.count("plain"))
}
