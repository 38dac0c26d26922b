package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// offer is a request that waits for a decision.
type offer struct {
	request  Request
	shard    routedShard
	decision chan arrivedDecision
	// owner is the host to which the offer was last sent.
	owner string
	// queued is signalled when the owner confirms the offer, unreachable when the owner
	// cannot be reached.
	queued      chan struct{}
	unreachable chan struct{}
}

// arrivedDecision is a decision with the arrival time of its message.
type arrivedDecision struct {
	grant wireGrant
	// owner is the host that sent the grant.
	owner string
	// rejection has a cause if the request was rejected; grant is not set then.
	rejection Rejection
	arrivedAt time.Time
}

// Acquire waits for a decision on a request of a service. If the front's own zone rejects
// the request or has no shard, Acquire tries another zone once. Errors are *RejectedError,
// ErrNoShard, or the cause of ctx.
func (c *Client) Acquire(ctx context.Context, service string, request Request) (*Reservation, error) {
	own, ok := c.chooseShard(service, c.config.AvailabilityZone, request.Version)
	rejection := ErrNoShard
	if ok {
		reservation, err := c.acquireFromShard(ctx, own, request)
		var rejected *RejectedError
		if err == nil || !(errors.As(err, &rejected) || errors.Is(err, ErrNoShard)) {
			return reservation, err
		}
		rejection = err
	}
	other, ok := c.chooseOtherZoneShard(service, request.Version)
	if !ok {
		return nil, rejection
	}
	request.ID = c.NewRequestID()
	reservation, err := c.acquireFromShard(ctx, other, request)
	if err != nil && ctx.Err() == nil {
		return nil, rejection
	}
	return reservation, err
}

func (c *Client) acquireFromShard(ctx context.Context, s routedShard, request Request) (*Reservation, error) {
	o := &offer{
		request: request, shard: s, decision: make(chan arrivedDecision, 1),
		queued: make(chan struct{}, 1), unreachable: make(chan struct{}, 1),
	}
	c.mu.Lock()
	c.pending[request.ID] = o
	c.mu.Unlock()
	for {
		owner := c.owner(s)
		if owner == "" {
			c.withdraw(o)
			return c.acquireLocally(s, owner, request)
		}
		c.mu.Lock()
		o.owner = owner
		isNew := c.lastOwner[s.id] != owner
		c.lastOwner[s.id] = owner
		c.mu.Unlock()
		if isNew {
			// The new owner may have queried this front for its holds before the previous
			// owner's last grant.
			c.reportHolds(owner, s.id)
		}
		c.publishOffer(ctx, owner, s.id, request)
		result, err := c.awaitDecision(ctx, o)
		switch {
		case err != nil:
			c.withdraw(o)
			return nil, err
		case result.isDecided:
			reservation, err := c.accept(o, result.decision)
			if errors.Is(err, errUnknownEndpoint) {
				// The owner's state is older or newer than the state on this host.
				c.config.Log.Info("granted endpoint is not in the local state", "owner", owner, "shard", s.key.String(), "request", request.ID.String())
				return c.acquireLocally(s, owner, request)
			}
			return reservation, err
		case result.isSilent:
			c.withdraw(o)
			c.mu.Lock()
			c.avoid(owner, silentOwnerAvoidTimeout)
			c.mu.Unlock()
			c.config.Log.Info("owner did not reply, deciding locally", "owner", owner, "shard", s.key.String(), "request", request.ID.String())
			return c.acquireLocally(s, owner, request)
		}
	}
}

func (c *Client) publishOffer(ctx context.Context, owner string, id ShardID, request Request) {
	wire := encodeRequest(request, c.config.Now())
	if request.Version != "" {
		c.publish(ctx, owner, kindVersionOffer, id, wireVersionOffer{Request: wire, Version: request.Version})
		return
	}
	c.publish(ctx, owner, kindOffer, id, wire)
}

// waitResult is the result of a wait for an owner. If neither isDecided nor isSilent is set,
// the offer is to be sent again.
type waitResult struct {
	decision  arrivedDecision
	isDecided bool
	isSilent  bool
}

// awaitDecision waits until an offer is decided, its owner is unreachable or does not
// reply in time, or the offer is to be sent again.
func (c *Client) awaitDecision(ctx context.Context, o *offer) (waitResult, error) {
	replyTimer := time.NewTimer(ownerReplyTimeout)
	defer replyTimer.Stop()
	resendTimer := time.NewTimer(offerResendInterval)
	defer resendTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return waitResult{}, context.Cause(ctx)
		case arrived := <-o.decision:
			return waitResult{decision: arrived, isDecided: true}, nil
		case <-o.queued:
			replyTimer.Stop()
		case <-replyTimer.C:
			return waitResult{isSilent: true}, nil
		case <-o.unreachable:
			return waitResult{}, nil
		case <-resendTimer.C:
			return waitResult{}, nil
		}
	}
}

// withdraw removes an offer and releases a grant that arrived concurrently, even if a
// previous owner sent it.
func (c *Client) withdraw(o *offer) {
	c.mu.Lock()
	delete(c.pending, o.request.ID)
	owner, grantedBy := o.owner, ""
	select {
	case arrived := <-o.decision:
		grantedBy = arrived.owner
	default:
	}
	c.mu.Unlock()
	if owner != "" {
		c.publishDone(owner, o.request.ID, Outcome{})
	}
	if grantedBy != "" && grantedBy != owner {
		c.publishDone(grantedBy, o.request.ID, Outcome{})
	}
}

func (c *Client) accept(o *offer, arrived arrivedDecision) (*Reservation, error) {
	if arrived.rejection.Cause != "" {
		return nil, &RejectedError{Rejection: arrived.rejection}
	}
	wire := arrived.grant
	r := &Reservation{
		Shard: o.shard.key, Owner: arrived.owner, GrantedAt: arrived.arrivedAt,
		Prefill: o.shard.endpoints[wire.Prefill], Decode: o.shard.endpoints[wire.Decode],
		client: c, request: o.request, shard: o.shard, owners: []string{arrived.owner},
	}
	if !r.Decode.Address.IsValid() || (wire.Prefill != 0 && !r.Prefill.Address.IsValid()) {
		c.publishDone(arrived.owner, o.request.ID, Outcome{})
		return nil, errUnknownEndpoint
	}
	r.Grant = Grant{
		ID: wire.ID, Front: c.config.Host, Prefill: r.Prefill.Name, Decode: r.Decode.Name,
		Fencing: wire.Fencing, Priority: wire.Priority,
	}
	c.mu.Lock()
	c.reservations[o.request.ID] = r
	c.mu.Unlock()
	return r, nil
}

func (c *Client) publishDone(owner string, id RequestID, outcome Outcome) {
	kind := kindDone
	if outcome.Busy {
		kind = kindBusy
	}
	c.publish(context.Background(), owner, kind, noShard, wireDone{
		ID: id, OutputTokens: outcome.OutputTokens, FailedEndpoint: outcome.FailedEndpoint,
	})
}
