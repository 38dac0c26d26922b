package dispatch

import (
	"context"
	"slices"

	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// acquireLocally decides a request without the owner, which is unreachable, stopped or
// removed. The local Planner of the shard grants from this front's share of the places, in
// the front's own availability zone if that has endpoints. It grants or rejects
// immediately, since other fronts do not report released places to it. The grant is
// reported to the owner to which the offer was last sent, "" for none. That owner may be
// reachable again, and must not grant the same memory a second time.
func (c *Client) acquireLocally(s routedShard, owner string, request Request) (*Reservation, error) {
	reservation, err := c.decideLocally(s, request)
	if err != nil || owner == "" {
		return reservation, err
	}
	c.mu.Lock()
	hold := reservation.addOwner(owner, c.config.Now())
	c.mu.Unlock()
	c.publish(context.Background(), owner, kindHolds, s.id, wireHolds{Holds: []wireHold{hold}})
	return reservation, nil
}

func (c *Client) decideLocally(s routedShard, request Request) (*Reservation, error) {
	now := c.config.Now()
	request.ID = c.NewRequestID()
	c.mu.Lock()
	defer c.mu.Unlock()
	planner, ok := c.localPlanners[s.id]
	if !ok {
		planner = NewPlanner(s.shard.Service, FencingNumber(now.UnixMilli())<<fencingSequenceBits)
		c.localPlanners[s.id] = planner
	}
	planner.SetEndpoints(frontShare(s.shard, request.Version, c.config.AvailabilityZone, len(c.config.Hosts(c.config.AvailabilityZone)), len(c.config.Hosts(""))))
	decision := planner.Decide(now, request)
	if !decision.IsGrant() {
		return nil, &RejectedError{Rejection: decision.Rejection}
	}
	return c.addLocalReservation(planner, s, request, decision.Grant), nil
}

// addLocalReservation registers a grant of a local Planner. mu must be held.
func (c *Client) addLocalReservation(planner *Planner, s routedShard, request Request, grant Grant) *Reservation {
	r := &Reservation{
		Grant: grant, Shard: s.key, GrantedAt: c.config.Now(),
		Prefill: s.endpoints[HashEndpoint(grant.Prefill)], Decode: s.endpoints[HashEndpoint(grant.Decode)],
		client: c, request: request, shard: s, localPlanner: planner,
	}
	if grant.Prefill == "" {
		r.stage = StageDecode
	}
	c.reservations[request.ID] = r
	return r
}

// IsLocal reports whether a local Planner of the front granted the reservation.
func (r *Reservation) IsLocal() bool {
	return r.localPlanner != nil
}

// advanceLocally reports a stage to the local Planner. client.mu must be held.
func (r *Reservation) advanceLocally(stage Stage) {
	now := r.client.config.Now()
	if stage == StageDecode {
		r.localPlanner.Started(now, r.Grant.ID, nil)
		return
	}
	r.localPlanner.Prefilled(now, r.Grant.ID, nil)
}

// frontShare returns a shard with the places that one front may grant locally. For each
// role, the places of the front's zone are divided among the fronts of the zone. When the
// zone has no endpoint of the role, or none that decodes at a version, all places are divided among
// all fronts.
func frontShare(s shard.Shard, version, zone string, zoneFronts, fronts int) shard.Shard {
	result := shard.Shard{Key: s.Key, Service: s.Service}
	result.Decode = divideEndpoints(s.Decode, zone, zoneFronts)
	if !slices.ContainsFunc(result.Decode, func(e ticket.Endpoint) bool { return version == "" || e.Version == version }) {
		result.Decode = divideEndpoints(s.Decode, "", fronts)
	}
	result.Prefill = divideEndpoints(s.Prefill, zone, zoneFronts)
	if len(result.Prefill) == 0 {
		result.Prefill = divideEndpoints(s.Prefill, "", fronts)
	}
	return result
}

// divideEndpoints returns the endpoints of a zone, or all for "", with their places and
// memory divided by the number of shares. Each keeps at least one place and, where it has
// any, one memory piece. Leaving endpoints are omitted.
func divideEndpoints(endpoints []ticket.Endpoint, zone string, shares int) []ticket.Endpoint {
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
