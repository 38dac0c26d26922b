package link

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
)

// Path is the URL path on the peer listener at which a Mesh accepts connections.
const Path = "/peer/link"

// Config is the configuration of a Mesh. A Mesh that only receives needs no Resolve
// and no Unreachable.
type Config struct {
	Host string
	Keys Keys
	// Topics lists all topics. The index of a topic is its code on the wire.
	Topics []string
	// LossDetected lists the topics whose senders detect a lost message themselves
	// and reset the connection. Messages of other topics are followed by a ping.
	LossDetected []string
	// Resolve returns the peer address of a host.
	Resolve func(host string) (netip.AddrPort, bool)
	// Unreachable is called when a connection to a host could not be opened.
	Unreachable func(host string)
	// DialContext opens connections. The default is that of net.Dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	Now         func() time.Time
	Log         logr.Logger
}

// Traffic contains the total bytes and frames of a Mesh, and the number of outgoing
// connections that are open.
type Traffic struct {
	SentBytes      uint64
	SentFrames     uint64
	ReceivedBytes  uint64
	ReceivedFrames uint64
	DroppedFrames  uint64
	Connections    int
}

// Mesh sends messages to peers and receives theirs. It is safe for concurrent use.
type Mesh struct {
	config Config
	codes  map[string]uint8
	// lossDetected and inboxes are indexed by topic code.
	lossDetected []bool
	inboxes      []chan *message.Message
	ctx          context.Context
	cancel       context.CancelFunc
	done         chan struct{}
	client       *http.Client

	// closeOnce guards the close of done: each handler of the router calls Close.
	closeOnce sync.Once

	mu         sync.Mutex
	peers      map[string]*peer
	goroutines sync.WaitGroup

	sentBytes, sentFrames         atomic.Uint64
	receivedBytes, receivedFrames atomic.Uint64
	droppedFrames                 atomic.Uint64
}

// inboxCapacity limits the received messages of one topic that wait for its handler.
const inboxCapacity = 1024

// NewMesh returns a Mesh. It opens no connection until a message is published.
func NewMesh(config Config) *Mesh {
	m := &Mesh{
		config: config,
		codes:  map[string]uint8{},
		done:   make(chan struct{}),
		peers:  map[string]*peer{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: config.DialContext}},
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	for i, topic := range config.Topics {
		m.codes[topic] = uint8(i)
		m.inboxes = append(m.inboxes, make(chan *message.Message, inboxCapacity))
		m.lossDetected = append(m.lossDetected, slices.Contains(config.LossDetected, topic))
	}
	return m
}

// Done returns a channel that is closed when Close has closed all connections.
func (m *Mesh) Done() <-chan struct{} {
	return m.done
}

// Publish queues messages to the hosts in their metadata. A message to Config.Host is
// delivered within the process. Publish returns ErrQueueFull if a message was dropped
// because the queue of its host is full, ErrClosed after Close, and ErrUnknownTopic.
func (m *Mesh) Publish(topic string, messages ...*message.Message) error {
	code, ok := m.codes[topic]
	if !ok {
		return errors.Newf("publish to %s: %w", topic, ErrUnknownTopic)
	}
	for _, msg := range messages {
		if err := m.publish(code, msg); err != nil {
			return errors.Newf("publish to %s: %w", topic, err)
		}
	}
	return nil
}

func (m *Mesh) publish(code uint8, msg *message.Message) error {
	host := Host(msg)
	if host == m.config.Host && m.ctx.Err() == nil {
		m.deliver(code, host, msg.Metadata.Get(metadataTrace), msg.Payload)
		return nil
	}
	encoded, err := cbor.Marshal(frame{Topic: code, Trace: []byte(msg.Metadata.Get(metadataTrace)), Payload: cbor.RawMessage(msg.Payload)})
	if err != nil {
		return errors.Newf("encode frame: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		m.droppedFrames.Add(1)
		return ErrClosed
	}
	select {
	case m.peer(host).queue <- outgoing{frame: encoded, lossDetected: m.lossDetected[code]}:
		return nil
	default:
		m.droppedFrames.Add(1)
		return ErrQueueFull
	}
}

// removeIdlePeer removes a peer without queued frames, and reports whether it did.
func (m *Mesh) removeIdlePeer(p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(m.peers, p.host)
	return true
}

// Subscribe returns the messages of a topic in the order of their arrival. A
// message is delivered once the previous one is acknowledged or rejected. A topic
// may have only one subscriber.
func (m *Mesh) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	code, ok := m.codes[topic]
	if !ok {
		return nil, errors.Newf("subscribe to %s: %w", topic, ErrUnknownTopic)
	}
	output := make(chan *message.Message)
	if !m.addGoroutine() {
		return nil, errors.Newf("subscribe to %s: %w", topic, ErrClosed)
	}
	go func() {
		defer m.goroutines.Done()
		defer close(output)
		m.forward(ctx, m.inboxes[code], output)
	}()
	return output, nil
}

func (m *Mesh) forward(ctx context.Context, input <-chan *message.Message, output chan<- *message.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.ctx.Done():
			return
		case msg := <-input:
			if !m.forwardMessage(ctx, msg, output) {
				return
			}
		}
	}
}

// forwardMessage sends one message to output and waits until it is handled. It
// returns false if ctx or the mesh was cancelled first.
func (m *Mesh) forwardMessage(ctx context.Context, msg *message.Message, output chan<- *message.Message) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.ctx.Done():
		return false
	case output <- msg:
	}
	select {
	case <-ctx.Done():
		return false
	case <-m.ctx.Done():
		return false
	case <-msg.Acked():
	case <-msg.Nacked():
	}
	return true
}

// addGoroutine adds a goroutine that Close waits for, and returns false after Close was
// called: no goroutine may be added while Close waits.
func (m *Mesh) addGoroutine() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return false
	}
	m.goroutines.Add(1)
	return true
}

// Close closes all connections and waits for their goroutines. It may be called more
// than once.
func (m *Mesh) Close() error {
	m.mu.Lock()
	m.cancel()
	m.mu.Unlock()
	m.goroutines.Wait()
	m.closeOnce.Do(func() { close(m.done) })
	return nil
}

// Traffic returns the current counts.
func (m *Mesh) Traffic() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	connections := 0
	for _, p := range m.peers {
		if p.connected.Load() {
			connections++
		}
	}
	return Traffic{
		SentBytes: m.sentBytes.Load(), SentFrames: m.sentFrames.Load(),
		ReceivedBytes: m.receivedBytes.Load(), ReceivedFrames: m.receivedFrames.Load(),
		DroppedFrames: m.droppedFrames.Load(), Connections: connections,
	}
}

// Reset closes the connection to a host, so that the next message opens a new one.
func (m *Mesh) Reset(host string) {
	m.mu.Lock()
	p, ok := m.peers[host]
	m.mu.Unlock()
	if ok {
		p.reset()
	}
}

func (m *Mesh) deliver(code uint8, host, span string, payload []byte) {
	if int(code) >= len(m.inboxes) {
		m.droppedFrames.Add(1)
		return
	}
	msg := message.NewMessage("", payload)
	msg.Metadata.Set(metadataHost, host)
	if span != "" {
		msg.Metadata.Set(metadataTrace, span)
	}
	select {
	case m.inboxes[code] <- msg:
	default:
		m.droppedFrames.Add(1)
	}
}

// ServeHTTP accepts one incoming connection and delivers its frames until it is closed.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, err := m.config.Keys.Verify(r, m.config.Now())
	if err != nil {
		http.Error(w, "not authorized", http.StatusUnauthorized)
		return
	}
	if !m.addGoroutine() {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	defer m.goroutines.Done()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.config.Log.V(1).Info("peer connection was not accepted", "host", host, "error", err.Error())
		return
	}
	conn.SetReadLimit(MaxFrameBytes)
	m.read(m.ctx, conn, host)
	_ = conn.CloseNow()
}

// read delivers frames until the connection fails.
func (m *Mesh) read(ctx context.Context, conn *websocket.Conn, host string) {
	for {
		kind, content, err := conn.Read(ctx)
		if err != nil {
			return
		}
		var f frame
		if kind != websocket.MessageBinary || decoderMode.Unmarshal(content, &f) != nil {
			m.droppedFrames.Add(1)
			continue
		}
		m.receivedBytes.Add(uint64(len(content)))
		m.receivedFrames.Add(1)
		m.deliver(f.Topic, host, string(f.Trace), f.Payload)
	}
}
