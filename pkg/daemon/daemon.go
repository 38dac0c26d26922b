// Package daemon assembles the roles of one process into a supervisor tree.
//
// The tree has a branch for each role: links (peer connections and the message
// router), members (heartbeats and rumours), tickets (reader, list of hosts),
// dispatch (shards and endpoint reports), claims (group commit) and listeners
// (caller, operator, peer). A part that fails is started again by its branch.
// What connects the parts is in wiring.go; the order of a graceful shutdown is
// in shutdown.go.
package daemon

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/turmerictide/turmerictide/pkg/claim"
	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/endpoint"
	"github.com/turmerictide/turmerictide/pkg/front"
	"github.com/turmerictide/turmerictide/pkg/host"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/member"
	"github.com/turmerictide/turmerictide/pkg/metric"
	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/settings"
	"github.com/turmerictide/turmerictide/pkg/store"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// Daemon is one process with all of its roles.
type Daemon struct {
	settings settings.Settings
	log      logr.Logger
	now      func() time.Time
	frontTag uint32

	mesh       *link.Mesh
	router     *message.Router
	members    *member.Service
	follower   *ticket.Follower
	reader     *ticket.Reader
	watcher    *host.Watcher
	dispatcher *dispatch.Dispatcher
	observer   *dispatch.Observer
	client     *dispatch.Client
	engine     *endpoint.Engine
	canceller  *endpoint.Canceller
	committer  *claim.Committer
	keeper     *claim.Keeper
	poison     *poison.Register
	front      *front.Front
	metrics    *metric.Set

	caller    *listener
	operator  *listener
	peer      *listener
	following chan struct{}
	since     sinceTime
	done      chan struct{}
}

// NewDaemon returns a Daemon that is ready to run.
func NewDaemon(s settings.Settings, log logr.Logger, now func() time.Time) (*Daemon, error) {
	d := &Daemon{
		settings: s, log: log, now: now,
		following: make(chan struct{}, 1), done: make(chan struct{}),
	}
	self := member.Member{
		Host: s.Daemon.Host, AvailabilityZone: s.Daemon.AvailabilityZone,
		Peer: s.Listen.Peer, Incarnation: member.NewIncarnation(now()),
	}
	d.frontTag = self.FrontTag()
	if err := d.buildLinks(self); err != nil {
		return nil, errors.Newf("build links: %w", err)
	}
	platform := store.NewGatewayStore(s.Platform.StoreURLs, s.Platform.RequestTimeout)
	d.buildTickets(platform)
	d.buildDispatch()
	d.buildClaims(platform)
	d.buildFront()
	d.buildListeners()
	d.route()
	return d, nil
}

// topics lists the topics of all peer messages in the order of their codes. A
// new topic goes to the end, so that daemons of two versions understand each
// other.
var topics = []string{
	member.TopicHeartbeat, member.TopicAcknowledge, member.TopicSync, member.TopicRumour,
	dispatch.TopicToOwner, dispatch.TopicToFront,
	claim.TopicWrite, claim.TopicResult,
}

func (d *Daemon) buildLinks(self member.Member) error {
	d.mesh = link.NewMesh(link.Config{
		Host: self.Host, Keys: d.settings.Peers.Keys, Topics: topics,
		Answered:    []string{member.TopicHeartbeat, member.TopicAcknowledge},
		Resolve:     d.resolve,
		Unreachable: d.unreachable,
		Now:         d.now, Log: d.log.WithName("link"),
	})
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: time.Second}, watermill.NopLogger{})
	if err != nil {
		return errors.Newf("build router: %w", err)
	}
	d.router = router
	d.members = member.NewService(member.Config{
		Self: self, Seeds: d.settings.Peers.Seeds, Mesh: d.mesh, Now: d.now, Log: d.log.WithName("member"),
		Ticket:      func() ticket.Number { return d.follower.Number() },
		TicketHeard: d.ticketHeard,
		Changed:     d.membersChanged,
	})
	return nil
}

func (d *Daemon) buildTickets(platform *store.Store) {
	d.follower = ticket.NewFollower(d.stateChanged)
	d.reader = ticket.NewReader(platform, d.follower, d.isReader, d.now, d.log.WithName("ticket"))
	d.watcher = host.NewWatcher(d.settings.Platform.HostsURL, d.settings.Platform.RequestTimeout,
		d.isFirstReader, d.spreadLeaving, d.now, d.log.WithName("host"))
}

func (d *Daemon) buildDispatch() {
	d.engine = endpoint.NewEngine()
	d.canceller = endpoint.NewCanceller(d.engine)
	d.dispatcher = dispatch.NewDispatcher(dispatch.DispatcherConfig{
		Host: d.settings.Daemon.Host, AvailabilityZone: d.settings.Daemon.AvailabilityZone,
		Mesh: d.mesh, Now: d.now, Log: d.log.WithName("dispatch"),
		Hosts: d.members.Hosts, FrontLife: d.frontLife,
		CancelHold: d.cancelHold, SpreadPressure: d.spreadPressure,
	})
	d.observer = dispatch.NewObserver(d.dispatcher, d.loadReport)
	d.client = dispatch.NewClient(dispatch.ClientConfig{
		Host: d.settings.Daemon.Host, AvailabilityZone: d.settings.Daemon.AvailabilityZone,
		FrontTag: d.frontTag, Mesh: d.mesh, Now: d.now, Log: d.log.WithName("dispatch"),
		Hosts: d.members.Hosts,
	})
}

func (d *Daemon) buildClaims(platform *store.Store) {
	d.committer = claim.NewCommitter(platform, d.now, claim.CommitPeriod)
	d.keeper = claim.NewKeeper(claim.Config{
		Host: d.settings.Daemon.Host, Mesh: d.mesh, Log: d.log.WithName("claim"),
		Hosts: func() []string { return d.members.Hosts("") },
	}, d.committer)
}

func (d *Daemon) buildFront() {
	d.poison = poison.NewRegister()
	d.metrics = metric.NewSet(d.gauges())
	d.front = front.NewFront(front.Config{
		Host: d.settings.Daemon.Host, FrontTag: d.frontTag,
		Client: d.client, Engine: d.engine, Plain: endpoint.NewPlain(), Keeper: d.keeper,
		Poison: d.poison, SpreadMark: d.spreadMark,
		State: d.follower.Current, IsLive: d.isLive, Now: d.now, Log: d.log.WithName("front"),
		BodyBytes: d.settings.Limits.BodyBytes, Record: d.metrics.Record,
	})
}

// route adds all handlers of peer messages.
func (d *Daemon) route() {
	d.members.Route(d.router)
	d.dispatcher.Route(d.router)
	d.client.Route(d.router)
	d.keeper.Route(d.router)
	d.members.Receive(member.RumourPressure, d.hearPressure)
	d.members.Receive(member.RumourPoison, d.hearMark)
	d.members.Receive(member.RumourHosts, d.hearLeaving)
}

// part adapts a function to a supervised service.
type part func(ctx context.Context) error

// Serve runs the part.
func (p part) Serve(ctx context.Context) error { return p(ctx) }

// supervise builds the tree.
func (d *Daemon) supervise() *suture.Supervisor {
	root := suture.New("turmerictided", suture.Spec{EventHook: d.logEvent})
	branch := func(name string, parts ...suture.Service) {
		b := suture.New(name, suture.Spec{EventHook: d.logEvent})
		for _, p := range parts {
			b.Add(p)
		}
		root.Add(b)
	}
	branch("links", part(d.router.Run))
	branch("members", d.members)
	branch("tickets", d.reader, d.watcher)
	branch("dispatch", d.dispatcher, d.observer, d.client)
	branch("claims", d.committer)
	branch("listeners", d.caller, d.operator, d.peer)
	return root
}

func (d *Daemon) logEvent(event suture.Event) {
	d.log.Info("part was started again", "event", event.String())
}

// Done is closed when Run has returned.
func (d *Daemon) Done() <-chan struct{} {
	return d.done
}

// Run serves until a signal arrives, and then shuts down gracefully. A second
// signal ends the shutdown.
func (d *Daemon) Run(ctx context.Context, signals <-chan os.Signal) error {
	defer close(d.done)
	if err := d.listen(); err != nil {
		return errors.Newf("listen: %w", err)
	}
	treeContext, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := d.supervise().ServeBackground(treeContext)
	d.front.SetReady(true)
	d.log.Info("daemon serves", "host", d.settings.Daemon.Host, "availability_zone", d.settings.Daemon.AvailabilityZone,
		"caller", d.caller.address(), "operator", d.operator.address(), "peer", d.peer.address())
	select {
	case <-ctx.Done():
	case <-signals:
	}
	err := d.shutDown(signals)
	cancel()
	<-stopped
	return err
}

// readHeaderTimeout bounds the time in which a client sends its headers.
const readHeaderTimeout = 10 * time.Second

func newServer(handler http.Handler, headerBytes int) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: headerBytes}
}
