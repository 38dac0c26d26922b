package site_test

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/internal/site"
	"github.com/turmerictide/turmerictide/pkg/ticket"
	"github.com/turmerictide/turmerictide/standin/engine"
)

// longOutputTokens is the length of an output that takes minutes at the token gap of these
// tests. An engine that receives no cancel request therefore still runs the request when the
// test checks.
const longOutputTokens = 20000

// slowConfig returns the config of a site whose engines take 10 ms per token.
func slowConfig(flags ...string) site.Config {
	return site.Config{TokenGap: 10 * time.Millisecond, EngineFlags: flags}
}

// startStream starts a long stream at a daemon and returns after the third token.
func startStream(ctx context.Context, t *testing.T, d *site.Process, prompt string) <-chan callResult {
	t.Helper()
	started := make(chan struct{})
	result := make(chan callResult, 1)
	go func() {
		result <- post(ctx, t, chatURL(d), chatBody(prompt, longOutputTokens, true), callOptions{onToken: func(count int) {
			if count == 3 {
				close(started)
			}
		}})
	}()
	select {
	case <-started:
	case got := <-result:
		t.Fatalf("the stream did not start: %+v", got)
	}
	return result
}

func TestPromiseMemoryIsFreedWhenCallersCancel(t *testing.T) {
	s := startSite(t, slowConfig("--tokens-per-second", "500"))
	d := s.Daemons[0]
	// Cancels during prefill, around the transfer, and during decode.
	for _, after := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond} {
		ctx, cancel := context.WithTimeout(t.Context(), after)
		got := post(ctx, t, chatURL(d), chatBody("a prompt of a few dozen tokens for the prefill to chew on, said twice over", longOutputTokens, true), callOptions{})
		cancel()
		require.False(t, got.complete)
	}
	requireIdle(t, s)
}

func TestPromiseMemoryIsFreedWhenCancelOrdersAreLost(t *testing.T) {
	s := startSite(t, slowConfig("--checks-fencing"))
	for _, p := range s.Endpoints {
		if p.Role == ticket.RoleDecode {
			control(t, http.MethodPut, p, "switches", engine.Switches{DropCancels: 4}, nil)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	result := startStream(ctx, t, s.Daemons[0], "cancel is lost")
	cancel()
	<-result
	requireIdle(t, s)
}

func TestPromiseMemoryIsFreedWhenTheFrontDies(t *testing.T) {
	s := startSite(t, slowConfig())
	owner := ownerOf(t, s, "shubra")
	for _, d := range s.Daemons {
		if d.Zone == "shubra" && d != owner {
			result := startStream(t.Context(), t, d, "front dies")
			d.Kill()
			<-result
		}
	}
	requireIdle(t, s)
}

func TestPromiseMemoryIsFreedWhenFrontAndDispatcherDie(t *testing.T) {
	s := startSite(t, slowConfig())
	var results []<-chan callResult
	for _, d := range s.Daemons {
		if d.Zone == "shubra" {
			results = append(results, startStream(t.Context(), t, d, "both die "+d.Name))
		}
	}
	for _, d := range s.Daemons {
		if d.Zone == "shubra" {
			d.Kill()
		}
	}
	for _, result := range results {
		<-result
	}
	require.NotNil(t, runningEngine(t, s), "engines must keep running the request of a disconnected client")
	for _, d := range s.Daemons {
		if d.Zone == "shubra" {
			require.NoError(t, d.Start())
		}
	}
	requireIdle(t, s)
}

func TestPromiseMemoryOfTheLivingIsKept(t *testing.T) {
	s := startSite(t, slowConfig())
	owner := ownerOf(t, s, "shubra")
	var front *site.Process
	for _, d := range s.Daemons {
		if d.Zone == "shubra" && d != owner {
			front = d
		}
	}
	// The stream lasts longer than a change of owner, the resumption of the stopped owner
	// and all grace periods of the reconciliation.
	const tokens = 2500
	result := post(t.Context(), t, chatURL(front), chatBody("kept", tokens, true), callOptions{onToken: func(count int) {
		switch count {
		case 100:
			require.NoError(t, owner.Signal(syscall.SIGSTOP))
		case 1000:
			require.NoError(t, owner.Signal(syscall.SIGCONT))
		case 1600:
			owner.Kill()
		}
	}})
	requireComplete(t, result, "kept", tokens)
	requireIdle(t, s)
}
