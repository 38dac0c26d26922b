package link_test

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"

	"github.com/turmerictide/turmerictide/pkg/link"
)

// TestConnectionsThatArriveDuringCloseAreRejected covers peers that connect while a
// daemon shuts down. The race detector reports if Close does not wait for them.
func TestConnectionsThatArriveDuringCloseAreRejected(t *testing.T) {
	for range 30 {
		var address netip.AddrPort
		newMesh := func(host string) *link.Mesh {
			return link.NewMesh(link.Config{
				Host: host, Keys: link.Keys{"key"}, Topics: []string{"topic"}, Now: time.Now, Log: logr.Discard(),
				Resolve:     func(string) (netip.AddrPort, bool) { return address, true },
				Unreachable: func(string) {},
			})
		}
		closing := newMesh("closing")
		server := httptest.NewServer(closing)
		address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		var work sync.WaitGroup
		for _, host := range []string{"one", "two", "three"} {
			peer := newMesh(host)
			work.Go(func() {
				_ = peer.Publish("topic", link.NewMessage("closing", []byte{0}, trace.SpanContext{}))
				time.Sleep(2 * time.Millisecond)
				_ = peer.Close()
			})
		}
		work.Go(func() { _ = closing.Close() })
		work.Wait()
		err := closing.Publish("topic", link.NewMessage("one", []byte{0}, trace.SpanContext{}))
		require.True(t, errors.Is(err, link.ErrClosed))
		server.Close()
	}
}
