package ratelimit

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/permit"
	"github.com/turmerictide/turmerictide/pkg/retry"
)

// Topics of the messages between daemons and the keeper of a limit.
const (
	TopicRequest = "limit_request"
	TopicReply   = "limit_reply"
)

const (
	// askInterval is the time, in the intervals between two permits of an endpoint, in which
	// each host that was denied one requests another.
	askInterval       = 0.05
	minDeniedCooldown = 100 * time.Millisecond
	maxDeniedCooldown = 2 * time.Second
	// minRefreshInterval is the shortest time after which a host without responses of a limited
	// endpoint sends it a request, because only a response shows that the limit has ended.
	minRefreshInterval = 2 * time.Second
	// bucketRetention is how long the bucket of an endpoint without requests is kept.
	bucketRetention = time.Minute
)

type GateConfig struct {
	Host   string
	Limits *Register
	// Publish sends messages to other daemons.
	Publish func(topic string, messages ...*message.Message) error
	// Keeper returns the host that keeps the limit of an endpoint, or "" if there is none.
	Keeper func(endpoint string) string
	// Share returns the fraction of each limit that this host may grant as a keeper. It is below
	// 1 in a network partition, where the other hosts have a keeper too.
	Share func() float64
	// Hosts returns the number of hosts that share the limits.
	Hosts func() int
	// Members returns the names of the live hosts, in any order.
	Members func() []string
	Now     func() time.Time
	Log     logr.Logger
}

// Gate decides whether requests may be sent to limited endpoints. It is safe for concurrent use.
type Gate struct {
	config   GateConfig
	exchange *permit.Exchange

	mu sync.Mutex
	// buckets contains the buckets of the endpoints that this host keeps, own this host's parts
	// of all limits, by incarnation. schedules contains the returns of rejected requests, by
	// service.
	buckets   map[incarnation]*bucket
	own       map[incarnation]*ownPart
	schedules map[string]*retry.Schedule
	// ownDenials contains the times until which the part of this host counts as used up, by
	// resource.
	ownDenials map[resource]time.Time
}

type incarnation struct {
	endpoint string
	born     int64
}

// resource is what a permit is requested for.
type resource struct {
	incarnation
	isUrgent bool
}

const (
	urgentMark = "urgent"
	otherMark  = "other"
)

// String returns the resource as in messages.
func (r resource) String() string {
	mark := otherMark
	if r.isUrgent {
		mark = urgentMark
	}
	return mark + "/" + strconv.FormatInt(r.born, 10) + "/" + r.endpoint
}

func parseResource(text string) (resource, bool) {
	parts := strings.SplitN(text, "/", 3)
	if len(parts) < 3 {
		return resource{}, false
	}
	born, err := strconv.ParseInt(parts[1], 10, 64)
	return resource{incarnation: incarnation{endpoint: parts[2], born: born}, isUrgent: parts[0] == urgentMark}, err == nil
}

func toIncarnation(endpoint string, born time.Time) incarnation {
	return incarnation{endpoint: endpoint, born: born.UnixMilli()}
}

// NewGate returns a Gate. Route must be called for it to receive messages.
func NewGate(config GateConfig) *Gate {
	g := &Gate{config: config, buckets: map[incarnation]*bucket{}, own: map[incarnation]*ownPart{}, schedules: map[string]*retry.Schedule{}, ownDenials: map[resource]time.Time{}}
	g.exchange = permit.NewExchange(permit.Config{
		Host: config.Host, RequestTopic: TopicRequest, ReplyTopic: TopicReply, Publish: config.Publish,
		Keeper: g.keeper, Grant: g.grant, DeniedCooldown: g.deniedCooldown, Now: config.Now, Log: config.Log,
	})
	return g
}

// Route adds the message handlers to a router, for messages from a subscriber.
func (g *Gate) Route(router *message.Router, subscriber message.Subscriber) {
	g.exchange.Route(router, subscriber)
}

// Handle processes a message of one of the two topics.
func (g *Gate) Handle(topic string, m *message.Message) error {
	return g.exchange.Handle(topic, m)
}

// Acquire reports whether a request may be sent now to an incarnation of an endpoint. Urgent
// requests get the permits before the others.
func (g *Gate) Acquire(ctx context.Context, endpoint string, born time.Time, isUrgent bool) bool {
	rate, ok := g.config.Limits.Rate(endpoint, born)
	if !ok {
		return true
	}
	wanted := resource{incarnation: toIncarnation(endpoint, born), isUrgent: isUrgent}
	result := g.exchange.Acquire(ctx, wanted.String(), func(time.Time) float64 { return rate })
	if result == permit.NoReply && ctx.Err() == nil {
		return g.takeOwn(wanted, rate)
	}
	return result == permit.Granted
}

// takeOwn takes a request from this host's part of a limit.
func (g *Gate) takeOwn(wanted resource, rate float64) bool {
	now := g.config.Now()
	hosts := max(g.config.Hosts(), 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	part, ok := g.own[wanted.incarnation]
	if !ok {
		part = newOwnPart(now, wanted.incarnation, rate, hosts, TurnPhase(g.config.Host, g.config.Members()))
		g.own[wanted.incarnation] = part
	}
	if part.take(now, rate, hosts) {
		return true
	}
	g.ownDenials[wanted] = now.Add(g.deniedCooldown(wanted.String()))
	return false
}

// IsClosed reports whether a request to an incarnation of an endpoint would get no permit now.
func (g *Gate) IsClosed(now time.Time, endpoint string, born time.Time, isUrgent bool) bool {
	if !g.IsLimited(endpoint, born) {
		return false
	}
	wanted := resource{incarnation: toIncarnation(endpoint, born), isUrgent: isUrgent}
	if result, ok := g.exchange.Cooldown(now, wanted.String()); ok && result == permit.Denied {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.ownDenials[wanted])
}

// IsEmpty reports whether no endpoint names a limit, which is the usual case.
func (g *Gate) IsEmpty() bool {
	return g.config.Limits.IsEmpty()
}

// IsLimited reports whether an incarnation of an endpoint names a limit.
func (g *Gate) IsLimited(endpoint string, born time.Time) bool {
	_, ok := g.config.Limits.Rate(endpoint, born)
	return ok
}

// NeedsRefresh reports whether a limited endpoint should get a request of this host, to show
// whether its limit still applies.
func (g *Gate) NeedsRefresh(now time.Time, endpoint string, born time.Time) bool {
	rate, ok := g.config.Limits.Rate(endpoint, born)
	if !ok {
		return false
	}
	interval := time.Duration(float64(g.config.Hosts()) / rate * float64(time.Second))
	return now.Sub(g.config.Limits.heardAt(endpoint)) > max(interval, minRefreshInterval)
}

// RetryAfter returns the time after which a request should be sent again that got no permit for
// any of the limited endpoints of a service. rate is the sum of their limits in requests a
// second.
func (g *Gate) RetryAfter(now time.Time, service string, rate float64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.schedules[service]
	if !ok {
		s = &retry.Schedule{}
		g.schedules[service] = s
	}
	return retryAfter(s, now, rate, max(g.config.Hosts(), 1))
}

// Rate returns the limit of an incarnation of an endpoint in requests a second, 0 if it has none.
func (g *Gate) Rate(endpoint string, born time.Time) float64 {
	rate, _ := g.config.Limits.Rate(endpoint, born)
	return rate
}

// Sweep drops the state of endpoints that have got no requests for some time.
func (g *Gate) Sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, b := range g.buckets {
		if now.Sub(b.updatedAt) > bucketRetention {
			delete(g.buckets, i)
		}
	}
	for wanted, until := range g.ownDenials {
		if !now.Before(until) {
			delete(g.ownDenials, wanted)
		}
	}
	for i, p := range g.own {
		if now.Sub(p.updatedAt) > bucketRetention {
			delete(g.own, i)
		}
	}
	g.exchange.Sweep(now)
}

func (g *Gate) keeper(text string) string {
	wanted, ok := parseResource(text)
	if !ok {
		return ""
	}
	return g.config.Keeper(wanted.endpoint)
}

// deniedCooldown returns the time without requests for an endpoint after a denied one. It grows
// with the number of hosts, so that the keeper gets a bounded number of requests for each permit.
func (g *Gate) deniedCooldown(text string) time.Duration {
	wanted, ok := parseResource(text)
	if !ok {
		return maxDeniedCooldown
	}
	rate, ok := g.config.Limits.Rate(wanted.endpoint, time.UnixMilli(wanted.born))
	if !ok {
		return minDeniedCooldown
	}
	seconds := askInterval * float64(g.config.Hosts()) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), minDeniedCooldown), maxDeniedCooldown)
}

// grant decides as a keeper on a request for a permit. asked is the limit that the requester
// knows. The lower one of it and the one that this host knows counts, as each host may have
// missed a change.
func (g *Gate) grant(now time.Time, text string, asked float64) bool {
	wanted, ok := parseResource(text)
	if !ok || !(asked > 0) {
		return false
	}
	rate := Bound(asked)
	if known, ok := g.config.Limits.Rate(wanted.endpoint, time.UnixMilli(wanted.born)); ok {
		rate = min(rate, known)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.buckets[wanted.incarnation]
	if !ok {
		b = &bucket{updatedAt: now}
		g.buckets[wanted.incarnation] = b
	}
	return b.take(now, rate*min(g.config.Share(), 1), wanted.isUrgent)
}
