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
	// tickPeriod spaces the looks at shards in which requests wait.
	tickPeriod = 20 * time.Millisecond
	// idlePeriod spaces them while none waits.
	idlePeriod = pauseCheckInterval
	// rebuildTimeout bounds the wait for the reports of fronts after a change
	// of owner. Fronts that answer later are adopted then.
	rebuildTimeout = 200 * time.Millisecond
	// standInTime is the time for which a shard is kept that another daemon owns.
	standInTime = 10 * time.Second
	// auditPeriod spaces the questions to fronts about their older holds.
	auditPeriod = 10 * time.Second
)

// IncarnationState is what is known of the life of a front.
type IncarnationState uint8

// The lives. Unknown ones belong to daemons that are not heard of yet.
const (
	IncarnationUnknown IncarnationState = iota
	IncarnationAlive
	IncarnationEnded
)

var tracer = otel.Tracer("turmerictide/dispatch")

// DispatcherConfig holds what a Dispatcher needs.
type DispatcherConfig struct {
	Host             string
	AvailabilityZone string
	// Publish sends messages to other daemons.
	Publish func(topic string, messages ...*message.Message) error
	Now     func() time.Time
	Log     logr.Logger
	// Hosts returns the live daemons of a zone, or all for "".
	Hosts func(zone string) []string
	// EligibleOwners returns those of some hosts that may own shards.
	EligibleOwners func(hosts []string) []string
	// StartedTogether reports whether most daemons that are known started with this one.
	StartedTogether func() bool
	// Fronts returns all daemons that may hold places, also those that leave.
	Fronts func() []string
	// FrontIncarnation tells whether the life of a front that made a request
	// identifier goes on. The host is "" when only the identifier is known;
	// heard is the time at which this daemon first heard of the life.
	FrontIncarnation func(tag uint32, host string, heard time.Time) IncarnationState
	// ZoneOf returns the availability zone of a daemon.
	ZoneOf func(host string) string
	// CancelHold ends a hold at its endpoints and calls confirmed when they run
	// it no more.
	CancelHold func(hold Hold, fencing FencingNumber, confirmed func())
	// MoveEngine orders an engine of a service to change its role. It is nil where
	// engines take no orders, and must not block.
	MoveEngine func(service string, move Move)
	// BroadcastPressure tells the other daemons of a shard's pressure.
	BroadcastPressure func(id ShardID, pressure Pressure)
}

// Dispatcher runs the Planners of the shards that this daemon owns.
type Dispatcher struct {
	config DispatcherConfig
	done   chan struct{}
	// busy wakes Serve when a request begins to wait.
	busy chan struct{}

	// started is when this daemon began, and settled whether it has taken over all that
	// it owns since.
	started time.Time

	mu      sync.Mutex
	settled bool
	state   *ticket.State
	// all are the shards of state that this daemon may own.
	all   map[ShardID]shard.Shard
	owned map[ShardID]*ownedShard
	// reportedLeaving and listedLeaving are endpoints that leave by their own
	// word and by the platform's.
	reportedLeaving map[string]bool
	listedLeaving   map[string]bool
	// moving are the engines that change their role by another daemon's order.
	moving map[string]bool
	// unreadable counts the failed readings of endpoints' reports in a row.
	unreadable map[string]int
	// heard is the time of the first message from each life of a front.
	heard map[uint32]time.Time
	pause pauseDetector
	// decisions is reused between events.
	decisions []Decision
	counts    Counts
}

type ownedShard struct {
	id      ShardID
	shard   shard.Shard
	planner *Planner
	// rebuildUntil is the time until which nothing is granted unless all fronts
	// have reported; awaited are those that have not.
	rebuildUntil time.Time
	awaited      map[string]bool
	// asked are the fronts that were asked for what they hold.
	asked  map[string]bool
	offers []Request
	// standInUntil is set while another daemon is the owner.
	standInUntil time.Time
	lastAudit    time.Time
	lastPressure Pressure
	pressureAt   time.Time
	orphans      map[RequestID]time.Time
}

// Counts is what a Dispatcher has decided since its start.
type Counts struct {
	Grants     int64
	Rejections int64
}

// Counts returns the decisions so far.
func (d *Dispatcher) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

// NewDispatcher returns a Dispatcher that owns nothing yet.
func NewDispatcher(config DispatcherConfig) *Dispatcher {
	return &Dispatcher{
		config: config, done: make(chan struct{}), busy: make(chan struct{}, 1),
		all: map[ShardID]shard.Shard{}, owned: map[ShardID]*ownedShard{},
		reportedLeaving: map[string]bool{}, listedLeaving: map[string]bool{},
		unreadable: map[string]int{}, heard: map[uint32]time.Time{}, started: config.Now(),
	}
}

// Done is closed when Serve has returned.
func (d *Dispatcher) Done() <-chan struct{} {
	return d.done
}

// Route adds this type's handler to a router, for what comes from a subscriber.
func (d *Dispatcher) Route(router *message.Router, subscriber message.Subscriber) {
	router.AddConsumerHandler(TopicToOwner, TopicToOwner, subscriber, d.handle)
}

// Serve advances the Planners until ctx ends.
func (d *Dispatcher) Serve(ctx context.Context) error {
	defer close(d.done)
	timer := time.NewTimer(idlePeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.busy:
		case <-timer.C:
		}
		if d.tick(d.config.Now()) {
			timer.Reset(tickPeriod)
			continue
		}
		timer.Reset(idlePeriod)
	}
}

const (
	// startTime is the time in which a daemon that starts hears of the others: they
	// register within it, and a heartbeat brings the rest of the list.
	startTime = 3 * time.Second
	// maxStartShards and maxStartHosts are the numbers of shards, and of hosts that are
	// known, up to which a daemon takes over before that, so that a small site grants
	// without a pause: a few questions to each host.
	maxStartShards = 4
	maxStartHosts  = 16
)

// Refresh takes the state in force and the present membership: it takes over
// shards that this daemon owns now and gives up those it does not.
func (d *Dispatcher) Refresh(state *ticket.State) {
	if state == nil {
		return
	}
	now := d.config.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if state != d.state {
		d.state = state
		d.all = map[ShardID]shard.Shard{}
		for _, s := range shard.Divide(state) {
			if s.Key.AvailabilityZone == d.config.AvailabilityZone || s.Key.AvailabilityZone == shard.AllZones {
				d.all[NewShardID(s.Key)] = s
			}
		}
	}
	d.takeOver(now)
	for id, o := range d.owned {
		d.refreshShard(now, id, o)
	}
}

// takeOver takes over the shards that this daemon owns. The caller holds the lock.
func (d *Dispatcher) takeOver(now time.Time) {
	if d.isStarting(now) {
		return
	}
	for id, s := range d.all {
		if d.isOwner(s.Key) {
			d.own(now, id).standInUntil = time.Time{}
		}
	}
}

// isStarting reports whether this daemon has just started at a large site. While the
// daemons of one start together, each is the owner of all shards in its own view, and
// would ask every host for each of them. Until it can know the others it takes only
// those over that it gets offers for. The caller holds the lock.
func (d *Dispatcher) isStarting(now time.Time) bool {
	return now.Sub(d.started) < startTime && (len(d.all) > maxStartShards || len(d.config.Fronts()) > maxStartHosts) && d.config.StartedTogether()
}

// isOwner reports whether this daemon is the owner of a shard.
func (d *Dispatcher) isOwner(key shard.Key) bool {
	return shard.Owner(key.String(), d.config.EligibleOwners(d.config.Hosts(key.AvailabilityZone))) == d.config.Host
}

// refreshShard updates one owned shard. The caller holds the lock.
func (d *Dispatcher) refreshShard(now time.Time, id ShardID, o *ownedShard) {
	s, ok := d.all[id]
	if !ok {
		delete(d.owned, id)
		return
	}
	o.shard = s
	o.planner.SetEndpoints(d.markLeaving(s))
	if !d.isOwner(s.Key) && o.standInUntil.IsZero() {
		o.standInUntil = now.Add(standInTime)
	}
	// A daemon that has just started owns shards before it knows all fronts. One that
	// stands in asks the fronts that make offers.
	if o.standInUntil.IsZero() && !d.isStarting(now) {
		for _, host := range d.config.Fronts() {
			d.ask(o, host)
		}
	}
	d.loseFronts(o)
	d.send(o, o.planner.Tick(now, d.decisions[:0]))
}

// markLeaving adds what is known of leaving endpoints beside the ticket.
func (d *Dispatcher) markLeaving(s shard.Shard) shard.Shard {
	mark := func(endpoints []ticket.Endpoint) []ticket.Endpoint {
		result := append([]ticket.Endpoint(nil), endpoints...)
		for i := range result {
			name := result[i].Name
			closed := d.reportedLeaving[name] || d.listedLeaving[name] || d.moving[name] || d.unreadable[name] >= unreadableLimit
			result[i].Leaving = result[i].Leaving || closed
		}
		return result
	}
	s.Prefill = mark(s.Prefill)
	s.Decode = mark(s.Decode)
	return s
}

// SetReportedLeaving notes what an endpoint says of itself.
func (d *Dispatcher) SetReportedLeaving(endpoint string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reportedLeaving[endpoint] == leaving {
		return
	}
	d.reportedLeaving[endpoint] = leaving
	d.applyLeaving()
}

// unreadableLimit is the number of failed readings in a row after which an
// endpoint gets no new work until its report can be read again.
const unreadableLimit = 2

// SetReportReadable notes whether an endpoint's report could be read on a new
// connection.
func (d *Dispatcher) SetReportReadable(endpoint string, readable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.unreadable[endpoint] >= unreadableLimit
	if readable {
		delete(d.unreadable, endpoint)
	} else {
		d.unreadable[endpoint]++
	}
	if before != (d.unreadable[endpoint] >= unreadableLimit) {
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

// SetMovingEngines replaces the engines that change their role by another daemon's order.
func (d *Dispatcher) SetMovingEngines(moving map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if maps.Equal(d.moving, moving) {
		return
	}
	d.moving = moving
	d.applyLeaving()
}

// applyLeaving updates all owned shards. The caller holds the lock.
func (d *Dispatcher) applyLeaving() {
	for _, o := range d.owned {
		o.planner.SetEndpoints(d.markLeaving(o.shard))
	}
}

// fencingShift leaves room for the grants of one epoch of an owner.
const fencingShift = 20

// own returns the shard, taking it over first if needed. The caller holds the lock.
func (d *Dispatcher) own(now time.Time, id ShardID) *ownedShard {
	if o, ok := d.owned[id]; ok {
		return o
	}
	s := d.all[id]
	epoch := FencingNumber(now.UnixMilli()) << fencingShift
	o := &ownedShard{id: id, shard: s, planner: NewPlanner(s.Service, epoch), orphans: map[RequestID]time.Time{}}
	o.planner.SetEndpoints(d.markLeaving(s))
	o.planner.rebalanceFrom = now.Add(settleTime)
	d.owned[id] = o
	d.rebuild(now, o)
	return o
}

// rebuild asks all fronts for what they hold in a shard. The caller holds the lock.
func (d *Dispatcher) rebuild(now time.Time, o *ownedShard) {
	o.rebuildUntil = now.Add(rebuildTimeout)
	o.awaited = map[string]bool{}
	o.lastAudit = now
	o.asked = map[string]bool{}
	for _, host := range d.config.Fronts() {
		o.awaited[host] = true
		d.ask(o, host)
	}
}

// ask asks a front once for what it holds in a shard. The caller holds the lock.
func (d *Dispatcher) ask(o *ownedShard, host string) {
	if o.asked[host] {
		return
	}
	o.asked[host] = true
	d.publish(host, kindReport, o.id, wireIDs{})
}

func (o *ownedShard) isRebuilding(now time.Time) bool {
	return len(o.awaited) > 0 && now.Before(o.rebuildUntil)
}
