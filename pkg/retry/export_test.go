package retry

import "github.com/ThreeDotsLabs/watermill/message"

// HandleAcquire delivers an acquire request to a keeper, as its router does.
func HandleAcquire(p *Pool, m *message.Message) error { return p.exchange.Handle(TopicAcquire, m) }

// HandleGrant delivers the reply of a keeper, as the router does.
func HandleGrant(p *Pool, m *message.Message) error { return p.exchange.Handle(TopicGrant, m) }
