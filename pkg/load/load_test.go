package load_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/emulator"
	"github.com/turmerictide/turmerictide/pkg/load"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// daemon is a fake daemon. Its script returns the action for each attempt with a prompt.
type daemon struct {
	mu       sync.Mutex
	script   func(attempt int) string
	attempts map[string]int
}

func (d *daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Messages []struct{ Content string }
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || r.Header.Get("X-Rank") != "only" || r.Header.Get("Authorization") != "Bearer secret" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	d.attempts[body.Messages[0].Content]++
	action := d.script(d.attempts[body.Messages[0].Content])
	d.mu.Unlock()
	switch action {
	case "refuse":
		w.Header().Set("Retry-After", "0")
		w.WriteHeader(http.StatusTooManyRequests)
	case "break":
		_, _ = fmt.Fprint(w, "data: {}\n\n")
	default:
		_, _ = fmt.Fprint(w, "data: {}\n\ndata: {}\n\ndata: [DONE]\n\n")
	}
}

// runLoad sends a short load to a daemon with a script.
func runLoad(t *testing.T, retryLimit int, script func(attempt int) string) (emulator.Run, *daemon) {
	t.Helper()
	d := &daemon{script: script, attempts: map[string]int{}}
	server := httptest.NewServer(d)
	t.Cleanup(server.Close)
	g := &load.Generator{
		Scheme:  "http",
		Daemons: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))},
		Token:   "secret", Model: "model", AttemptTimeout: time.Minute, Client: server.Client(),
	}
	s := emulator.Scenario{
		Duration: 500 * time.Millisecond, Prefill: 1, Decode: 1, PrefillRate: 1e6, Places: 8, Pieces: 64, GapBase: time.Millisecond,
		LinkRate: 1e9, OutputLimit: 16, Callers: 2, Load: 0.05, Seed: 3, RetryLimit: retryLimit,
		Ranks: []emulator.RankLoad{{
			Rank:  ticket.Rank{Name: "only", FirstTokenTarget: ticket.Duration(time.Minute), TokenGapTarget: ticket.Duration(time.Minute)},
			Share: 1, PromptMean: 100, PromptLimit: 200, OutputMean: 8,
		}},
	}
	return g.Run(t.Context(), s), d
}

func outcomes(r emulator.Run) map[emulator.Outcome]int {
	counts := map[emulator.Outcome]int{}
	for _, request := range r.Requests {
		counts[request.Outcome]++
	}
	return counts
}

func TestEachRequestIsSentOnceAndServed(t *testing.T) {
	r, d := runLoad(t, 0, func(int) string { return "serve" })
	require.Greater(t, len(r.Requests), 5)
	require.Equal(t, map[emulator.Outcome]int{emulator.Served: len(r.Requests)}, outcomes(r))
	require.Len(t, d.attempts, len(r.Requests), "prompts are unique")
	for _, request := range r.Requests {
		require.True(t, request.InTarget)
		require.GreaterOrEqual(t, request.FirstToken, request.Arrival)
		require.GreaterOrEqual(t, request.End, request.FirstToken)
	}
}

func TestRejectedCallersRetryUpToTheLimit(t *testing.T) {
	r, d := runLoad(t, 2, func(attempt int) string {
		if attempt < 3 {
			return "refuse"
		}
		return "serve"
	})
	require.Equal(t, map[emulator.Outcome]int{emulator.Served: len(r.Requests)}, outcomes(r))
	for prompt, attempts := range d.attempts {
		require.Equal(t, 3, attempts, prompt)
	}
	r, _ = runLoad(t, 1, func(int) string { return "refuse" })
	require.Equal(t, map[emulator.Outcome]int{emulator.Rejected: len(r.Requests)}, outcomes(r))
}

func TestTruncatedResponseIsNotServed(t *testing.T) {
	r, _ := runLoad(t, 2, func(int) string { return "break" })
	require.Equal(t, map[emulator.Outcome]int{emulator.Failed: len(r.Requests)}, outcomes(r))
}
