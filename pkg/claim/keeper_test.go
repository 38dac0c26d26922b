package claim_test

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
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"

	"github.com/turmerictide/turmerictide/pkg/claim"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/store"
)

// wireWrite and wireResult are the messages between a front and a keeper.
type wireWrite struct {
	_      struct{} `cbor:",toarray"`
	Serial uint64
	Key    claim.Key
	Expect store.Revision
	Record claim.Record
}

type wireResult struct {
	_        struct{} `cbor:",toarray"`
	Serial   uint64
	Failed   bool
	Written  bool
	Current  *claim.Record
	Revision store.Revision
}

// addresses are the current addresses of hosts.
type addresses struct {
	mu    sync.Mutex
	hosts map[string]netip.AddrPort
}

func (a *addresses) resolve(host string) (netip.AddrPort, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	address, ok := a.hosts[host]
	return address, ok
}

// startMesh starts the links of one incarnation of a host.
func (a *addresses) startMesh(t *testing.T, host string) *link.Mesh {
	mesh := link.NewMesh(link.Config{
		Host: host, Keys: link.Keys{"secret"}, Topics: []string{claim.TopicWrite, claim.TopicResult},
		Resolve: a.resolve, Unreachable: func(string) {}, Now: time.Now, Log: logr.Discard(),
	})
	mux := http.NewServeMux()
	mux.Handle(link.Path, mesh)
	server := httptest.NewServer(mux)
	a.mu.Lock()
	a.hosts[host] = netip.MustParseAddrPort(server.Listener.Addr().String())
	a.mu.Unlock()
	t.Cleanup(func() {
		require.NoError(t, mesh.Close())
		server.Close()
	})
	return mesh
}

// startKeeper starts a Keeper whose buckets are all kept by another host.
func startKeeper(t *testing.T, mesh *link.Mesh, keeper string) *claim.Keeper {
	_, s := newFakeStore()
	k := claim.NewKeeper(claim.Config{Host: "front", Mesh: mesh, Log: logr.Discard(), Hosts: func() []string { return []string{keeper} }}, startCommitter(t, s))
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	require.NoError(t, err)
	k.Route(router)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = router.Run(ctx) }()
	<-router.Running()
	t.Cleanup(func() {
		cancel()
		k.Close()
	})
	return k
}

// TestResultForAnEarlierIncarnationConfirmsNoClaim restarts a front while the keeper commits
// its claim. The result reaches the new incarnation, which waits for another claim.
func TestResultForAnEarlierIncarnationConfirmsNoClaim(t *testing.T) {
	site := &addresses{hosts: map[string]netip.AddrPort{}}
	keeper := site.startMesh(t, "keeper")
	writes, err := keeper.Subscribe(t.Context(), claim.TopicWrite)
	require.NoError(t, err)
	receive := func() wireWrite {
		var wire wireWrite
		m := <-writes
		m.Ack()
		require.NoError(t, link.Decode(m.Payload, &wire))
		return wire
	}
	reply := func(result wireResult) {
		payload, err := link.Encode(result)
		require.NoError(t, err)
		require.NoError(t, keeper.Publish(claim.TopicResult, link.NewMessage("front", payload, trace.SpanContext{})))
	}
	before := startKeeper(t, site.startMesh(t, "front"), "keeper")
	go func() { _, _ = before.Write(t.Context(), write("k-1", "a")) }()
	earlier := receive()

	keeper.Reset("front")
	after := startKeeper(t, site.startMesh(t, "front"), "keeper")
	results := make(chan claim.Result, 1)
	go func() {
		result, err := after.Write(t.Context(), write("k-2", "b"))
		if err == nil {
			results <- result
		}
	}()
	current := receive()
	require.Equal(t, "b", current.Record.Attempt)
	reply(wireResult{Serial: earlier.Serial, Written: true, Revision: 3})
	other := write("k-2", "c").Record
	reply(wireResult{Serial: current.Serial, Current: &other, Revision: 4})
	result := <-results
	require.False(t, result.Written, "the claim of another incarnation was taken for this one")
	require.Equal(t, "c", result.Current.Attempt)
}
