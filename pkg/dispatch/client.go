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
	// offerRepeat spaces repeated offers, which replace lost messages and find a
	// new owner.
	offerRepeat = 500 * time.Millisecond
	// answerPatience is the time in which an owner answers an offer or says that
	// it waits. It is above the pause of a host that has used up its share of a
	// processor for a tenth of a second.
	answerPatience = 110 * time.Millisecond
	// silentTime is the time for which an owner that did not is passed over.
	silentTime = time.Second
	// avoidTime is the time for which a host that could not be reached is passed
	// over when an owner is looked up.
	avoidTime = 3 * time.Second
)

// RejectedError is the final answer of a dispatcher that serves a request not.
type RejectedError struct {
	Rejection Rejection
}

// Error returns the cause.
func (e *RejectedError) Error() string {
	return "refused: " + string(e.Rejection.Cause)
}

// ErrNoShard reports a service without a shard that can be reached.
var ErrNoShard = errors.New("no shard of the service can be reached")

// errUnknownEndpoint reports a grant of an endpoint that is not in the state here.
var errUnknownEndpoint = errors.New("granted endpoint is not known here")

// ClientConfig holds what a Client needs.
type ClientConfig struct {
	Host             string
	AvailabilityZone string
	// FrontTag identifies this life of this front in request identifiers.
	FrontTag uint32
	// Publish sends messages to other daemons.
	Publish func(topic string, messages ...*message.Message) error
	Now     func() time.Time
	Log     logr.Logger
	// Hosts returns the live daemons of a zone.
	Hosts func(zone string) []string
	// EligibleOwners returns those of some hosts that may own shards.
	EligibleOwners func(hosts []string) []string
	// IncarnationSince returns when the present life of a host was first heard of.
	IncarnationSince func(host string) time.Time
}

// Client is the front's side of dispatching.
type Client struct {
	config ClientConfig
	serial atomic.Uint32

	mu       sync.Mutex
	shards   map[string][]routedShard
	pending  map[RequestID]*offer
	live     map[RequestID]*Reservation
	avoided  map[string]avoidance
	pressure map[ShardID]Pressure
	// lastOwner is the host that was asked last for each shard.
	lastOwner map[ShardID]string
	pause     pauseDetector
	// alone holds the Planners for shards whose owners cannot be reached.
	alone map[ShardID]*Planner
	done  chan struct{}
}

// avoidance is the time for which a host is passed over, unless it starts anew.
type avoidance struct {
	since time.Time
	until time.Time
}

type routedShard struct {
	id        ShardID
	key       shard.Key
	shard     shard.Shard
	endpoints map[EndpointHash]ticket.Endpoint
}

// add notes an endpoint. Two with one hash are both unknown.
func (s routedShard) add(endpoint ticket.Endpoint) {
	hash := HashEndpoint(endpoint.Name)
	if _, taken := s.endpoints[hash]; taken {
		endpoint = ticket.Endpoint{}
	}
	s.endpoints[hash] = endpoint
}

// NewClient returns a Client without shards.
func NewClient(config ClientConfig) *Client {
	return &Client{
		config: config, shards: map[string][]routedShard{},
		pending: map[RequestID]*offer{}, live: map[RequestID]*Reservation{},
		avoided: map[string]avoidance{}, pressure: map[ShardID]Pressure{},
		alone: map[ShardID]*Planner{}, lastOwner: map[ShardID]string{}, done: make(chan struct{}),
	}
}

// Done is closed when Serve has returned.
func (c *Client) Done() <-chan struct{} {
	return c.done
}

// Serve watches for pauses of the process until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	defer close(c.done)
	return runPeriodically(ctx, pauseCheckInterval, func() {
		now := c.config.Now()
		c.mu.Lock()
		c.pause.check(now)
		c.mu.Unlock()
		c.followEngines(now)
	})
}

// Route adds this type's handler to a router, for what comes from a subscriber.
func (c *Client) Route(router *message.Router, subscriber message.Subscriber) {
	router.AddConsumerHandler(TopicToFront, TopicToFront, subscriber, c.handle)
}

// NewRequestID returns an identifier that no other front makes.
func (c *Client) NewRequestID() RequestID {
	return RequestID(c.config.FrontTag)<<32 | RequestID(c.serial.Add(1))
}

// FrontTag returns the part of an identifier that names the front's life.
func (id RequestID) FrontTag() uint32 {
	return uint32(id >> 32)
}

// Refresh takes the state in force.
func (c *Client) Refresh(state *ticket.State) {
	if state == nil {
		return
	}
	shards := map[string][]routedShard{}
	for _, s := range shard.Divide(state) {
		routed := routedShard{id: NewShardID(s.Key), key: s.Key, shard: s, endpoints: map[EndpointHash]ticket.Endpoint{}}
		for _, endpoint := range s.Prefill {
			routed.add(endpoint)
		}
		for _, endpoint := range s.Decode {
			routed.add(endpoint)
		}
		shards[s.Key.Service] = append(shards[s.Key.Service], routed)
	}
	c.mu.Lock()
	c.shards = shards
	c.mu.Unlock()
	c.followEngines(c.config.Now())
}

// followEngines moves the reservations at engines that have changed their shard to the
// present one, and tells its owner of them. An owner may learn of the change later than
// this front, and cannot count a hold at an engine that it does not know, so it is told
// twice.
func (c *Client) followEngines(now time.Time) {
	homes := map[ShardID]routedShard{}
	c.mu.Lock()
	for _, r := range c.live {
		home, ok := c.homeOf(r)
		if !ok {
			continue
		}
		if home.id != r.shard.id {
			r.shard, r.reportAgainAt = home, now.Add(tellAgainTime)
		} else if r.reportAgainAt.IsZero() || now.Before(r.reportAgainAt) {
			continue
		} else {
			r.reportAgainAt = time.Time{}
		}
		homes[home.id] = home
	}
	c.mu.Unlock()
	for id, home := range homes {
		if owner := c.owner(home); owner != "" {
			c.report(owner, id)
		}
	}
}

// homeOf returns the present shard of the engine that runs a reservation. The caller holds
// the lock.
func (c *Client) homeOf(r *Reservation) (routedShard, bool) {
	hash := HashEndpoint(r.Decode.Name)
	for _, s := range c.shards[r.Shard.Service] {
		if _, ok := s.endpoints[hash]; ok {
			return s, true
		}
	}
	return routedShard{}, false
}

// tellAgainTime is the time in which all daemons know of a change of the endpoints.
const tellAgainTime = time.Second

// Avoid passes over a host that could not be reached, for a time.
func (c *Client) Avoid(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid(host, avoidTime)
}

// avoid passes over a host and makes the offers to it go to the next owner. The
// caller holds the lock.
func (c *Client) avoid(host string, length time.Duration) {
	now := c.config.Now()
	if until := now.Add(length); until.After(c.avoided[host].until) {
		c.avoided[host] = avoidance{since: now, until: until}
	}
	for _, o := range c.pending {
		if o.owner == host {
			notify(o.lost)
		}
	}
}

// Owners returns the hosts to ask for the shards of a service.
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

// SetPressure notes what was heard of a shard.
func (c *Client) SetPressure(id ShardID, pressure Pressure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pressure[id] = pressure
}

// owner returns the host to ask for a shard, or "".
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

// pick chooses between two random shards of a zone the one under less pressure.
func (c *Client) pick(service, zone string) (routedShard, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var local []routedShard
	for _, s := range c.shards[service] {
		if s.key.AvailabilityZone == zone || s.key.AvailabilityZone == shard.AllZones {
			local = append(local, s)
		}
	}
	if len(local) == 0 {
		return routedShard{}, false
	}
	first := local[rand.IntN(len(local))]
	second := local[rand.IntN(len(local))]
	if c.pressure[second.id] < c.pressure[first.id] {
		return second, true
	}
	return first, true
}

// pickOther chooses the shard of another zone under the least pressure, if that
// is less than full.
func (c *Client) pickOther(service string) (routedShard, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best routedShard
	found := false
	for _, s := range c.shards[service] {
		if s.key.AvailabilityZone == c.config.AvailabilityZone || s.key.AvailabilityZone == shard.AllZones || c.pressure[s.id] >= otherZonePressure {
			continue
		}
		if !found || c.pressure[s.id] < c.pressure[best.id] {
			best, found = s, true
		}
	}
	return best, found
}

// otherZonePressure is the pressure from which a shard takes no work of other zones.
const otherZonePressure = pressureUnit / 2

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

// OpenReservations returns the number of reservations in use.
func (c *Client) OpenReservations() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.live) + len(c.pending)
}
