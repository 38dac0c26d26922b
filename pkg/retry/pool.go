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

// The topics of this package.
const (
	TopicBorrow = "retry_borrow"
	TopicLoan   = "retry_loan"
)

const (
	// loanPatience is how long a daemon waits for the keeper's answer: a few ways there
	// and back, well below the targets of the requests that wait.
	loanPatience = 60 * time.Millisecond
	// deniedPause and silentPause are the times for which a keeper is not asked again that
	// had nothing to lend, or did not answer.
	deniedPause = 200 * time.Millisecond
	silentPause = time.Second
)

// PoolConfig holds what a Pool needs.
type PoolConfig struct {
	Host string
	// Publish sends messages to other daemons.
	Publish func(topic string, messages ...*message.Message) error
	// Keeper returns the host that keeps the pool of a service, "" for none.
	Keeper func(service string) string
	// Size returns the repeats that a pool lends in a window.
	Size   func() float64
	Window time.Duration
	Now    func() time.Time
	Log    logr.Logger
}

// Pool lends the part of a retry budget that is not divided among the daemons: at a site
// of hundreds, a fixed part for each would be nothing, while most of it stood idle at
// daemons without failures. One daemon keeps the pool of a service. A keeper that is new
// begins with an empty pool, which fills up in one window, since the keeper before it may
// have lent all of its own.
type Pool struct {
	config PoolConfig

	mu   sync.Mutex
	kept map[string]*loans
	// serial numbers the questions of this daemon; waiting holds those without an answer.
	serial  uint64
	waiting map[uint64]chan bool
	// pausedUntil is the time until which the keeper of a service is not asked.
	pausedUntil map[string]time.Time
}

// loans is the account of a keeper for one service.
type loans struct {
	since    time.Time
	lent     counter
	deposits counter
}

type wireBorrow struct {
	_       struct{} `cbor:",toarray"`
	Serial  uint64
	Service string
	Deposit float64
}

type wireLoan struct {
	_       struct{} `cbor:",toarray"`
	Serial  uint64
	Granted bool
}

// NewPool returns a Pool that keeps nothing yet.
func NewPool(config PoolConfig) *Pool {
	return &Pool{config: config, kept: map[string]*loans{}, waiting: map[uint64]chan bool{}, pausedUntil: map[string]time.Time{}}
}

// Route adds this type's handlers to a router, for what comes from a subscriber.
func (p *Pool) Route(router *message.Router, subscriber message.Subscriber) {
	router.AddConsumerHandler(TopicBorrow, TopicBorrow, subscriber, p.handleBorrow)
	router.AddConsumerHandler(TopicLoan, TopicLoan, subscriber, p.handleLoan)
}

// Keep begins to keep the pools of those services whose keeper this daemon is, and gives
// up the others.
func (p *Pool) Keep(services []string) {
	now := p.config.Now()
	kept := slices.DeleteFunc(slices.Clone(services), func(service string) bool {
		return p.config.Keeper(service) != p.config.Host
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	for service := range p.kept {
		if !slices.Contains(kept, service) {
			delete(p.kept, service)
		}
	}
	for _, service := range kept {
		p.open(now, service)
	}
}

// open returns the account of a service, a new one if this daemon did not keep it. The
// caller holds the lock.
func (p *Pool) open(now time.Time, service string) *loans {
	l, ok := p.kept[service]
	if !ok {
		l = &loans{since: now, lent: newCounter(now, p.config.Window), deposits: newCounter(now, p.config.Window)}
		p.kept[service] = l
	}
	return l
}

// maxDeposit bounds what one question may add to a pool.
const maxDeposit = 100

// Lend takes a deposit into the pool of a service, reports whether the pool has one more
// repeat, and lends it.
func (p *Pool) Lend(now time.Time, service string, deposit float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.open(now, service)
	if deposit > 0 {
		l.deposits.add(now, min(deposit, maxDeposit))
	}
	if l.lent.most(now)+1 > p.config.Size()*ramp(now, l.since, p.config.Window)+l.deposits.least(now) {
		return false
	}
	l.lent.add(now, 1)
	return true
}

// Borrow asks the keeper of a service for one repeat, and gives it what share has for the
// pool. It returns false when the keeper has none or does not answer.
func (p *Pool) Borrow(ctx context.Context, service string, share *Share, part Part) bool {
	now := p.config.Now()
	keeper := p.config.Keeper(service)
	switch keeper {
	case "":
		return false
	case p.config.Host:
		return p.Lend(now, service, share.Deposit(now, part))
	}
	serial, answer, ok := p.ask(now, service)
	if !ok {
		return false
	}
	defer p.forget(serial)
	if err := p.send(keeper, TopicBorrow, wireBorrow{Serial: serial, Service: service, Deposit: share.Deposit(now, part)}); err != nil {
		p.config.Log.V(1).Info("message was dropped", "topic", TopicBorrow, "host", keeper, "error", err.Error())
		return false
	}
	patience := time.NewTimer(loanPatience)
	defer patience.Stop()
	select {
	case <-ctx.Done():
		return false
	case granted := <-answer:
		if !granted {
			p.pause(now.Add(deniedPause), service)
		}
		return granted
	case <-patience.C:
		p.pause(now.Add(silentPause), service)
		p.config.Log.Info("keeper of the retry budget does not answer", "keeper", keeper, "service", service)
		return false
	}
}

// ask notes a question, unless the keeper is not to be asked now.
func (p *Pool) ask(now time.Time, service string) (uint64, chan bool, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.pausedUntil[service]) {
		return 0, nil, false
	}
	p.serial++
	answer := make(chan bool, 1)
	p.waiting[p.serial] = answer
	return p.serial, answer, true
}

func (p *Pool) forget(serial uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, serial)
}

func (p *Pool) pause(until time.Time, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil[service] = until
}

func (p *Pool) send(host, topic string, body any) error {
	payload, err := link.Encode(body)
	if err != nil {
		return errors.Newf("encode %s: %w", topic, err)
	}
	return p.config.Publish(topic, link.NewMessage(host, payload, trace.SpanContext{}))
}

func (p *Pool) handleBorrow(m *message.Message) error {
	var wire wireBorrow
	if err := link.Decode(m.Payload, &wire); err != nil {
		return nil
	}
	granted := p.Lend(p.config.Now(), wire.Service, wire.Deposit)
	if err := p.send(link.Host(m), TopicLoan, wireLoan{Serial: wire.Serial, Granted: granted}); err != nil {
		p.config.Log.V(1).Info("message was dropped", "topic", TopicLoan, "host", link.Host(m), "error", err.Error())
	}
	return nil
}

func (p *Pool) handleLoan(m *message.Message) error {
	var wire wireLoan
	if err := link.Decode(m.Payload, &wire); err != nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer, ok := p.waiting[wire.Serial]; ok {
		delete(p.waiting, wire.Serial)
		answer <- wire.Granted
	}
	return nil
}
