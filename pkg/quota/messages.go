package quota

import (
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/turmerictide/turmerictide/pkg/link"
)

// Topics of the messages between hosts and the keeper or deputy of a team.
const (
	TopicRequest = "quota_request"
	TopicReply   = "quota_reply"
	TopicReturn  = "quota_return"
	// A source acknowledges each confirmation.
	TopicConfirmation   = "quota_confirmation"
	TopicAcknowledgment = "quota_acknowledgment"
)

// verdict is the decision of a keeper or deputy.
type verdict uint8

// The values are part of the wire format.
const (
	// unavailable means that the host does not decide: it is not the keeper, does not know the team,
	// or its part of the limit is smaller than the request. A missing reply means the same.
	unavailable verdict = iota
	denied
	granted
)

// wireRequest is a request for tokens. Amounts are whole numbers of tokens or requests, as costs are.
type wireRequest struct {
	_            struct{} `cbor:",toarray"`
	Serial       uint32
	Team         string
	Cost         uint64
	Extra        uint64
	IsDeputy     bool
	Confirmation confirmation
}

type wireReply struct {
	_       struct{} `cbor:",toarray"`
	Serial  uint32
	Verdict verdict
	// Amount is the number of tokens granted.
	Amount uint64
	// WaitMilliseconds is the time until the cost of a denied request is available.
	WaitMilliseconds int64
	// RetryMilliseconds is the time after which a denied request should be sent again.
	RetryMilliseconds int64
}

type wireReturn struct {
	_      struct{} `cbor:",toarray"`
	Team   string
	Amount uint64
}

type wireConfirmation struct {
	_ struct{} `cbor:",toarray"`
	// Number is that of the acknowledgment.
	Number       uint32
	Confirmation confirmation
}

type wireAcknowledgment struct {
	_      struct{} `cbor:",toarray"`
	Number uint32
	// Stamp is the clock of the source in milliseconds.
	Stamp uint32
	// HasOtherList is true if the source's list of keepers is another one.
	HasOtherList bool
}

// decision is the content of a reply.
type decision struct {
	verdict verdict
	amount  float64
	// wait is the time until the cost of a denied request is available. retryAfter takes into account
	// the requests that were denied before it.
	wait, retryAfter time.Duration
}

// Route adds the message handlers to a router, for messages from a subscriber.
func (g *Gate) Route(router *message.Router, subscriber message.Subscriber) {
	for _, topic := range []string{TopicRequest, TopicReply, TopicReturn, TopicConfirmation, TopicAcknowledgment} {
		router.AddConsumerHandler(topic, topic, subscriber, func(m *message.Message) error { return g.Handle(topic, m) })
	}
}

// Handle processes a message of one of the topics. Messages that are malformed are ignored.
func (g *Gate) Handle(topic string, m *message.Message) error {
	switch topic {
	case TopicRequest:
		var wire wireRequest
		if link.Decode(m.Payload, &wire) == nil {
			g.handleRequest(link.Host(m), wire)
		}
	case TopicReply:
		var wire wireReply
		if link.Decode(m.Payload, &wire) == nil {
			g.handleReply(link.Host(m), wire)
		}
	case TopicReturn:
		var wire wireReturn
		if link.Decode(m.Payload, &wire) == nil {
			g.put(wire.Team, float64(wire.Amount))
		}
	case TopicConfirmation:
		var wire wireConfirmation
		if link.Decode(m.Payload, &wire) == nil {
			g.handleConfirmation(link.Host(m), wire)
		}
	case TopicAcknowledgment:
		var wire wireAcknowledgment
		if link.Decode(m.Payload, &wire) == nil {
			g.handleAcknowledgment(link.Host(m), wire)
		}
	}
	return nil
}

func (g *Gate) handleRequest(host string, wire wireRequest) {
	now := g.config.Now()
	g.count(now, host, wire.Confirmation)
	decide := g.decideAsKeeper
	if wire.IsDeputy {
		decide = g.decideAsDeputy
	}
	result := decide(now, wire.Team, float64(wire.Cost), float64(wire.Extra))
	_ = g.send(host, TopicReply, wireReply{
		Serial: wire.Serial, Verdict: result.verdict, Amount: uint64(result.amount), WaitMilliseconds: result.wait.Milliseconds(), RetryMilliseconds: result.retryAfter.Milliseconds(),
	})
}

func (g *Gate) handleReply(host string, wire wireReply) {
	now := g.config.Now()
	g.mu.Lock()
	p, ok := g.pending[wire.Serial]
	if !ok || p.host != host {
		g.mu.Unlock()
		return
	}
	delete(g.pending, wire.Serial)
	p.source.repliedAt = now
	// The host was slow, not lost, so it is asked again at once.
	p.source.silentUntil = time.Time{}
	isLate := p.isAbandoned
	if now.Sub(p.askedAt) <= replyTimeout {
		g.confirmer.answered(host)
	}
	if !isLate {
		p.reply <- decision{
			verdict: wire.Verdict, amount: min(float64(wire.Amount), p.amount), wait: toWait(wire.WaitMilliseconds), retryAfter: toWait(wire.RetryMilliseconds),
		}
	}
	g.mu.Unlock()
	if isLate && wire.Amount > 0 && !p.isDeputy {
		g.sendReturn(host, p.team, min(float64(wire.Amount), p.amount))
	}
}

func toWait(milliseconds int64) time.Duration {
	return time.Duration(min(max(milliseconds, 0), maxWait.Milliseconds())) * time.Millisecond
}

func (g *Gate) sendReturn(host, team string, amount float64) {
	_ = g.send(host, TopicReturn, wireReturn{Team: team, Amount: uint64(amount)})
}

func (g *Gate) send(host, topic string, body any) error {
	err := link.Send(g.config.Publish, topic, host, body)
	if err != nil {
		g.config.Log.V(1).Info("message was dropped", "topic", topic, "host", host, "error", err.Error())
	}
	return err
}
