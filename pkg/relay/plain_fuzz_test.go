package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmerictide/turmerictide/internal/virtual"
	"github.com/turmerictide/turmerictide/pkg/connection"
	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/holdoff"
	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/relay"
	"github.com/turmerictide/turmerictide/pkg/route"
)

// fate is what becomes of one sending at an endpoint.
type fate struct {
	// Kind is good, bad, refused, unsent, lost, cut or mute.
	Kind string
	// Runs is true when the endpoint runs the call, After how long it takes.
	Runs  bool
	After time.Duration
}

var fates = map[string]fate{
	"good":    {Runs: true},
	"bad":     {Runs: true},
	"refused": {},
	"unsent":  {},
	// lost breaks the connection; whether the call has run is not known to the caller.
	"lost":     {Runs: true},
	"lost_not": {},
	"cut":      {Runs: true},
	"mute":     {Runs: true},
}

func drawFate(t *rapid.T) fate {
	kind := rapid.SampledFrom([]string{"good", "bad", "refused", "unsent", "lost", "lost_not", "cut", "mute"}).Draw(t, "kind")
	f := fates[kind]
	f.Kind = kind
	f.After = time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond
	return f
}

// brokenBody ends in the middle.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = errors.Mark(io.ErrUnexpectedEOF, connection.ErrBroken)
	}
	return n, err
}

// ledger counts what endpoints did for one call.
type ledger struct {
	mu    sync.Mutex
	sends int
	runs  int
}

func reply(f fate, status int) *relay.Reply {
	var body io.Reader = strings.NewReader("answer of " + f.Kind)
	if f.Kind == "cut" {
		body = brokenBody{body}
	}
	return &relay.Reply{Status: status, Header: http.Header{}, Body: io.NopCloser(body), NotRun: f.Kind == "refused"}
}

// send returns the sending of calls whose fates are given, in their order.
func (l *ledger) send(left []fate) func(context.Context, directory.Endpoint, *relay.Call, relay.Order) (*relay.Reply, error) {
	return func(ctx context.Context, _ directory.Endpoint, _ *relay.Call, _ relay.Order) (*relay.Reply, error) {
		l.mu.Lock()
		f := left[min(l.sends, len(left)-1)]
		l.sends++
		if f.Runs {
			l.runs++
		}
		l.mu.Unlock()
		wait := f.After
		if f.Kind == "mute" {
			wait = time.Hour
		}
		select {
		case <-ctx.Done():
			return nil, errors.Mark(ctx.Err(), connection.ErrBroken)
		case <-time.After(wait):
		}
		switch f.Kind {
		case "unsent":
			return nil, errors.Newf("dial: %w", connection.ErrNotSent)
		case "lost", "lost_not":
			return nil, errors.Newf("read: %w", connection.ErrBroken)
		case "refused":
			return reply(f, http.StatusServiceUnavailable), nil
		case "bad":
			return reply(f, http.StatusInternalServerError), nil
		}
		return reply(f, http.StatusOK), nil
	}
}

// siteOf returns the state of three plain endpoints behind one route.
func siteOf(kind route.Kind, attempts int) *directory.State {
	state := &directory.State{Endpoints: map[string]directory.Endpoint{}}
	state.Config = directory.Config{
		Number: 1, Services: map[string]directory.Service{"desk": {Name: "desk"}},
		Routes: route.NewTable([]route.Route{{
			Name: "bookings", Host: "h", Prefix: "/", Kind: kind, Timeout: 800 * time.Millisecond, Target: 300 * time.Millisecond,
			MaxAttempts: attempts, Shares: []route.Share{{Service: "desk", Weight: 1}},
		}}),
	}
	for i := range 3 {
		name := fmt.Sprint("desk-", i)
		state.Endpoints[name] = directory.Endpoint{Name: name, Service: "desk", Places: 6}
	}
	return state
}

// TestPlainCallsKeepTheRules plays calls whose sendings are answered, refused, lost,
// cut or left without a word: what may run once runs once, "not run" is true, no call
// has more runs than attempts, and each has one answer in time.
func TestPlainCallsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom([]route.Kind{route.KindOnce, route.KindIdempotent}).Draw(rt, "route")
		attempts := rapid.IntRange(1, 3).Draw(rt, "attempts")
		planned := rapid.SliceOfN(rapid.Custom(drawFate), 1, 4).Draw(rt, "fates")
		slack := rapid.SampledFrom([]int{0, 100}).Draw(rt, "slack")
		var l ledger
		var err error
		var took time.Duration
		recorder := httptest.NewRecorder()
		virtual.Run(t, func(*testing.T) {
			state := siteOf(kind, attempts)
			r := relay.New(relay.Config{
				Host: "edge", State: func() *directory.State { return state }, Endpoints: relay.Endpoints{Send: l.send(planned), Reach: takesConnections},
				Poison: poison.NewRegister(), Holdoffs: holdoff.NewRegister(), SpreadMark: func(poison.CrashRecord) {}, RecordBroken: func(relay.Stage, poison.Verdict) {}, Daemons: func() int { return 1 }, Borrow: noPool,
				Budget: relay.BudgetSettings{Share: 0.2, Slack: float64(slack), Window: 10 * time.Second}, Now: time.Now, Log: logr.Discard(), Record: func(relay.Served) {},
			})
			start := time.Now()
			call := &relay.Call{ID: "a", Method: http.MethodPost, Target: "/x", Path: "/x", Host: "h", Arrival: start, LastEvent: relay.NoEvent}
			err = r.Serve(context.Background(), call, relay.NewAnswer(recorder, time.Now))
			took = time.Since(start)
		})
		var fault *relay.Fault
		if errors.As(err, &fault) && fault.IsNotRun() {
			require.Zero(rt, l.runs, "told that nothing ran")
			require.Positive(rt, fault.RetryAfter)
		}
		most := attempts
		if kind == route.KindOnce {
			most = 1
		}
		require.LessOrEqual(rt, l.runs, most)
		if slack == 0 {
			require.LessOrEqual(rt, l.sends, 1, "beyond the budget")
		}
		require.LessOrEqual(rt, took, 800*time.Millisecond)
		if err == nil {
			require.Contains(rt, []string{"answer of good", "answer of bad"}, recorder.Body.String())
		}
	})
}
