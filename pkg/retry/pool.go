package retry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/permit"
)

// Topics of the messages between daemons and the keeper of a pool.
const (
	TopicAcquire = "retry_borrow"
	TopicGrant   = "retry_loan"
)

// deniedCooldown is the time without requests to a keeper after it denied a retry token.
const deniedCooldown = 200 * time.Millisecond

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
	config   PoolConfig
	exchange *permit.Exchange

	mu    sync.Mutex
	pools map[string]*servicePool
}

// servicePool is the pool of one service, as its keeper stores it.
type servicePool struct {
	openedAt time.Time
	granted  windowCounter
	deposits windowCounter
}

// NewPool returns a Pool that is not yet the keeper of any service.
func NewPool(config PoolConfig) *Pool {
	p := &Pool{config: config, pools: map[string]*servicePool{}}
	p.exchange = permit.NewExchange(permit.Config{
		Host: config.Host, RequestTopic: TopicAcquire, ReplyTopic: TopicGrant, Publish: config.Publish, Keeper: config.Keeper,
		Grant: p.Grant, DeniedCooldown: func(string) time.Duration { return deniedCooldown }, Now: config.Now, Log: config.Log,
	})
	return p
}

// Route adds the message handlers to a router, for messages from a subscriber.
func (p *Pool) Route(router *message.Router, subscriber message.Subscriber) {
	p.exchange.Route(router, subscriber)
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
	result := p.exchange.Acquire(ctx, service, func(now time.Time) float64 { return budget.ReleaseUnused(now, allowance) })
	return result == permit.Granted
}
