package virtual

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// Network connects listeners and dialers of one test in memory. A goroutine that waits for a real
// connection keeps the time of a synctest bubble from advancing.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
}

// errRefused is returned when nothing listens at an address.
var errRefused = errors.New("connection refused")

// listener is a net.Listener of a Network.
type listener struct {
	address  netip.AddrPort
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Listen returns a listener with an address of its own.
func (n *Network) Listen() (net.Listener, netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[netip.AddrPort]*listener{}
	}
	index := len(n.listeners)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 80)
	l := &listener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, address
}

// DialContext connects to the listener at an address. It fails at once if there is none.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Newf("parse address: %w", err)
	}
	n.mu.Lock()
	l, ok := n.listeners[parsed]
	n.mu.Unlock()
	if !ok {
		return nil, errRefused
	}
	client, server := net.Pipe()
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}
