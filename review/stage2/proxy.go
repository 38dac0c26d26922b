//go:build review

package stage2

import (
	"net"
	"sync"
	"time"
)

// Proxy passes the connections of one daemon on to an address. While it is cut, nothing passes and nothing
// is closed, as behind a silent partition.
type Proxy struct {
	Address string

	target string
	mu     sync.Mutex
	cut    bool
}

// StartProxy starts a proxy on a loopback address.
func StartProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// SetCut begins or ends the cut.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// await waits until the proxy is not cut.
func (p *Proxy) await() {
	for {
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		if !cut {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *Proxy) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	p.await()
	other, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = other.Close() }()
	go p.copy(conn, other)
	p.copy(other, conn)
}

// copy passes bytes on until one side closes.
func (p *Proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
