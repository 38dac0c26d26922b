package dispatch

import (
	"context"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/turmerictide/turmerictide/pkg/link"
)

func (c *Client) handle(m *message.Message) error {
	var envelope wireMessage
	if err := link.Decode(m.Payload, &envelope); err != nil {
		return nil
	}
	switch envelope.Kind {
	case kindGrant:
		c.handleGrant(link.Host(m), envelope)
	case kindRejection:
		c.handleRejection(envelope.Body)
	case kindQueued:
		c.handleQueued(envelope.Body)
	case kindHoldsQuery:
		c.reportHolds(link.Host(m), envelope.Shard)
	case kindAudit:
		c.handleAudit(link.Host(m), envelope, func(RequestID) bool { return true })
	case kindSearch:
		c.handleAudit(link.Host(m), envelope, c.isOwnID)
	}
	return nil
}

// handleGrant delivers a grant to its offer. A grant without a pending offer, because the
// caller has disconnected or another owner was faster, is released immediately.
func (c *Client) handleGrant(owner string, envelope wireMessage) {
	var wire wireGrant
	if err := link.Decode(envelope.Body, &wire); err != nil {
		return
	}
	now := c.config.Now()
	c.mu.Lock()
	c.pause.check(now)
	isStale := c.pause.isStale(now)
	c.mu.Unlock()
	if isStale {
		// The grant may have been sent before or during a pause of this process. It is
		// released, and the offer is sent again.
		c.publish(context.Background(), owner, kindDone, noShard, wireDone{ID: wire.ID})
		return
	}
	if c.deliverDecision(wire.ID, arrivedDecision{grant: wire, owner: owner, arrivedAt: now}) {
		return
	}
	c.mu.Lock()
	reservation, ok := c.reservations[wire.ID]
	isSame := ok && reservation.Owner == owner && reservation.Grant.Fencing == wire.Fencing
	c.mu.Unlock()
	if !isSame {
		c.publish(context.Background(), owner, kindDone, noShard, wireDone{ID: wire.ID})
	}
}

func (c *Client) handleRejection(body []byte) {
	var wire wireRejection
	if err := link.Decode(body, &wire); err != nil {
		return
	}
	c.deliverDecision(wire.ID, arrivedDecision{arrivedAt: c.config.Now(), rejection: Rejection{
		ID: wire.ID, Front: c.config.Host, Cause: wire.Cause,
		RetryAfter: time.Duration(wire.RetryAfterMilliseconds) * time.Millisecond,
	}})
}

// handleQueued records that an owner has received an offer and has not decided yet.
func (c *Client) handleQueued(body []byte) {
	var id RequestID
	if err := link.Decode(body, &id); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, ok := c.pending[id]; ok {
		notify(o.queued)
	}
}

// notify sends to a channel with a capacity of one, without blocking.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// deliverDecision passes a decision to its pending offer and reports whether there is one.
func (c *Client) deliverDecision(id RequestID, decision arrivedDecision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.pending[id]
	delete(c.pending, id)
	if ok {
		o.decision <- decision
	}
	return ok
}

// reportHolds reports all holds of this front in a shard to an owner. It keeps mu locked
// until the message is queued, so that the message that ends a hold is never sent before
// it.
func (c *Client) reportHolds(owner string, id ShardID) {
	now := c.config.Now()
	reply := wireHolds{Complete: true}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.reservations {
		if r.shard.id == id {
			reply.Holds = append(reply.Holds, r.addOwner(owner, now))
		}
	}
	c.publish(context.Background(), owner, kindHolds, id, reply)
}

// encode returns the reservation as a hold that an owner can adopt. client.mu must be
// held.
func (r *Reservation) encode(now time.Time) wireHold {
	hold := Hold{Request: r.request, Stage: r.stage, Prefill: r.Grant.Prefill, Decode: r.Grant.Decode}
	if r.stage == StageDecode && !r.startedAt.IsZero() {
		hold.DecodingTime = now.Sub(r.startedAt)
		hold.OutputTokens = int(r.outputTokens.Load())
	}
	return encodeHold(hold, now)
}

// isOwnID reports whether this incarnation of the front has created an identifier.
func (c *Client) isOwnID(id RequestID) bool {
	return id.FrontTag() == c.config.FrontTag
}

// handleAudit replies to a query for identifiers. It reports the holds that this front has,
// and the other identifiers as unknown. isIncluded selects the identifiers to reply to. An
// audit lists identifiers that the owner has recorded as held on this host, so an
// identifier of another incarnation belongs to one that has terminated. A search goes to all
// hosts, and only the front that created an identifier replies.
func (c *Client) handleAudit(owner string, envelope wireMessage, isIncluded func(RequestID) bool) {
	var wire wireIDs
	if err := link.Decode(envelope.Body, &wire); err != nil {
		return
	}
	now := c.config.Now()
	var held wireHolds
	var unknown wireIDs
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range wire.IDs {
		if !isIncluded(id) {
			continue
		}
		if r, ok := c.reservations[id]; ok {
			held.Holds = append(held.Holds, r.addOwner(owner, now))
			continue
		}
		unknown.IDs = append(unknown.IDs, id)
	}
	if len(held.Holds) > 0 {
		c.publish(context.Background(), owner, kindHolds, envelope.Shard, held)
	}
	if len(unknown.IDs) > 0 {
		c.publish(context.Background(), owner, kindUnknownHolds, envelope.Shard, unknown)
	}
}
