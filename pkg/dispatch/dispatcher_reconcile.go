package dispatch

import (
	"strconv"
	"time"

	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// orphanGracePeriod is the time for which an endpoint may run a request without a hold
// before the request is cancelled.
const orphanGracePeriod = 3 * time.Second

// decidedMove is a move of an engine of a service.
type decidedMove struct {
	service string
	move    Move
}

// tick advances all owned shards, orders the moves that their Planners decided, and reports whether
// a request waits in any shard.
func (d *Dispatcher) tick(now time.Time) bool {
	hasWaiting, moves := d.advance(now)
	for _, m := range moves {
		d.config.MoveEngine(m.service, m.move)
	}
	return hasWaiting
}

// advance advances all owned shards. It reports whether a request waits in any of them, and returns
// the moves to order. MoveEngine may call the Dispatcher, so the caller must not hold mu for it.
func (d *Dispatcher) advance(now time.Time) (hasWaiting bool, moves []decidedMove) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkPause(now)
	if !d.hasTakenOver && now.Sub(d.startedAt) >= peerDiscoveryTimeout {
		d.hasTakenOver = true
		d.takeOverShards(now)
	}
	for id, o := range d.owned {
		if !o.temporaryUntil.IsZero() && now.After(o.temporaryUntil) {
			delete(d.owned, id)
			continue
		}
		d.finishRebuild(now, o)
		if !now.Before(o.handoverAfter) {
			d.handOver(now, o)
		}
		if o.planner.HasQueued() {
			d.sendDecisions(o, o.planner.Tick(now, d.decisions[:0]))
		}
		d.audit(now, o)
		if move, ok := d.decideMove(now, o); ok {
			moves = append(moves, decidedMove{service: o.shard.Key.Service, move: move})
		}
		d.broadcastPressure(now, o)
		hasWaiting = hasWaiting || o.hasWaiting()
	}
	return hasWaiting, moves
}

// decideMove returns the move of an engine between the pools of an owned shard if the Planner
// decides on one. A temporary owner moves no engines. mu must be held.
func (d *Dispatcher) decideMove(now time.Time, o *ownedShard) (Move, bool) {
	if d.config.MoveEngine == nil || !o.temporaryUntil.IsZero() || o.isRebuilding(now) {
		return Move{}, false
	}
	return o.planner.DecideMove(now)
}

// DropMove drops the move of an engine that could not be ordered. The Planners of the
// service decide on a new one after moveRetryDelay.
func (d *Dispatcher) DropMove(service, endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.owned {
		if o.shard.Key.Service == service {
			o.planner.dropMove(d.config.Now(), endpoint)
		}
	}
}

// checkPause rebuilds all owned shards if the process was paused. mu must be held.
func (d *Dispatcher) checkPause(now time.Time) {
	if !d.pause.check(now) {
		return
	}
	for _, o := range d.owned {
		d.config.Log.Info("process was paused, rebuilding shard", "shard", o.shard.Key.String())
		d.rebuild(now, o)
	}
}

// audit queries the fronts of holds that were granted more than auditInterval ago, because
// the message that ended such a hold may have been lost. mu must be held.
func (d *Dispatcher) audit(now time.Time, o *ownedShard) {
	if now.Sub(o.auditedAt) < auditInterval {
		return
	}
	o.auditedAt = now
	heldByFront := map[string][]RequestID{}
	for _, hold := range o.planner.HoldsGrantedBefore(now.Add(-auditInterval)) {
		heldByFront[hold.Request.Front] = append(heldByFront[hold.Request.Front], hold.Request.ID)
	}
	for front, ids := range heldByFront {
		d.publish(front, kindAudit, o.id, wireIDs{IDs: ids})
	}
}

const (
	// pressureInterval is the minimum interval between broadcasts of one shard's pressure.
	pressureInterval = time.Second
	// pressureChangeThreshold is the smallest change of pressure that is broadcast.
	pressureChangeThreshold = 8
)

func (d *Dispatcher) broadcastPressure(now time.Time, o *ownedShard) {
	if now.Sub(o.pressureCheckedAt) < pressureInterval {
		return
	}
	o.pressureCheckedAt = now
	pressure := o.planner.Pressure(now)
	change := int(pressure) - int(o.sentPressure)
	if change < pressureChangeThreshold && change > -pressureChangeThreshold {
		return
	}
	o.sentPressure = pressure
	d.config.BroadcastPressure(o.id, pressure)
}

// cancelHoldsOfTerminatedFronts cancels the holds of incarnations of fronts that have
// terminated. mu must be held.
func (d *Dispatcher) cancelHoldsOfTerminatedFronts(o *ownedShard) {
	holds := o.planner.WithdrawMatching(func(r Request) bool { return d.frontIncarnation(r) == IncarnationTerminated })
	for _, hold := range holds {
		d.cancelHold(o, hold)
	}
}

// frontIncarnation returns the state of the incarnation of a front that sent a request. mu
// must be held.
func (d *Dispatcher) frontIncarnation(r Request) IncarnationState {
	tag := r.ID.FrontTag()
	return d.config.FrontIncarnation(tag, r.Front, d.firstContact[tag])
}

func (d *Dispatcher) cancelHold(o *ownedShard, hold Hold) {
	id := hold.Request.ID
	d.config.CancelHold(hold, o.planner.fencing, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.sendDecisions(o, o.planner.Done(d.config.Now(), id, Outcome{}, d.decisions[:0]))
	})
}

// handleUnknownHolds releases holds that their front does not have. The requests of a
// terminated incarnation may still run at an endpoint, so they are cancelled before
// their holds are released.
func (d *Dispatcher) handleUnknownHolds(now time.Time, o *ownedShard, body []byte) {
	var wire wireIDs
	if err := link.Decode(body, &wire); err != nil {
		return
	}
	for _, id := range wire.IDs {
		hold, ok := o.planner.Hold(id)
		switch {
		case ok && d.frontIncarnation(hold.Request) == IncarnationAlive:
			d.sendDecisions(o, o.planner.Done(now, id, Outcome{}, d.decisions[:0]))
		case ok:
			d.cancelHold(o, hold)
		}
		if _, ok := o.orphans[id]; ok {
			o.orphans[id] = time.Time{}
		}
	}
}

// ReconcileRunning compares the requests that an endpoint reports as running with the
// holds of a shard. running contains request identifiers in hexadecimal; other texts are
// ignored. A request without a hold is cancelled after a grace period if its front has
// terminated or has reported that it does not hold the request. If its front is unknown, it
// is cancelled after unknownFrontGracePeriod unless a front reports that it holds it.
func (d *Dispatcher) ReconcileRunning(key shard.Key, endpoint string, running []string) {
	now := d.config.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	o, ok := d.owned[NewShardID(key)]
	if !ok || o.isRebuilding(now) {
		return
	}
	for _, text := range running {
		number, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			continue
		}
		d.reconcileRequest(now, o, endpoint, RequestID(number))
	}
	for id, since := range o.orphans {
		if !since.IsZero() && now.Sub(since) > 2*unknownFrontGracePeriod {
			delete(o.orphans, id)
		}
	}
}

// reconcileRequest compares one running request with the holds of a shard, and cancels it
// if it is orphaned. mu must be held.
func (d *Dispatcher) reconcileRequest(now time.Time, o *ownedShard, endpoint string, id RequestID) {
	if o.planner.hasRequest(id) {
		delete(o.orphans, id)
		return
	}
	since, ok := o.orphans[id]
	if !ok {
		o.orphans[id] = now
		return
	}
	if !since.IsZero() && now.Sub(since) < orphanGracePeriod {
		return
	}
	if !since.IsZero() && !d.isUnclaimed(now, id, since) {
		d.searchFronts(o, id)
		return
	}
	d.config.Log.Info("orphaned request is cancelled", "request_id", id.String(), "endpoint", endpoint)
	delete(o.orphans, id)
	d.config.CancelHold(Hold{Request: Request{ID: id}, Decode: endpoint}, o.planner.fencing, func() {})
}

// unknownFrontGracePeriod is the time after which an orphaned request is cancelled if its
// front is unknown and no front reports that it holds the request.
const unknownFrontGracePeriod = 4 * orphanGracePeriod

// isUnclaimed reports whether no live front can hold a request that was first reported as
// running at since.
func (d *Dispatcher) isUnclaimed(now time.Time, id RequestID, since time.Time) bool {
	switch d.config.FrontIncarnation(id.FrontTag(), "", time.Time{}) {
	case IncarnationTerminated:
		return true
	case IncarnationAlive:
		return false
	default:
		return now.Sub(since) >= unknownFrontGracePeriod
	}
}

// searchFronts queries every front for a request. Only the front that created the
// identifier replies. It reports the hold, or that it does not have it.
func (d *Dispatcher) searchFronts(o *ownedShard, id RequestID) {
	for _, host := range d.config.Fronts() {
		d.publish(host, kindSearch, o.id, wireIDs{IDs: []RequestID{id}})
	}
}

// Summary is a shard in the view of this daemon.
type Summary struct {
	Key        shard.Key
	Kind       ticket.Kind
	Owned      bool
	Rebuilding bool
	Load       Load
	Prefill    []ticket.Endpoint
	Decode     []ticket.Endpoint
}

// Summaries returns the shards of which this daemon is the owner or the temporary owner.
func (d *Dispatcher) Summaries() []Summary {
	now := d.config.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var result []Summary
	for _, o := range d.owned {
		marked := d.markLeaving(o.shard)
		result = append(result, Summary{
			Key: o.shard.Key, Kind: o.shard.Service.Kind, Owned: o.temporaryUntil.IsZero(), Rebuilding: o.isRebuilding(now),
			Load: o.planner.Load(now), Prefill: marked.Prefill, Decode: marked.Decode,
		})
	}
	return result
}
