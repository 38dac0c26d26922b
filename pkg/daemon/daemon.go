// Package daemon assembles the services of one process into a supervisor tree.
//
// Daemon serves the project's own protocol, PlatformDaemon that of the users'
// platform. The tree of a Daemon has these branches: links (peer connections and
// the message router), members (heartbeats and gossip), tickets (reader, list of
// hosts), dispatch (shards and endpoint reports), claims (group commit) and
// listeners (caller, operator, peer). The tree of a PlatformDaemon has a branch
// state (mirror of the store, housekeeping) instead of tickets and claims. A
// branch restarts its services when they fail. wiring.go connects the services,
// and shutdown.go defines the order of a graceful shutdown.
package daemon

import (
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/turmerictide/turmerictide/pkg/claim"
	"github.com/turmerictide/turmerictide/pkg/connection"
	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/endpoint"
	"github.com/turmerictide/turmerictide/pkg/front"
	"github.com/turmerictide/turmerictide/pkg/host"
	"github.com/turmerictide/turmerictide/pkg/member"
	"github.com/turmerictide/turmerictide/pkg/metric"
	"github.com/turmerictide/turmerictide/pkg/settings"
	"github.com/turmerictide/turmerictide/pkg/store"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// Daemon is one process that serves the project's own protocol, with tickets in an
// etcd store.
type Daemon struct {
	*peers

	follower  *ticket.Follower
	reader    *ticket.Reader
	watcher   *host.Watcher
	observer  *dispatch.Observer
	engine    *endpoint.EngineClient
	canceller *endpoint.Canceller
	committer *claim.Committer
	keeper    *claim.Keeper
	front     *front.Front

	caller       *listener
	operator     *listener
	peer         *listener
	peerReadSlot chan struct{}
	// served is the state that callers are served with. It is set when the client has the
	// shards of the state: without them, requests are rejected as if there were no endpoint.
	served      atomic.Pointer[ticket.State]
	ticketSince guardedTime
	done        chan struct{}
}

// NewDaemon returns a Daemon that is ready to run.
func NewDaemon(s settings.Settings, log logr.Logger, now func() time.Time) (*Daemon, error) {
	d := &Daemon{peerReadSlot: make(chan struct{}, 1), done: make(chan struct{})}
	shared, err := newPeers(s, log, now, callbacks{
		number:         func() ticket.Number { return d.follower.Number() },
		numberReceived: d.ticketReceived, membersChanged: d.membersChanged, cancelHold: d.cancelHold,
	})
	if err != nil {
		return nil, errors.Newf("build peers: %w", err)
	}
	d.peers = shared
	platform := store.NewGatewayStore(s.Platform.StoreURLs, s.Platform.RequestTimeout)
	d.buildTickets(platform)
	d.buildDispatch()
	d.buildClaims(platform)
	d.buildFront()
	if err := d.buildListeners(); err != nil {
		return nil, err
	}
	d.registerHandlers()
	return d, nil
}

func (d *Daemon) buildTickets(platform *store.Store) {
	d.follower = ticket.NewFollower(d.stateChanged)
	d.reader = ticket.NewReader(platform, d.follower, d.isReader, d.now, d.log.WithName("ticket"))
	d.watcher = host.NewWatcher(d.settings.Platform.HostsURL, d.settings.Platform.RequestTimeout,
		d.isFirstReader, d.broadcastLeavingHosts, d.now, d.log.WithName("host"))
}

func (d *Daemon) buildDispatch() {
	d.engine = endpoint.NewEngineClient()
	d.canceller = endpoint.NewCanceller(d.engine)
	d.observer = dispatch.NewObserver(d.dispatcher, d.loadReport)
}

func (d *Daemon) buildClaims(platform *store.Store) {
	d.committer = claim.NewCommitter(platform, d.now, claim.CommitInterval)
	d.keeper = claim.NewKeeper(claim.Config{
		Host: d.settings.Daemon.Host, Mesh: d.mesh, Log: d.log.WithName("claim"),
		Hosts: func() []string { return d.members.Hosts("") },
	}, d.committer)
}

func (d *Daemon) buildFront() {
	d.metrics = metric.NewSet(d.gauges())
	d.front = front.NewFront(front.Config{
		Host: d.settings.Daemon.Host, FrontTag: d.frontTag,
		Client: d.client, Engine: d.engine, Plain: endpoint.NewPlainClient(), Keeper: d.keeper,
		Poison: d.poison, BroadcastCrashRecord: d.broadcastCrashRecord, Parts: d.parts, BroadcastPartRecord: d.broadcastPartRecord,
		State: d.served.Load, IsLive: d.isLive, Now: d.now, Log: d.log.WithName("front"),
		MaxBodyBytes: d.settings.Limits.BodyBytes, Buffers: connection.NewBuffers(d.settings.Limits.BufferedBytes), Record: d.metrics.Record,
	})
}

// registerHandlers registers all handlers of peer messages.
func (d *Daemon) registerHandlers() {
	d.peers.registerHandlers()
	d.keeper.Route(d.router)
	d.members.Handle(member.GossipLeavingHosts, d.handleLeavingHosts)
}

// newSupervisor builds the supervisor tree.
func (d *Daemon) newSupervisor() *suture.Supervisor {
	return newTree(d.log, []branch{
		{"links", []suture.Service{serviceFunc(d.runRouter)}},
		{"members", []suture.Service{d.members}},
		{"tickets", []suture.Service{d.reader, d.watcher}},
		{"dispatch", []suture.Service{d.dispatcher, d.observer, d.client}},
		{"claims", []suture.Service{d.committer}},
		{"listeners", []suture.Service{d.caller, d.operator, d.peer}},
	})
}

// Done is closed when Run has returned.
func (d *Daemon) Done() <-chan struct{} {
	return d.done
}

// Run serves until ctx ends or a signal other than SIGHUP arrives, and then shuts
// down gracefully. Another signal to stop ends the shutdown early.
func (d *Daemon) Run(ctx context.Context, signals <-chan os.Signal) error {
	defer close(d.done)
	if err := openAll(d.caller, d.operator, d.peer); err != nil {
		return errors.Newf("listen: %w", err)
	}
	treeContext, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := d.newSupervisor().ServeBackground(treeContext)
	d.front.SetReady(true)
	d.log.Info("daemon serves", "host", d.settings.Daemon.Host, "availability_zone", d.settings.Daemon.AvailabilityZone,
		"caller", d.caller.address(), "operator", d.operator.address(), "peer", d.peer.address())
	received := readSignals(treeContext, signals, func() {})
	received.await(ctx)
	err := d.shutDown(received)
	cancel()
	<-received.done
	<-stopped
	return err
}

// readHeaderTimeout limits the time in which a client sends its headers.
const readHeaderTimeout = 10 * time.Second

func newServer(handler http.Handler, headerBytes int) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: headerBytes}
}
