package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/turmerictide/turmerictide/pkg/connection"
	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/holdoff"
	"github.com/turmerictide/turmerictide/pkg/lease"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/member"
	"github.com/turmerictide/turmerictide/pkg/metric"
	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/relay"
	"github.com/turmerictide/turmerictide/pkg/retry"
	"github.com/turmerictide/turmerictide/pkg/settings"
	"github.com/turmerictide/turmerictide/pkg/store"
	"github.com/turmerictide/turmerictide/pkg/ticket"
	"github.com/turmerictide/turmerictide/platform"
)

// PlatformDaemon is one process that serves the users' platform.
type PlatformDaemon struct {
	*peers

	file         settingsFile
	reloading    sync.Mutex
	reloads      chan struct{}
	mirror       *store.Mirror
	registration *member.Registration
	directory    *directory.Directory
	pool         *connection.Pool
	holdoffs     *holdoff.Register
	notices      *relay.NoticeHandler
	retries      *retry.Pool
	marks        *poison.Keeper
	relay        *relay.Relay
	orders       *orders
	callers      *callerConnections

	caller   *listener
	ready    *listener
	metric   *listener
	peer     *listener
	draining atomic.Bool
	// daemons is the number of live daemons, which share the retry budgets and the
	// connections to endpoints.
	daemons atomic.Int64
	sharers highWater
	// refreshing guards tickets, the last state as dispatchers take it, so that an older
	// one is never put in force after a newer one.
	refreshing sync.Mutex
	tickets    *ticket.State
	reading    chan struct{}
	// peerAskedAt is the time of the last question to a peer in place of the store.
	peerAskedAt time.Time
	// peerReadAt is the time of the last answer of a peer, in Unix milliseconds.
	peerReadAt atomic.Int64
	done       chan struct{}
}

// NewPlatformDaemon returns a PlatformDaemon that is ready to run. Its settings
// were read from the file at path.
func NewPlatformDaemon(path string, s settings.Settings, log logr.Logger, now func() time.Time) (*PlatformDaemon, error) {
	d := &PlatformDaemon{
		file: settingsFile{path: path}, reading: make(chan struct{}, 1), reloads: make(chan struct{}, 1), done: make(chan struct{}),
	}
	shared, err := newPeers(s, log, now, news{
		number:      func() ticket.Number { return d.directory.Number() },
		numberHeard: d.numberHeard, membersChanged: d.membersChanged, cancelHold: d.cancelHold,
		moveEngine: d.moveEngine,
	})
	if err != nil {
		return nil, errors.Newf("build peers: %w", err)
	}
	d.peers = shared
	address, err := storeAddress(s.Platform.StoreURLs[0])
	if err != nil {
		return nil, errors.Newf("read store address: %w", err)
	}
	metadata := platform.NewStore(address, s.Platform.RequestTimeout)
	d.directory = directory.New(platform.Format, d.stateChanged, now, log.WithName("directory"))
	d.registration = member.NewRegistration(metadata, d.self, log.WithName("member"))
	d.mirror = store.NewMirror(metadata, "", d.storeChanged, now, log.WithName("store"))
	d.marks = poison.NewKeeper(poison.KeeperConfig{
		Store: metadata, Host: d.self.Host, Register: d.poison, OnRecord: d.applyMark, Now: now, Log: log.WithName("poison"),
	})
	d.pool = connection.NewPool(d.connectionLimit, now)
	d.holdoffs = holdoff.NewRegister()
	d.notices = &relay.NoticeHandler{
		Directory: d.directory, Holdoffs: d.holdoffs, BroadcastLeaving: d.spreadLife, Now: now, Log: log.WithName("endpoint"),
	}
	endpoints := platform.EndpointClient{Pool: d.pool, OnNotice: d.notices.HandleNotice, Log: log.WithName("endpoint")}
	d.orders = &orders{host: d.self.Host, leases: lease.NewAcquirer(metadata, orderLease, now), endpoints: endpoints}
	d.members.Handle(member.GossipLeavingEndpoint, d.hearLife)
	d.retries = retry.NewPool(retry.PoolConfig{
		Host: d.self.Host, Publish: d.mesh.Publish, Keeper: d.keeperOf, Size: d.pooledRetries, Window: s.Budget.Window,
		Now: now, Log: log.WithName("retry"),
	})
	d.buildRelay(endpoints)
	d.buildListeners()
	d.route()
	d.retries.Route(d.router, d.mesh)
	return d, nil
}

func budgetSettings(s settings.Settings) relay.RetryBudget {
	return relay.RetryBudget{Share: s.Budget.Share, Slack: s.Budget.Slack, Window: s.Budget.Window}
}

func storeAddress(text string) (netip.AddrPort, error) {
	parsed, err := url.Parse(text)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return netip.ParseAddrPort(parsed.Host)
}

func (d *PlatformDaemon) buildRelay(endpoints platform.EndpointClient) {
	d.metrics = metric.NewSet(append(d.peers.gauges(), d.gauges()...))
	d.relay = relay.New(relay.Config{
		Host: d.self.Host, AvailabilityZone: d.self.AvailabilityZone,
		State: d.directory.Current, Client: d.client, Transport: endpoints.Transport(),
		Poison: d.poison, BroadcastCrashRecord: d.tellMark, RecordInterruptedRun: d.metrics.RecordInterruptedRun, Holdoffs: d.holdoffs,
		Daemons:     d.countSharers,
		RetryBudget: budgetSettings(d.settings), AcquireRetry: d.retries.Acquire,
		Now: d.now, Log: d.log.WithName("relay"), Record: d.metrics.RecordRouted,
	})
}

func (d *PlatformDaemon) gauges() []metric.Gauge {
	return []metric.Gauge{
		{Name: "serving", Read: func() int64 { return int64(d.relay.ActiveCalls()) }},
		{Name: "config_number", Read: func() int64 { return int64(d.directory.Number()) }},
		{Name: "connections_opened", Read: func() int64 { opened, _ := d.pool.Counts(); return opened }},
		{Name: "connections_reused", Read: func() int64 { _, reused := d.pool.Counts(); return reused }},
	}
}

func (d *PlatformDaemon) buildListeners() {
	limits := d.settings.Limits
	callers := &platform.CallerHandler{
		Serve: d.relay.Serve, State: d.directory.Current, Buffers: connection.NewBuffers(limits.BufferedBytes), IsDraining: d.draining.Load,
		Now: d.now, Log: d.log.WithName("caller"),
	}
	server := newServer(callers, maxHeadBytes)
	d.callers = newCallerConnections(d.now)
	server.ConnState = d.callers.note
	server.ConnContext = connection.GuardContext
	d.caller = newListener("caller", d.settings.Listen.Caller, limits.Connections, server)
	d.caller.guard = &connection.GuardConfig{Limits: d.headLimits, OnReject: d.headRefused, Now: d.now}
	d.ready = newListener("ready", d.settings.Listen.Ready, peerConnections, newServer(http.HandlerFunc(d.serveReady), limits.HeaderBytes))
	d.metric = newListener("metrics", d.settings.Listen.Metrics, peerConnections, newServer(d.metrics, limits.HeaderBytes))
	mux := http.NewServeMux()
	mux.Handle(link.Path, d.mesh)
	mux.HandleFunc(store.PeerPath, d.authorized(d.mirror.ServePeer))
	mux.HandleFunc(store.PeerChangesPath, d.authorized(d.mirror.ServePeerChanges))
	d.peer = newListener("peer", d.settings.Listen.Peer, peerConnections, newServer(mux, limits.HeaderBytes))
}

// maxHeadBytes bounds what operators can allow a head to have.
const maxHeadBytes = 1 << 20

// headLimits returns the operators' limits, and the settings' while none are known.
func (d *PlatformDaemon) headLimits() connection.HeadLimits {
	limits := connection.HeadLimits{Bytes: d.settings.Limits.HeaderBytes}
	if state := d.directory.Current(); state != nil {
		if n := state.Config.Limits.HeaderBytes; n > 0 {
			limits.Bytes = min(n, maxHeadBytes)
		}
		limits.Timeout = state.Config.Limits.HeaderTimeout
	}
	return limits
}

func (d *PlatformDaemon) headRefused(remote net.Addr, status int) {
	d.log.Info("head of request is refused", "remote", remote.String(), "status", status)
}

func (d *PlatformDaemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.draining.Load() || d.directory.Current() == nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// connectionLimit returns the connections that this daemon may have open to an
// endpoint.
func (d *PlatformDaemon) connectionLimit(address netip.AddrPort) int {
	return platform.ConnectionLimit(d.directory.Current(), address, d.countDaemons())
}

// countDaemons returns the number of live daemons, this one at least.
func (d *PlatformDaemon) countDaemons() int {
	return max(int(d.daemons.Load()), 1)
}

// storeChanged passes what the store holds on to the parts that read it.
func (d *PlatformDaemon) storeChanged(content store.Content) {
	d.members.SetDiscovered(d.registration.Update(content))
	d.marks.Update(content)
	d.directory.Update(content)
	d.movesChanged(content)
}

// tellMark tells the other daemons of a mark, and keeps it in the store.
func (d *PlatformDaemon) tellMark(mark poison.CrashRecord) {
	d.spreadMark(mark)
	d.marks.Enqueue(mark)
}

// stateChanged puts a new state in force in all roles.
func (d *PlatformDaemon) stateChanged(state *directory.State) {
	tickets := directory.TicketState(state)
	d.client.Refresh(tickets)
	d.relay.UpdateEndpoints(state)
	d.keepRetries(state)
	d.refreshing.Lock()
	defer d.refreshing.Unlock()
	d.tickets = tickets
	d.dispatcher.Refresh(tickets)
}

// membersChanged counts the daemons, and finds new owners, after a change of their
// list.
func (d *PlatformDaemon) membersChanged() {
	d.daemons.Store(int64(len(d.members.Hosts(""))))
	d.keepRetries(d.directory.Current())
	d.refreshing.Lock()
	defer d.refreshing.Unlock()
	if d.tickets != nil {
		d.dispatcher.Refresh(d.tickets)
	}
}

// cancelHold ends a request of a front that is gone. Its connections have gone
// with it, and endpoints drop a request with its connection.
func (d *PlatformDaemon) cancelHold(_ dispatch.Hold, _ dispatch.FencingNumber, confirmed func()) {
	go confirmed()
}

// numberHeard reads the entries of a peer that has a newer configuration.
func (d *PlatformDaemon) numberHeard(host string, _ ticket.Number) {
	d.readSoon(host)
}

// readSoon reads the entries of a peer. One peer is read at a time; heartbeats and
// the next question repeat what is missed meanwhile.
func (d *PlatformDaemon) readSoon(host string) {
	select {
	case d.reading <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-d.reading }()
		d.readPeer(host)
	}()
}

func (d *PlatformDaemon) readPeer(host string) {
	address, ok := d.members.Resolve(host)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerReadTimeout)
	defer cancel()
	entries, err := d.mirror.ReadPeer(ctx, http.DefaultClient, address, func(r *http.Request) {
		link.Keys(d.settings.Peers.Keys).Sign(r, d.self.Host, d.now())
	})
	if err != nil {
		d.log.Info("entries were not read from peer", "peer", host, "error", err.Error())
		return
	}
	d.peerReadAt.Store(d.now().UnixMilli())
	if entries > 0 {
		d.log.Info("entries were read from peer", "peer", host, "entries", entries, "revision", d.mirror.Revision())
	}
}

// askPeer reads the entries of another daemon: of one that reads the store for this
// zone, or of any while the store refuses this daemon, since it may serve others.
func (d *PlatformDaemon) askPeer(now time.Time) {
	readers := member.Readers(d.members.Hosts(d.self.AvailabilityZone))
	reads := len(readers) == 0 || slices.Contains(readers, d.self.Host)
	rests := !reads && now.Sub(time.UnixMilli(d.peerReadAt.Load())) < peerPatience
	d.mirror.SetPaused(rests)
	if (reads && !d.mirror.IsFailing()) || now.Sub(d.peerAskedAt) < peerAskPeriod {
		return
	}
	d.peerAskedAt = now
	hosts := readers
	if reads || !rests {
		hosts = d.members.Hosts("")
	}
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return host == d.self.Host })
	if len(hosts) > 0 {
		d.readSoon(hosts[rand.IntN(len(hosts))])
	}
}

const (
	// peerAskPeriod spaces the questions to peers in place of the store: changes come
	// late by half of it on the mean.
	peerAskPeriod = 500 * time.Millisecond
	// peerPatience is the time without an answer of a peer after which a daemon reads
	// the store itself: two questions, well within the time in which a configuration
	// must be in force.
	peerPatience = 1100 * time.Millisecond
	// peerReadTimeout bounds the reading of a peer's entries.
	peerReadTimeout = time.Second
	// housekeepingPeriod spaces the looks at idle connections and missing endpoints.
	housekeepingPeriod = 250 * time.Millisecond
)

// housekeep closes idle connections, drops endpoints that stay missing and
// notices changed settings.
func (d *PlatformDaemon) housekeep(ctx context.Context) error {
	ticker := time.NewTicker(housekeepingPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.reloads:
			d.reload()
		case <-ticker.C:
		}
		now := d.now()
		if d.file.hasChanged(now) {
			d.reload()
		}
		d.pool.Sweep(now)
		d.holdoffs.Sweep(now)
		d.directory.Tick(now)
		d.askPeer(now)
		if state := d.directory.Current(); state != nil && state.Config.Limits.IdleTimeout > 0 {
			d.callers.sweep(now, state.Config.Limits.IdleTimeout)
		}
	}
}

func (d *PlatformDaemon) supervise() *suture.Supervisor {
	return newTree(d.log, []branch{
		{"links", []suture.Service{part(d.router.Run)}},
		{"members", []suture.Service{d.members, d.registration, d.marks}},
		{"state", []suture.Service{d.mirror, part(d.housekeep)}},
		{"dispatch", []suture.Service{d.dispatcher, d.client}},
		{"listeners", []suture.Service{d.caller, d.ready, d.metric, d.peer}},
	})
}

// Done is closed when Run has returned.
func (d *PlatformDaemon) Done() <-chan struct{} {
	return d.done
}

// Run serves until a signal to stop arrives, and then shuts down gracefully. A
// second one ends the shutdown; SIGHUP makes the settings be read again.
func (d *PlatformDaemon) Run(ctx context.Context, signals <-chan os.Signal) error {
	defer close(d.done)
	if err := openAll(d.caller, d.ready, d.metric, d.peer); err != nil {
		return errors.Newf("listen: %w", err)
	}
	treeContext, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := d.supervise().ServeBackground(treeContext)
	d.log.Info("daemon serves", "caller", d.caller.address(), "ready", d.ready.address(), "peer", d.peer.address(),
		"store", d.settings.Platform.StoreURLs[0])
	awaitStop(ctx, signals, func() {
		select {
		case d.reloads <- struct{}{}:
		default:
		}
	})
	err := d.shutDown(signals)
	cancel()
	<-stopped
	return err
}

// ConfigNumber returns the number of the configuration in force, 0 before the first.
func (d *PlatformDaemon) ConfigNumber() uint64 {
	return uint64(d.directory.Number())
}
