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

// outgoing is an encoded frame that waits for its connection.
type outgoing struct {
	frame []byte
	// answered is true when its sender notices the loss of the frame.
	answered bool
}

// peer is the outgoing side of one connection. Frames flow one way on it; the
// other daemon opens its own connection for its frames.
type peer struct {
	mesh      *Mesh
	host      string
	queue     chan outgoing
	connected atomic.Bool

	mu     sync.Mutex
	cancel context.CancelFunc
}

// peer returns the peer of a host and starts its writer on first use. The caller
// holds the lock.
func (m *Mesh) peer(host string) *peer {
	if p, ok := m.peers[host]; ok {
		return p
	}
	p := &peer{mesh: m, host: host, queue: make(chan outgoing, queueFrames)}
	m.peers[host] = p
	m.wait.Add(1)
	go func() {
		defer m.wait.Done()
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

// run opens a connection for each run of frames, and ends when there were none
// for long.
func (p *peer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-p.queue:
			p.converse(ctx, first)
		case <-time.After(IdleTimeout):
			if p.mesh.forget(p) {
				return
			}
		}
	}
}

// converse sends frames over one connection until it fails or is idle.
func (p *peer) converse(parent context.Context, first outgoing) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	p.mu.Lock()
	p.cancel = cancel
	p.mu.Unlock()
	conn, err := p.dial(ctx)
	if err != nil {
		p.mesh.config.Log.V(1).Info("peer is not reachable", "host", p.host, "error", err.Error())
		p.drop()
		if ctx.Err() == nil && !errors.Is(err, errNoAddress) {
			p.mesh.config.Unreachable(p.host)
		}
		return
	}
	p.connected.Store(true)
	defer p.connected.Store(false)
	defer func() { _ = conn.CloseNow() }()
	// The reader answers pings and sees the close; peers send no frames here.
	ctx = conn.CloseRead(ctx)
	if err := p.write(ctx, conn, first.frame); err != nil {
		return
	}
	p.pump(ctx, conn, !first.answered)
}

// pump writes queued frames. A ping follows the frames whose loss nobody else
// would notice; unproved is true while one of them may be lost.
func (p *peer) pump(ctx context.Context, conn *websocket.Conn, unproved bool) {
	ticker := time.NewTicker(PingPeriod)
	defer ticker.Stop()
	idle := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-p.queue:
			idle = 0
			unproved = unproved || !next.answered
			if err := p.write(ctx, conn, next.frame); err != nil {
				return
			}
		case <-ticker.C:
			idle += PingPeriod
			if idle >= IdleTimeout {
				return
			}
			if !unproved {
				continue
			}
			unproved = false
			if err := ping(ctx, conn); err != nil {
				p.mesh.config.Log.V(1).Info("peer connection is silent", "host", p.host)
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

// drop discards what waits for a peer that cannot be reached.
func (p *peer) drop() {
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

// errNoAddress reports a host that is not known yet, which says nothing of
// whether it can be reached.
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
