package dispatch

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// Reservation is a grant in use. Exactly one call of Done ends it.
type Reservation struct {
	Grant   Grant
	Prefill ticket.Endpoint
	Decode  ticket.Endpoint
	Shard   shard.Key
	// Owner is the host that granted it, "" for the front itself.
	Owner string
	// GrantedAt is the time at which the grant's message arrived.
	GrantedAt time.Time

	client  *Client
	request Request
	shard   routedShard
	stage   Stage
	// startedAt is the time of the first token.
	startedAt    time.Time
	outputTokens atomic.Int64
	// alone is the Planner that granted it when no owner did.
	localPlanner *Planner
	// tellAgainAt is when the owner of another shard, to which the engine has moved, is
	// told of the reservation once more, zero for never.
	reportAgainAt time.Time
	// owners are the hosts that count it: the one that granted it, and those that were
	// told of it since. The client's lock guards them.
	owners []string
}

// Prefilled tells the dispatcher that the prefill is complete.
func (r *Reservation) Prefilled() {
	r.advance(StageTransfer, kindPrefilled)
}

// Started tells the dispatcher that the decode endpoint produces tokens.
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
		r.advanceAlone(stage)
	}
	owners := slices.Clone(r.owners)
	r.client.mu.Unlock()
	for _, owner := range owners {
		r.client.publish(context.Background(), owner, kind, noShard, r.Grant.ID)
	}
}

// tell notes that a host counts the reservation from now on, and returns what it is
// to be told. The caller holds the lock.
func (r *Reservation) addOwner(owner string, now time.Time) wireHold {
	if !slices.Contains(r.owners, owner) {
		r.owners = append(r.owners, owner)
	}
	return r.hold(now)
}

// SetOutputTokens notes the output tokens that were made since Started.
func (r *Reservation) SetOutputTokens(tokens int) {
	r.outputTokens.Store(int64(tokens))
}

// Done releases all that the reservation holds.
func (r *Reservation) Done(outcome Outcome) {
	r.client.mu.Lock()
	_, ok := r.client.live[r.Grant.ID]
	delete(r.client.live, r.Grant.ID)
	if ok && r.localPlanner != nil {
		r.localPlanner.Done(r.client.config.Now(), r.Grant.ID, outcome, nil)
	}
	owners := slices.Clone(r.owners)
	r.client.mu.Unlock()
	if !ok {
		return
	}
	for _, owner := range owners {
		r.client.tellDone(owner, r.Grant.ID, outcome)
	}
}

// IsStarted reports whether Started was called.
func (r *Reservation) IsStarted() bool {
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	return r.stage == StageDecode
}
