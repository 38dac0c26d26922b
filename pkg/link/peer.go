package link

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
)

// outgoing is an encoded frame in the queue of a peer.
type outgoing struct {
	frame []byte
	// lossDetected is true if the sender detects the loss of the frame itself.
	lossDetected bool
}

// peer is the outgoing side of one connection. Frames are sent in one direction only;
// the peer opens its own connection for its frames.
type peer struct {
	mesh      *Mesh
	host      string
	queue     chan outgoing
	connected atomic.Bool

	mu     sync.Mutex
	cancel context.CancelFunc
}

// peer returns the peer of a host, and creates it and starts its goroutine on first
// use. mu must be held.
func (m *Mesh) peer(host string) *peer {
	if p, ok := m.peers[host]; ok {
		return p
	}
	p := &peer{mesh: m, host: host, queue: make(chan outgoing, queueCapacity)}
	m.peers[host] = p
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		p.run(m.ctx)
	}()
	return p
}

func (p *peer) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		p.cancel()
	}
}

// run opens a connection when a frame is queued and none is open. It returns after
// IdleTimeout without frames.
func (p *peer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-p.queue:
			p.serveConnection(ctx, first)
		case <-time.After(IdleTimeout):
			if p.mesh.removeIdlePeer(p) {
				return
			}
		}
	}
}

// serveConnection opens a connection and sends frames until it fails or is idle.
func (p *peer) serveConnection(parent context.Context, first outgoing) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	p.mu.Lock()
	p.cancel = cancel
	p.mu.Unlock()
	conn, err := p.dial(ctx)
	if err != nil {
		p.mesh.config.Log.V(1).Info("peer is not reachable", "host", p.host, "error", err.Error())
		p.dropQueued()
		if ctx.Err() == nil && !errors.Is(err, errNoAddress) {
			p.mesh.config.Unreachable(p.host)
		}
		return
	}
	p.connected.Store(true)
	defer p.connected.Store(false)
	defer func() { _ = conn.CloseNow() }()
	// CloseRead reads control frames such as pongs and close frames. Peers send no
	// data frames on this connection.
	ctx = conn.CloseRead(ctx)
	if err := p.write(ctx, conn, first.frame); err != nil {
		return
	}
	p.writeFrames(ctx, conn, !first.lossDetected)
}

// writeFrames writes queued frames. A ping follows the frames whose senders do not
// detect their loss; unconfirmed is true while one of them has not been followed by a ping.
func (p *peer) writeFrames(ctx context.Context, conn *websocket.Conn, unconfirmed bool) {
	ticker := time.NewTicker(PingInterval)
	defer ticker.Stop()
	idle := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-p.queue:
			idle = 0
			unconfirmed = unconfirmed || !next.lossDetected
			if err := p.write(ctx, conn, next.frame); err != nil {
				return
			}
		case <-ticker.C:
			idle += PingInterval
			if idle >= IdleTimeout {
				return
			}
			if !unconfirmed {
				continue
			}
			unconfirmed = false
			if err := ping(ctx, conn); err != nil {
				p.mesh.config.Log.V(1).Info("ping of a peer failed; closing the connection", "host", p.host)
				return
			}
		}
	}
}

func ping(parent context.Context, conn *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(parent, PingTimeout)
	defer cancel()
	return conn.Ping(ctx)
}

func (p *peer) write(parent context.Context, conn *websocket.Conn, encoded []byte) error {
	ctx, cancel := context.WithTimeout(parent, PingTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, encoded); err != nil {
		p.mesh.droppedFrames.Add(1)
		return errors.Newf("write frame: %w", err)
	}
	p.mesh.sentBytes.Add(uint64(len(encoded)))
	p.mesh.sentFrames.Add(1)
	return nil
}

// dropQueued drops the current frame and the queued frames of an unreachable peer.
func (p *peer) dropQueued() {
	p.mesh.droppedFrames.Add(1)
	for {
		select {
		case <-p.queue:
			p.mesh.droppedFrames.Add(1)
		default:
			return
		}
	}
}

// errNoAddress is returned for a host whose address is unknown. It does not show whether
// the host is reachable, so Unreachable is not called.
var errNoAddress = errors.New("no address")

func (p *peer) dial(parent context.Context) (*websocket.Conn, error) {
	address, ok := p.mesh.config.Resolve(p.host)
	if !ok {
		return nil, errors.Newf("host %s: %w", p.host, errNoAddress)
	}
	ctx, cancel := context.WithTimeout(parent, DialTimeout)
	defer cancel()
	url := "http://" + address.String() + Path
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Newf("build request: %w", err)
	}
	p.mesh.config.Keys.Sign(request, p.mesh.config.Host, p.mesh.config.Now())
	options := &websocket.DialOptions{HTTPClient: p.mesh.client, HTTPHeader: request.Header}
	conn, response, err := websocket.Dial(ctx, url, options)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, errors.Newf("dial %s: %w", p.host, err)
	}
	return conn, nil
}
