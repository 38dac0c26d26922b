package site_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/internal/site"
	"github.com/turmerictide/turmerictide/pkg/ticket"
	"github.com/turmerictide/turmerictide/standin/engine"
)

func setEngines(t *testing.T, s *site.Site, switches engine.Switches) {
	t.Helper()
	for _, p := range s.Endpoints {
		if p.Role != ticket.RolePlain {
			control(t, http.MethodPut, p, "switches", switches, nil)
		}
	}
}

func TestPromiseNoTokenTwiceOrLeftOutOverResumes(t *testing.T) {
	s := start(t, site.Config{Zones: []string{"shubra"}})
	setEngines(t, s, engine.Switches{BreakAfter: 20})
	requireWhole(t, post(t.Context(), t, chatURL(s.Daemons[0]), chatBody("broken streams", 100, true), call{}), "broken streams", 100)
	setEngines(t, s, engine.Switches{SilentAfter: 40})
	requireWhole(t, post(t.Context(), t, chatURL(s.Daemons[1]), chatBody("silent streams", 100, false), call{}), "silent streams", 100)
	setEngines(t, s, engine.Switches{})
	during := post(t.Context(), t, chatURL(s.Daemons[0]), chatBody("engine dies", 300, true), call{onToken: func(count int) {
		if count == 30 {
			runningAt(t, s).Kill()
		}
	}})
	requireWhole(t, during, "engine dies", 300)
	requireIdle(t, s)
}

func TestPromiseSilentLookupIsRepeatedElsewhere(t *testing.T) {
	s := start(t, site.Config{})
	for _, p := range s.Endpoints {
		if p.Role == ticket.RolePlain && p.Zone == "shubra" {
			require.NoError(t, p.Signal(syscall.SIGSTOP))
		}
	}
	client := &http.Client{Timeout: settle}
	response, err := client.Do(newRequest(t.Context(), t, http.MethodGet, deskURL(s.Daemons[0]), "", call{}))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
	for _, p := range s.Endpoints {
		require.NoError(t, p.Signal(syscall.SIGCONT))
	}
}

func TestPromiseTruncatedStreamIsNotPassedOffAsWhole(t *testing.T) {
	s := start(t, site.Config{Zones: []string{"shubra"}})
	setEngines(t, s, engine.Switches{BreakAfter: 2})
	streamed := post(t.Context(), t, chatURL(s.Daemons[0]), chatBody("truncated", 200, true), call{})
	require.False(t, streamed.whole)
	require.Equal(t, "endpoint_failed", streamed.code)
	require.Equal(t, engine.Words("truncated", 200)[:len(streamed.words)], streamed.words)
	whole := post(t.Context(), t, chatURL(s.Daemons[0]), chatBody("truncated", 200, false), call{})
	require.False(t, whole.whole)
	require.Equal(t, http.StatusBadGateway, whole.status)
	require.Equal(t, "endpoint_failed", whole.code)
	requireIdle(t, s)
}

func TestPromiseEachCallerGetsItsOwnAnswer(t *testing.T) {
	s := start(t, site.Config{DecodePerZone: 3})
	setEngines(t, s, engine.Switches{BreakAfter: 25})
	answers := make([]answer, 40)
	var wait sync.WaitGroup
	for i := range answers {
		wait.Go(func() {
			d := s.Daemons[i%len(s.Daemons)]
			answers[i] = post(t.Context(), t, chatURL(d), chatBody(fmt.Sprint("caller number ", i), 40, i%2 == 0), call{})
		})
	}
	wait.Wait()
	for i, a := range answers {
		requireWhole(t, a, fmt.Sprint("caller number ", i), 40)
	}
	requireIdle(t, s)
}

func TestPromiseGracefulShutdownCutsNothing(t *testing.T) {
	s := start(t, site.Config{Zones: []string{"shubra", "maadi"}, DaemonsPerZone: 2, TokenGap: 10 * time.Millisecond})
	for _, d := range s.Daemons {
		streams := make([]answer, 4)
		var wait sync.WaitGroup
		var begun sync.WaitGroup
		begun.Add(len(streams))
		for i := range streams {
			wait.Go(func() {
				prompt := fmt.Sprint("stream ", i, " at ", d.Name)
				streams[i] = post(t.Context(), t, chatURL(d), chatBody(prompt, 200, true), call{onToken: func(count int) {
					if count == 1 {
						begun.Done()
					}
				}})
			})
		}
		begun.Wait()
		require.NoError(t, d.Signal(syscall.SIGTERM))
		eventually(t, "the daemon is not ready while it drains", func() bool {
			response, err := http.Get("http://" + d.Address.String() + "/readyz")
			if err != nil {
				return true
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusServiceUnavailable
		})
		wait.Wait()
		for i, a := range streams {
			requireWhole(t, a, fmt.Sprint("stream ", i, " at ", d.Name), 200)
		}
		<-d.Ended()
		require.Equal(t, 0, d.ExitCode(), d.Log())
		for _, other := range s.Daemons {
			if other != d && !isEnded(other) {
				requireWhole(t, post(t.Context(), t, chatURL(other), chatBody("others serve", 5, true), call{}), "others serve", 5)
			}
		}
		require.NoError(t, d.Start())
		require.NoError(t, site.WaitFor("http://"+d.Address.String()+"/readyz", settle))
	}
	requireIdle(t, s)
}
