package site_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/internal/site"
	"github.com/turmerictide/turmerictide/pkg/ticket"
	"github.com/turmerictide/turmerictide/standin/plain"
	"github.com/turmerictide/turmerictide/standin/storesite"
)

func setPlainSwitches(t *testing.T, s *site.Site, switches plain.Switches) {
	t.Helper()
	for _, p := range s.Endpoints {
		if p.Role == ticket.RolePlain && !hasExited(p) {
			control(t, http.MethodPut, p, "switches", switches, nil)
		}
	}
}

// requireRunsMatchOutcomes compares the outcomes that callers received for each key with
// the run counts of the services. A key never runs more than once. It does not run if
// every call received not_run. It runs exactly once if a call received a success or
// already_run.
func requireRunsMatchOutcomes(t *testing.T, s *site.Site, resultsByKey map[string][]callResult) {
	t.Helper()
	runs := plainRuns(t, s)
	for key, results := range resultsByKey {
		require.LessOrEqual(t, runs[key], 1, "%s ran more than once", key)
		notRun, ran := 0, 0
		for _, result := range results {
			if result.outcome == "not_run" {
				notRun++
			}
			if result.status == http.StatusCreated || result.code == "already_run" {
				ran++
			}
		}
		if notRun == len(results) {
			require.Zero(t, runs[key], "%s ran although every call received not_run", key)
		}
		if ran > 0 {
			require.Equal(t, 1, runs[key], "%s did not run although a call received a success or already_run", key)
		}
	}
}

func TestPromiseOneKeyThroughAllDaemonsRunsOnce(t *testing.T) {
	s := startSite(t, site.Config{})
	setPlainSwitches(t, s, plain.Switches{Delay: 100 * time.Millisecond})
	resultsByKey := map[string][]callResult{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range 40 {
		wait.Go(func() {
			key := fmt.Sprint("key-", i%5)
			got := post(t.Context(), t, reservationsURL(s.Daemons[i%len(s.Daemons)]), `{"cones":1}`, callOptions{key: key})
			mu.Lock()
			defer mu.Unlock()
			resultsByKey[key] = append(resultsByKey[key], got)
		})
	}
	wait.Wait()
	requireRunsMatchOutcomes(t, s, resultsByKey)
	for key := range resultsByKey {
		require.Equal(t, 1, plainRuns(t, s)[key])
		eventually(t, "the stored response is returned", func() bool {
			got := post(t.Context(), t, reservationsURL(s.Daemons[0]), `{"cones":1}`, callOptions{key: key})
			return got.status == http.StatusCreated
		})
		other := post(t.Context(), t, reservationsURL(s.Daemons[1]), `{"cones":2}`, callOptions{key: key})
		require.Equal(t, "idempotency_key_reused", other.code)
	}
	requireRunsMatchOutcomes(t, s, resultsByKey)
}

func TestPromiseNotRunIsTrueUnderLostAnswersAndOutages(t *testing.T) {
	s := startSite(t, site.Config{})
	resultsByKey := map[string][]callResult{}
	send := func(key string, d *site.Process) callResult {
		got := post(t.Context(), t, reservationsURL(d), `{"cones":1}`, callOptions{key: key})
		require.NoError(t, got.err)
		resultsByKey[key] = append(resultsByKey[key], got)
		return got
	}
	setPlainSwitches(t, s, plain.Switches{DropResponses: 1})
	require.Equal(t, "outcome_unknown", send("lost-answer", s.Daemons[0]).outcome)
	require.Equal(t, "outcome_unknown", send("lost-answer", s.Daemons[1]).outcome)
	setPlainSwitches(t, s, plain.Switches{CloseBefore: 1})
	require.Equal(t, "outcome_unknown", send("closed-before", s.Daemons[0]).outcome)
	setPlainSwitches(t, s, plain.Switches{})

	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{Outage: true}, nil)
	// During the outage the daemon cannot check whether an earlier call with the key has
	// run. It therefore does not send the call and does not return not_run.
	rejected := send("outage", s.Daemons[2])
	require.Equal(t, "outcome_unknown", rejected.outcome)
	require.NotEmpty(t, rejected.retryAfter)
	require.Equal(t, "outcome_unknown", send("lost-answer", s.Daemons[2]).outcome)
	require.Zero(t, plainRuns(t, s)["outage"])
	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{DropResponses: 2}, nil)
	require.Equal(t, http.StatusCreated, send("store-lost", s.Daemons[3]).status)
	// Writes take effect but their responses are lost. Reads succeed.
	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{DropResponses: 1 << 20}, nil)
	require.Equal(t, "not_run", send("store-always-lost", s.Daemons[1]).outcome)
	require.Equal(t, "outcome_unknown", send("lost-answer", s.Daemons[1]).outcome)
	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{}, nil)
	for _, key := range []string{"outage", "store-always-lost"} {
		eventually(t, "a call that was not run succeeds when retried", func() bool {
			return send(key, s.Daemons[0]).status == http.StatusCreated
		})
	}
	requireRunsMatchOutcomes(t, s, resultsByKey)
}

func TestPromiseKilledAndStoppedFrontsRunNothingTwice(t *testing.T) {
	s := startSite(t, site.Config{})
	setPlainSwitches(t, s, plain.Switches{Delay: 300 * time.Millisecond})
	resultsByKey := map[string][]callResult{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	send := func(key string, d *site.Process) {
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		got := post(ctx, t, reservationsURL(d), `{"cones":1}`, callOptions{key: key})
		mu.Lock()
		defer mu.Unlock()
		if got.err == nil {
			resultsByKey[key] = append(resultsByKey[key], got)
		}
	}
	killed, stopped := s.Daemons[0], s.Daemons[2]
	for i := range 30 {
		key := fmt.Sprint("key-", i)
		wait.Go(func() { send(key, killed) })
		wait.Go(func() { send(key, stopped) })
		time.Sleep(10 * time.Millisecond)
		if i == 10 {
			require.NoError(t, stopped.Signal(syscall.SIGSTOP))
		}
		if i == 20 {
			killed.Kill()
		}
	}
	time.Sleep(2 * time.Second)
	for i := range 30 {
		key := fmt.Sprint("key-", i)
		wait.Go(func() { send(key, s.Daemons[3]) })
	}
	time.Sleep(2 * time.Second)
	require.NoError(t, stopped.Signal(syscall.SIGCONT))
	wait.Wait()
	requireRunsMatchOutcomes(t, s, resultsByKey)
}

func TestPromiseKilledEndpointsTellTheTruth(t *testing.T) {
	s := startSite(t, site.Config{Zones: []string{"shubra"}})
	resultsByKey := map[string][]callResult{}
	for _, p := range s.Endpoints {
		if p.Role == ticket.RolePlain {
			p.Kill()
		}
	}
	got := post(t.Context(), t, reservationsURL(s.Daemons[0]), "{}", callOptions{key: "desk-down"})
	require.Equal(t, "not_run", got.outcome)
	unkeyed := post(t.Context(), t, reservationsURL(s.Daemons[0]), "{}", callOptions{})
	require.Equal(t, "not_run", unkeyed.outcome)
	for _, p := range s.Endpoints {
		if p.Role == ticket.RolePlain {
			require.NoError(t, p.Start())
		}
	}
	eventually(t, "the plain endpoint serves again", func() bool {
		got := post(t.Context(), t, reservationsURL(s.Daemons[1]), "{}", callOptions{key: "desk-down"})
		resultsByKey["desk-down"] = append(resultsByKey["desk-down"], got)
		return got.status == http.StatusCreated
	})
	requireRunsMatchOutcomes(t, s, resultsByKey)
}
