package dispatch

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// Reservation is a grant that its front uses. Done must be called exactly once.
type Reservation struct {
	Grant   Grant
	Prefill ticket.Endpoint
	Decode  ticket.Endpoint
	Shard   shard.Key
	// Owner is the host that granted the reservation, "" for a local Planner.
	Owner string
	// GrantedAt is the time at which the front received the grant.
	GrantedAt time.Time

	client  *Client
	request Request
	shard   routedShard
	stage   Stage
	// startedAt is the time of the first token.
	startedAt    time.Time
	outputTokens atomic.Int64
	// localPlanner is the local Planner that granted the reservation, nil if an owner
	// granted it.
	localPlanner *Planner
	// reportAgainAt is the time at which the reservation is reported a second time to the
	// owner of the shard to which its engine has moved. It is zero if there is no second
	// report to send.
	reportAgainAt time.Time
	// owners are the hosts that count the reservation: the one that granted it and those
	// to which it was reported later. client.mu guards them.
	owners []string
}

// Prefilled reports to the owners that the prefill is complete.
func (r *Reservation) Prefilled() {
	r.advance(StageTransfer, kindPrefilled)
}

// Started reports to the owners that the decode endpoint produces tokens.
func (r *Reservation) Started() {
	r.advance(StageDecode, kindStarted)
}

func (r *Reservation) advance(stage Stage, kind wireKind) {
	r.client.mu.Lock()
	r.stage = stage
	if stage == StageDecode {
		r.startedAt = r.client.config.Now()
	}
	if r.localPlanner != nil {
		r.advanceLocally(stage)
	}
	owners := slices.Clone(r.owners)
	r.client.mu.Unlock()
	for _, owner := range owners {
		r.client.publish(context.Background(), owner, kind, noShard, r.Grant.ID)
	}
}

// addOwner adds a host to the owners that count the reservation and returns the hold to
// report to it. client.mu must be held.
func (r *Reservation) addOwner(owner string, now time.Time) wireHold {
	if !slices.Contains(r.owners, owner) {
		r.owners = append(r.owners, owner)
	}
	return r.encode(now)
}

// SetOutputTokens sets the number of output tokens generated since Started.
func (r *Reservation) SetOutputTokens(tokens int) {
	r.outputTokens.Store(int64(tokens))
}

// Done releases the reservation and reports the outcome to the owners.
func (r *Reservation) Done(outcome Outcome) {
	r.client.mu.Lock()
	_, ok := r.client.reservations[r.Grant.ID]
	delete(r.client.reservations, r.Grant.ID)
	if ok && r.localPlanner != nil {
		r.localPlanner.Done(r.client.config.Now(), r.Grant.ID, outcome, nil)
	}
	owners := slices.Clone(r.owners)
	r.client.mu.Unlock()
	if !ok {
		return
	}
	for _, owner := range owners {
		r.client.publishDone(owner, r.Grant.ID, outcome)
	}
}

// IsStarted reports whether Started has been called.
func (r *Reservation) IsStarted() bool {
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	return r.stage == StageDecode
}
