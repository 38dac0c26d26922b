package daemon

import (
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/claim"
	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/member"
	"github.com/turmerictide/turmerictide/pkg/metric"
	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/retry"
	"github.com/turmerictide/turmerictide/pkg/settings"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// peers are the parts that a daemon shares with the other daemons, whatever
// interface it serves: links, the list of daemons, dispatching, and verdicts on
// requests that crash endpoints.
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
	metrics    *metric.Set
}

// news is what the parts of a daemon tell it.
type news struct {
	// number returns the number of the operators' state in force here.
	number func() ticket.Number
	// numberHeard is called when a peer has a higher number in force.
	numberHeard func(host string, number ticket.Number)
	// membersChanged is called when the list of daemons changed.
	membersChanged func()
	// cancelHold ends a request at its endpoints.
	cancelHold func(hold dispatch.Hold, fencing dispatch.FencingNumber, confirmed func())
	// moveEngine orders an engine to change its role, nil where none can.
	moveEngine func(service string, move dispatch.Move)
}

// topics lists the topics of all peer messages in the order of their codes. A
// new topic goes to the end, so that daemons of two versions understand each
// other.
var topics = []string{
	member.TopicHeartbeat, member.TopicAcknowledge, member.TopicSync, member.TopicGossip,
	dispatch.TopicToOwner, dispatch.TopicToFront,
	claim.TopicWrite, claim.TopicResult,
	retry.TopicAcquire, retry.TopicGrant,
}

func newPeers(s settings.Settings, log logr.Logger, now func() time.Time, n news) (*peers, error) {
	p := &peers{settings: s, log: log, now: now, poison: poison.NewRegister()}
	p.self = member.Member{
		Host: s.Daemon.Host, AvailabilityZone: s.Daemon.AvailabilityZone,
		Peer: s.Listen.Peer, Incarnation: member.NewIncarnation(now()), Processors: s.Machine.Processors,
	}
	p.frontTag = p.self.FrontTag()
	p.mesh = link.NewMesh(link.Config{
		Host: p.self.Host, Keys: s.Peers.Keys, Topics: topics,
		LossDetected: []string{member.TopicHeartbeat, member.TopicAcknowledge},
		Resolve:      p.resolve,
		Unreachable:  p.unreachable,
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
		Ticket: n.number, TicketReceived: n.numberHeard, Changed: n.membersChanged,
	})
	p.dispatcher = dispatch.NewDispatcher(dispatch.DispatcherConfig{
		Host: p.self.Host, AvailabilityZone: p.self.AvailabilityZone,
		Publish: p.mesh.Publish, Now: now, Log: log.WithName("dispatch"),
		Hosts: p.members.Hosts, EligibleOwners: p.members.EligibleOwners, StartedTogether: p.members.StartedTogether, Fronts: p.members.Serving, FrontIncarnation: p.frontLife, ZoneOf: p.zoneOf,
		CancelHold: n.cancelHold, BroadcastPressure: p.spreadPressure, MoveEngine: n.moveEngine,
	})
	p.client = dispatch.NewClient(dispatch.ClientConfig{
		Host: p.self.Host, AvailabilityZone: p.self.AvailabilityZone,
		FrontTag: p.frontTag, Publish: p.mesh.Publish, Now: now, Log: log.WithName("dispatch"),
		Hosts: p.members.Hosts, EligibleOwners: p.members.EligibleOwners, IncarnationSince: p.members.IncarnationSince,
	})
	return p, nil
}

// recoverHandler keeps a message that its handler cannot cope with from ending the
// process. The message is dropped, as if it had been lost on its way.
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

// route adds the handlers of peer messages.
func (p *peers) route() {
	p.members.Route(p.router)
	p.dispatcher.Route(p.router, p.mesh)
	p.client.Route(p.router, p.mesh)
	p.members.Handle(member.GossipPressure, p.hearPressure)
	p.members.Handle(member.GossipPoison, p.hearMark)
}

func lifeOf(known member.Member) dispatch.IncarnationState {
	if known.State == member.StateDead {
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

// unreachable is called when a new connection to a host could not be openep.
func (p *peers) unreachable(host string) {
	p.client.Avoid(host)
}

// frontLife tells whether the life of a front goes on, for a dispatcher that
// first heard of it at a time. A host whose present life was heard of later than
// that has ended the earlier one. Without a host, all daemons are searchep.
func (p *peers) frontLife(tag uint32, host string, heard time.Time) dispatch.IncarnationState {
	if host == "" {
		return p.lifeOfTag(tag)
	}
	known, ok := p.members.Member(host)
	switch {
	case ok && known.FrontTag() == tag:
		return lifeOf(known)
	case ok && p.members.IncarnationSince(host).After(heard):
		return dispatch.IncarnationTerminated
	default:
		return dispatch.IncarnationUnknown
	}
}

func (p *peers) lifeOfTag(tag uint32) dispatch.IncarnationState {
	for _, known := range p.members.Members() {
		if known.FrontTag() == tag {
			return lifeOf(known)
		}
	}
	return dispatch.IncarnationUnknown
}

func (p *peers) spread(kind member.GossipKind, body any, first ...string) {
	payload, err := link.Encode(body)
	if err != nil {
		p.log.Error(err, "rumour was not encoded")
		return
	}
	p.members.Spread(kind, payload, first...)
}

func (p *peers) spreadPressure(id dispatch.ShardID, pressure dispatch.Pressure) {
	p.client.SetPressure(id, pressure)
	p.spread(member.GossipPressure, wirePressure{Shard: id, Pressure: pressure})
}

func (p *peers) hearPressure(_ string, payload []byte) bool {
	var wire wirePressure
	if link.Decode(payload, &wire) != nil {
		return false
	}
	p.client.SetPressure(wire.Shard, wire.Pressure)
	return true
}

// zoneOf returns the availability zone of a daemon, "" when it is not known.
func (p *peers) zoneOf(host string) string {
	known, _ := p.members.Member(host)
	return known.AvailabilityZone
}
