package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// Handover of estimates to a new owner.
//
// A new owner of a shard knows nothing about the speeds of its endpoints. A Dispatcher that is no
// longer the owner of a shard therefore sends its estimates to the owner, again at intervals
// while it measures more as the temporary owner. Of two estimates of an endpoint, the one with
// more weight counts. They are not added, since both may come from the same requests: messages
// are repeated, and fronts report a hold to both owners.

const (
	// handoverInterval is the minimum interval between messages about one shard to its owner.
	handoverInterval = time.Second
	// estimateHalfLife is the age by which the weight of an estimate is halved. It is that of
	// the estimates of plain endpoints.
	estimateHalfLife = 5 * time.Second
	// estimateWeightLimit is the number of samples above which more of them add no weight. A
	// moving mean forgets samples that are older.
	estimateWeightLimit = 1 / minSampleWeight
	// pendingHandoverTTL is the time for which estimates are kept for a shard that this daemon
	// does not own yet in its own view.
	pendingHandoverTTL = temporaryOwnerTimeout
	// pendingHandoverLimit is the maximum number of messages that are kept.
	pendingHandoverLimit = 256
	// maxEstimate limits the values that a peer may send, as its inverse does. They are token
	// gaps in seconds, prompt tokens per second and numbers of requests.
	maxEstimate = 1e9
)

// wireEstimates is the body of kindEstimates. An owner that does not know this kind ignores it.
type wireEstimates struct {
	_       struct{} `cbor:",toarray"`
	Prefill []wirePrefillEstimate
	Decode  []wireDecodeEstimate
}

type wirePrefillEstimate struct {
	_        struct{} `cbor:",toarray"`
	Endpoint EndpointHash
	// BornMilliseconds is the Unix time of the endpoint's start in milliseconds, 0 if unknown.
	BornMilliseconds int64
	AgeMilliseconds  int64
	Samples          int
	TokensPerSecond  float64
}

type wireDecodeEstimate struct {
	_                struct{} `cbor:",toarray"`
	Endpoint         EndpointHash
	BornMilliseconds int64
	AgeMilliseconds  int64
	Samples          int
	// GapSeconds is the mean token gap, and Limit the number of places that may be in use.
	GapSeconds float64
	Limit      float64
	// SpeedSamples, RecentGapSeconds and Concurrency are the recent token gap and the number of
	// requests at which it was measured.
	SpeedSamples     int
	RecentGapSeconds float64
	Concurrency      float64
}

// bornMilliseconds returns the Unix time of the start of an endpoint, 0 if it is unknown.
func bornMilliseconds(e ticket.Endpoint) int64 {
	if e.Born.IsZero() {
		return 0
	}
	return e.Born.UnixMilli()
}

// estimateWeight returns the weight of an estimate from a number of samples, the last of which
// has an age.
func estimateWeight(samples int, age time.Duration) float64 {
	return min(float64(samples), estimateWeightLimit) * math.Exp2(-max(age, 0).Seconds()/estimateHalfLife.Seconds())
}

// isEstimateValid reports whether values from a peer can be measured values.
func isEstimateValid(samples int, ageMilliseconds int64, values ...float64) bool {
	for _, v := range values {
		if !(v > 1/maxEstimate && v < maxEstimate) {
			return false
		}
	}
	return samples > 0 && samples <= math.MaxInt32 && ageMilliseconds >= 0 && ageMilliseconds < pendingHandoverTTL.Milliseconds()
}

// estimates returns the measured values of all endpoints that have some.
func (p *Planner) estimates(now time.Time) wireEstimates {
	var result wireEstimates
	for _, e := range p.prefill {
		if e.inShard && e.rate.samples > 0 {
			result.Prefill = append(result.Prefill, wirePrefillEstimate{
				Endpoint: HashEndpoint(e.endpoint.Name), BornMilliseconds: bornMilliseconds(e.endpoint),
				AgeMilliseconds: max(now.Sub(e.measuredAt).Milliseconds(), 0), Samples: e.rate.samples, TokensPerSecond: e.rate.value,
			})
		}
	}
	for _, e := range p.decode {
		if e.inShard && e.tokenGap.samples > 0 {
			result.Decode = append(result.Decode, wireDecodeEstimate{
				Endpoint: HashEndpoint(e.endpoint.Name), BornMilliseconds: bornMilliseconds(e.endpoint),
				AgeMilliseconds: max(now.Sub(e.measuredAt).Milliseconds(), 0), Samples: e.tokenGap.samples,
				GapSeconds: e.tokenGap.value, Limit: e.limit, SpeedSamples: e.speed.gap.samples,
				RecentGapSeconds: e.speed.gap.value, Concurrency: e.speed.concurrency.value,
			})
		}
	}
	return result
}

// mergeEstimates replaces the estimates of endpoints for which a peer has estimates with more
// weight. Estimates of another incarnation of an endpoint are ignored. age is the time since
// the message arrived.
func (p *Planner) mergeEstimates(now time.Time, received wireEstimates, age time.Duration) {
	prefill := map[EndpointHash]wirePrefillEstimate{}
	for _, r := range received.Prefill {
		prefill[r.Endpoint] = r
	}
	for _, e := range p.prefill {
		r, ok := prefill[HashEndpoint(e.endpoint.Name)]
		if !ok || r.BornMilliseconds != bornMilliseconds(e.endpoint) || !isEstimateValid(r.Samples, r.AgeMilliseconds, r.TokensPerSecond) {
			continue
		}
		total := age + time.Duration(r.AgeMilliseconds)*time.Millisecond
		if estimateWeight(r.Samples, total) > estimateWeight(e.rate.samples, now.Sub(e.measuredAt)) {
			e.rate = mean{value: r.TokensPerSecond, samples: r.Samples}
			e.measuredAt = now.Add(-total)
			// The estimate is not dropped as that of an idle endpoint before its first request.
			if e.outstanding == 0 && e.busySince.Before(e.measuredAt) {
				e.busySince = e.measuredAt
			}
		}
	}
	decode := map[EndpointHash]wireDecodeEstimate{}
	for _, r := range received.Decode {
		decode[r.Endpoint] = r
	}
	for _, e := range p.decode {
		r, ok := decode[HashEndpoint(e.endpoint.Name)]
		if ok && r.BornMilliseconds == bornMilliseconds(e.endpoint) && isEstimateValid(r.Samples, r.AgeMilliseconds, r.GapSeconds, r.Limit) {
			e.mergeEstimate(now, r, age+time.Duration(r.AgeMilliseconds)*time.Millisecond)
		}
	}
	p.compareSpeeds()
}

func (e *decodeEndpoint) mergeEstimate(now time.Time, r wireDecodeEstimate, age time.Duration) {
	if estimateWeight(r.Samples, age) <= estimateWeight(e.tokenGap.samples, now.Sub(e.measuredAt)) {
		return
	}
	e.tokenGap = mean{value: r.GapSeconds, samples: r.Samples}
	e.limit = min(max(r.Limit, 1), float64(e.endpoint.Places))
	e.speed = decodeSpeed{}
	if isEstimateValid(r.SpeedSamples, r.AgeMilliseconds, r.RecentGapSeconds, r.Concurrency) {
		e.speed.gap = mean{value: r.RecentGapSeconds, samples: r.SpeedSamples}
		e.speed.concurrency = mean{value: r.Concurrency, samples: r.SpeedSamples}
	}
	e.measuredAt = now.Add(-age)
	// The estimate is not dropped as that of an idle endpoint before its first request.
	if e.lastFreedAt.Before(e.measuredAt) {
		e.lastFreedAt = e.measuredAt
	}
}

// pendingHandover contains estimates for a shard that this daemon does not own yet.
type pendingHandover struct {
	shard     ShardID
	estimates wireEstimates
	arrivedAt time.Time
}

// handOver sends the estimates of a shard to its owner if this daemon is its temporary owner
// and has new ones, or if the owner has changed. mu must be held.
func (d *Dispatcher) handOver(now time.Time, o *ownedShard) {
	if o.temporaryUntil.IsZero() {
		return
	}
	o.handoverAfter = now.Add(handoverInterval)
	owner := d.ownerOf(o.shard.Key)
	latest := o.planner.latestMeasurement()
	if owner == "" || owner == d.config.Host || latest.IsZero() || (owner == o.handedTo && !latest.After(o.handedMeasurement)) {
		return
	}
	o.handedTo, o.handedMeasurement = owner, latest
	d.publishTo(TopicToOwner, owner, kindEstimates, o.id, o.planner.estimates(now))
}

// latestMeasurement returns the time of the latest measurement of an endpoint's speed.
func (p *Planner) latestMeasurement() time.Time {
	var latest time.Time
	for _, e := range p.prefill {
		if e.rate.samples > 0 && e.measuredAt.After(latest) {
			latest = e.measuredAt
		}
	}
	for _, e := range p.decode {
		if e.tokenGap.samples > 0 && e.measuredAt.After(latest) {
			latest = e.measuredAt
		}
	}
	return latest
}

// handleEstimates merges the estimates of a former owner, or keeps them until this daemon takes
// the shard over. The message may arrive before the change of owner is known here. mu must be
// held.
func (d *Dispatcher) handleEstimates(now time.Time, id ShardID, body []byte) {
	var wire wireEstimates
	if err := link.Decode(body, &wire); err != nil {
		return
	}
	if o, ok := d.owned[id]; ok {
		o.planner.mergeEstimates(now, wire, 0)
		return
	}
	d.handovers = slices.DeleteFunc(d.handovers, func(h pendingHandover) bool { return now.Sub(h.arrivedAt) > pendingHandoverTTL })
	if len(d.handovers) < pendingHandoverLimit {
		d.handovers = append(d.handovers, pendingHandover{shard: id, estimates: wire, arrivedAt: now})
	}
}

// takeHandover merges the estimates that arrived before the shard was taken over. mu must be
// held.
func (d *Dispatcher) takeHandover(now time.Time, o *ownedShard) {
	d.handovers = slices.DeleteFunc(d.handovers, func(h pendingHandover) bool {
		if h.shard == o.id {
			o.planner.mergeEstimates(now, h.estimates, now.Sub(h.arrivedAt))
		}
		return h.shard == o.id
	})
}

func (d *Dispatcher) ownerOf(key shard.Key) string {
	return shard.Owner(key.String(), d.config.EligibleOwners(d.config.Hosts(key.AvailabilityZone)))
}
