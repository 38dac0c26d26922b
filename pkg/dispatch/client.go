package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace"

	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const (
	// offerResendInterval is the interval at which an offer is sent again. This replaces a
	// lost message and reaches a new owner.
	offerResendInterval = 500 * time.Millisecond
	// ownerReplyTimeout is the time in which an owner must decide an offer or confirm that
	// it is queued. It is longer than the pause of a host that has used up its processor
	// quota for a period of 100 ms.
	ownerReplyTimeout = 110 * time.Millisecond
	// silentOwnerAvoidTimeout is the time for which an owner that did not reply is not
	// selected again.
	silentOwnerAvoidTimeout = time.Second
	// unreachableHostAvoidTimeout is the time for which a host that could not be reached
	// is not selected as an owner.
	unreachableHostAvoidTimeout = 3 * time.Second
)

// RejectedError reports that a dispatcher has rejected a request.
type RejectedError struct {
	Rejection Rejection
}

func (e *RejectedError) Error() string {
	return "rejected: " + string(e.Rejection.Cause)
}

// ErrNoShard reports that no shard of a service can be reached.
var ErrNoShard = errors.New("no shard of the service can be reached")

// errUnknownEndpoint reports a grant for an endpoint that is not in the local state.
var errUnknownEndpoint = errors.New("granted endpoint is not in the local state")

type ClientConfig struct {
	Host             string
	AvailabilityZone string
	// FrontTag identifies this incarnation of this front in request identifiers.
	FrontTag uint32
	// Publish sends messages to other daemons.
	Publish func(topic string, messages ...*message.Message) error
	Now     func() time.Time
	Log     logr.Logger
	// Hosts returns the live daemons of a zone, or of all zones for "".
	Hosts func(zone string) []string
	// EligibleOwners returns the hosts of the list that may own shards.
	EligibleOwners func(hosts []string) []string
	// IncarnationSince returns the time at which the current incarnation of a host appeared
	// in the membership list of this daemon.
	IncarnationSince func(host string) time.Time
	// Random returns a random number in [0, n). Its calls are serialized. The default is rand.IntN,
	// which has no seed.
	Random func(n int) int
}

// Client is the front's side of dispatching. It offers requests to the owners of shards and
// tracks the reservations of this front. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	serial atomic.Uint32

	mu           sync.Mutex
	shards       map[string][]routedShard
	pending      map[RequestID]*offer
	reservations map[RequestID]*Reservation
	avoided      map[string]avoidance
	pressure     map[ShardID]Pressure
	// lastOwner is the host to which the last offer for each shard was sent.
	lastOwner map[ShardID]string
	pause     pauseDetector
	// localPlanners are the local Planners. They decide the requests of shards whose
	// owners cannot be reached.
	localPlanners map[ShardID]*Planner
	done          chan struct{}
}

// avoidance is the period in which a host is not selected as an owner. It ends early when
// the host restarts.
type avoidance struct {
	since time.Time
	until time.Time
}

// routedShard is a shard with its identifier and its endpoints by their hashes.
type routedShard struct {
	id        ShardID
	key       shard.Key
	shard     shard.Shard
	endpoints map[EndpointHash]ticket.Endpoint
}

// addEndpoint adds an endpoint. Endpoints whose hashes collide are both treated as unknown.
func (s routedShard) addEndpoint(endpoint ticket.Endpoint) {
	hash := HashEndpoint(endpoint.Name)
	if _, exists := s.endpoints[hash]; exists {
		endpoint = ticket.Endpoint{}
	}
	s.endpoints[hash] = endpoint
}

// decodesAt reports whether the shard has a decode endpoint with a software version, "" for any.
func (s routedShard) decodesAt(version string) bool {
	return version == "" || slices.ContainsFunc(s.shard.Decode, func(e ticket.Endpoint) bool { return e.Version == version && !e.Leaving })
}

// NewClient returns a Client without shards. Refresh sets them.
func NewClient(config ClientConfig) *Client {
	if config.Random == nil {
		config.Random = rand.IntN
	}
	return &Client{
		config: config, shards: map[string][]routedShard{},
		pending: map[RequestID]*offer{}, reservations: map[RequestID]*Reservation{},
		avoided: map[string]avoidance{}, pressure: map[ShardID]Pressure{},
		localPlanners: map[ShardID]*Planner{}, lastOwner: map[ShardID]string{}, done: make(chan struct{}),
	}
}

// Done returns a channel that is closed when Serve returns.
func (c *Client) Done() <-chan struct{} {
	return c.done
}

// Serve detects pauses of the process and follows engines that change their shard, until
// ctx is done. It returns the error of ctx.
func (c *Client) Serve(ctx context.Context) error {
	defer close(c.done)
	return runPeriodically(ctx, pauseCheckInterval, func() {
		now := c.config.Now()
		c.mu.Lock()
		c.pause.check(now)
		c.mu.Unlock()
		c.followMovedEngines(now)
	})
}

// Route registers the handler of messages from owners.
func (c *Client) Route(router *message.Router, subscriber message.Subscriber) {
	router.AddConsumerHandler(TopicToFront, TopicToFront, subscriber, c.handle)
}

// NewRequestID returns an identifier that is unique across fronts.
func (c *Client) NewRequestID() RequestID {
	return RequestID(c.config.FrontTag)<<32 | RequestID(c.serial.Add(1))
}

// FrontTag returns the part of an identifier that identifies the incarnation of the front.
func (id RequestID) FrontTag() uint32 {
	return uint32(id >> 32)
}

// Refresh applies the current state. A nil state is ignored.
func (c *Client) Refresh(state *ticket.State) {
	if state == nil {
		return
	}
	shards := map[string][]routedShard{}
	for _, s := range shard.Divide(state) {
		routed := routedShard{id: NewShardID(s.Key), key: s.Key, shard: s, endpoints: map[EndpointHash]ticket.Endpoint{}}
		for _, endpoint := range s.Prefill {
			routed.addEndpoint(endpoint)
		}
		for _, endpoint := range s.Decode {
			routed.addEndpoint(endpoint)
		}
		shards[s.Key.Service] = append(shards[s.Key.Service], routed)
	}
	c.mu.Lock()
	c.shards = shards
	c.mu.Unlock()
	c.followMovedEngines(c.config.Now())
}

// followMovedEngines moves the reservations at engines that have changed their shard to
// the new shard and reports them to its owner. That owner may apply the change later than
// this front, and until then it ignores holds at these engines. The holds are therefore
// reported a second time after secondReportDelay.
func (c *Client) followMovedEngines(now time.Time) {
	changed := map[ShardID]routedShard{}
	c.mu.Lock()
	for _, r := range c.reservations {
		current, ok := c.currentShard(r)
		if !ok {
			continue
		}
		if current.id != r.shard.id {
			r.shard, r.reportAgainAt = current, now.Add(secondReportDelay)
		} else if r.reportAgainAt.IsZero() || now.Before(r.reportAgainAt) {
			continue
		} else {
			r.reportAgainAt = time.Time{}
		}
		changed[current.id] = current
	}
	c.mu.Unlock()
	for id, current := range changed {
		if owner := c.owner(current); owner != "" {
			c.reportHolds(owner, id)
		}
	}
}

// currentShard returns the current shard of the decode engine of a reservation. mu must be
// held.
func (c *Client) currentShard(r *Reservation) (routedShard, bool) {
	hash := HashEndpoint(r.Decode.Name)
	for _, s := range c.shards[r.Shard.Service] {
		if _, ok := s.endpoints[hash]; ok {
			return s, true
		}
	}
	return routedShard{}, false
}

// secondReportDelay is the time in which a change of the endpoints reaches all daemons.
const secondReportDelay = time.Second

// Avoid excludes a host that could not be reached from the selection of owners for
// unreachableHostAvoidTimeout.
func (c *Client) Avoid(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid(host, unreachableHostAvoidTimeout)
}

// avoid excludes a host from the selection of owners and makes pending offers to it go to
// the next owner. mu must be held.
func (c *Client) avoid(host string, duration time.Duration) {
	now := c.config.Now()
	if until := now.Add(duration); until.After(c.avoided[host].until) {
		c.avoided[host] = avoidance{since: now, until: until}
	}
	for _, o := range c.pending {
		if o.owner == host {
			notify(o.unreachable)
		}
	}
}

// Owners returns the hosts that receive offers for the shards of a service.
func (c *Client) Owners(service string) []string {
	c.mu.Lock()
	shards := c.shards[service]
	c.mu.Unlock()
	var owners []string
	for _, s := range shards {
		if owner := c.owner(s); owner != "" && !slices.Contains(owners, owner) {
			owners = append(owners, owner)
		}
	}
	return owners
}

// SetPressure records the pressure that a peer has broadcast for a shard.
func (c *Client) SetPressure(id ShardID, pressure Pressure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pressure[id] = pressure
}

// owner returns the host that receives offers for a shard, or "" if there is none.
func (c *Client) owner(s routedShard) string {
	now := c.config.Now()
	var hosts []string
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range c.config.Hosts(s.key.AvailabilityZone) {
		avoided := c.avoided[host]
		if !now.Before(avoided.until) || c.config.IncarnationSince(host).After(avoided.since) {
			hosts = append(hosts, host)
		}
	}
	return shard.Owner(s.key.String(), c.config.EligibleOwners(hosts))
}

// chooseShard selects two random shards of a zone or of all zones that have a software version, and
// returns the one under less pressure.
func (c *Client) chooseShard(service, zone, version string) (routedShard, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var candidates []routedShard
	for _, s := range c.shards[service] {
		if (s.key.AvailabilityZone == zone || s.key.AvailabilityZone == shard.AllZones) && s.decodesAt(version) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return routedShard{}, false
	}
	first := candidates[c.config.Random(len(candidates))]
	second := candidates[c.config.Random(len(candidates))]
	if c.pressure[second.id] < c.pressure[first.id] {
		return second, true
	}
	return first, true
}

// chooseOtherZoneShard returns the shard under the least pressure in other zones that has a software
// version, if that pressure is below otherZonePressureLimit.
func (c *Client) chooseOtherZoneShard(service, version string) (routedShard, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best routedShard
	found := false
	for _, s := range c.shards[service] {
		if s.key.AvailabilityZone == c.config.AvailabilityZone || s.key.AvailabilityZone == shard.AllZones || c.pressure[s.id] >= otherZonePressureLimit || !s.decodesAt(version) {
			continue
		}
		if !found || c.pressure[s.id] < c.pressure[best.id] {
			best, found = s, true
		}
	}
	return best, found
}

// otherZonePressureLimit is the pressure from which a shard gets no requests of fronts in
// other zones.
const otherZonePressureLimit = pressureUnit / 2

func (c *Client) publish(ctx context.Context, host string, kind wireKind, id ShardID, body any) {
	payload, err := encodeMessage(kind, id, body)
	if err != nil {
		c.config.Log.Error(err, "message was not encoded")
		return
	}
	msg := link.NewMessage(host, payload, trace.SpanContextFromContext(ctx))
	if err := c.config.Publish(TopicToOwner, msg); err != nil {
		c.config.Log.V(1).Info("message was dropped", "host", host, "error", err.Error())
	}
}

// OpenReservations returns the number of reservations in use and of pending offers.
func (c *Client) OpenReservations() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.reservations) + len(c.pending)
}
