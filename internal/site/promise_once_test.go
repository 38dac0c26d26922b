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

func setDesks(t *testing.T, s *site.Site, switches plain.Switches) {
	t.Helper()
	for _, p := range s.Endpoints {
		if p.Role == ticket.RolePlain && !isEnded(p) {
			control(t, http.MethodPut, p, "switches", switches, nil)
		}
	}
}

// requireTruth compares what callers were told of each key with the services' own
// counts: never more than one run, none for a key of which every call was told
// not_run, and exactly one for a key of which a call was told that it ran.
func requireTruth(t *testing.T, s *site.Site, told map[string][]answer) {
	t.Helper()
	runs := plainRuns(t, s)
	for key, answers := range told {
		require.LessOrEqual(t, runs[key], 1, "%s ran more than once", key)
		notRun, ran := 0, 0
		for _, a := range answers {
			if a.outcome == "not_run" {
				notRun++
			}
			if a.status == http.StatusCreated || a.code == "already_run" {
				ran++
			}
		}
		if notRun == len(answers) {
			require.Zero(t, runs[key], "%s ran although every call was told not_run", key)
		}
		if ran > 0 {
			require.Equal(t, 1, runs[key], "%s did not run although a call was told so", key)
		}
	}
}

func TestPromiseOneKeyThroughAllDaemonsRunsOnce(t *testing.T) {
	s := start(t, site.Config{})
	setDesks(t, s, plain.Switches{Delay: 100 * time.Millisecond})
	told := map[string][]answer{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range 40 {
		wait.Go(func() {
			key := fmt.Sprint("key-", i%5)
			a := post(t.Context(), t, deskURL(s.Daemons[i%len(s.Daemons)]), `{"cones":1}`, call{key: key})
			mu.Lock()
			defer mu.Unlock()
			told[key] = append(told[key], a)
		})
	}
	wait.Wait()
	requireTruth(t, s, told)
	for key := range told {
		require.Equal(t, 1, plainRuns(t, s)[key])
		eventually(t, "the kept answer is given again", func() bool {
			a := post(t.Context(), t, deskURL(s.Daemons[0]), `{"cones":1}`, call{key: key})
			return a.status == http.StatusCreated
		})
		other := post(t.Context(), t, deskURL(s.Daemons[1]), `{"cones":2}`, call{key: key})
		require.Equal(t, "idempotency_key_reused", other.code)
	}
	requireTruth(t, s, told)
}

func TestPromiseNotRunIsTrueUnderLostAnswersAndOutages(t *testing.T) {
	s := start(t, site.Config{})
	told := map[string][]answer{}
	send := func(key string, d *site.Process) answer {
		a := post(t.Context(), t, deskURL(d), `{"cones":1}`, call{key: key})
		require.NoError(t, a.err)
		told[key] = append(told[key], a)
		return a
	}
	setDesks(t, s, plain.Switches{LoseAnswers: 1})
	require.Equal(t, "outcome_unknown", send("lost-answer", s.Daemons[0]).outcome)
	require.Equal(t, "outcome_unknown", send("lost-answer", s.Daemons[1]).outcome)
	setDesks(t, s, plain.Switches{CloseBefore: 1})
	require.Equal(t, "outcome_unknown", send("closed-before", s.Daemons[0]).outcome)
	setDesks(t, s, plain.Switches{})

	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{Outage: true}, nil)
	// Whether an earlier call with the key has run cannot be known now, so the
	// call is not sent and not told not_run.
	refused := send("outage", s.Daemons[2])
	require.Equal(t, "outcome_unknown", refused.outcome)
	require.NotEmpty(t, refused.retryAfter)
	require.Equal(t, "outcome_unknown", send("lost-answer", s.Daemons[2]).outcome)
	require.Zero(t, plainRuns(t, s)["outage"])
	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{LoseAnswers: 2}, nil)
	require.Equal(t, http.StatusCreated, send("store-lost", s.Daemons[3]).status)
	// Writes take effect and their answers are lost; reads are answered.
	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{LoseAnswers: 1 << 20}, nil)
	require.Equal(t, "not_run", send("store-always-lost", s.Daemons[1]).outcome)
	require.Equal(t, "outcome_unknown", send("lost-answer", s.Daemons[1]).outcome)
	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{}, nil)
	for _, key := range []string{"outage", "store-always-lost"} {
		eventually(t, "a call that was not run can be run", func() bool {
			return send(key, s.Daemons[0]).status == http.StatusCreated
		})
	}
	requireTruth(t, s, told)
}

func TestPromiseKilledAndStoppedFrontsRunNothingTwice(t *testing.T) {
	s := start(t, site.Config{})
	setDesks(t, s, plain.Switches{Delay: 300 * time.Millisecond})
	told := map[string][]answer{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	send := func(key string, d *site.Process) {
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		a := post(ctx, t, deskURL(d), `{"cones":1}`, call{key: key})
		mu.Lock()
		defer mu.Unlock()
		if a.err == nil {
			told[key] = append(told[key], a)
		}
	}
	victim, sleeper := s.Daemons[0], s.Daemons[2]
	for i := range 30 {
		key := fmt.Sprint("key-", i)
		wait.Go(func() { send(key, victim) })
		wait.Go(func() { send(key, sleeper) })
		time.Sleep(10 * time.Millisecond)
		if i == 10 {
			require.NoError(t, sleeper.Signal(syscall.SIGSTOP))
		}
		if i == 20 {
			victim.Kill()
		}
	}
	time.Sleep(2 * time.Second)
	for i := range 30 {
		key := fmt.Sprint("key-", i)
		wait.Go(func() { send(key, s.Daemons[3]) })
	}
	time.Sleep(2 * time.Second)
	require.NoError(t, sleeper.Signal(syscall.SIGCONT))
	wait.Wait()
	requireTruth(t, s, told)
}

func TestPromiseKilledEndpointsTellTheTruth(t *testing.T) {
	s := start(t, site.Config{Zones: []string{"shubra"}})
	told := map[string][]answer{}
	for _, p := range s.Endpoints {
		if p.Role == ticket.RolePlain {
			p.Kill()
		}
	}
	a := post(t.Context(), t, deskURL(s.Daemons[0]), "{}", call{key: "desk-down"})
	require.Equal(t, "not_run", a.outcome)
	unkeyed := post(t.Context(), t, deskURL(s.Daemons[0]), "{}", call{})
	require.Equal(t, "not_run", unkeyed.outcome)
	for _, p := range s.Endpoints {
		if p.Role == ticket.RolePlain {
			require.NoError(t, p.Start())
		}
	}
	eventually(t, "the desk serves again", func() bool {
		a := post(t.Context(), t, deskURL(s.Daemons[1]), "{}", call{key: "desk-down"})
		told["desk-down"] = append(told["desk-down"], a)
		return a.status == http.StatusCreated
	})
	requireTruth(t, s, told)
}
