package dispatch

import (
	"strconv"
	"time"

	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// orphanGrace is the time for which an endpoint may run a request that no hold
// accounts for, before the request is cancelled.
const orphanGrace = 3 * time.Second

// tick advances all owned shards and reports whether a request waits in one.
func (d *Dispatcher) tick(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	busy := false
	d.beat(now)
	if !d.settled && now.Sub(d.started) >= startTime {
		d.settled = true
		d.takeOver(now)
	}
	for id, o := range d.owned {
		if !o.standInUntil.IsZero() && now.After(o.standInUntil) {
			delete(d.owned, id)
			continue
		}
		d.finishRebuild(now, o)
		if o.planner.HasQueued() {
			d.send(o, o.planner.Tick(now, d.decisions[:0]))
		}
		d.audit(now, o)
		d.rebalance(now, o)
		d.tellPressure(now, o)
		busy = busy || o.isBusy()
	}
	return busy
}

// rebalance has an engine moved between the pools of an owned shard where that is
// worth it.
func (d *Dispatcher) rebalance(now time.Time, o *ownedShard) {
	if d.config.MoveEngine == nil || !o.standInUntil.IsZero() || o.isRebuilding(now) {
		return
	}
	if move, ok := o.planner.Rebalance(now); ok {
		d.config.MoveEngine(o.shard.Key.Service, move)
	}
}

// RetryMove lets the owner of a service decide on a move again soon, because its
// last one was not ordered.
func (d *Dispatcher) RetryMove(service, endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.owned {
		if o.shard.Key.Service == service {
			o.planner.retryMove(d.config.Now(), endpoint)
		}
	}
}

// beat rebuilds all shards when the process was stopped. The caller holds the lock.
func (d *Dispatcher) beat(now time.Time) {
	if !d.pause.check(now) {
		return
	}
	for _, o := range d.owned {
		d.config.Log.Info("process was stopped, shard is rebuilt", "shard", o.shard.Key.String())
		d.rebuild(now, o)
	}
}

// audit asks fronts whether they still hold what was granted long ago, because
// the message that ended a hold may have been lost. The caller holds the lock.
func (d *Dispatcher) audit(now time.Time, o *ownedShard) {
	if now.Sub(o.lastAudit) < auditPeriod {
		return
	}
	o.lastAudit = now
	questions := map[string][]RequestID{}
	for _, hold := range o.planner.HoldsGrantedBefore(now.Add(-auditPeriod)) {
		questions[hold.Request.Front] = append(questions[hold.Request.Front], hold.Request.ID)
	}
	for front, ids := range questions {
		d.publish(front, kindAudit, o.id, wireIDs{IDs: ids})
	}
}

const (
	// pressurePeriod spaces the rumours about one shard.
	pressurePeriod = time.Second
	// pressureStep is the least change that is told.
	pressureStep = 8
)

func (d *Dispatcher) tellPressure(now time.Time, o *ownedShard) {
	if now.Sub(o.pressureAt) < pressurePeriod {
		return
	}
	o.pressureAt = now
	pressure := o.planner.Pressure(now)
	change := int(pressure) - int(o.lastPressure)
	if change < pressureStep && change > -pressureStep {
		return
	}
	o.lastPressure = pressure
	d.config.BroadcastPressure(o.id, pressure)
}

// loseFronts cancels what fronts held that are gone. The caller holds the lock.
func (d *Dispatcher) loseFronts(o *ownedShard) {
	lost := o.planner.WithdrawMatching(func(r Request) bool { return d.frontLife(r) == IncarnationEnded })
	for _, hold := range lost {
		d.cancelHold(o, hold)
	}
}

// frontLife returns what is known of the life of a front that made a request. The
// caller holds the lock.
func (d *Dispatcher) frontLife(r Request) IncarnationState {
	tag := r.ID.FrontTag()
	return d.config.FrontIncarnation(tag, r.Front, d.heard[tag])
}

func (d *Dispatcher) cancelHold(o *ownedShard, hold Hold) {
	id := hold.Request.ID
	d.config.CancelHold(hold, o.planner.fencing, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.send(o, o.planner.Done(d.config.Now(), id, Outcome{}, d.decisions[:0]))
	})
}

// handleDisown ends holds that their front does not have. What an ended life held may
// still run, and is cancelled first.
func (d *Dispatcher) handleDisown(now time.Time, o *ownedShard, body []byte) {
	var wire wireIDs
	if err := link.Decode(body, &wire); err != nil {
		return
	}
	for _, id := range wire.IDs {
		hold, ok := o.planner.Hold(id)
		switch {
		case ok && d.frontLife(hold.Request) == IncarnationAlive:
			d.send(o, o.planner.Done(now, id, Outcome{}, d.decisions[:0]))
		case ok:
			d.cancelHold(o, hold)
		}
		if _, ok := o.orphans[id]; ok {
			o.orphans[id] = time.Time{}
		}
	}
}

// ReconcileRunning takes the requests that an endpoint says it runs. Those that no hold
// accounts for are cancelled after a grace, but only when the front that made
// them is gone or has disowned them.
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
		d.observeRunning(now, o, endpoint, RequestID(number))
	}
	for id, since := range o.orphans {
		if !since.IsZero() && now.Sub(since) > 2*unknownGrace {
			delete(o.orphans, id)
		}
	}
}

// observeRunning judges one running request. A zero time in orphans marks one
// that its front has disowned.
func (d *Dispatcher) observeRunning(now time.Time, o *ownedShard, endpoint string, id RequestID) {
	if o.planner.hasRequest(id) {
		delete(o.orphans, id)
		return
	}
	since, ok := o.orphans[id]
	if !ok {
		o.orphans[id] = now
		return
	}
	if !since.IsZero() && now.Sub(since) < orphanGrace {
		return
	}
	if !since.IsZero() && !d.isUnclaimed(now, id, since) {
		d.askFront(o, id)
		return
	}
	d.config.Log.Info("request without a front is cancelled", "request_id", id.String(), "endpoint", endpoint)
	delete(o.orphans, id)
	d.config.CancelHold(Hold{Request: Request{ID: id}, Decode: endpoint}, o.planner.fencing, func() {})
}

// unknownGrace is the time after which a request is cancelled whose front
// nobody knows and nobody claims.
const unknownGrace = 4 * orphanGrace

// isUnclaimed reports whether no front that lives can hold a request.
func (d *Dispatcher) isUnclaimed(now time.Time, id RequestID, since time.Time) bool {
	switch d.config.FrontIncarnation(id.FrontTag(), "", time.Time{}) {
	case IncarnationEnded:
		return true
	case IncarnationAlive:
		return false
	default:
		return now.Sub(since) >= unknownGrace
	}
}

// askFront asks every front whether it holds a request; only its own front
// answers with the hold or disowns it.
func (d *Dispatcher) askFront(o *ownedShard, id RequestID) {
	for _, host := range d.config.Fronts() {
		d.publish(host, kindSearch, o.id, wireIDs{IDs: []RequestID{id}})
	}
}

// Summary is a shard as this daemon sees it.
type Summary struct {
	Key        shard.Key
	Owned      bool
	Rebuilding bool
	Load       Load
	Prefill    []ticket.Endpoint
	Decode     []ticket.Endpoint
}

// Summaries returns the shards that this daemon owns.
func (d *Dispatcher) Summaries() []Summary {
	now := d.config.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var result []Summary
	for _, o := range d.owned {
		marked := d.markLeaving(o.shard)
		result = append(result, Summary{
			Key: o.shard.Key, Owned: o.standInUntil.IsZero(), Rebuilding: o.isRebuilding(now),
			Load: o.planner.Load(now), Prefill: marked.Prefill, Decode: marked.Decode,
		})
	}
	return result
}
