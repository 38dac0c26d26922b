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
	case kindRefusal:
		c.handleRefusal(envelope.Body)
	case kindQueued:
		c.handleQueued(envelope.Body)
	case kindReport:
		c.report(link.Host(m), envelope.Shard)
	case kindAudit:
		c.handleAudit(link.Host(m), envelope, func(RequestID) bool { return true })
	case kindSearch:
		c.handleAudit(link.Host(m), envelope, c.hasMade)
	}
	return nil
}

// handleGrant passes a grant to its offer. One that nobody waits for, because
// its caller is gone or another owner was faster, is given back at once.
func (c *Client) handleGrant(owner string, envelope wireMessage) {
	var wire wireGrant
	if err := link.Decode(envelope.Body, &wire); err != nil {
		return
	}
	now := c.config.Now()
	c.mu.Lock()
	c.pause.check(now)
	stale := c.pause.isStale(now)
	c.mu.Unlock()
	if stale {
		// The grant may have waited while this process was stopped. The offer is
		// made again.
		c.publish(context.Background(), owner, kindDone, noShard, wireDone{ID: wire.ID})
		return
	}
	if c.decide(wire.ID, arrival{grant: wire, owner: owner, at: now}) {
		return
	}
	c.mu.Lock()
	live, ok := c.live[wire.ID]
	same := ok && live.Owner == owner && live.Grant.Fencing == wire.Fencing
	c.mu.Unlock()
	if !same {
		c.publish(context.Background(), owner, kindDone, noShard, wireDone{ID: wire.ID})
	}
}

func (c *Client) handleRefusal(body []byte) {
	var wire wireRefusal
	if err := link.Decode(body, &wire); err != nil {
		return
	}
	c.decide(wire.ID, arrival{at: c.config.Now(), refusal: Rejection{
		ID: wire.ID, Front: c.config.Host, Cause: wire.Cause,
		RetryAfter: time.Duration(wire.RetryAfterMilliseconds) * time.Millisecond,
	}})
}

// handleQueued notes that an owner has an offer and has not decided yet.
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

// notify wakes whoever waits on a channel of one place.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// decide passes a decision to the offer that waits for it, if one does.
func (c *Client) decide(id RequestID, decision arrival) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.pending[id]
	delete(c.pending, id)
	if ok {
		o.decision <- decision
	}
	return ok
}

// report tells an owner all that this front holds in a shard. The lock is held until the
// message is queued, so that the end of a hold never goes before it.
func (c *Client) report(owner string, id ShardID) {
	now := c.config.Now()
	reply := wireHolds{Complete: true}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.live {
		if r.shard.id == id {
			reply.Holds = append(reply.Holds, r.addOwner(owner, now))
		}
	}
	c.publish(context.Background(), owner, kindHolds, id, reply)
}

// hold returns the reservation as an owner adopts it. The caller holds the lock.
func (r *Reservation) hold(now time.Time) wireHold {
	hold := Hold{Request: r.request, Stage: r.stage, Prefill: r.Grant.Prefill, Decode: r.Grant.Decode}
	if r.stage == StageDecode && !r.startedAt.IsZero() {
		hold.DecodingTime = now.Sub(r.startedAt)
		hold.OutputTokens = int(r.outputTokens.Load())
	}
	return encodeHold(hold, now)
}

// hasMade reports whether this life of the front has made an identifier.
func (c *Client) hasMade(id RequestID) bool {
	return id.FrontTag() == c.config.FrontTag
}

// handleAudit answers for the identifiers that are asked of this front: it reports the
// holds that it has and disowns the others. An audit names what the owner believes to be
// held on this host, so that an identifier of another life is of one that has ended; a
// search goes to all hosts, and only the front that made an identifier answers.
func (c *Client) handleAudit(owner string, envelope wireMessage, isOurs func(RequestID) bool) {
	var wire wireIDs
	if err := link.Decode(envelope.Body, &wire); err != nil {
		return
	}
	now := c.config.Now()
	var held wireHolds
	var disowned wireIDs
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range wire.IDs {
		if !isOurs(id) {
			continue
		}
		if r, ok := c.live[id]; ok {
			held.Holds = append(held.Holds, r.addOwner(owner, now))
			continue
		}
		disowned.IDs = append(disowned.IDs, id)
	}
	if len(held.Holds) > 0 {
		c.publish(context.Background(), owner, kindHolds, envelope.Shard, held)
	}
	if len(disowned.IDs) > 0 {
		c.publish(context.Background(), owner, kindDisown, envelope.Shard, disowned)
	}
}
