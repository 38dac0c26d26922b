package daemon

import (
	"context"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/turmerictide/turmerictide/pkg/capacity"
	"github.com/turmerictide/turmerictide/pkg/claim"
	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/member"
	"github.com/turmerictide/turmerictide/pkg/metric"
	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/quota"
	"github.com/turmerictide/turmerictide/pkg/ratelimit"
	"github.com/turmerictide/turmerictide/pkg/retry"
	"github.com/turmerictide/turmerictide/pkg/settings"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// peers contains the services that daemons of both protocols have and that exchange
// messages with the other daemons: links, the list of daemons, dispatch, and the verdicts
// on requests that crash endpoints.
type peers struct {
	settings settings.Settings
	log      logr.Logger
	now      func() time.Time
	self     member.Member
	frontTag uint32

	mesh       *link.Mesh
	router     *message.Router
	members    *member.Service
	dispatcher *dispatch.Dispatcher
	client     *dispatch.Client
	poison     *poison.Register
	parts      *poison.PartRegister
	metrics    *metric.Set
}

// callbacks are the functions of a daemon that its services call.
type callbacks struct {
	// number returns the number of this daemon's current ticket or configuration.
	number func() ticket.Number
	// numberReceived is called when a peer sends a higher number.
	numberReceived func(host string, number ticket.Number)
	// membersChanged is called after each change of the list of daemons.
	membersChanged func()
	// cancelHold cancels a request at its endpoints, and then calls confirmed.
	cancelHold func(hold dispatch.Hold, fencing dispatch.FencingNumber, confirmed func())
	// moveEngine orders an engine to change its role. It is nil if engines cannot
	// change their role.
	moveEngine func(service string, move dispatch.Move)
}

// topics lists the topics of all peer messages in the order of their codes. New
// topics must be appended, so that daemons of different versions agree on the codes.
var topics = []string{
	member.TopicHeartbeat, member.TopicAcknowledge, member.TopicSync, member.TopicGossip,
	dispatch.TopicToOwner, dispatch.TopicToFront,
	claim.TopicWrite, claim.TopicResult,
	retry.TopicAcquire, retry.TopicGrant,
	ratelimit.TopicRequest, ratelimit.TopicReply,
	quota.TopicRequest, quota.TopicReply, quota.TopicReturn,
	capacity.TopicReport, capacity.TopicEstimate,
	quota.TopicConfirmation, quota.TopicAcknowledgment,
}

func newPeers(s settings.Settings, log logr.Logger, now func() time.Time, c callbacks) (*peers, error) {
	p := &peers{settings: s, log: log, now: now, poison: poison.NewRegister(), parts: poison.NewPartRegister()}
	p.self = member.Member{
		Host: s.Daemon.Host, AvailabilityZone: s.Daemon.AvailabilityZone,
		Peer: s.Listen.Peer, Incarnation: member.NewIncarnation(now()), Processors: s.Machine.Processors,
	}
	p.frontTag = p.self.FrontTag()
	p.mesh = link.NewMesh(link.Config{
		Host: p.self.Host, Keys: s.Peers.Keys, Topics: topics,
		LossDetected: []string{member.TopicHeartbeat, member.TopicAcknowledge},
		Resolve:      p.resolve,
		Unreachable:  p.handleUnreachable,
		Now:          now, Log: log.WithName("link"),
	})
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: time.Second}, watermill.NopLogger{})
	if err != nil {
		return nil, errors.Newf("build router: %w", err)
	}
	router.AddMiddleware(p.recoverHandler)
	p.router = router
	p.members = member.NewService(member.Config{
		Self: p.self, Seeds: s.Peers.Seeds, Mesh: p.mesh, Now: now, Log: log.WithName("member"),
		Ticket: c.number, TicketReceived: c.numberReceived, Changed: c.membersChanged,
	})
	p.dispatcher = dispatch.NewDispatcher(dispatch.DispatcherConfig{
		Host: p.self.Host, AvailabilityZone: p.self.AvailabilityZone,
		Publish: p.mesh.Publish, Now: now, Log: log.WithName("dispatch"),
		Hosts: p.members.Hosts, EligibleOwners: p.members.EligibleOwners, StartedTogether: p.members.StartedTogether, Fronts: p.members.ServingHosts, FrontIncarnation: p.frontIncarnation, ZoneOf: p.zoneOf,
		CancelHold: c.cancelHold, BroadcastPressure: p.broadcastPressure, MoveEngine: c.moveEngine,
	})
	p.client = dispatch.NewClient(dispatch.ClientConfig{
		Host: p.self.Host, AvailabilityZone: p.self.AvailabilityZone,
		FrontTag: p.frontTag, Publish: p.mesh.Publish, Now: now, Log: log.WithName("dispatch"),
		Hosts: p.members.Hosts, EligibleOwners: p.members.EligibleOwners, IncarnationSince: p.members.IncarnationSince,
	})
	return p, nil
}

// runRouter handles messages of peers. It is not restarted after the shutdown has closed the router.
func (p *peers) runRouter(ctx context.Context) error {
	err := p.router.Run(ctx)
	if p.router.IsClosed() {
		return suture.ErrDoNotRestart
	}
	if err != nil {
		return errors.Newf("run message router: %w", err)
	}
	return nil
}

// recoverHandler recovers from a panic in the handler of a message, which would otherwise
// crash the process. It logs the panic and drops the message, as if it had been lost in
// transit.
func (p *peers) recoverHandler(next message.HandlerFunc) message.HandlerFunc {
	return func(m *message.Message) (_ []*message.Message, err error) {
		defer func() {
			if cause := recover(); cause != nil {
				p.log.Error(errors.Newf("%v", cause), "message was not handled", "peer", link.Host(m), "bytes", len(m.Payload), "stack", string(debug.Stack()))
				err = nil
			}
		}()
		return next(m)
	}
}

// registerHandlers registers the handlers of peer messages that daemons of both protocols have.
func (p *peers) registerHandlers() {
	p.members.Route(p.router)
	p.dispatcher.Route(p.router, p.mesh)
	p.client.Route(p.router, p.mesh)
	p.members.Handle(member.GossipPressure, p.handlePressure)
	p.members.Handle(member.GossipPoison, p.handleCrashRecord)
	p.members.Handle(member.GossipPromptPart, p.handlePartRecord)
}

func incarnationState(m member.Member) dispatch.IncarnationState {
	if m.State == member.StateDead {
		return dispatch.IncarnationTerminated
	}
	return dispatch.IncarnationAlive
}

type wirePressure struct {
	_        struct{} `cbor:",toarray"`
	Shard    dispatch.ShardID
	Pressure dispatch.Pressure
}

func (p *peers) resolve(host string) (netip.AddrPort, bool) {
	return p.members.Resolve(host)
}

// handleUnreachable is called when a new connection to a host could not be opened.
func (p *peers) handleUnreachable(host string) {
	p.client.Avoid(host)
}

// frontIncarnation returns the state of the incarnation of a front with the given tag. Its
// first message to the dispatcher arrived at firstContact. If the first update about the
// host's current incarnation arrived later, the incarnation with the tag has terminated. If
// host is "", all daemons are searched for the tag.
func (p *peers) frontIncarnation(tag uint32, host string, firstContact time.Time) dispatch.IncarnationState {
	if host == "" {
		return p.incarnationOfTag(tag)
	}
	known, ok := p.members.Member(host)
	switch {
	case ok && known.FrontTag() == tag:
		return incarnationState(known)
	case ok && p.members.IncarnationSince(host).After(firstContact):
		return dispatch.IncarnationTerminated
	default:
		return dispatch.IncarnationUnknown
	}
}

func (p *peers) incarnationOfTag(tag uint32) dispatch.IncarnationState {
	for _, m := range p.members.Members() {
		if m.FrontTag() == tag {
			return incarnationState(m)
		}
	}
	return dispatch.IncarnationUnknown
}

func (p *peers) broadcast(kind member.GossipKind, body any, direct ...string) {
	payload, err := link.Encode(body)
	if err != nil {
		p.log.Error(err, "gossip message was not encoded")
		return
	}
	p.members.Broadcast(kind, payload, direct...)
}

func (p *peers) broadcastPressure(id dispatch.ShardID, pressure dispatch.Pressure) {
	p.client.SetPressure(id, pressure)
	p.broadcast(member.GossipPressure, wirePressure{Shard: id, Pressure: pressure})
}

func (p *peers) handlePressure(_ string, payload []byte) bool {
	var wire wirePressure
	if link.Decode(payload, &wire) != nil {
		return false
	}
	p.client.SetPressure(wire.Shard, wire.Pressure)
	return true
}

// zoneOf returns the availability zone of a daemon, or "" if it is unknown.
func (p *peers) zoneOf(host string) string {
	known, _ := p.members.Member(host)
	return known.AvailabilityZone
}
