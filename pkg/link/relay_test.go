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

// relay forwards TCP connections to a target. It can discard the data of the open
// connections without closing them, like a network device that has lost their state.
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
			go r.forward(connection)
		}
	}()
	return r
}

func (r *relay) forward(inbound net.Conn) {
	outbound, err := net.Dial("tcp", r.target.String())
	if err != nil {
		_ = inbound.Close()
		return
	}
	silent := &atomic.Bool{}
	r.mu.Lock()
	r.open = append(r.open, silent)
	r.mu.Unlock()
	go copyUnless(silent, inbound, outbound)
	copyUnless(silent, outbound, inbound)
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

// silenceOpenConnections discards all further data on the connections that are open.
func (r *relay) silenceOpenConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, silent := range r.open {
		silent.Store(true)
	}
}
