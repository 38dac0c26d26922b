package site

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Fault is a network fault that a relay injects.
type Fault string

// FaultSlow delays each chunk of data. FaultSilent keeps connections open but forwards no
// data. FaultOneWay forwards requests but no responses. FaultReset closes all connections,
// including new ones.
const (
	FaultNone   Fault = ""
	FaultSlow   Fault = "slow"
	FaultSilent Fault = "silent"
	FaultOneWay Fault = "one-way"
	FaultReset  Fault = "reset"
)

const (
	// slowDelay is the delay of each chunk under FaultSlow.
	slowDelay = 150 * time.Millisecond
	// faultPollInterval is the interval at which a blocked connection checks whether the
	// fault still applies.
	faultPollInterval = 10 * time.Millisecond
)

// Relay is a TCP proxy in front of a process. It can inject network faults.
type Relay struct {
	// Address is where the relay listens.
	Address netip.AddrPort

	target      netip.AddrPort
	listener    net.Listener
	mu          sync.Mutex
	fault       Fault
	connections map[net.Conn]bool
	closed      bool
}

// NewRelay starts a relay that forwards connections to target.
func NewRelay(target netip.AddrPort) (*Relay, error) {
	listener, address, err := listenFree()
	if err != nil {
		return nil, errors.Newf("start relay for %s: %w", target, err)
	}
	r := &Relay{Address: address, target: target, listener: listener, connections: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// SetFault sets the fault. It also applies to open connections.
func (r *Relay) SetFault(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
	if fault == FaultReset {
		r.closeAll()
	}
}

// Close stops the relay and closes all its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.closeAll()
}

// closeAll resets the open connections. mu must be held.
func (r *Relay) closeAll() {
	for c := range r.connections {
		reset(c)
	}
	clear(r.connections)
}

// reset closes a connection with a reset, so that it ends no body without a length.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

// track adds a connection to the open ones. It closes the connection and returns false if
// the relay is closed or resets connections.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.fault == FaultReset {
		reset(c)
		return false
	}
	r.connections[c] = true
	return true
}

func (r *Relay) closeConnection(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
	_ = c.Close()
}

func (r *Relay) forward(client net.Conn) {
	if !r.track(client) {
		return
	}
	defer r.closeConnection(client)
	server, err := net.Dial("tcp", r.target.String())
	if err != nil || !r.track(server) {
		return
	}
	defer r.closeConnection(server)
	done := make(chan struct{}, 2)
	go r.copyStream(server, client, false, done)
	go r.copyStream(client, server, true, done)
	<-done
}

// copyStream forwards one direction of a connection until it is closed, and a reset as a
// reset. forward then closes both directions, as when the client of an endpoint disconnects.
func (r *Relay) copyStream(to, from net.Conn, isResponse bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !r.applyFault(from, isResponse) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}

// applyFault delays or blocks a chunk according to the current fault. It reports whether
// the connection is still open.
func (r *Relay) applyFault(c net.Conn, isResponse bool) bool {
	delayed := false
	for {
		r.mu.Lock()
		fault, isOpen := r.fault, r.connections[c]
		r.mu.Unlock()
		switch {
		case !isOpen:
			return false
		case fault == FaultSlow && !delayed:
			delayed = true
			time.Sleep(slowDelay)
		case fault == FaultSilent, fault == FaultOneWay && isResponse:
			time.Sleep(faultPollInterval)
		default:
			return true
		}
	}
}
