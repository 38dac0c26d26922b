package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

type offer struct {
	request  Request
	shard    routedShard
	decision chan arrival
	// owner is the host that was asked last.
	owner string
	// queued tells that the owner has the offer, lost that it cannot be reached.
	queued chan struct{}
	lost   chan struct{}
}

// arrival is a decision with the time at which its message came.
type arrival struct {
	grant wireGrant
	// owner is the host that granted.
	owner string
	// refusal is set, with its cause, instead of a grant.
	refusal Rejection
	at      time.Time
}

// Acquire waits for a decision on a request of a service. Another zone is asked
// once when the own cannot serve. Errors are *RejectedError, ErrNoShard, or the
// context's.
func (c *Client) Acquire(ctx context.Context, service string, request Request) (*Reservation, error) {
	own, ok := c.pick(service, c.config.AvailabilityZone)
	refusal := ErrNoShard
	if ok {
		reservation, err := c.acquire(ctx, own, request)
		var refused *RejectedError
		if err == nil || !(errors.As(err, &refused) || errors.Is(err, ErrNoShard)) {
			return reservation, err
		}
		refusal = err
	}
	other, ok := c.pickOther(service)
	if !ok {
		return nil, refusal
	}
	request.ID = c.NewRequestID()
	reservation, err := c.acquire(ctx, other, request)
	if err != nil && ctx.Err() == nil {
		return nil, refusal
	}
	return reservation, err
}

func (c *Client) acquire(ctx context.Context, s routedShard, request Request) (*Reservation, error) {
	o := &offer{
		request: request, shard: s, decision: make(chan arrival, 1),
		queued: make(chan struct{}, 1), lost: make(chan struct{}, 1),
	}
	c.mu.Lock()
	c.pending[request.ID] = o
	c.mu.Unlock()
	for {
		owner := c.owner(s)
		if owner == "" {
			c.withdraw(o)
			return c.acquireAlone(s, owner, request)
		}
		c.mu.Lock()
		o.owner = owner
		isNew := c.lastOwner[s.id] != owner
		c.lastOwner[s.id] = owner
		c.mu.Unlock()
		if isNew {
			// It may have asked before the last owner granted.
			c.report(owner, s.id)
		}
		c.publish(ctx, owner, kindOffer, s.id, encodeRequest(request, c.config.Now()))
		next, err := c.await(ctx, o)
		switch {
		case err != nil:
			c.withdraw(o)
			return nil, err
		case next.isDecided:
			reservation, err := c.accept(o, next.decision)
			if errors.Is(err, errUnknownEndpoint) {
				// The owner's state is older or newer than the one here.
				c.config.Log.Info("granted endpoint is not known here", "owner", owner, "shard", s.key.String(), "request", request.ID.String())
				return c.acquireAlone(s, owner, request)
			}
			return reservation, err
		case next.isSilent:
			c.withdraw(o)
			c.mu.Lock()
			c.avoid(owner, silentTime)
			c.mu.Unlock()
			c.config.Log.Info("owner does not answer", "owner", owner, "shard", s.key.String(), "request", request.ID.String())
			return c.acquireAlone(s, owner, request)
		}
	}
}

// awaited is what came of waiting for an owner. If neither is set, the offer is
// to be made again.
type awaited struct {
	decision  arrival
	isDecided bool
	isSilent  bool
}

// await waits until an offer is decided, its owner is lost or silent, or the
// offer is to be repeated.
func (c *Client) await(ctx context.Context, o *offer) (awaited, error) {
	patience := time.NewTimer(answerPatience)
	defer patience.Stop()
	repeat := time.NewTimer(offerRepeat)
	defer repeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return awaited{}, context.Cause(ctx)
		case arrived := <-o.decision:
			return awaited{decision: arrived, isDecided: true}, nil
		case <-o.queued:
			patience.Stop()
		case <-patience.C:
			return awaited{isSilent: true}, nil
		case <-o.lost:
			return awaited{}, nil
		case <-repeat.C:
			return awaited{}, nil
		}
	}
}

// withdraw forgets an offer and gives back a grant that crossed with it, also one of
// an earlier owner.
func (c *Client) withdraw(o *offer) {
	c.mu.Lock()
	delete(c.pending, o.request.ID)
	owner, granted := o.owner, ""
	select {
	case arrived := <-o.decision:
		granted = arrived.owner
	default:
	}
	c.mu.Unlock()
	if owner != "" {
		c.tellDone(owner, o.request.ID, Outcome{})
	}
	if granted != "" && granted != owner {
		c.tellDone(granted, o.request.ID, Outcome{})
	}
}

func (c *Client) accept(o *offer, arrived arrival) (*Reservation, error) {
	if arrived.refusal.Cause != "" {
		return nil, &RejectedError{Rejection: arrived.refusal}
	}
	wire := arrived.grant
	r := &Reservation{
		Shard: o.shard.key, Owner: arrived.owner, GrantedAt: arrived.at,
		Prefill: o.shard.endpoints[wire.Prefill], Decode: o.shard.endpoints[wire.Decode],
		client: c, request: o.request, shard: o.shard, owners: []string{arrived.owner},
	}
	if !r.Decode.Address.IsValid() || (wire.Prefill != 0 && !r.Prefill.Address.IsValid()) {
		c.tellDone(arrived.owner, o.request.ID, Outcome{})
		return nil, errUnknownEndpoint
	}
	r.Grant = Grant{
		ID: wire.ID, Front: c.config.Host, Prefill: r.Prefill.Name, Decode: r.Decode.Name,
		Fencing: wire.Fencing, Priority: wire.Priority,
	}
	c.mu.Lock()
	c.live[o.request.ID] = r
	c.mu.Unlock()
	return r, nil
}

func (c *Client) tellDone(owner string, id RequestID, outcome Outcome) {
	kind := kindDone
	if outcome.Busy {
		kind = kindBusy
	}
	c.publish(context.Background(), owner, kind, noShard, wireDone{
		ID: id, OutputTokens: outcome.OutputTokens, FailedEndpoint: outcome.FailedEndpoint,
	})
}
