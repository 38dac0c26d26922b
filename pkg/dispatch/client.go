package dispatch

import (
	"context"
	"math/rand/v2"
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

// RefusedError is the final answer of a dispatcher that serves a request not.
type RefusedError struct {
	Refusal Refusal
}

// Error returns the cause.
func (e *RefusedError) Error() string {
	return "refused: " + string(e.Refusal.Cause)
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
	Mesh     *link.Mesh
	Now      func() time.Time
	Log      logr.Logger
	// Hosts returns the live daemons of a zone.
	Hosts func(zone string) []string
}

// Client is the front's side of dispatching.
type Client struct {
	config ClientConfig
	serial atomic.Uint32

	mu       sync.Mutex
	shards   map[string][]routedShard
	pending  map[RequestID]*offer
	live     map[RequestID]*Reservation
	avoided  map[string]time.Time
	pressure map[ShardID]Pressure
	pause    pauseDetector
	// alone holds the Planners for shards whose owners cannot be reached.
	alone map[ShardID]*Planner
	done  chan struct{}
}

type routedShard struct {
	id        ShardID
	key       shard.Key
	shard     shard.Shard
	endpoints map[endpointHash]ticket.Endpoint
}

// add notes an endpoint. Two with one hash are both unknown.
func (s routedShard) add(endpoint ticket.Endpoint) {
	hash := hashEndpoint(endpoint.Name)
	if _, taken := s.endpoints[hash]; taken {
		endpoint = ticket.Endpoint{}
	}
	s.endpoints[hash] = endpoint
}

type offer struct {
	request  Request
	shard    routedShard
	decision chan arrival
	// owner is the host that was asked last.
	owner string
	// queued tells that the owner has the offer, lost that it cannot be reached.
	queued chan struct{}
	lost   chan struct{}
}

// arrival is a decision with the time at which its message came.
type arrival struct {
	grant wireGrant
	// refusal is set, with its cause, instead of a grant.
	refusal Refusal
	at      time.Time
}

// Reservation is a grant in use. Exactly one call of Done ends it.
type Reservation struct {
	Grant   Grant
	Prefill ticket.Endpoint
	Decode  ticket.Endpoint
	Shard   shard.Key
	// GrantedAt is the time at which the grant's message arrived.
	GrantedAt time.Time

	client  *Client
	request Request
	shard   routedShard
	stage   Stage
	// startedAt is the time of the first token.
	startedAt time.Time
	made      atomic.Int64
	// alone is the Planner that granted it when no owner did.
	alone *Planner
}

// NewClient returns a Client without shards.
func NewClient(config ClientConfig) *Client {
	return &Client{
		config: config, shards: map[string][]routedShard{},
		pending: map[RequestID]*offer{}, live: map[RequestID]*Reservation{},
		avoided: map[string]time.Time{}, pressure: map[ShardID]Pressure{},
		alone: map[ShardID]*Planner{}, done: make(chan struct{}),
	}
}

// Done is closed when Serve has returned.
func (c *Client) Done() <-chan struct{} {
	return c.done
}

// Serve watches for pauses of the process until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	defer close(c.done)
	return repeat(ctx, beatPeriod, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pause.beat(c.config.Now())
	})
}

// Route adds this type's handler to a router.
func (c *Client) Route(router *message.Router) {
	router.AddConsumerHandler(TopicToFront, TopicToFront, c.config.Mesh, c.handle)
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
		routed := routedShard{id: NewShardID(s.Key), key: s.Key, shard: s, endpoints: map[endpointHash]ticket.Endpoint{}}
		for _, endpoint := range s.Prefill {
			routed.add(endpoint)
		}
		for _, endpoint := range s.Decode {
			routed.add(endpoint)
		}
		shards[s.Key.Service] = append(shards[s.Key.Service], routed)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shards = shards
}

// Avoid passes over a host that could not be reached, for a time.
func (c *Client) Avoid(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid(host, avoidTime)
}

// avoid passes over a host and makes the offers to it go to the next owner. The
// caller holds the lock.
func (c *Client) avoid(host string, length time.Duration) {
	until := c.config.Now().Add(length)
	if until.After(c.avoided[host]) {
		c.avoided[host] = until
	}
	for _, o := range c.pending {
		if o.owner == host {
			notify(o.lost)
		}
	}
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
		if !now.Before(c.avoided[host]) {
			hosts = append(hosts, host)
		}
	}
	return shard.Owner(s.key.String(), hosts)
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

// Acquire waits for a decision on a request of a service. Another zone is asked
// once when the own cannot serve. Errors are *RefusedError, ErrNoShard, or the
// context's.
func (c *Client) Acquire(ctx context.Context, service string, request Request) (*Reservation, error) {
	own, ok := c.pick(service, c.config.AvailabilityZone)
	refusal := ErrNoShard
	if ok {
		reservation, err := c.acquire(ctx, own, request)
		var refused *RefusedError
		if err == nil || !(errors.As(err, &refused) || errors.Is(err, ErrNoShard)) {
			return reservation, err
		}
		refusal = err
	}
	other, ok := c.pickOther(service)
	if !ok {
		return nil, refusal
	}
	request.ID = c.NewRequestID()
	reservation, err := c.acquire(ctx, other, request)
	if err != nil && ctx.Err() == nil {
		return nil, refusal
	}
	return reservation, err
}

func (c *Client) acquire(ctx context.Context, s routedShard, request Request) (*Reservation, error) {
	o := &offer{
		request: request, shard: s, decision: make(chan arrival, 1),
		queued: make(chan struct{}, 1), lost: make(chan struct{}, 1),
	}
	c.mu.Lock()
	c.pending[request.ID] = o
	c.mu.Unlock()
	for {
		owner := c.owner(s)
		if owner == "" {
			c.withdraw(o)
			return c.acquireAlone(s, request)
		}
		c.mu.Lock()
		o.owner = owner
		c.mu.Unlock()
		c.publish(ctx, owner, kindOffer, s.id, encodeRequest(request, c.config.Now()))
		next, err := c.await(ctx, o)
		switch {
		case err != nil:
			c.withdraw(o)
			return nil, err
		case next.isDecided:
			reservation, err := c.accept(o, next.decision)
			if errors.Is(err, errUnknownEndpoint) {
				// The owner's state is older or newer than the one here.
				c.config.Log.Info("granted endpoint is not known here", "owner", owner, "shard", s.key.String(), "request", request.ID.String())
				return c.acquireAlone(s, request)
			}
			return reservation, err
		case next.isSilent:
			c.withdraw(o)
			c.mu.Lock()
			c.avoid(owner, silentTime)
			c.mu.Unlock()
			c.config.Log.Info("owner does not answer", "owner", owner, "shard", s.key.String(), "request", request.ID.String())
			return c.acquireAlone(s, request)
		}
	}
}

// awaited is what came of waiting for an owner. If neither is set, the offer is
// to be made again.
type awaited struct {
	decision  arrival
	isDecided bool
	isSilent  bool
}

// await waits until an offer is decided, its owner is lost or silent, or the
// offer is to be repeated.
func (c *Client) await(ctx context.Context, o *offer) (awaited, error) {
	patience := time.NewTimer(answerPatience)
	defer patience.Stop()
	repeat := time.NewTimer(offerRepeat)
	defer repeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return awaited{}, context.Cause(ctx)
		case arrived := <-o.decision:
			return awaited{decision: arrived, isDecided: true}, nil
		case <-o.queued:
			patience.Stop()
		case <-patience.C:
			return awaited{isSilent: true}, nil
		case <-o.lost:
			return awaited{}, nil
		case <-repeat.C:
			return awaited{}, nil
		}
	}
}

// withdraw forgets an offer and gives back a grant that crossed with it.
func (c *Client) withdraw(o *offer) {
	c.mu.Lock()
	delete(c.pending, o.request.ID)
	c.mu.Unlock()
	c.tellDone(o.shard, o.request.ID, Outcome{})
}

func (c *Client) accept(o *offer, arrived arrival) (*Reservation, error) {
	if arrived.refusal.Cause != "" {
		return nil, &RefusedError{Refusal: arrived.refusal}
	}
	wire := arrived.grant
	r := &Reservation{
		Shard: o.shard.key, GrantedAt: arrived.at,
		Prefill: o.shard.endpoints[wire.Prefill], Decode: o.shard.endpoints[wire.Decode],
		client: c, request: o.request, shard: o.shard,
	}
	if !r.Decode.Address.IsValid() || (wire.Prefill != 0 && !r.Prefill.Address.IsValid()) {
		c.tellDone(o.shard, o.request.ID, Outcome{})
		return nil, errUnknownEndpoint
	}
	r.Grant = Grant{
		ID: wire.ID, Front: c.config.Host, Prefill: r.Prefill.Name, Decode: r.Decode.Name,
		Fencing: wire.Fencing, Priority: wire.Priority,
	}
	c.mu.Lock()
	c.live[o.request.ID] = r
	c.mu.Unlock()
	return r, nil
}

func (c *Client) publish(ctx context.Context, host string, kind wireKind, id ShardID, body any) {
	payload, err := encodeMessage(kind, id, body)
	if err != nil {
		c.config.Log.Error(err, "message was not encoded")
		return
	}
	msg := link.NewMessage(host, payload, trace.SpanContextFromContext(ctx))
	if err := c.config.Mesh.Publish(TopicToOwner, msg); err != nil {
		c.config.Log.V(1).Info("message was dropped", "host", host, "error", err.Error())
	}
}

func (c *Client) tellDone(s routedShard, id RequestID, outcome Outcome) {
	owner := c.owner(s)
	if owner == "" {
		return
	}
	kind := kindDone
	if outcome.Busy {
		kind = kindBusy
	}
	c.publish(context.Background(), owner, kind, noShard, wireDone{
		ID: id, OutputTokens: outcome.OutputTokens, FailedEndpoint: outcome.FailedEndpoint,
	})
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
	if r.alone != nil {
		r.advanceAlone(stage)
	}
	r.client.mu.Unlock()
	if owner := r.client.owner(r.shard); owner != "" {
		r.client.publish(context.Background(), owner, kind, noShard, r.Grant.ID)
	}
}

// Progress notes the output tokens that were made since Started.
func (r *Reservation) Progress(tokens int) {
	r.made.Store(int64(tokens))
}

// Done releases all that the reservation holds.
func (r *Reservation) Done(outcome Outcome) {
	r.client.mu.Lock()
	_, ok := r.client.live[r.Grant.ID]
	delete(r.client.live, r.Grant.ID)
	if ok && r.alone != nil {
		r.alone.Done(r.client.config.Now(), r.Grant.ID, outcome, nil)
	}
	r.client.mu.Unlock()
	if ok {
		r.client.tellDone(r.shard, r.Grant.ID, outcome)
	}
}

// Open returns the number of reservations in use.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.live) + len(c.pending)
}

// IsStarted reports whether Started was called.
func (r *Reservation) IsStarted() bool {
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	return r.stage == StageDecode
}
