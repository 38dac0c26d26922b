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
	payload, err := encodeMessage(kind, id, body)
	if err != nil {
		d.config.Log.Error(err, "message was not encoded")
		return
	}
	if err := d.config.Publish(TopicToFront, link.NewMessage(host, payload, trace.SpanContext{})); err != nil {
		d.config.Log.V(1).Info("message was dropped", "host", host, "error", err.Error())
	}
}

// send tells fronts of decisions. The caller holds the lock.
func (d *Dispatcher) send(o *ownedShard, decisions []Decision) {
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
			present := o.planner.Load(d.config.Now())
			load = &present
		}
		d.config.Log.Info("offer is refused", "request", r.ID.String(), "front", r.Front, "cause", r.Cause,
			"retry_after_ms", r.RetryAfter.Milliseconds(), "queued", load.Queued, "held", load.Held, "open_decode", load.OpenDecode,
			"open_prefill", load.OpenPrefill, "decode_used", load.DecodeUsed, "decode_limit", load.DecodeLimit,
			"pieces_used", load.PiecesUsed, "pieces_limit", load.PiecesLimit,
			"roomy_decode", load.RoomyDecode, "saved_decode", load.SavedDecode, "prefill_wait_ms", load.PrefillWait.Milliseconds())
		d.publish(r.Front, kindRefusal, noShard, wireRefusal{ID: r.ID, Cause: r.Cause, RetryAfterMilliseconds: r.RetryAfter.Milliseconds()})
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
	d.beat(now)
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
	}
	if _, ok := d.all[envelope.Shard]; !ok {
		return nil
	}
	o := d.own(now, envelope.Shard)
	switch envelope.Kind {
	case kindOffer:
		d.handleOffer(now, o, m, envelope.Body)
	case kindHolds:
		d.handleHolds(now, o, link.Host(m), envelope.Body)
	case kindDisown:
		d.handleDisown(now, o, envelope.Body)
	}
	return nil
}

func (d *Dispatcher) handleOffer(now time.Time, o *ownedShard, m *message.Message, body []byte) {
	var wire wireRequest
	if err := link.Decode(body, &wire); err != nil {
		return
	}
	request := decodeRequest(wire, link.Host(m), now)
	d.ask(o, request.Front)
	request.Zone = d.config.ZoneOf(request.Front)
	d.hear(now, request.ID)
	_, span := tracer.Start(trace.ContextWithRemoteSpanContext(context.Background(), link.Span(m)), "dispatch offer",
		trace.WithAttributes(attribute.String("shard", o.shard.Key.String()), attribute.String("request_id", request.ID.String())))
	defer span.End()
	if !o.standInUntil.IsZero() {
		o.standInUntil = now.Add(standInTime)
	}
	if o.isRebuilding(now) {
		o.offers = append(o.offers, request)
	} else {
		d.send(o, o.planner.Offer(now, request, d.decisions[:0]))
	}
	if o.planner.isQueued(request.ID) || o.hasOffer(request.ID) {
		d.publish(request.Front, kindQueued, noShard, request.ID)
	}
	if o.isBusy() {
		d.wake()
	}
}

// isBusy reports whether a request waits in the shard.
func (o *ownedShard) isBusy() bool {
	return len(o.offers) > 0 || o.planner.HasQueued()
}

func (d *Dispatcher) wake() {
	notify(d.busy)
}

// find returns the owned shards that know a request: two, after its engine has moved from
// one to the other.
func (d *Dispatcher) find(id RequestID) []*ownedShard {
	var found []*ownedShard
	for _, o := range d.owned {
		if o.planner.hasRequest(id) || o.hasOffer(id) {
			found = append(found, o)
		}
	}
	return found
}

func (o *ownedShard) hasOffer(id RequestID) bool {
	return slices.ContainsFunc(o.offers, func(r Request) bool { return r.ID == id })
}

// stageEvent is Planner.Prefilled or Planner.Started.
type stageEvent func(p *Planner, now time.Time, id RequestID, decisions []Decision) []Decision

func (d *Dispatcher) handleStage(now time.Time, body []byte, event stageEvent) {
	var id RequestID
	if err := link.Decode(body, &id); err != nil {
		return
	}
	for _, o := range d.find(id) {
		d.send(o, event(o.planner, now, id, d.decisions[:0]))
	}
}

func (d *Dispatcher) handleDone(now time.Time, body []byte, busy bool) {
	var wire wireDone
	if err := link.Decode(body, &wire); err != nil {
		return
	}
	outcome := Outcome{OutputTokens: wire.OutputTokens, FailedEndpoint: wire.FailedEndpoint, Busy: busy}
	for _, o := range d.find(wire.ID) {
		d.finish(now, o, wire.ID, outcome)
	}
}

// finish ends a request in a shard that knows it. The caller holds the lock.
func (d *Dispatcher) finish(now time.Time, o *ownedShard, id RequestID, outcome Outcome) {
	o.dropOffer(id)
	granted := o.planner.loadAtGrant(id)
	d.send(o, o.planner.Done(now, id, outcome, d.decisions[:0]))
	if outcome.FailedEndpoint != "" {
		load := o.planner.Load(now)
		d.config.Log.Info("endpoint has failed a request", "endpoint", outcome.FailedEndpoint, "request", id.String(), "busy", outcome.Busy, "load_at_grant", granted,
			"token_time_us", o.planner.tokenTimeOf(outcome.FailedEndpoint).Microseconds(),
			"paused_ms", o.planner.remainingPause(now, outcome.FailedEndpoint).Milliseconds(), "open_decode", load.OpenDecode, "open_prefill", load.OpenPrefill)
	}
}

// maxHeard bounds the lives of fronts that are remembered.
const maxHeard = 8192

// hear notes the first message from a life of a front. The caller holds the lock.
func (d *Dispatcher) hear(now time.Time, id RequestID) {
	tag := id.FrontTag()
	if _, ok := d.heard[tag]; ok {
		return
	}
	if len(d.heard) >= maxHeard {
		d.heard = map[uint32]time.Time{}
	}
	d.heard[tag] = now
}

// dropOffer removes a request that was withdrawn while the shard is rebuilt.
func (o *ownedShard) dropOffer(id RequestID) {
	o.offers = slices.DeleteFunc(o.offers, func(r Request) bool { return r.ID == id })
}

func (d *Dispatcher) handleHolds(now time.Time, o *ownedShard, front string, body []byte) {
	var wire wireHolds
	if err := link.Decode(body, &wire); err != nil {
		return
	}
	var doubtful []RequestID
	for _, told := range wire.Holds {
		hold := decodeHold(told, front, now)
		d.hear(now, hold.Request.ID)
		if !o.planner.hasRequest(hold.Request.ID) && d.frontLife(hold.Request) != IncarnationAlive {
			doubtful = append(doubtful, hold.Request.ID)
		}
		o.planner.Adopt(now, hold)
	}
	if len(doubtful) > 0 {
		// The message may have waited while its front ended.
		d.publish(front, kindAudit, o.id, wireIDs{IDs: doubtful})
	}
	if wire.Complete {
		delete(o.awaited, front)
	}
	d.finishRebuild(now, o)
}

// finishRebuild offers what waited for the rebuild. The caller holds the lock.
func (d *Dispatcher) finishRebuild(now time.Time, o *ownedShard) {
	if o.isRebuilding(now) || len(o.offers) == 0 {
		return
	}
	offers := o.offers
	o.offers = nil
	for _, request := range offers {
		d.send(o, o.planner.Offer(now, request, d.decisions[:0]))
	}
}
