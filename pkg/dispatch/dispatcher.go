package dispatch

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel"

	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const (
	// tickInterval is the interval between ticks while a request waits in an owned shard.
	tickInterval = 20 * time.Millisecond
	// idleInterval is the interval between ticks while no request waits.
	idleInterval = pauseCheckInterval
	// rebuildTimeout limits the wait for the hold reports of fronts after a change
	// of owner. Holds that are reported later are adopted when they arrive.
	rebuildTimeout = 200 * time.Millisecond
	// temporaryOwnerTimeout is the time after the last offer for which a daemon remains the
	// temporary owner of a shard that a peer owns.
	temporaryOwnerTimeout = 10 * time.Second
	// auditInterval is the interval between audits of older holds with their fronts.
	auditInterval = 10 * time.Second
)

// IncarnationState is the state of one incarnation of a front in the view of this daemon.
type IncarnationState uint8

// The states of an incarnation. IncarnationUnknown is the state of a daemon that is not
// yet in the membership list.
const (
	IncarnationUnknown IncarnationState = iota
	IncarnationAlive
	IncarnationTerminated
)

var tracer = otel.Tracer("turmerictide/dispatch")

type DispatcherConfig struct {
	Host             string
	AvailabilityZone string
	// Publish sends messages to other daemons.
	Publish func(topic string, messages ...*message.Message) error
	Now     func() time.Time
	Log     logr.Logger
	// Hosts returns the live daemons of a zone, or of all zones for "".
	Hosts func(zone string) []string
	// EligibleOwners returns the hosts of the list that may own shards.
	EligibleOwners func(hosts []string) []string
	// StartedTogether reports whether most daemons of the membership list started at the
	// same time as this one.
	StartedTogether func() bool
	// Fronts returns all daemons that may hold places, including those that are leaving.
	Fronts func() []string
	// FrontIncarnation returns the state of the incarnation of a front that creates request
	// identifiers with the given tag. The host is "" when only an identifier is known.
	// firstContact is the time of the first message from that incarnation.
	FrontIncarnation func(tag uint32, host string, firstContact time.Time) IncarnationState
	// ZoneOf returns the availability zone of a daemon.
	ZoneOf func(host string) string
	// CancelHold cancels the request of a hold at its endpoints and calls confirmed when
	// they no longer run it.
	CancelHold func(hold Hold, fencing FencingNumber, confirmed func())
	// MoveEngine orders an engine of a service to change its role. It must not block, and may
	// call the Dispatcher. It is nil if engines accept no orders.
	MoveEngine func(service string, move Move)
	// BroadcastPressure broadcasts the pressure of a shard to the other daemons.
	BroadcastPressure func(id ShardID, pressure Pressure)
}

// Dispatcher runs the Planners of the shards that this daemon owns. It is safe for
// concurrent use.
type Dispatcher struct {
	config DispatcherConfig
	done   chan struct{}
	// wakeup makes Serve tick immediately when a request starts to wait. Its capacity
	// is one.
	wakeup chan struct{}

	// startedAt is the time at which this Dispatcher was created.
	startedAt time.Time

	mu sync.Mutex
	// hasTakenOver is set when peerDiscoveryTimeout has passed since startedAt and the
	// owned shards have been taken over.
	hasTakenOver bool
	state        *ticket.State
	// shards are the shards of state that this daemon may own.
	shards map[ShardID]shard.Shard
	owned  map[ShardID]*ownedShard
	// reportedLeaving are the endpoints that report themselves as leaving.
	// listedLeaving are those that the platform's list of hosts shows as leaving.
	reportedLeaving map[string]bool
	listedLeaving   map[string]bool
	// moving are the engines that a peer has ordered to change their role.
	moving map[string]bool
	// failedReads counts the consecutive failed reads of each endpoint's report.
	failedReads map[string]int
	// firstContact is the time of the first message from each incarnation of a front,
	// by the tag of the incarnation.
	firstContact map[uint32]time.Time
	// handovers are the estimates for shards that this daemon does not own yet.
	handovers []pendingHandover
	pause     pauseDetector
	// decisions is a buffer that is reused between events.
	decisions []Decision
	counts    Counts
}

type ownedShard struct {
	id      ShardID
	shard   shard.Shard
	planner *Planner
	// rebuildDeadline is the time at which a rebuild ends even if fronts have not reported
	// their holds. awaitedFronts are the fronts that have not. Offers that arrive during a
	// rebuild are not decided before it ends.
	rebuildDeadline time.Time
	awaitedFronts   map[string]bool
	// queriedFronts are the fronts that were queried for their holds.
	queriedFronts map[string]bool
	// deferredOffers are the offers that arrived during a rebuild.
	deferredOffers []Request
	// temporaryUntil is the time until which this daemon is the temporary owner of a shard
	// that a peer owns. It is zero while this daemon is the owner.
	temporaryUntil time.Time
	// handedTo is the owner to which this daemon last sent its estimates. They included
	// measurements until handedMeasurement. handoverAfter is the time of the next check for
	// new ones.
	handedTo          string
	handedMeasurement time.Time
	handoverAfter     time.Time
	auditedAt         time.Time
	// sentPressure is the pressure of the last broadcast.
	sentPressure      Pressure
	pressureCheckedAt time.Time
	// orphans are the requests that an endpoint runs without a hold, with the time at
	// which each was first reported. The time is zero for a request whose front has reported
	// that it does not hold it.
	orphans map[RequestID]time.Time
}

// Counts are the numbers of decisions of a Dispatcher since its start.
type Counts struct {
	Grants     int64
	Rejections int64
}

// Counts returns the numbers of decisions since the start.
func (d *Dispatcher) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

// NewDispatcher returns a Dispatcher that owns no shards.
func NewDispatcher(config DispatcherConfig) *Dispatcher {
	return &Dispatcher{
		config: config, done: make(chan struct{}), wakeup: make(chan struct{}, 1),
		shards: map[ShardID]shard.Shard{}, owned: map[ShardID]*ownedShard{},
		reportedLeaving: map[string]bool{}, listedLeaving: map[string]bool{},
		failedReads: map[string]int{}, firstContact: map[uint32]time.Time{}, startedAt: config.Now(),
	}
}

// Done returns a channel that is closed when Serve returns.
func (d *Dispatcher) Done() <-chan struct{} {
	return d.done
}

// Route registers the handler of messages from fronts.
func (d *Dispatcher) Route(router *message.Router, subscriber message.Subscriber) {
	router.AddConsumerHandler(TopicToOwner, TopicToOwner, subscriber, d.handle)
}

// Serve advances the Planners until ctx is done, and returns the error of ctx.
func (d *Dispatcher) Serve(ctx context.Context) error {
	defer close(d.done)
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.wakeup:
		case <-timer.C:
		}
		if d.tick(d.config.Now()) {
			timer.Reset(tickInterval)
			continue
		}
		timer.Reset(idleInterval)
	}
}

const (
	// peerDiscoveryTimeout is the time in which a starting daemon discovers its peers:
	// they register within this time, and a heartbeat delivers the rest of the list.
	peerDiscoveryTimeout = 3 * time.Second
	// immediateTakeoverShardLimit and immediateTakeoverHostLimit are the numbers of
	// shards and of hosts in the list up to which a starting daemon takes over its shards
	// before peerDiscoveryTimeout. A small site then grants without this delay, and each
	// host gets only a few queries.
	immediateTakeoverShardLimit = 4
	immediateTakeoverHostLimit  = 16
)

// Refresh applies the current state and membership. It takes over the shards that this
// daemon owns now, and becomes the temporary owner of those that it no longer owns. A nil
// state is ignored.
func (d *Dispatcher) Refresh(state *ticket.State) {
	if state == nil {
		return
	}
	now := d.config.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if state != d.state {
		d.state = state
		d.shards = map[ShardID]shard.Shard{}
		for _, s := range shard.Divide(state) {
			if s.Key.AvailabilityZone == d.config.AvailabilityZone || s.Key.AvailabilityZone == shard.AllZones {
				d.shards[NewShardID(s.Key)] = s
			}
		}
	}
	d.takeOverShards(now)
	for id, o := range d.owned {
		d.refreshShard(now, id, o)
	}
}

// takeOverShards takes over the shards that this daemon owns. mu must be held.
func (d *Dispatcher) takeOverShards(now time.Time) {
	if d.isDiscoveringPeers(now) {
		return
	}
	for id, s := range d.shards {
		if d.isOwner(s.Key) {
			o := d.ensureOwned(now, id)
			o.temporaryUntil, o.handedTo = time.Time{}, ""
		}
	}
}

// isDiscoveringPeers reports whether this daemon has just started at a large site and may
// not have all peers in its list yet. When the daemons of a site start together, each of
// them is the owner of all shards in its own view and would query every host for each
// shard. Until peerDiscoveryTimeout, a daemon therefore takes over only shards for which it
// receives offers. mu must be held.
func (d *Dispatcher) isDiscoveringPeers(now time.Time) bool {
	return now.Sub(d.startedAt) < peerDiscoveryTimeout && (len(d.shards) > immediateTakeoverShardLimit || len(d.config.Fronts()) > immediateTakeoverHostLimit) && d.config.StartedTogether()
}

func (d *Dispatcher) isOwner(key shard.Key) bool {
	return d.ownerOf(key) == d.config.Host
}

// refreshShard applies the current state and membership to one owned shard. mu must be
// held.
func (d *Dispatcher) refreshShard(now time.Time, id ShardID, o *ownedShard) {
	s, ok := d.shards[id]
	if !ok {
		delete(d.owned, id)
		return
	}
	o.shard = s
	o.planner.SetEndpoints(d.markLeaving(s))
	if !d.isOwner(s.Key) && o.temporaryUntil.IsZero() {
		o.temporaryUntil = now.Add(temporaryOwnerTimeout)
	}
	d.handOver(now, o)
	// A daemon that has just started owns shards before its list of fronts is complete, so
	// it also queries fronts here. A temporary owner queries only the fronts that send offers.
	if o.temporaryUntil.IsZero() && !d.isDiscoveringPeers(now) {
		for _, host := range d.config.Fronts() {
			d.queryHolds(o, host)
		}
	}
	d.cancelHoldsOfTerminatedFronts(o)
	d.sendDecisions(o, o.planner.Tick(now, d.decisions[:0]))
}

// markLeaving marks the endpoints that are leaving for a reason other than the ticket.
func (d *Dispatcher) markLeaving(s shard.Shard) shard.Shard {
	mark := func(endpoints []ticket.Endpoint) []ticket.Endpoint {
		result := append([]ticket.Endpoint(nil), endpoints...)
		for i := range result {
			name := result[i].Name
			isLeaving := d.reportedLeaving[name] || d.listedLeaving[name] || d.moving[name] || d.failedReads[name] >= failedReadLimit
			result[i].Leaving = result[i].Leaving || isLeaving
		}
		return result
	}
	s.Prefill = mark(s.Prefill)
	s.Decode = mark(s.Decode)
	return s
}

// SetReportedLeaving sets whether an endpoint reports itself as leaving.
func (d *Dispatcher) SetReportedLeaving(endpoint string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reportedLeaving[endpoint] == leaving {
		return
	}
	d.reportedLeaving[endpoint] = leaving
	d.applyLeaving()
}

// failedReadLimit is the number of consecutive failed reads of its report after which an
// endpoint gets no new work, until a read succeeds.
const failedReadLimit = 2

// SetReportReadable records whether a read of an endpoint's report on a new connection
// has succeeded.
func (d *Dispatcher) SetReportReadable(endpoint string, readable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.failedReads[endpoint] >= failedReadLimit
	if readable {
		delete(d.failedReads, endpoint)
	} else {
		d.failedReads[endpoint]++
	}
	if before != (d.failedReads[endpoint] >= failedReadLimit) {
		d.applyLeaving()
	}
}

// SetListedLeaving replaces the endpoints that the platform's list of hosts
// shows as leaving.
func (d *Dispatcher) SetListedLeaving(endpoints []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listedLeaving = map[string]bool{}
	for _, endpoint := range endpoints {
		d.listedLeaving[endpoint] = true
	}
	d.applyLeaving()
}

// SetMovingEngines replaces the engines that a peer has ordered to change their role.
func (d *Dispatcher) SetMovingEngines(moving map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if maps.Equal(d.moving, moving) {
		return
	}
	d.moving = moving
	d.applyLeaving()
}

// applyLeaving updates the leaving endpoints of all owned shards. mu must be held.
func (d *Dispatcher) applyLeaving() {
	for _, o := range d.owned {
		o.planner.SetEndpoints(d.markLeaving(o.shard))
	}
}

// fencingSequenceBits is the number of low bits of a fencing number that count the grants
// of one owner within one epoch. The epoch is the takeover time in milliseconds.
const fencingSequenceBits = 20

// ensureOwned returns the owned shard, after taking it over if necessary. mu must be held.
func (d *Dispatcher) ensureOwned(now time.Time, id ShardID) *ownedShard {
	if o, ok := d.owned[id]; ok {
		return o
	}
	s := d.shards[id]
	epoch := FencingNumber(now.UnixMilli()) << fencingSequenceBits
	o := &ownedShard{id: id, shard: s, planner: NewPlanner(s.Service, epoch), orphans: map[RequestID]time.Time{}}
	o.planner.isSuccessor = true
	o.planner.SetEndpoints(d.markLeaving(s))
	o.planner.rebalanceFrom = now.Add(takeoverSettlePeriod)
	d.takeHandover(now, o)
	d.owned[id] = o
	d.rebuild(now, o)
	return o
}

// rebuild queries all fronts for their holds in a shard. mu must be held.
func (d *Dispatcher) rebuild(now time.Time, o *ownedShard) {
	o.rebuildDeadline = now.Add(rebuildTimeout)
	o.awaitedFronts = map[string]bool{}
	o.auditedAt = now
	o.queriedFronts = map[string]bool{}
	for _, host := range d.config.Fronts() {
		o.awaitedFronts[host] = true
		d.queryHolds(o, host)
	}
}

// queryHolds queries a front for its holds in a shard, once per rebuild. mu must be held.
func (d *Dispatcher) queryHolds(o *ownedShard, host string) {
	if o.queriedFronts[host] {
		return
	}
	o.queriedFronts[host] = true
	d.publish(host, kindHoldsQuery, o.id, wireIDs{})
}

func (o *ownedShard) isRebuilding(now time.Time) bool {
	return len(o.awaitedFronts) > 0 && now.Before(o.rebuildDeadline)
}
