package relay_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmerictide/turmerictide/internal/virtual"
	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/holdoff"
	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/relay"
	"github.com/turmerictide/turmerictide/pkg/route"
	"github.com/turmerictide/turmerictide/pkg/store"
)

const (
	// leaveTime is the time after an answer that says "leaving" from which no request of
	// a caller may reach the server from the host that passed it on.
	leaveTime = 2 * time.Second
	// waitGrace is the time after a refusal with a time to wait from which at most
	// waitRequests may reach the server from the host that got it.
	waitGrace    = 500 * time.Millisecond
	waitRequests = 2
)

// noticeWorld is a few hosts before a few servers, each in one of its lives. Hosts hear
// of the registry and of each other late; servers answer after varying times, so that
// answers overtake each other.
type noticeWorld struct {
	mu      sync.Mutex
	hosts   []*noticeHost
	servers []*noticeServer
	random  *rand.Rand
	faults  []string
	work    sync.WaitGroup
	calls   int
}

type noticeHost struct {
	name      string
	directory *directory.Directory
	notices   *relay.Notices
	relay     *relay.Relay
	revision  store.Revision
	entries   map[string]store.Entry
	// frozenUntil is the time until which it handles nothing.
	frozenUntil time.Time
	// cutUntil is the time until which it hears nothing of the registry and of others.
	cutUntil time.Time
	// excusedAt is the time of its last freeze.
	excusedAt time.Time
}

type noticeServer struct {
	name    string
	born    int64
	leaving bool
	// wait is what it asks of a host that it refuses, 0 while it serves.
	wait time.Duration
	// said are the times at which hosts passed on that its present life leaves.
	said map[string]time.Time
	// refused are the refusals with a time to wait of its present life.
	refused map[string][]refusal
}

type refusal struct {
	at    time.Time
	until time.Time
	after int
}

func newNoticeWorld(seed uint64) *noticeWorld {
	w := &noticeWorld{random: rand.New(rand.NewPCG(seed, 7))}
	for i := range 3 {
		w.servers = append(w.servers, &noticeServer{
			name: fmt.Sprint("desk-", i), born: 1000, said: map[string]time.Time{}, refused: map[string][]refusal{},
		})
	}
	for i := range 3 {
		h := &noticeHost{name: fmt.Sprint("edge-", i), entries: map[string]store.Entry{}}
		w.hosts = append(w.hosts, h)
		w.build(h)
	}
	for _, s := range w.servers {
		w.register(s, 0)
	}
	time.Sleep(10 * time.Millisecond)
	return w
}

// noticeFormat reads an entry of a server's start.
var noticeFormat = directory.Format{
	ConfigKey: "config", EndpointPrefix: "servers/",
	DecodeConfig: func([]byte) (directory.Config, error) {
		return directory.Config{
			Number: 1, Services: map[string]directory.Service{"desk": {Name: "desk"}},
			Routes: route.NewTable([]route.Route{{
				Name: "checks", Host: "h", Prefix: "/", Kind: route.KindIdempotent, Timeout: 800 * time.Millisecond,
				Target: 300 * time.Millisecond, MaxAttempts: 2, Shares: []route.Share{{Service: "desk", Weight: 1}},
			}}),
		}, nil
	},
	DecodeEndpoint: func(name string, value []byte) (directory.Endpoint, error) {
		born, err := strconv.ParseInt(string(value), 10, 64)
		return directory.Endpoint{
			Name: name, Service: "desk", Places: 6, Born: time.UnixMilli(born), Address: netip.MustParseAddrPort("10.0.0.1:80"),
		}, err
	},
}

func (w *noticeWorld) build(h *noticeHost) {
	holdoffs := holdoff.NewRegister()
	h.directory = directory.New(noticeFormat, func(*directory.State) {}, time.Now, logr.Discard())
	h.notices = &relay.Notices{
		Directory: h.directory, Holdoffs: holdoffs, Now: time.Now, Log: logr.Discard(),
		Spread: func(_ string, life directory.Life) { w.spread(h, life) },
	}
	h.relay = relay.New(relay.Config{
		Host: h.name, State: h.directory.Current, Poison: poison.NewRegister(), Holdoffs: holdoffs, SpreadMark: func(poison.CrashRecord) {}, RecordBroken: func(relay.Stage, poison.Verdict) {},
		Daemons: func() int { return 1 }, Borrow: noPool, Budget: relay.BudgetSettings{Share: 1, Slack: 1000, Window: 10 * time.Second}, Now: time.Now, Log: logr.Discard(),
		Record: func(relay.Served) {},
		Endpoints: relay.Endpoints{Send: func(ctx context.Context, e directory.Endpoint, c *relay.Call, _ relay.Order) (*relay.Reply, error) {
			return w.send(ctx, h, e, c)
		}, Reach: takesConnections},
	})
	h.entries["config"] = store.Entry{Key: "config", Value: []byte("1"), Revision: 1}
}

// later calls do at a host after a time, unless it is cut off then; what a frozen host
// hears waits.
func (w *noticeWorld) later(h *noticeHost, wait time.Duration, do func()) {
	w.work.Go(func() {
		time.Sleep(wait)
		w.mu.Lock()
		cut := time.Now().Before(h.cutUntil)
		w.mu.Unlock()
		if !cut {
			w.thaw(h)
			do()
		}
	})
}

// thaw waits until a host handles what it hears.
func (w *noticeWorld) thaw(h *noticeHost) {
	w.mu.Lock()
	until := h.frozenUntil
	w.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (w *noticeWorld) lag(most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.Int64N(int64(most) + 1))
}

// register writes a server's entry, which each host hears of within a time.
func (w *noticeWorld) register(s *noticeServer, most time.Duration) {
	w.mu.Lock()
	born := strconv.FormatInt(s.born, 10)
	w.mu.Unlock()
	for _, h := range w.hosts {
		w.later(h, w.lag(most), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			known, _ := strconv.ParseInt(string(h.entries["servers/"+s.name].Value), 10, 64)
			if present, _ := strconv.ParseInt(born, 10, 64); present < known {
				return
			}
			h.revision++
			h.entries["servers/"+s.name] = store.Entry{Key: "servers/" + s.name, Value: []byte(born), Revision: h.revision + 1}
			h.directory.Update(store.Content{Entries: h.entries, Revision: h.revision + 1})
		})
	}
}

func (w *noticeWorld) spread(from *noticeHost, life directory.Life) {
	for _, h := range w.hosts {
		if h != from {
			w.later(h, w.lag(300*time.Millisecond), func() { h.notices.HeardOf(life) })
		}
	}
}

// send is one request's way to a server and back.
func (w *noticeWorld) send(ctx context.Context, h *noticeHost, e directory.Endpoint, c *relay.Call) (*relay.Reply, error) {
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	var server *noticeServer
	for _, s := range w.servers {
		if s.name == e.Name {
			server = s
		}
	}
	w.check(h, server, c)
	reply := &relay.Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("answer"))}
	notice := relay.Notice{Leaving: server.leaving, Wait: server.wait}
	if server.wait > 0 {
		reply.Status, reply.NotRun = http.StatusServiceUnavailable, true
	}
	life := server.born
	w.mu.Unlock()
	time.Sleep(w.lag(200 * time.Millisecond))
	w.thaw(h)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if notice != (relay.Notice{}) {
		h.notices.Heard(e, notice)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// What a life said before it ended binds nobody.
	if server.born == life && e.Born.UnixMilli() == life {
		now := time.Now()
		if _, ok := server.said[h.name]; notice.Leaving && !ok {
			server.said[h.name] = now
		}
		if notice.Wait > 0 {
			server.refused[h.name] = append(server.refused[h.name], refusal{at: now, until: now.Add(notice.Wait)})
		}
	}
	return reply, nil
}

// check is the oracle: the two rules as their readers see them at a server.
func (w *noticeWorld) check(h *noticeHost, s *noticeServer, c *relay.Call) {
	now := time.Now()
	if said, ok := s.said[h.name]; ok && !h.excusedAt.After(said) && c.Arrival.After(said.Add(leaveTime)) {
		w.faults = append(w.faults, fmt.Sprintf("%s reaches %s %v after it said that it leaves", h.name, s.name, c.Arrival.Sub(said)))
	}
	for i := range s.refused[h.name] {
		r := &s.refused[h.name][i]
		if h.excusedAt.After(r.at) || !now.After(r.at.Add(waitGrace)) || !now.Before(r.until) {
			continue
		}
		if r.after++; r.after > waitRequests {
			w.faults = append(w.faults, fmt.Sprintf("%s reaches %s %v into a wait of %v", h.name, s.name, now.Sub(r.at), r.until.Sub(r.at)))
		}
	}
}

func (w *noticeWorld) call(h *noticeHost) {
	w.work.Go(func() {
		w.thaw(h)
		w.mu.Lock()
		w.calls++
		number := strconv.Itoa(w.calls)
		w.mu.Unlock()
		call := &relay.Call{ID: number, Method: http.MethodGet, Target: "/x", Path: "/x", Host: "h", Arrival: time.Now(), LastEvent: relay.NoEvent}
		_ = h.relay.Serve(context.Background(), call, relay.NewAnswer(httptest.NewRecorder(), time.Now))
	})
}

// noticeAction is one step of a run.
type noticeAction struct {
	Kind   string
	Host   int
	Server int
	For    time.Duration
}

func drawNoticeAction(t *rapid.T) noticeAction {
	return noticeAction{
		Kind:   rapid.SampledFrom([]string{"call", "call", "call", "wait", "wait", "leave", "born", "shed", "serve", "freeze", "cut"}).Draw(t, "kind"),
		Host:   rapid.IntRange(0, 2).Draw(t, "host"),
		Server: rapid.IntRange(0, 2).Draw(t, "server"),
		For:    time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond,
	}
}

func (w *noticeWorld) do(a noticeAction) {
	h, s := w.hosts[a.Host], w.servers[a.Server]
	if a.Kind == "call" {
		for range 1 + int(a.For/(200*time.Millisecond)) {
			w.call(h)
		}
		return
	}
	if a.Kind == "wait" {
		time.Sleep(a.For)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch a.Kind {
	case "leave":
		s.leaving = true
	case "born":
		s.born, s.leaving, s.wait = s.born+1000, false, 0
		s.said, s.refused = map[string]time.Time{}, map[string][]refusal{}
		w.work.Go(func() { w.register(s, a.For) })
	case "shed":
		s.wait = a.For
	case "serve":
		s.wait = 0
	case "freeze":
		h.frozenUntil, h.excusedAt = time.Now().Add(a.For), time.Now().Add(a.For)
	case "cut":
		h.cutUntil = time.Now().Add(a.For)
	}
}

// TestHostsKeepWhatServersSayOfThemselves plays servers that leave by their answers,
// refuse with a time to wait, and are born again, before hosts that freeze, are cut off
// from the registry and from each other, and get answers out of order.
func TestHostsKeepWhatServersSayOfThemselves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		actions := rapid.SliceOfN(rapid.Custom(drawNoticeAction), 5, 60).Draw(rt, "actions")
		var faults []string
		virtual.Run(t, func(*testing.T) {
			w := newNoticeWorld(seed)
			for _, a := range actions {
				w.do(a)
			}
			for range 40 {
				for _, h := range w.hosts {
					w.call(h)
				}
				time.Sleep(100 * time.Millisecond)
			}
			w.work.Wait()
			// The slower of two sendings of a call may still be on its way.
			time.Sleep(time.Second)
			faults = w.faults
		})
		require.Empty(rt, faults)
	})
}
