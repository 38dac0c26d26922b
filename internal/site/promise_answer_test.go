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

func setEngineSwitches(t *testing.T, s *site.Site, switches engine.Switches) {
	t.Helper()
	for _, p := range s.Endpoints {
		if p.Role != ticket.RolePlain {
			control(t, http.MethodPut, p, "switches", switches, nil)
		}
	}
}

func TestPromiseNoTokenTwiceOrLeftOutOverResumes(t *testing.T) {
	s := startSite(t, site.Config{Zones: []string{"shubra"}})
	setEngineSwitches(t, s, engine.Switches{BreakAfter: 20})
	requireComplete(t, post(t.Context(), t, chatURL(s.Daemons[0]), chatBody("broken streams", 100, true), callOptions{}), "broken streams", 100)
	setEngineSwitches(t, s, engine.Switches{SilentAfter: 40})
	requireComplete(t, post(t.Context(), t, chatURL(s.Daemons[1]), chatBody("silent streams", 100, false), callOptions{}), "silent streams", 100)
	setEngineSwitches(t, s, engine.Switches{})
	result := post(t.Context(), t, chatURL(s.Daemons[0]), chatBody("engine dies", 300, true), callOptions{onToken: func(count int) {
		if count == 30 {
			runningEngine(t, s).Kill()
		}
	}})
	requireComplete(t, result, "engine dies", 300)
	requireIdle(t, s)
}

func TestPromiseSilentLookupIsRepeatedElsewhere(t *testing.T) {
	s := startSite(t, site.Config{})
	for _, p := range s.Endpoints {
		if p.Role == ticket.RolePlain && p.Zone == "shubra" {
			require.NoError(t, p.Signal(syscall.SIGSTOP))
		}
	}
	client := &http.Client{Timeout: settleTimeout}
	response, err := client.Do(newRequest(t.Context(), t, http.MethodGet, reservationsURL(s.Daemons[0]), "", callOptions{}))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
	for _, p := range s.Endpoints {
		require.NoError(t, p.Signal(syscall.SIGCONT))
	}
}

func TestPromiseTruncatedStreamIsNotPassedOffAsWhole(t *testing.T) {
	s := startSite(t, site.Config{Zones: []string{"shubra"}})
	setEngineSwitches(t, s, engine.Switches{BreakAfter: 2})
	streamed := post(t.Context(), t, chatURL(s.Daemons[0]), chatBody("truncated", 200, true), callOptions{})
	require.False(t, streamed.complete)
	require.Equal(t, "endpoint_failed", streamed.code)
	require.Equal(t, engine.Words("truncated", 200)[:len(streamed.words)], streamed.words)
	buffered := post(t.Context(), t, chatURL(s.Daemons[0]), chatBody("truncated", 200, false), callOptions{})
	require.False(t, buffered.complete)
	require.Equal(t, http.StatusBadGateway, buffered.status)
	require.Equal(t, "endpoint_failed", buffered.code)
	requireIdle(t, s)
}

func TestPromiseEachCallerGetsItsOwnAnswer(t *testing.T) {
	s := startSite(t, site.Config{DecodePerZone: 3})
	setEngineSwitches(t, s, engine.Switches{BreakAfter: 25})
	results := make([]callResult, 40)
	var wait sync.WaitGroup
	for i := range results {
		wait.Go(func() {
			d := s.Daemons[i%len(s.Daemons)]
			results[i] = post(t.Context(), t, chatURL(d), chatBody(fmt.Sprint("caller number ", i), 40, i%2 == 0), callOptions{})
		})
	}
	wait.Wait()
	for i, result := range results {
		requireComplete(t, result, fmt.Sprint("caller number ", i), 40)
	}
	requireIdle(t, s)
}

func TestPromiseGracefulShutdownCutsNothing(t *testing.T) {
	s := startSite(t, site.Config{Zones: []string{"shubra", "maadi"}, DaemonsPerZone: 2, TokenGap: 10 * time.Millisecond})
	for _, d := range s.Daemons {
		streams := make([]callResult, 4)
		var wait sync.WaitGroup
		var begun sync.WaitGroup
		begun.Add(len(streams))
		for i := range streams {
			wait.Go(func() {
				prompt := fmt.Sprint("stream ", i, " at ", d.Name)
				streams[i] = post(t.Context(), t, chatURL(d), chatBody(prompt, 200, true), callOptions{onToken: func(count int) {
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
		for i, result := range streams {
			requireComplete(t, result, fmt.Sprint("stream ", i, " at ", d.Name), 200)
		}
		<-d.Exited()
		require.Equal(t, 0, d.ExitCode(), d.Log())
		for _, other := range s.Daemons {
			if other != d && !hasExited(other) {
				requireComplete(t, post(t.Context(), t, chatURL(other), chatBody("others serve", 5, true), callOptions{}), "others serve", 5)
			}
		}
		require.NoError(t, d.Start())
		require.NoError(t, site.WaitForURL("http://"+d.Address.String()+"/readyz", settleTimeout))
	}
	requireIdle(t, s)
}
