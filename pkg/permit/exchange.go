// Package permit passes permits between daemons. One daemon, the keeper of a resource, grants
// the permits of all daemons. The others request one at a time from it.
package permit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/link"
)

const (
	// replyTimeout limits the wait for the keeper's reply: a few round trips, well below the
	// latency targets of the waiting requests.
	replyTimeout = 60 * time.Millisecond
	// noReplyCooldown is the time without requests to a keeper after it did not reply.
	noReplyCooldown = time.Second
)

// Result is the result of a request for a permit.
type Result uint8

// The results.
const (
	// NoReply means that the keeper did not decide, or that there is none.
	NoReply Result = iota
	Denied
	Granted
)

type Config struct {
	Host string
	// RequestTopic and ReplyTopic are the topics of the messages between daemons and keepers.
	RequestTopic string
	ReplyTopic   string
	// Publish sends messages to other daemons.
	Publish func(topic string, messages ...*message.Message) error
	// Keeper returns the host that keeps a resource, or "" if there is none.
	Keeper func(resource string) string
	// Grant decides on a request at the keeper. amount is a number from the requester.
	Grant func(now time.Time, resource string, amount float64) bool
	// DeniedCooldown returns the time without requests for a resource after a denied one.
	DeniedCooldown func(resource string) time.Duration
	Now            func() time.Time
	Log            logr.Logger
}

// Exchange requests permits from keepers, and replies to the requests of other daemons. It is
// safe for concurrent use.
type Exchange struct {
	config Config

	mu sync.Mutex
	// lastSerial is the number of the latest request to a keeper. pending contains the reply
	// channels of the requests without a reply, by number.
	lastSerial uint64
	pending    map[uint64]chan bool
	// cooldowns are the times, by resource, in which no requests go to the keeper.
	cooldowns map[string]cooldown
}

// cooldown is a time without requests. They have the result of the request before.
type cooldown struct {
	until  time.Time
	result Result
}

type wireRequest struct {
	_        struct{} `cbor:",toarray"`
	Serial   uint64
	Resource string
	Amount   float64
}

type wireReply struct {
	_       struct{} `cbor:",toarray"`
	Serial  uint64
	Granted bool
}

// NewExchange returns an Exchange. Route must be called for it to receive messages.
func NewExchange(config Config) *Exchange {
	return &Exchange{
		config: config, pending: map[uint64]chan bool{}, cooldowns: map[string]cooldown{},
		// A reply to an earlier incarnation of this host must match no number of this one.
		lastSerial: rand.Uint64(),
	}
}

// Route adds the message handlers to a router, for messages from a subscriber.
func (e *Exchange) Route(router *message.Router, subscriber message.Subscriber) {
	router.AddConsumerHandler(e.config.RequestTopic, e.config.RequestTopic, subscriber, e.handleRequest)
	router.AddConsumerHandler(e.config.ReplyTopic, e.config.ReplyTopic, subscriber, e.handleReply)
}

// Acquire requests a permit for a resource from its keeper, except during a cooldown. It calls
// amount only if it asks the keeper. A keeper that asks itself does so during a cooldown too.
func (e *Exchange) Acquire(ctx context.Context, resource string, amount func(now time.Time) float64) Result {
	now := e.config.Now()
	keeper := e.config.Keeper(resource)
	switch keeper {
	case "":
		return NoReply
	case e.config.Host:
		result := toResult(e.config.Grant(now, resource, amount(now)))
		if result == Denied {
			e.startCooldown(resource, cooldown{until: now.Add(e.config.DeniedCooldown(resource)), result: Denied})
		}
		return result
	}
	if result, ok := e.Cooldown(now, resource); ok {
		return result
	}
	serial, reply := e.startRequest()
	defer e.removeRequest(serial)
	if err := e.send(keeper, e.config.RequestTopic, wireRequest{Serial: serial, Resource: resource, Amount: amount(now)}); err != nil {
		e.config.Log.V(1).Info("message was dropped", "topic", e.config.RequestTopic, "host", keeper, "error", err.Error())
		return NoReply
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return NoReply
	case granted := <-reply:
		if !granted {
			e.startCooldown(resource, cooldown{until: now.Add(e.config.DeniedCooldown(resource)), result: Denied})
		}
		return toResult(granted)
	case <-timer.C:
		e.startCooldown(resource, cooldown{until: now.Add(noReplyCooldown), result: NoReply})
		e.config.Log.Info("keeper of permits did not reply", "keeper", keeper, "resource", resource)
		return NoReply
	}
}

func toResult(granted bool) Result {
	if granted {
		return Granted
	}
	return Denied
}

// Cooldown returns the result that requests for a resource have during a cooldown, and false if
// there is none.
func (e *Exchange) Cooldown(now time.Time, resource string) (Result, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.cooldowns[resource]
	if !ok {
		return NoReply, false
	}
	if !now.Before(c.until) {
		delete(e.cooldowns, resource)
		return NoReply, false
	}
	return c.result, true
}

func (e *Exchange) startCooldown(resource string, c cooldown) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cooldowns[resource] = c
}

// Sweep drops the cooldowns that have ended.
func (e *Exchange) Sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for resource, c := range e.cooldowns {
		if !now.Before(c.until) {
			delete(e.cooldowns, resource)
		}
	}
}

// startRequest registers a request to a keeper and returns its number and the channel of the
// reply.
func (e *Exchange) startRequest() (uint64, chan bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastSerial++
	reply := make(chan bool, 1)
	e.pending[e.lastSerial] = reply
	return e.lastSerial, reply
}

func (e *Exchange) removeRequest(serial uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pending, serial)
}

func (e *Exchange) send(host, topic string, body any) error {
	return link.Send(e.config.Publish, topic, host, body)
}

func (e *Exchange) handleRequest(m *message.Message) error {
	var wire wireRequest
	if err := link.Decode(m.Payload, &wire); err != nil {
		return nil
	}
	granted := e.config.Grant(e.config.Now(), wire.Resource, wire.Amount)
	if err := e.send(link.Host(m), e.config.ReplyTopic, wireReply{Serial: wire.Serial, Granted: granted}); err != nil {
		e.config.Log.V(1).Info("message was dropped", "topic", e.config.ReplyTopic, "host", link.Host(m), "error", err.Error())
	}
	return nil
}

func (e *Exchange) handleReply(m *message.Message) error {
	var wire wireReply
	if err := link.Decode(m.Payload, &wire); err != nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if reply, ok := e.pending[wire.Serial]; ok {
		delete(e.pending, wire.Serial)
		reply <- wire.Granted
	}
	return nil
}

// Handle processes a message of one of the two topics.
func (e *Exchange) Handle(topic string, m *message.Message) error {
	if topic == e.config.RequestTopic {
		return e.handleRequest(m)
	}
	return e.handleReply(m)
}
