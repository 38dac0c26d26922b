package dispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// siteState returns a service whose engines have the names that are given.
func siteState(decode ...string) *ticket.State {
	s := growingLayout(1, 1)
	s.Service.Name, s.Service.AllZones = "model", true
	state := &ticket.State{Services: map[string]ticket.Service{"model": s.Service}, Pools: map[string]ticket.Pool{}}
	address := netip.MustParseAddrPort("10.0.0.1:80")
	prefill := s.Prefill[0]
	prefill.Address = address
	state.Pools["prefill"] = ticket.Pool{Service: "model", AvailabilityZone: "a", Role: ticket.RolePrefill, Endpoints: []ticket.Endpoint{prefill}}
	pool := ticket.Pool{Service: "model", AvailabilityZone: "a", Role: ticket.RoleDecode}
	for _, name := range decode {
		endpoint := s.Decode[0]
		endpoint.Name, endpoint.Address, endpoint.AvailabilityZone = name, address, "a"
		pool.Endpoints = append(pool.Endpoints, endpoint)
	}
	state.Pools["decode"] = pool
	return state
}

// site is some hosts, each with a front and a dispatcher, that share one view of
// who lives.
type site struct {
	mu        sync.Mutex
	live      []string
	addresses map[string]netip.AddrPort
	// lives are the times at which hosts began their present lives.
	lives map[string]time.Time
}

func (s *site) hosts(string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live
}

func (s *site) lifeSince(host string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lives[host]
}

// setLive changes which hosts may own shards.
func (s *site) setLive(hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live = hosts
}

func (s *site) resolve(host string) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	address, ok := s.addresses[host]
	return address, ok
}

// newSite returns a site whose shards the given hosts may own.
func newSite(live ...string) *site {
	return &site{live: live, addresses: map[string]netip.AddrPort{}, lives: map[string]time.Time{}}
}

// newFront returns a client and a dispatcher on one host, which knows the hosts
// that are given.
func newFront(t *testing.T, hosts ...string) (*dispatch.Client, *dispatch.Dispatcher) {
	t.Helper()
	return newSite(hosts...).add(t, "front", 7)
}

// add starts a host, whose fronts' requests carry a tag.
func (s *site) add(t *testing.T, host string, tag uint32) (*dispatch.Client, *dispatch.Dispatcher) {
	t.Helper()
	mesh := link.NewMesh(link.Config{
		Host: host, Keys: link.Keys{"secret"}, Topics: []string{dispatch.TopicToOwner, dispatch.TopicToFront},
		Resolve: s.resolve, Unreachable: func(string) {}, Now: time.Now, Log: logr.Discard(),
	})
	mux := http.NewServeMux()
	mux.Handle(link.Path, mesh)
	server := httptest.NewServer(mux)
	s.mu.Lock()
	s.addresses[host] = netip.MustParseAddrPort(server.Listener.Addr().String())
	s.mu.Unlock()
	client := dispatch.NewClient(dispatch.ClientConfig{
		EligibleOwners: allHostsEligible, Host: host, AvailabilityZone: "a", FrontTag: tag, Publish: mesh.Publish, Now: time.Now, Log: logr.Discard(), Hosts: s.hosts,
		IncarnationSince: s.lifeSince,
	})
	dispatcher := dispatch.NewDispatcher(dispatch.DispatcherConfig{
		EligibleOwners: allHostsEligible, StartedTogether: alwaysStartedTogether, Host: host, AvailabilityZone: "a", Publish: mesh.Publish, Now: time.Now, Log: logr.Discard(), Hosts: s.hosts,
		Fronts:            func() []string { return s.hosts("") },
		FrontIncarnation:  func(uint32, string, time.Time) dispatch.IncarnationState { return dispatch.IncarnationAlive },
		ZoneOf:            func(string) string { return "a" },
		CancelHold:        func(_ dispatch.Hold, _ dispatch.FencingNumber, confirmed func()) { go confirmed() },
		BroadcastPressure: func(dispatch.ShardID, dispatch.Pressure) {},
	})
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	require.NoError(t, err)
	client.Route(router, mesh)
	dispatcher.Route(router, mesh)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = router.Run(ctx) }()
	go func() { _ = dispatcher.Serve(ctx) }()
	go func() { _ = client.Serve(ctx) }()
	<-router.Running()
	t.Cleanup(func() {
		cancel()
		_ = router.Close()
		_ = mesh.Close()
		server.Close()
	})
	return client, dispatcher
}

func acquire(t *testing.T, client *dispatch.Client) (*dispatch.Reservation, time.Duration, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	start := time.Now()
	r := longRequest(client.NewRequestID(), start)
	r.Front, r.Zone = "front", "a"
	reservation, err := client.Acquire(ctx, "model", r)
	return reservation, time.Since(start), err
}

func TestOwnerDecidesWhileItAnswers(t *testing.T) {
	client, dispatcher := newFront(t, "front")
	client.Refresh(siteState("one"))
	dispatcher.Refresh(siteState("one"))
	reservation, _, err := acquire(t, client)
	require.NoError(t, err)
	require.False(t, reservation.IsLocal())
	reservation.Done(dispatch.Outcome{})
	require.Eventually(t, func() bool { return dispatcher.Summaries()[0].Load.Held == 0 }, time.Second, time.Millisecond)
}

// TestFrontDecidesAloneWhenItsOwnerIsSilent replays an owner that is cut off or
// stands still: the request is placed well within its target of 0.8 s.
func TestFrontDecidesAloneWhenItsOwnerIsSilent(t *testing.T) {
	client, _ := newFront(t, "silent")
	client.Refresh(siteState("one"))
	reservation, took, err := acquire(t, client)
	require.NoError(t, err)
	require.True(t, reservation.IsLocal())
	require.Less(t, took, 300*time.Millisecond)
	reservation.Prefilled()
	reservation.Started()
	reservation.Done(dispatch.Outcome{OutputTokens: 10})
	require.Zero(t, client.OpenReservations())
}

// TestFrontAloneKeepsToItsShare replays a burst at a front without an owner, one
// of two in its zone.
func TestFrontAloneKeepsToItsShare(t *testing.T) {
	client, _ := newFront(t, "silent", "other")
	client.Refresh(siteState("one"))
	granted := 0
	for range 12 {
		reservation, took, err := acquire(t, client)
		var refused *dispatch.RejectedError
		if errors.As(err, &refused) {
			require.Positive(t, refused.Rejection.RetryAfter)
			require.Less(t, took, 400*time.Millisecond, "nobody waits for what nobody tells")
			continue
		}
		require.NoError(t, err)
		reservation.Prefilled()
		reservation.Started()
		granted++
	}
	require.Greater(t, granted, 1)
	require.LessOrEqual(t, granted, 5, "half of the ten that the engine holds")
}

// TestOldStateOfTheOwnerStopsNothing replays an owner that the store refuses, and
// that goes on granting an endpoint which is gone.
func TestOldStateOfTheOwnerStopsNothing(t *testing.T) {
	client, dispatcher := newFront(t, "front")
	dispatcher.Refresh(siteState("gone"))
	client.Refresh(siteState("new"))
	reservation, _, err := acquire(t, client)
	require.NoError(t, err)
	require.Equal(t, "new", reservation.Decode.Name)
}

// TestOwnerCountsWhatAFrontDecidedAlone replays an owner whose state is partly old:
// what a front placed without it takes memory that the owner must not grant again.
func TestOwnerCountsWhatAFrontDecidedAlone(t *testing.T) {
	client, dispatcher := newFront(t, "front")
	dispatcher.Refresh(siteState("gone", "new"))
	client.Refresh(siteState("new"))
	var alone *dispatch.Reservation
	for alone == nil {
		reservation, _, err := acquire(t, client)
		require.NoError(t, err)
		if !reservation.IsLocal() {
			reservation.Done(dispatch.Outcome{})
			continue
		}
		alone = reservation
	}
	held := func() int { return dispatcher.Summaries()[0].Load.Held }
	alone.Prefilled()
	alone.Started()
	settled := 0
	require.Eventually(t, func() bool {
		settled++
		if held() != 1 {
			settled = 0
		}
		return settled == 30
	}, time.Second, time.Millisecond)
	alone.Done(dispatch.Outcome{})
	require.Eventually(t, func() bool { return held() == 0 }, time.Second, time.Millisecond)
}

// TestHoldsAreKnownToEachOwnerInTurn replays a start of all hosts in turn: a host
// that owns the shard asks the fronts once, and another one goes on granting until
// all have heard of it. Each owner counts all holds, and none that have ended.
func TestHoldsAreKnownToEachOwnerInTurn(t *testing.T) {
	s := newSite("one")
	client, _ := s.add(t, "front", 7)
	state := siteState("engine")
	client.Refresh(state)
	held := map[string]func() int{}
	dispatchers := map[string]*dispatch.Dispatcher{}
	for i, host := range []string{"one", "two"} {
		_, dispatcher := s.add(t, host, uint32(8+i))
		dispatcher.Refresh(state)
		dispatchers[host] = dispatcher
		held[host] = func() int {
			for _, summary := range dispatcher.Summaries() {
				return summary.Load.Held
			}
			return 0
		}
	}
	var reservations []*dispatch.Reservation
	for i, owner := range []string{"one", "two", "one", "two", "one"} {
		s.setLive(owner)
		dispatchers[owner].Refresh(state)
		reservation, _, err := acquire(t, client)
		require.NoError(t, err)
		require.False(t, reservation.IsLocal())
		reservation.Prefilled()
		reservation.Started()
		reservations = append(reservations, reservation)
		require.Eventually(t, func() bool { return held[owner]() == i+1 }, time.Second, time.Millisecond,
			"%s knows %d of %d holds", owner, held[owner](), i+1)
	}
	for _, reservation := range reservations {
		reservation.Done(dispatch.Outcome{OutputTokens: 10})
	}
	for host, count := range held {
		require.Eventually(t, func() bool { return count() == 0 }, time.Second, time.Millisecond, "%s keeps holds that have ended", host)
	}
}

// TestOwnerThatStartsAnewIsAskedAtOnce replays a start of hosts in turn: the owner
// could not be reached for a moment, and is passed over only until its next life.
func TestOwnerThatStartsAnewIsAskedAtOnce(t *testing.T) {
	s := newSite("front")
	client, dispatcher := s.add(t, "front", 7)
	client.Refresh(siteState("engine"))
	dispatcher.Refresh(siteState("engine"))
	client.Avoid("front")
	reservation, _, err := acquire(t, client)
	require.NoError(t, err)
	require.True(t, reservation.IsLocal())
	s.mu.Lock()
	s.lives["front"] = time.Now()
	s.mu.Unlock()
	reservation, _, err = acquire(t, client)
	require.NoError(t, err)
	require.False(t, reservation.IsLocal())
}
