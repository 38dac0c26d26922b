package daemon

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/turmerictide/turmerictide/pkg/capacity"
	"github.com/turmerictide/turmerictide/pkg/connection"
	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/freshness"
	"github.com/turmerictide/turmerictide/pkg/holdoff"
	"github.com/turmerictide/turmerictide/pkg/lease"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/member"
	"github.com/turmerictide/turmerictide/pkg/metric"
	"github.com/turmerictide/turmerictide/pkg/origin"
	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/quota"
	"github.com/turmerictide/turmerictide/pkg/ratelimit"
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

	file           settingsFile
	settingsMu     sync.Mutex
	reloadRequests chan struct{}
	mirror         *store.Mirror
	registration   *member.Registration
	directory      *directory.Directory
	pool           *connection.Pool
	holdoffs       *holdoff.Register
	limits         *ratelimit.Register
	limitGate      *ratelimit.Gate
	quotas         *quota.Gate
	quotaHosts     quotaHosts
	quotaNow       func() time.Time
	// capacity is nil if the settings do not ask for it.
	capacity     *capacity.Agent
	notices      *relay.NoticeHandler
	retries      *retry.Pool
	crashRecords *poison.Keeper
	origins      *origin.Keeper
	relay        *relay.Relay
	orders       *orders
	moves        moveEntries
	callers      *callerConnections
	buffers      *connection.Buffers

	caller   *listener
	ready    *listener
	metric   *listener
	peer     *listener
	draining atomic.Bool
	// liveDaemons is the number of live daemons, which share the retry budgets and the
	// connections to endpoints.
	liveDaemons atomic.Int64
	// registeredDaemons is the number of daemons with an entry in the store, which includes this one.
	registeredDaemons atomic.Int64
	peakDaemons       recentPeak
	// ticketStateMu guards ticketState, the last state in the form that the dispatcher uses.
	// It is locked during Refresh, so that an older state never replaces a newer one.
	ticketStateMu sync.Mutex
	ticketState   *ticket.State
	// served is the state that callers are served with. It is set when the client has the
	// shards of the state: without them, requests are rejected as if there were no endpoint.
	served       atomic.Pointer[directory.State]
	peerReadSlot chan struct{}
	peerPoller   *peerPoller
	// clock is the time since boot. freshness is nil where revocations are not strict.
	clock     freshness.Clock
	freshness *configurationFreshness
	// lapsingReadSlots limits the reads of peers while the confirmation lapses.
	lapsingReadSlots chan struct{}
	done             chan struct{}
}

// NewPlatformDaemon returns a PlatformDaemon that is ready to run. Its settings
// were read from the file at path, which it reads again when the file changes.
func NewPlatformDaemon(path string, s settings.Settings, log logr.Logger, now func() time.Time) (*PlatformDaemon, error) {
	d := &PlatformDaemon{
		file: settingsFile{path: path}, peerReadSlot: make(chan struct{}, 1), reloadRequests: make(chan struct{}, 1), done: make(chan struct{}),
		clock: freshness.Boottime, quotaNow: newQuotaClock(now(), freshness.Boottime), lapsingReadSlots: make(chan struct{}, lapsingReads),
	}
	shared, err := newPeers(s, log, now, callbacks{
		number:         func() ticket.Number { return d.directory.Number() },
		numberReceived: d.numberReceived, membersChanged: d.membersChanged, cancelHold: d.cancelHold,
		moveEngine: d.moveEngine,
	})
	if err != nil {
		return nil, errors.Newf("build peers: %w", err)
	}
	d.peers, d.moves.log = shared, log
	address, err := storeAddress(s.Platform.StoreURLs[0])
	if err != nil {
		return nil, errors.Newf("read store address: %w", err)
	}
	metadata := platform.NewStore(address, s.Platform.RequestTimeout)
	d.directory = directory.New(platform.Format, d.stateChanged, now, log.WithName("directory"))
	d.registration = member.NewRegistration(metadata, d.self, log.WithName("member"))
	d.mirror = store.NewMirror(metadata, "", d.storeChanged, now, log.WithName("store"))
	d.mirror.Ignore(origin.RecordsPrefix)
	d.trackFreshness()
	d.peerPoller = newPeerPoller(peerPollerConfig{
		host: d.self.Host, zone: d.self.AvailabilityZone, hosts: d.members.Hosts, zoneOf: d.zoneOf,
		isFailing: d.mirror.IsFailing, setPaused: d.mirror.SetPaused, clock: d.clock, freshness: d.freshness, within: s.Revocation.Within,
		read:        func(host string) { d.startPeerRead(host, d.peerReadSlot) },
		readLapsing: func(host string) { d.startPeerRead(host, d.lapsingReadSlots) },
	})
	d.crashRecords = poison.NewKeeper(poison.KeeperConfig{
		Store: metadata, Host: d.self.Host, Register: d.poison, OnRecord: d.applyCrashRecord, Now: now, Log: log.WithName("poison"),
		Parts: d.parts, OnPartRecord: func(record poison.PartRecord, origin string) { d.applyPartRecord(record, origin) },
	})
	d.origins = origin.NewKeeper(origin.KeeperConfig{Store: metadata, Hosts: d.countDaemons, Now: now, Log: log.WithName("origin")})
	d.pool = connection.NewPool(d.connectionLimit, now)
	d.holdoffs = holdoff.NewRegister()
	d.limits = ratelimit.NewRegister()
	d.notices = &relay.NoticeHandler{
		Directory: d.directory, Holdoffs: d.holdoffs, Limits: d.limits, BroadcastLeaving: d.broadcastLeavingEndpoint, BroadcastLimit: d.broadcastLimit, Now: now, Log: log.WithName("endpoint"),
	}
	endpoints := platform.EndpointClient{Pool: d.pool, OnNotice: d.notices.HandleNotice, Now: now, Log: log.WithName("endpoint")}
	d.orders = &orders{host: d.self.Host, leases: lease.NewAcquirer(metadata, orderLeaseTTL, now), endpoints: endpoints}
	d.members.Handle(member.GossipLeavingEndpoint, d.handleLeavingEndpoint)
	d.members.Handle(member.GossipRateLimit, d.handleLimit)
	d.limitGate = ratelimit.NewGate(ratelimit.GateConfig{
		Host: d.self.Host, Limits: d.limits, Publish: d.mesh.Publish, Keeper: d.limitKeeper, Share: d.limitShare,
		Hosts: d.countPeakDaemons, Members: func() []string { return d.members.Hosts("") }, Now: now, Log: log.WithName("limit"),
	})
	d.retries = retry.NewPool(retry.PoolConfig{
		Host: d.self.Host, Publish: d.mesh.Publish, Keeper: d.retryKeeper, Size: d.retryPoolSize, Window: s.Budget.Window,
		Now: now, Log: log.WithName("retry"),
	})
	d.quotaHosts.update(d.quotaNow(), d.listQuotaHosts)
	d.quotas = d.newQuotas()
	d.buildCapacity()
	d.buildRelay(endpoints)
	d.buildListeners()
	d.registerHandlers()
	d.retries.Route(d.router, d.mesh)
	d.limitGate.Route(d.router, d.mesh)
	d.quotas.Route(d.router, d.mesh)
	if d.capacity != nil {
		d.capacity.Route(d.router, d.mesh)
	}
	return d, nil
}

// trackFreshness makes the mirror report confirmations where revocations are strict.
func (d *PlatformDaemon) trackFreshness() {
	d.freshness = newConfigurationFreshness(d.settings.Revocation, d.clock, d.directory.Number, d.needsKeys, d.log.WithName("freshness"))
	if d.freshness == nil {
		return
	}
	d.mirror.TrackConfirmations(store.Confirmations{
		Clock: d.clock, OnConfirm: d.freshness.confirm, OnEra: d.freshness.restored, Age: d.freshness.tracker.Age,
	})
}

// needsKeys reports whether the configuration requires keys.
func (d *PlatformDaemon) needsKeys() bool {
	state := d.directory.Current()
	return state != nil && state.Config.Credentials != nil
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
	d.buffers = connection.NewBuffers(d.settings.Limits.BufferedBytes)
	d.metrics = metric.NewSet(append(d.peers.gauges(), d.gauges()...))
	d.relay = relay.New(relay.Config{
		Host: d.self.Host, AvailabilityZone: d.self.AvailabilityZone,
		State: d.served.Load, IsStoreCurrent: func() bool { return !d.mirror.IsFailing() }, Revision: d.mirror.Revision, Client: d.client, Transport: endpoints.Transport(), Origins: d.origins, IsConfigurationFresh: d.freshness.isFresh,
		Poison: d.poison, BroadcastCrashRecord: d.publishCrashRecord, RecordInterruptedRun: d.metrics.RecordInterruptedRun, Holdoffs: d.holdoffs,
		Parts: d.parts, BroadcastPartRecord: d.broadcastPartRecord, StorePart: d.crashRecords.EnqueuePart, Limits: d.limitGate, Quotas: d.quotas, Capacity: d.capacity,
		Daemons:     d.countPeakDaemons,
		RetryBudget: budgetSettings(d.settings), AcquireRetry: d.retries.Acquire, Buffers: d.buffers,
		Now: d.now, Log: d.log.WithName("relay"), Record: d.metrics.RecordRouted,
	})
}

func (d *PlatformDaemon) gauges() []metric.Gauge {
	return []metric.Gauge{
		{Name: "serving", Read: func() int64 { return int64(d.relay.ActiveCalls()) }},
		{Name: "config_number", Read: func() int64 { return int64(d.directory.Number()) }},
		{Name: "configuration_age_ms", Read: d.freshness.age},
		{Name: "stale_refusals", Read: func() int64 { return d.relay.StaleRefusals() }},
		{Name: "quota_granted", Read: func() int64 { return d.quotas.Counts().Granted }},
		{Name: "quota_denied", Read: func() int64 { return d.quotas.Counts().Denied }},
		{Name: "quota_deputy", Read: func() int64 { return d.quotas.Counts().Deputy }},
		{Name: "quota_own_turns", Read: func() int64 { return d.quotas.Counts().OwnTurns }},
		{Name: "quota_confirmed_percent", Read: func() int64 { return int64(math.Round(100 * d.quotas.Confirmed(d.quotaNow()))) }},
		{Name: "buffered_bytes", Read: func() int64 { total, _ := d.buffers.Used(); return total }},
		{Name: "buffered_response_bytes", Read: func() int64 { _, responses := d.buffers.Used(); return responses }},
		{Name: "bodies_refused", Read: func() int64 { return d.buffers.Counts().Refused }},
		{Name: "requests_shed", Read: func() int64 { return d.buffers.Counts().Shed }},
		{Name: "connections_opened", Read: func() int64 { opened, _ := d.pool.Counts(); return opened }},
		{Name: "connections_reused", Read: func() int64 { _, reused := d.pool.Counts(); return reused }},
	}
}

func (d *PlatformDaemon) buildListeners() {
	limits := d.settings.Limits
	callers := &platform.CallerHandler{
		Serve: d.relay.Serve, State: d.served.Load, Buffers: d.buffers, IsDraining: d.draining.Load,
		Now: d.now, Log: d.log.WithName("caller"),
	}
	server := newServer(callers, maxHeadBytes)
	d.callers = newCallerConnections(d.now)
	server.ConnState = d.callers.setState
	server.ConnContext = connection.GuardContext
	d.caller = newListener("caller", d.settings.Listen.Caller, limits.Connections, server)
	d.caller.guard = &connection.GuardConfig{Limits: d.headLimits, OnReject: d.logRejectedHead, Now: d.now}
	d.ready = newListener("ready", d.settings.Listen.Ready, internalConnectionLimit, newServer(http.HandlerFunc(d.serveReady), limits.HeaderBytes))
	d.metric = newListener("metrics", d.settings.Listen.Metrics, internalConnectionLimit, newServer(d.metrics, limits.HeaderBytes))
	mux := http.NewServeMux()
	mux.Handle(link.Path, d.mesh)
	mux.HandleFunc(store.PeerEntriesPath, d.requireSignature(d.mirror.ServePeerEntries))
	mux.HandleFunc(store.PeerChangesPath, d.requireSignature(d.mirror.ServePeerChanges))
	d.peer = newListener("peer", d.settings.Listen.Peer, internalConnectionLimit, newServer(mux, limits.HeaderBytes))
}

// maxHeadBytes is the largest limit on the head of a request that operators can set.
const maxHeadBytes = 1 << 20

// headLimits returns the operators' limits on the head of a request, or the limit of the
// settings before the first configuration.
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

func (d *PlatformDaemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.draining.Load() || d.served.Load() == nil || d.freshness.isStale() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// connectionLimit returns the number of connections that this daemon may have open to
// an endpoint.
func (d *PlatformDaemon) connectionLimit(address netip.AddrPort) int {
	return platform.ConnectionLimit(d.directory.Current(), address, d.countDaemons())
}

// countDaemons returns the number of live daemons, which includes this one.
func (d *PlatformDaemon) countDaemons() int {
	return max(int(d.liveDaemons.Load()), 1)
}

// storeChanged passes the content of the store to the services that read it.
func (d *PlatformDaemon) storeChanged(content store.Content) {
	others := d.registration.Update(content)
	d.registeredDaemons.Store(int64(len(others) + 1))
	d.members.SetDiscovered(others)
	d.orders.leases.ObserveEra(d.now(), content.Revision.Era())
	d.origins.ObserveEra(d.now(), content.Revision.Era())
	d.crashRecords.Update(content)
	d.directory.Update(content)
	d.updateMovingEngines(content)
}

// publishCrashRecord sends a crash record to the other daemons and writes it to the store.
func (d *PlatformDaemon) publishCrashRecord(record poison.CrashRecord) {
	d.broadcastCrashRecord(record)
	d.crashRecords.Enqueue(record)
}

// stateChanged passes a new state to the services that use it.
func (d *PlatformDaemon) stateChanged(state *directory.State) {
	ticketState := directory.TicketState(state, d.settings.Capacity.DecodeSpeeds)
	d.client.Refresh(ticketState)
	d.served.Store(state)
	d.relay.UpdateEndpoints(state)
	d.updateRetryPools(state)
	d.ticketStateMu.Lock()
	defer d.ticketStateMu.Unlock()
	d.ticketState = ticketState
	d.dispatcher.Refresh(ticketState)
}

// membersChanged counts the daemons and determines the new owners after a change of the
// list of daemons.
func (d *PlatformDaemon) membersChanged() {
	d.liveDaemons.Store(int64(len(d.members.Hosts(""))))
	d.quotaHosts.update(d.quotaNow(), d.listQuotaHosts)
	d.updateRetryPools(d.directory.Current())
	d.ticketStateMu.Lock()
	defer d.ticketStateMu.Unlock()
	if d.ticketState != nil {
		d.dispatcher.Refresh(d.ticketState)
	}
}

// cancelHold confirms the cancellation of a request whose front has terminated. No message
// to the endpoint is needed: the connections of the front were closed when it terminated,
// and endpoints cancel a request when its connection is closed.
func (d *PlatformDaemon) cancelHold(_ dispatch.Hold, _ dispatch.FencingNumber, confirmed func()) {
	go confirmed()
}

// numberReceived reads the entries of a peer that has a newer configuration.
func (d *PlatformDaemon) numberReceived(host string, number ticket.Number) {
	d.freshness.numberReceived(host, number)
	d.startPeerRead(host, d.peerReadSlot)
}

// startPeerRead reads the entries of a peer in the background, if one of slots is free. Normally
// only one peer is read at a time. A call during a read does nothing: the next heartbeat or poll
// starts another read.
func (d *PlatformDaemon) startPeerRead(host string, slots chan struct{}) {
	select {
	case slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-slots }()
		runRecovered(d.log.WithValues("peer", host), func() { d.readPeer(host) })
	}()
}

// runRecovered calls f and recovers from a panic, which would otherwise end the process. It is for
// goroutines that handle data of others and are not run by a supervisor.
func runRecovered(log logr.Logger, f func()) {
	defer func() {
		if cause := recover(); cause != nil {
			log.Error(errors.Newf("%v", cause), "entries of a peer were not handled", "stack", string(debug.Stack()))
		}
	}()
	f()
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
		d.peerPoller.recordRead(host, false)
		d.log.Info("entries were not read from peer", "peer", host, "error", err.Error())
		return
	}
	d.peerPoller.recordRead(host, true)
	if entries > 0 {
		d.log.Info("entries were read from peer", "peer", host, "entries", entries, "revision", d.mirror.Revision().String())
	}
}

const (
	// peerReadTimeout limits one read of a peer's entries.
	peerReadTimeout = time.Second
	// housekeepingInterval is the interval between checks for idle connections and
	// missing endpoints.
	housekeepingInterval = 250 * time.Millisecond
)

// housekeep periodically closes idle connections, drops endpoints that stay missing,
// polls a peer and reloads changed settings.
func (d *PlatformDaemon) housekeep(ctx context.Context) error {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.reloadRequests:
			d.reload()
		case <-ticker.C:
		}
		now := d.now()
		if d.file.hasChanged(now) {
			d.reload()
		}
		d.pool.Sweep(now)
		d.holdoffs.Sweep(now)
		d.limits.Sweep(now, d.isCurrent)
		d.limitGate.Sweep(now)
		d.quotas.Sweep(d.quotaNow())
		if d.capacity != nil {
			d.capacity.Tick(now)
			d.metrics.SetGauges(capacityGauges(d.capacity.Snapshot(now)))
		}
		d.directory.Tick(now)
		d.relay.CheckInterruptedRuns(now)
		d.peerPoller.poll()
		d.freshness.observe()
		if state := d.directory.Current(); state != nil && state.Config.Limits.IdleTimeout > 0 {
			d.callers.closeIdle(now, state.Config.Limits.IdleTimeout)
		}
	}
}

// isCurrent reports whether an incarnation of an endpoint is registered.
func (d *PlatformDaemon) isCurrent(endpoint string, born time.Time) bool {
	state := d.directory.Current()
	if state == nil {
		return false
	}
	e, ok := state.Endpoints[endpoint]
	return ok && e.Born.Equal(born)
}

func (d *PlatformDaemon) newSupervisor() *suture.Supervisor {
	return newTree(d.log, []branch{
		{"links", []suture.Service{serviceFunc(d.runRouter)}},
		{"members", []suture.Service{d.members, d.registration, d.crashRecords, d.origins}},
		{"state", []suture.Service{d.mirror, serviceFunc(d.housekeep)}},
		{"dispatch", []suture.Service{d.dispatcher, d.client}},
		{"listeners", []suture.Service{d.caller, d.ready, d.metric, d.peer}},
	})
}

// Done is closed when Run has returned.
func (d *PlatformDaemon) Done() <-chan struct{} {
	return d.done
}

// Run serves until ctx ends or a signal to stop arrives, and then shuts down
// gracefully. Another signal to stop ends the shutdown early. SIGHUP reloads the settings at any
// time.
func (d *PlatformDaemon) Run(ctx context.Context, signals <-chan os.Signal) error {
	defer close(d.done)
	if err := openAll(d.caller, d.ready, d.metric, d.peer); err != nil {
		return errors.Newf("listen: %w", err)
	}
	treeContext, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := d.newSupervisor().ServeBackground(treeContext)
	d.log.Info("daemon serves", "caller", d.caller.address(), "ready", d.ready.address(), "peer", d.peer.address(),
		"store", d.settings.Platform.StoreURLs[0])
	received := readSignals(treeContext, signals, func() {
		select {
		case d.reloadRequests <- struct{}{}:
		default:
		}
	})
	received.await(ctx)
	err := d.shutDown(received)
	cancel()
	<-received.done
	<-stopped
	return err
}

// ConfigNumber returns the number of the current configuration, 0 before the first.
func (d *PlatformDaemon) ConfigNumber() uint64 {
	return uint64(d.directory.Number())
}
