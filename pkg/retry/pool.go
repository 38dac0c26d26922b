package retry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace"

	"github.com/turmerictide/turmerictide/pkg/link"
)

// Topics of the messages between daemons and the keeper of a pool.
const (
	TopicAcquire = "retry_borrow"
	TopicGrant   = "retry_loan"
)

const (
	// replyTimeout limits the wait for the keeper's reply: a few round trips, well below the
	// latency targets of the waiting requests.
	replyTimeout = 60 * time.Millisecond
	// deniedCooldown and timeoutCooldown are the times without requests to a keeper after it
	// denied a retry token or did not reply.
	deniedCooldown  = 200 * time.Millisecond
	timeoutCooldown = time.Second
)

type PoolConfig struct {
	Host string
	// Publish sends messages to other daemons.
	Publish func(topic string, messages ...*message.Message) error
	// Keeper returns the host that keeps the pool of a service, or "" if there is none.
	Keeper func(service string) string
	// Size returns the number of retry tokens that a pool grants in a window, without deposits.
	Size   func() float64
	Window time.Duration
	Now    func() time.Time
	Log    logr.Logger
}

// Pool grants retry tokens from the part of a retry budget that is not divided among the
// daemons. At a site with hundreds of daemons, a fixed part for each daemon would be too small
// to use, and most of the budget would stay unused at daemons without failures. One daemon is
// the keeper of the pool of a service. The fraction of the pool that a new keeper may
// grant rises from 0 to firstWindowFactor during its first window and is 1 afterwards, since
// the previous keeper may have granted all tokens of its pool.
type Pool struct {
	config PoolConfig

	mu    sync.Mutex
	pools map[string]*servicePool
	// lastSerial is the number of the latest request to a keeper. pending contains the reply
	// channels of the requests without a reply, by number.
	lastSerial uint64
	pending    map[uint64]chan bool
	// cooldownUntil is the time, by service, until which no requests go to the keeper.
	cooldownUntil map[string]time.Time
}

// servicePool is the pool of one service, as its keeper stores it.
type servicePool struct {
	openedAt time.Time
	granted  windowCounter
	deposits windowCounter
}

type wireAcquire struct {
	_       struct{} `cbor:",toarray"`
	Serial  uint64
	Service string
	Deposit float64
}

type wireGrant struct {
	_       struct{} `cbor:",toarray"`
	Serial  uint64
	Granted bool
}

// NewPool returns a Pool that is not yet the keeper of any service.
func NewPool(config PoolConfig) *Pool {
	return &Pool{config: config, pools: map[string]*servicePool{}, pending: map[uint64]chan bool{}, cooldownUntil: map[string]time.Time{}}
}

// Route adds the message handlers to a router, for messages from a subscriber.
func (p *Pool) Route(router *message.Router, subscriber message.Subscriber) {
	router.AddConsumerHandler(TopicAcquire, TopicAcquire, subscriber, p.handleAcquire)
	router.AddConsumerHandler(TopicGrant, TopicGrant, subscriber, p.handleGrant)
}

// UpdateServices opens the pools of those services that this daemon is the keeper of, and
// drops the others.
func (p *Pool) UpdateServices(services []string) {
	now := p.config.Now()
	own := slices.DeleteFunc(slices.Clone(services), func(service string) bool {
		return p.config.Keeper(service) != p.config.Host
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	for service := range p.pools {
		if !slices.Contains(own, service) {
			delete(p.pools, service)
		}
	}
	for _, service := range own {
		p.openPool(now, service)
	}
}

// openPool returns the pool of a service, and creates it if needed. p.mu must be held.
func (p *Pool) openPool(now time.Time, service string) *servicePool {
	pool, ok := p.pools[service]
	if !ok {
		pool = &servicePool{openedAt: now, granted: newWindowCounter(now, p.config.Window), deposits: newWindowCounter(now, p.config.Window)}
		p.pools[service] = pool
	}
	return pool
}

// maxDeposit limits the retry tokens that one request may add to a pool.
const maxDeposit = 100

// Grant adds a deposit of retry tokens to the pool of a service. It reports whether the pool
// has a token, and if so takes it from the pool.
func (p *Pool) Grant(now time.Time, service string, deposit float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.openPool(now, service)
	if deposit > 0 {
		pool.deposits.add(now, min(deposit, maxDeposit))
	}
	if pool.granted.upperBound(now)+1 > p.config.Size()*rampUpFactor(now, pool.openedAt, p.config.Window)+pool.deposits.lowerBound(now) {
		return false
	}
	pool.granted.add(now, 1)
	return true
}

// Acquire requests one retry token from the keeper of a service, and deposits the unused
// tokens of budget in the pool. It returns false when the keeper has none or does not reply in
// time.
func (p *Pool) Acquire(ctx context.Context, service string, budget *LocalBudget, allowance Allowance) bool {
	now := p.config.Now()
	keeper := p.config.Keeper(service)
	switch keeper {
	case "":
		return false
	case p.config.Host:
		return p.Grant(now, service, budget.ReleaseUnused(now, allowance))
	}
	serial, reply, ok := p.startRequest(now, service)
	if !ok {
		return false
	}
	defer p.removeRequest(serial)
	if err := p.send(keeper, TopicAcquire, wireAcquire{Serial: serial, Service: service, Deposit: budget.ReleaseUnused(now, allowance)}); err != nil {
		p.config.Log.V(1).Info("message was dropped", "topic", TopicAcquire, "host", keeper, "error", err.Error())
		return false
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case granted := <-reply:
		if !granted {
			p.startCooldown(now.Add(deniedCooldown), service)
		}
		return granted
	case <-timer.C:
		p.startCooldown(now.Add(timeoutCooldown), service)
		p.config.Log.Info("keeper of the retry budget did not reply", "keeper", keeper, "service", service)
		return false
	}
}

// startRequest registers a request to the keeper and returns its number and the channel of the
// reply. It returns false during a cooldown.
func (p *Pool) startRequest(now time.Time, service string) (uint64, chan bool, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.cooldownUntil[service]) {
		return 0, nil, false
	}
	p.lastSerial++
	reply := make(chan bool, 1)
	p.pending[p.lastSerial] = reply
	return p.lastSerial, reply, true
}

func (p *Pool) removeRequest(serial uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, serial)
}

func (p *Pool) startCooldown(until time.Time, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cooldownUntil[service] = until
}

func (p *Pool) send(host, topic string, body any) error {
	payload, err := link.Encode(body)
	if err != nil {
		return errors.Newf("encode %s: %w", topic, err)
	}
	return p.config.Publish(topic, link.NewMessage(host, payload, trace.SpanContext{}))
}

func (p *Pool) handleAcquire(m *message.Message) error {
	var wire wireAcquire
	if err := link.Decode(m.Payload, &wire); err != nil {
		return nil
	}
	granted := p.Grant(p.config.Now(), wire.Service, wire.Deposit)
	if err := p.send(link.Host(m), TopicGrant, wireGrant{Serial: wire.Serial, Granted: granted}); err != nil {
		p.config.Log.V(1).Info("message was dropped", "topic", TopicGrant, "host", link.Host(m), "error", err.Error())
	}
	return nil
}

func (p *Pool) handleGrant(m *message.Message) error {
	var wire wireGrant
	if err := link.Decode(m.Payload, &wire); err != nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if reply, ok := p.pending[wire.Serial]; ok {
		delete(p.pending, wire.Serial)
		reply <- wire.Granted
	}
	return nil
}
