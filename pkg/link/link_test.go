package link_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"

	"github.com/turmerictide/turmerictide/pkg/link"
)

const topic = "greeting"

type node struct {
	mesh             *link.Mesh
	address          netip.AddrPort
	unreachableCount atomic.Int64
}

// newNode serves a mesh on loopback. resolve returns the addresses of peers.
func newNode(t *testing.T, host string, keys link.Keys, resolve func(string) netip.AddrPort) *node {
	n := &node{}
	n.mesh = link.NewMesh(link.Config{
		Host: host, Keys: keys, Topics: []string{topic}, Now: time.Now, Log: logr.Discard(),
		Resolve:     func(host string) (netip.AddrPort, bool) { return resolve(host), true },
		Unreachable: func(string) { n.unreachableCount.Add(1) },
	})
	server := httptest.NewServer(n.mesh)
	n.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	t.Cleanup(func() {
		require.NoError(t, n.mesh.Close())
		server.CloseClientConnections()
		server.Close()
	})
	return n
}

func (n *node) send(t *testing.T, host string, value int) {
	t.Helper()
	payload, err := link.Encode(value)
	require.NoError(t, err)
	require.NoError(t, n.mesh.Publish(topic, link.NewMessage(host, payload, trace.SpanContext{})))
}

// receive subscribes to the topic. The function that it returns waits up to 20 seconds
// for the next message and returns its host and value, or -1 after that time.
func (n *node) receive(t *testing.T, ctx context.Context) func() (string, int) {
	t.Helper()
	messages, err := n.mesh.Subscribe(ctx, topic)
	require.NoError(t, err)
	return func() (string, int) {
		select {
		case m := <-messages:
			var value int
			require.NoError(t, link.Decode(m.Payload, &value))
			m.Ack()
			return link.Host(m), value
		case <-time.After(20 * time.Second):
			return "", -1
		}
	}
}

func TestMessagesArriveInOrder(t *testing.T) {
	var b *node
	a := newNode(t, "a", link.Keys{"key"}, func(string) netip.AddrPort { return b.address })
	b = newNode(t, "b", link.Keys{"key"}, nil)
	next := b.receive(t, t.Context())
	for i := range 500 {
		a.send(t, "b", i)
	}
	for i := range 500 {
		host, value := next()
		require.Equal(t, "a", host)
		require.Equal(t, i, value)
	}
}

func TestKeysAreReplacedWithoutPause(t *testing.T) {
	var b *node
	resolve := func(string) netip.AddrPort { return b.address }
	old := newNode(t, "old", link.Keys{"first", "second"}, resolve)
	rotated := newNode(t, "turned", link.Keys{"second", "first"}, resolve)
	unauthorized := newNode(t, "stranger", link.Keys{"third"}, resolve)
	b = newNode(t, "b", link.Keys{"first", "second"}, nil)
	next := b.receive(t, t.Context())
	for _, n := range []*node{old, rotated} {
		n.send(t, "b", 1)
		host, _ := next()
		require.NotEmpty(t, host)
	}
	unauthorized.send(t, "b", 1)
	require.Eventually(t, func() bool { return unauthorized.unreachableCount.Load() > 0 }, 20*time.Second, 10*time.Millisecond)
	require.Zero(t, b.mesh.Traffic().DroppedFrames)
}

func TestSignatureIsRejectedWhenOldOrForAnotherPath(t *testing.T) {
	keys := link.Keys{"key"}
	now := time.Unix(1_800_000_000, 0)
	request := httptest.NewRequest(http.MethodGet, "/peer/head", nil)
	keys.Sign(request, "a", now)
	host, err := keys.Verify(request, now)
	require.NoError(t, err)
	require.Equal(t, "a", host)
	_, err = keys.Verify(request, now.Add(time.Minute))
	require.ErrorIs(t, err, link.ErrUnauthorized)
	request.URL.Path = "/peer/object"
	_, err = keys.Verify(request, now)
	require.ErrorIs(t, err, link.ErrUnauthorized)
}

func TestSilentConnectionIsReplacedByANewOne(t *testing.T) {
	var b *node
	var r *relay
	a := newNode(t, "a", link.Keys{"key"}, func(string) netip.AddrPort { return r.address })
	b = newNode(t, "b", link.Keys{"key"}, nil)
	r = newRelay(t, b.address)
	next := b.receive(t, t.Context())
	a.send(t, "b", 1)
	_, value := next()
	require.Equal(t, 1, value)
	// The open connection no longer transports data; new connections do.
	r.silenceOpenConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	arrived := make(chan int, 1)
	go func() {
		_, value := next()
		arrived <- value
	}()
	for i := 2; ; i++ {
		a.send(t, "b", i)
		select {
		case value := <-arrived:
			require.GreaterOrEqual(t, value, 2)
			return
		case <-ctx.Done():
			t.Fatal("the silent connection was not replaced")
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func FuzzDecode(f *testing.F) {
	for i := range 3 {
		payload, err := link.Encode([]any{i, fmt.Sprint("text ", i), []byte{1, 2}})
		require.NoError(f, err)
		f.Add(payload)
	}
	f.Fuzz(func(_ *testing.T, payload []byte) {
		var value []any
		_ = link.Decode(payload, &value)
	})
}

// BenchmarkMessage measures one message between two meshes over loopback, including
// the work of the sender and the receiver.
func BenchmarkMessage(b *testing.B) {
	receiver := link.NewMesh(link.Config{Host: "b", Keys: link.Keys{"key"}, Topics: []string{topic}, Now: time.Now, Log: logr.Discard()})
	server := httptest.NewServer(receiver)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	sender := link.NewMesh(link.Config{
		Host: "a", Keys: link.Keys{"key"}, Topics: []string{topic}, Now: time.Now, Log: logr.Discard(),
		Resolve:     func(string) (netip.AddrPort, bool) { return address, true },
		Unreachable: func(string) {},
	})
	messages, err := receiver.Subscribe(b.Context(), topic)
	require.NoError(b, err)
	payload, err := link.Encode([]int{1, 2, 3, 4})
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, sender.Publish(topic, link.NewMessage("b", payload, trace.SpanContext{})))
		m := <-messages
		m.Ack()
	}
	require.NoError(b, sender.Close())
	require.NoError(b, receiver.Close())
	server.CloseClientConnections()
	server.Close()
}
