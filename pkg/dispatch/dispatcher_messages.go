package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/turmerictide/turmerictide/pkg/link"
)

func (d *Dispatcher) publish(host string, kind wireKind, id ShardID, body any) {
	d.publishTo(TopicToFront, host, kind, id, body)
}

func (d *Dispatcher) publishTo(topic, host string, kind wireKind, id ShardID, body any) {
	payload, err := encodeMessage(kind, id, body)
	if err != nil {
		d.config.Log.Error(err, "message was not encoded")
		return
	}
	if err := d.config.Publish(topic, link.NewMessage(host, payload, trace.SpanContext{})); err != nil {
		d.config.Log.V(1).Info("message was dropped", "host", host, "error", err.Error())
	}
}

// sendDecisions sends decisions to their fronts. mu must be held.
func (d *Dispatcher) sendDecisions(o *ownedShard, decisions []Decision) {
	d.decisions = decisions
	var load *Load
	for _, decision := range decisions {
		if decision.IsGrant() {
			g := decision.Grant
			d.counts.Grants++
			d.publish(g.Front, kindGrant, noShard, wireGrant{
				ID: g.ID, Prefill: HashEndpoint(g.Prefill), Decode: HashEndpoint(g.Decode), Fencing: g.Fencing, Priority: g.Priority,
			})
			continue
		}
		r := decision.Rejection
		d.counts.Rejections++
		if load == nil {
			current := o.planner.Load(d.config.Now())
			load = &current
		}
		d.config.Log.Info("offer is refused", "request", r.ID.String(), "front", r.Front, "cause", r.Cause,
			"retry_after_ms", r.RetryAfter.Milliseconds(), "queued", load.Queued, "held", load.Held, "open_decode", load.OpenDecode,
			"open_prefill", load.OpenPrefill, "decode_used", load.DecodeUsed, "decode_limit", load.DecodeLimit,
			"pieces_used", load.PiecesUsed, "pieces_limit", load.PiecesLimit,
			"roomy_decode", load.RoomyDecode, "saved_decode", load.SavedDecode, "prefill_wait_ms", load.PrefillWait.Milliseconds())
		d.publish(r.Front, kindRejection, noShard, wireRejection{ID: r.ID, Cause: r.Cause, RetryAfterMilliseconds: r.RetryAfter.Milliseconds()})
	}
}

func (d *Dispatcher) handle(m *message.Message) error {
	var envelope wireMessage
	if err := link.Decode(m.Payload, &envelope); err != nil {
		return nil
	}
	now := d.config.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkPause(now)
	switch envelope.Kind {
	case kindPrefilled:
		d.handleStage(now, envelope.Body, (*Planner).Prefilled)
		return nil
	case kindStarted:
		d.handleStage(now, envelope.Body, (*Planner).Started)
		return nil
	case kindDone, kindBusy:
		d.handleDone(now, envelope.Body, envelope.Kind == kindBusy)
		return nil
	case kindEstimates:
		// A late message must not make a daemon that is not the owner take over the shard.
		d.handleEstimates(now, envelope.Shard, envelope.Body)
		return nil
	}
	if _, ok := d.shards[envelope.Shard]; !ok {
		return nil
	}
	o := d.ensureOwned(now, envelope.Shard)
	switch envelope.Kind {
	case kindOffer:
		var wire wireRequest
		if err := link.Decode(envelope.Body, &wire); err == nil {
			d.handleOffer(now, o, m, decodeRequest(wire, link.Host(m), now))
		}
	case kindVersionOffer:
		var wire wireVersionOffer
		if err := link.Decode(envelope.Body, &wire); err == nil {
			request := decodeRequest(wire.Request, link.Host(m), now)
			request.Version = wire.Version
			d.handleOffer(now, o, m, request)
		}
	case kindHolds:
		d.handleHolds(now, o, link.Host(m), envelope.Body)
	case kindUnknownHolds:
		d.handleUnknownHolds(now, o, envelope.Body)
	}
	return nil
}

func (d *Dispatcher) handleOffer(now time.Time, o *ownedShard, m *message.Message, request Request) {
	d.queryHolds(o, request.Front)
	request.Zone = d.config.ZoneOf(request.Front)
	d.recordContact(now, request.ID)
	_, span := tracer.Start(trace.ContextWithRemoteSpanContext(context.Background(), link.Span(m)), "dispatch offer",
		trace.WithAttributes(attribute.String("shard", o.shard.Key.String()), attribute.String("request_id", request.ID.String())))
	defer span.End()
	if !o.temporaryUntil.IsZero() {
		o.temporaryUntil = now.Add(temporaryOwnerTimeout)
	}
	if o.isRebuilding(now) {
		o.deferredOffers = append(o.deferredOffers, request)
	} else {
		d.sendDecisions(o, o.planner.Offer(now, request, d.decisions[:0]))
	}
	if o.planner.isQueued(request.ID) || o.hasDeferredOffer(request.ID) {
		d.publish(request.Front, kindQueued, noShard, request.ID)
	}
	if o.hasWaiting() {
		d.wake()
	}
}

// hasWaiting reports whether a request waits in the shard.
func (o *ownedShard) hasWaiting() bool {
	return len(o.deferredOffers) > 0 || o.planner.HasQueued()
}

func (d *Dispatcher) wake() {
	notify(d.wakeup)
}

// findShards returns the owned shards that contain a request. There are two after the
// engine that runs it has moved from one shard to the other. mu must be held.
func (d *Dispatcher) findShards(id RequestID) []*ownedShard {
	var found []*ownedShard
	for _, o := range d.owned {
		if o.planner.hasRequest(id) || o.hasDeferredOffer(id) {
			found = append(found, o)
		}
	}
	return found
}

func (o *ownedShard) hasDeferredOffer(id RequestID) bool {
	return slices.ContainsFunc(o.deferredOffers, func(r Request) bool { return r.ID == id })
}

// stageHandler is (*Planner).Prefilled or (*Planner).Started.
type stageHandler func(p *Planner, now time.Time, id RequestID, decisions []Decision) []Decision

func (d *Dispatcher) handleStage(now time.Time, body []byte, handler stageHandler) {
	var id RequestID
	if err := link.Decode(body, &id); err != nil {
		return
	}
	for _, o := range d.findShards(id) {
		d.sendDecisions(o, handler(o.planner, now, id, d.decisions[:0]))
	}
}

func (d *Dispatcher) handleDone(now time.Time, body []byte, busy bool) {
	var wire wireDone
	if err := link.Decode(body, &wire); err != nil {
		return
	}
	outcome := Outcome{OutputTokens: wire.OutputTokens, FailedEndpoint: wire.FailedEndpoint, Busy: busy}
	for _, o := range d.findShards(wire.ID) {
		d.finishRequest(now, o, wire.ID, outcome)
	}
}

// finishRequest ends a request in a shard that contains it. mu must be held.
func (d *Dispatcher) finishRequest(now time.Time, o *ownedShard, id RequestID, outcome Outcome) {
	o.dropDeferredOffer(id)
	loadAtGrant := o.planner.loadAtGrant(id)
	d.sendDecisions(o, o.planner.Done(now, id, outcome, d.decisions[:0]))
	if outcome.FailedEndpoint != "" {
		load := o.planner.Load(now)
		d.config.Log.Info("endpoint has failed a request", "endpoint", outcome.FailedEndpoint, "request", id.String(), "busy", outcome.Busy, "load_at_grant", loadAtGrant,
			"token_time_us", o.planner.tokenTimeOf(outcome.FailedEndpoint).Microseconds(),
			"paused_ms", o.planner.remainingCooldown(now, outcome.FailedEndpoint).Milliseconds(), "open_decode", load.OpenDecode, "open_prefill", load.OpenPrefill)
	}
}

// firstContactLimit is the number of entries at which Dispatcher.firstContact is cleared.
const firstContactLimit = 8192

// recordContact records the time of the first message from an incarnation of a front.
// mu must be held.
func (d *Dispatcher) recordContact(now time.Time, id RequestID) {
	tag := id.FrontTag()
	if _, ok := d.firstContact[tag]; ok {
		return
	}
	if len(d.firstContact) >= firstContactLimit {
		d.firstContact = map[uint32]time.Time{}
	}
	d.firstContact[tag] = now
}

// dropDeferredOffer removes a request that was withdrawn during a rebuild of the shard.
func (o *ownedShard) dropDeferredOffer(id RequestID) {
	o.deferredOffers = slices.DeleteFunc(o.deferredOffers, func(r Request) bool { return r.ID == id })
}

func (d *Dispatcher) handleHolds(now time.Time, o *ownedShard, front string, body []byte) {
	var wire wireHolds
	if err := link.Decode(body, &wire); err != nil {
		return
	}
	var unconfirmed []RequestID
	for _, reported := range wire.Holds {
		hold := decodeHold(reported, front, now)
		d.recordContact(now, hold.Request.ID)
		if !o.planner.hasRequest(hold.Request.ID) && d.frontIncarnation(hold.Request) != IncarnationAlive {
			unconfirmed = append(unconfirmed, hold.Request.ID)
		}
		o.planner.Adopt(now, hold)
	}
	if len(unconfirmed) > 0 {
		// The message may have been delayed until after the incarnation that sent it
		// terminated.
		d.publish(front, kindAudit, o.id, wireIDs{IDs: unconfirmed})
	}
	if wire.Complete {
		delete(o.awaitedFronts, front)
	}
	d.finishRebuild(now, o)
}

// finishRebuild passes the deferred offers to the Planner once the rebuild is complete.
// mu must be held.
func (d *Dispatcher) finishRebuild(now time.Time, o *ownedShard) {
	if o.isRebuilding(now) || len(o.deferredOffers) == 0 {
		return
	}
	offers := o.deferredOffers
	o.deferredOffers = nil
	for _, request := range offers {
		d.sendDecisions(o, o.planner.Offer(now, request, d.decisions[:0]))
	}
}
