// Package link transports messages between daemons.
//
// A Mesh has at most one outgoing WebSocket connection to each peer, opened when
// the first message is sent. Each WebSocket message is one CBOR frame: a topic
// code, an optional trace context and the payload. The Mesh is a watermill
// Publisher and Subscriber, so handlers are registered with watermill's router.
// Delivery is at most once: a message to an unreachable peer is dropped, and a
// sender that needs a reply must use a timeout.
//
// A ping follows messages within a second, unless their senders detect a loss
// themselves. If no pong arrives, the connection is closed and the next message
// opens a new one, because a network path can lose the state of an open
// connection while new connections work.
package link

import (
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.opentelemetry.io/otel/trace"
)

const (
	// metadataHost is the destination of an outgoing message, or the source of a
	// received one.
	metadataHost = "host"
	// metadataTrace is the encoded trace context.
	metadataTrace = "trace"
)

const (
	// PingInterval is the interval at which a connection is checked for messages
	// that require a ping.
	PingInterval = time.Second
	// PingTimeout limits the wait for a pong, and the write of one frame.
	PingTimeout = 1500 * time.Millisecond
	// DialTimeout limits the time to open a connection.
	DialTimeout = 1500 * time.Millisecond
	// IdleTimeout is the time without messages after which a connection is closed.
	// After the same time without a connection, the peer is removed.
	IdleTimeout = 30 * time.Second
	// MaxFrameBytes limits the size of one received frame.
	MaxFrameBytes = 1 << 20
	// queueCapacity limits the queued frames of one peer.
	queueCapacity = 512
)

// ErrQueueFull is returned when the queue of a peer is full and a message was dropped.
var ErrQueueFull = errors.New("peer queue is full")

// ErrClosed is returned by Publish and Subscribe after Close.
var ErrClosed = errors.New("links are closed")

// ErrUnknownTopic is returned for a topic that is not in Config.Topics.
var ErrUnknownTopic = errors.New("unknown topic")

// frame is the wire form of one message.
type frame struct {
	_       struct{} `cbor:",toarray"`
	Topic   uint8
	Trace   []byte
	Payload cbor.RawMessage
}

// Encode returns the CBOR encoding of value.
func Encode(value any) ([]byte, error) {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return nil, errors.Newf("encode message: %w", err)
	}
	return payload, nil
}

// Decode decodes a CBOR payload into value. It limits the nesting and the number of elements
// of each array and map.
func Decode(payload []byte, value any) error {
	if err := decoderMode.Unmarshal(payload, value); err != nil {
		return errors.Newf("decode message: %w", err)
	}
	return nil
}

var decoderMode = newDecoderMode()

// newDecoderMode returns a decoder whose limits bound the memory that a malicious
// frame can make it allocate.
func newDecoderMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// NewMessage returns a message to a host. It contains the trace context of span if that is
// valid.
func NewMessage(host string, payload []byte, span trace.SpanContext) *message.Message {
	m := message.NewMessage("", payload)
	m.Metadata.Set(metadataHost, host)
	if span.IsValid() {
		m.Metadata.Set(metadataTrace, string(encodeSpan(span)))
	}
	return m
}

// Send encodes body and publishes it as a message to a host, outside any trace.
func Send(publish func(topic string, messages ...*message.Message) error, topic, host string, body any) error {
	payload, err := Encode(body)
	if err != nil {
		return errors.Newf("encode %s: %w", topic, err)
	}
	if err := publish(topic, NewMessage(host, payload, trace.SpanContext{})); err != nil {
		return errors.Newf("send %s: %w", topic, err)
	}
	return nil
}

// Host returns the host that sent a received message.
func Host(m *message.Message) string {
	return m.Metadata.Get(metadataHost)
}

// Span returns the span context of a message, or an invalid one if it has none.
func Span(m *message.Message) trace.SpanContext {
	return decodeSpan([]byte(m.Metadata.Get(metadataTrace)))
}

const (
	traceIDBytes = 16
	spanIDBytes  = 8
)

func encodeSpan(span trace.SpanContext) []byte {
	traceID, spanID := span.TraceID(), span.SpanID()
	return append(append(make([]byte, 0, traceIDBytes+spanIDBytes), traceID[:]...), spanID[:]...)
}

func decodeSpan(encoded []byte) trace.SpanContext {
	if len(encoded) != traceIDBytes+spanIDBytes {
		return trace.SpanContext{}
	}
	var config trace.SpanContextConfig
	copy(config.TraceID[:], encoded)
	copy(config.SpanID[:], encoded[traceIDBytes:])
	config.TraceFlags = trace.FlagsSampled
	config.Remote = true
	return trace.NewSpanContext(config)
}

// webSocketHeaderBytes is the header size of a masked WebSocket message of fewer than
// 126 bytes (RFC 6455, section 5.2).
const webSocketHeaderBytes = 6

// FrameBytes returns the number of bytes that a payload occupies on a connection.
func FrameBytes(payload []byte, traced bool) int {
	f := frame{Payload: payload}
	if traced {
		f.Trace = make([]byte, traceIDBytes+spanIDBytes)
	}
	encoded, err := cbor.Marshal(f)
	if err != nil {
		return 0
	}
	return len(encoded) + webSocketHeaderBytes
}
