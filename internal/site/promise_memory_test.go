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

// longOutput takes minutes at the gap of these tests, so that an engine that is
// not told to stop still runs it when the test looks.
const longOutput = 20000

// slow is a site whose engines take 10 ms a token.
func slow(flags ...string) site.Config {
	return site.Config{TokenGap: 10 * time.Millisecond, EngineFlags: flags}
}

// begin starts a long stream at a daemon and returns after its first tokens.
func begin(ctx context.Context, t *testing.T, d *site.Process, prompt string) <-chan answer {
	t.Helper()
	started := make(chan struct{})
	ended := make(chan answer, 1)
	go func() {
		ended <- post(ctx, t, chatURL(d), chatBody(prompt, longOutput, true), call{onToken: func(count int) {
			if count == 3 {
				close(started)
			}
		}})
	}()
	select {
	case <-started:
	case a := <-ended:
		t.Fatalf("the stream did not start: %+v", a)
	}
	return ended
}

func TestPromiseMemoryIsFreedWhenCallersCancel(t *testing.T) {
	s := start(t, slow("--tokens-per-second", "500"))
	d := s.Daemons[0]
	// In prefill, at the time of the transfer, and in decode.
	for _, after := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond} {
		ctx, cancel := context.WithTimeout(t.Context(), after)
		a := post(ctx, t, chatURL(d), chatBody("a prompt of a few dozen tokens for the prefill to chew on, said twice over", longOutput, true), call{})
		cancel()
		require.False(t, a.whole)
	}
	requireIdle(t, s)
}

func TestPromiseMemoryIsFreedWhenCancelOrdersAreLost(t *testing.T) {
	s := start(t, slow("--checks-fencing"))
	for _, p := range s.Endpoints {
		if p.Role == ticket.RoleDecode {
			control(t, http.MethodPut, p, "switches", engine.Switches{DropCancels: 4}, nil)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := begin(ctx, t, s.Daemons[0], "cancel is lost")
	cancel()
	<-ended
	requireIdle(t, s)
}

func TestPromiseMemoryIsFreedWhenTheFrontDies(t *testing.T) {
	s := start(t, slow())
	owner := ownerOf(t, s, "shubra")
	for _, d := range s.Daemons {
		if d.Zone == "shubra" && d != owner {
			ended := begin(t.Context(), t, d, "front dies")
			d.Kill()
			<-ended
		}
	}
	requireIdle(t, s)
}

func TestPromiseMemoryIsFreedWhenFrontAndDispatcherDie(t *testing.T) {
	s := start(t, slow())
	var ended []<-chan answer
	for _, d := range s.Daemons {
		if d.Zone == "shubra" {
			ended = append(ended, begin(t.Context(), t, d, "both die "+d.Name))
		}
	}
	for _, d := range s.Daemons {
		if d.Zone == "shubra" {
			d.Kill()
		}
	}
	for _, e := range ended {
		<-e
	}
	require.NotNil(t, runningAt(t, s), "the engines do not notice a client that is gone")
	for _, d := range s.Daemons {
		if d.Zone == "shubra" {
			require.NoError(t, d.Start())
		}
	}
	requireIdle(t, s)
}

func TestPromiseMemoryOfTheLivingIsKept(t *testing.T) {
	s := start(t, slow())
	owner := ownerOf(t, s, "shubra")
	var front *site.Process
	for _, d := range s.Daemons {
		if d.Zone == "shubra" && d != owner {
			front = d
		}
	}
	// The stream outlives a change of owner, a stopped owner that wakes up, and
	// every grace of the reconciliation.
	const tokens = 2500
	during := post(t.Context(), t, chatURL(front), chatBody("kept", tokens, true), call{onToken: func(count int) {
		switch count {
		case 100:
			require.NoError(t, owner.Signal(syscall.SIGSTOP))
		case 1000:
			require.NoError(t, owner.Signal(syscall.SIGCONT))
		case 1600:
			owner.Kill()
		}
	}})
	requireWhole(t, during, "kept", tokens)
	requireIdle(t, s)
}
