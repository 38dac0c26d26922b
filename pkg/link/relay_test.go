package link_test

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// relay passes connections on to a target. It can go silent on those that are
// open without closing them, as when something between the ends has lost track.
type relay struct {
	address netip.AddrPort
	target  netip.AddrPort

	mu   sync.Mutex
	open []*atomic.Bool
}

func newRelay(t *testing.T, target netip.AddrPort) *relay {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	r := &relay{address: netip.MustParseAddrPort(socket.Addr().String()), target: target}
	go func() {
		for {
			connection, err := socket.Accept()
			if err != nil {
				return
			}
			go r.pass(connection)
		}
	}()
	return r
}

func (r *relay) pass(near net.Conn) {
	far, err := net.Dial("tcp", r.target.String())
	if err != nil {
		_ = near.Close()
		return
	}
	silent := &atomic.Bool{}
	r.mu.Lock()
	r.open = append(r.open, silent)
	r.mu.Unlock()
	go copyUnless(silent, near, far)
	copyUnless(silent, far, near)
}

func copyUnless(silent *atomic.Bool, to io.WriteCloser, from io.Reader) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// silenceOpen swallows all that comes on the connections open now.
func (r *relay) silenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, silent := range r.open {
		silent.Store(true)
	}
}
