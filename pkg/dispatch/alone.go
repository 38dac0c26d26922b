package dispatch

import (
	"context"

	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// acquireAlone decides without an owner, which is cut off, stopped or gone: a
// Planner of this front grants from the front's share of the places, in its own
// availability zone as far as that can serve. It grants at once or refuses at
// once, since nobody tells it when others give places back. The owner that was
// asked last, "" for none, is told what was granted: it may hear, and must not grant
// the same memory again.
func (c *Client) acquireAlone(s routedShard, owner string, request Request) (*Reservation, error) {
	reservation, err := c.decideAlone(s, request)
	if err != nil || owner == "" {
		return reservation, err
	}
	c.mu.Lock()
	hold := reservation.addOwner(owner, c.config.Now())
	c.mu.Unlock()
	c.publish(context.Background(), owner, kindHolds, s.id, wireHolds{Holds: []wireHold{hold}})
	return reservation, nil
}

func (c *Client) decideAlone(s routedShard, request Request) (*Reservation, error) {
	now := c.config.Now()
	request.ID = c.NewRequestID()
	c.mu.Lock()
	defer c.mu.Unlock()
	planner, ok := c.alone[s.id]
	if !ok {
		planner = NewPlanner(s.shard.Service, FencingNumber(now.UnixMilli())<<fencingShift)
		c.alone[s.id] = planner
	}
	planner.SetEndpoints(shareOf(s.shard, c.config.AvailabilityZone, len(c.config.Hosts(c.config.AvailabilityZone)), len(c.config.Hosts(""))))
	decisions := planner.Offer(now, request, nil)
	switch {
	case len(decisions) == 0:
		planner.Withdraw(request.ID)
		return nil, &RejectedError{Rejection: planner.reject(now, request, CauseTooLate).Rejection}
	case !decisions[0].IsGrant():
		return nil, &RejectedError{Rejection: decisions[0].Rejection}
	}
	return c.holdAlone(planner, s, request, decisions[0].Grant), nil
}

// holdAlone books a grant of this front's own Planner. The caller holds the lock.
func (c *Client) holdAlone(planner *Planner, s routedShard, request Request, grant Grant) *Reservation {
	r := &Reservation{
		Grant: grant, Shard: s.key, GrantedAt: c.config.Now(),
		Prefill: s.endpoints[HashEndpoint(grant.Prefill)], Decode: s.endpoints[HashEndpoint(grant.Decode)],
		client: c, request: request, shard: s, localPlanner: planner,
	}
	if grant.Prefill == "" {
		r.stage = StageDecode
	}
	c.live[request.ID] = r
	return r
}

// IsLocal reports whether no owner granted the reservation.
func (r *Reservation) IsLocal() bool {
	return r.localPlanner != nil
}

// advanceAlone tells the front's own Planner of a stage. The caller holds the lock.
func (r *Reservation) advanceAlone(stage Stage) {
	now := r.client.config.Now()
	if stage == StageDecode {
		r.localPlanner.Started(now, r.Grant.ID, nil)
		return
	}
	r.localPlanner.Prefilled(now, r.Grant.ID, nil)
}

// shareOf returns a shard with the places that one front may use alone: those of
// its own zone divided among the zone's fronts, or all divided among all fronts
// when the zone has no decode endpoint of its own.
func shareOf(s shard.Shard, zone string, zoneFronts, fronts int) shard.Shard {
	result := shard.Shard{Key: s.Key, Service: s.Service}
	result.Decode = divide(s.Decode, zone, zoneFronts)
	if len(result.Decode) == 0 {
		result.Decode = divide(s.Decode, "", fronts)
	}
	result.Prefill = divide(s.Prefill, zone, zoneFronts)
	if len(result.Prefill) == 0 {
		result.Prefill = divide(s.Prefill, "", fronts)
	}
	return result
}

// divide returns the endpoints of a zone, or all for "", with one of so many
// shares of their places and memory.
func divide(endpoints []ticket.Endpoint, zone string, shares int) []ticket.Endpoint {
	var result []ticket.Endpoint
	for _, e := range endpoints {
		if e.Leaving || (zone != "" && e.AvailabilityZone != "" && e.AvailabilityZone != zone) {
			continue
		}
		e.Places = max(e.Places/max(shares, 1), 1)
		if e.Pieces > 0 {
			e.Pieces = max(e.Pieces/max(shares, 1), 1)
		}
		result = append(result, e)
	}
	return result
}
