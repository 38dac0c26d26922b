package member

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace"

	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// The topics of this package.
const (
	TopicHeartbeat   = "member_heartbeat"
	TopicAcknowledge = "member_acknowledge"
	TopicSync        = "member_sync"
	TopicGossip      = "member_rumour"
)

type wireMember struct {
	_                struct{} `cbor:",toarray"`
	Host             string
	AvailabilityZone string
	Address          []byte
	Port             uint16
	Incarnation      uint64
	State            uint8
	// Milliprocessors is Member.Processors in thousandths.
	Milliprocessors uint32
}

type wireHeartbeat struct {
	_      struct{} `cbor:",toarray"`
	Ticket uint64
	Digest uint64
}

type wireSync struct {
	_       struct{} `cbor:",toarray"`
	Members []wireMember
	// Reply requests the receiver's own list.
	Reply bool
}

type wireGossip struct {
	_       struct{} `cbor:",toarray"`
	Origin  string
	Serial  uint64
	Kind    uint8
	Payload []byte
}

// GossipKind selects the handler of a gossip message. Its values are sent on the
// wire.
type GossipKind uint8

// The kinds of gossip messages. GossipMember is handled by this package, the
// others by the handlers that Handle registers.
const (
	GossipMember GossipKind = iota
	GossipPressure
	GossipPoison
	GossipLeavingHosts
	GossipLeavingEndpoint
	GossipPromptPart
	GossipRateLimit
)

const (
	tickInterval = 250 * time.Millisecond
	// syncInterval is the minimum interval between exchanges of whole lists with
	// one peer.
	syncInterval = 3 * time.Second
	// probeInterval is the interval between attempts to reach a dead daemon.
	// They detect that a network partition has healed.
	probeInterval = 5 * time.Second
	// seenGossipLimit limits the number of identifiers of gossip messages that
	// are stored to suppress duplicates.
	seenGossipLimit = 8192
)

// Config is the configuration of a Service. Its functions must be set.
type Config struct {
	Self  Member
	Seeds []netip.AddrPort
	Mesh  *link.Mesh
	Now   func() time.Time
	Log   logr.Logger
	// Ticket returns the number of the current ticket of this daemon.
	Ticket func() ticket.Number
	// TicketReceived is called when a peer sends a higher ticket number than that
	// of this daemon.
	TicketReceived func(host string, number ticket.Number)
	// Changed is called after each change of the list.
	Changed func()
}

// Service drives a Table over a Mesh.
type Service struct {
	config Config
	done   chan struct{}

	mu    sync.Mutex
	seeds []netip.AddrPort
	table *Table
	// inbound contains the time of the last heartbeat of each daemon that sends heartbeats
	// to this one.
	inbound       map[string]time.Time
	lastHeartbeat time.Time
	lastSync      map[string]time.Time
	lastProbe     time.Time
	serial        uint64
	// seen contains the identifiers of recent gossip messages, to suppress duplicates.
	// seenOrder contains the same identifiers, the oldest first.
	seen      map[gossipID]bool
	seenOrder []gossipID
	handlers  map[GossipKind]func(origin string, payload []byte) bool
}

type gossipID struct {
	origin string
	serial uint64
}

// NewService returns a Service whose list contains only config.Self.
func NewService(config Config) *Service {
	return &Service{
		config:   config,
		seeds:    config.Seeds,
		done:     make(chan struct{}),
		table:    NewTable(config.Self, config.Now()),
		inbound:  map[string]time.Time{},
		lastSync: map[string]time.Time{},
		seen:     map[gossipID]bool{},
		serial:   uint64(config.Self.Incarnation),
		handlers: map[GossipKind]func(string, []byte) bool{},
	}
}

// SetDiscovered sets the daemons that were discovered in the store. Their addresses
// become seeds in addition to those of the settings. The entries of daemons that are
// already in the list are merged, so that a new incarnation takes effect before its
// heartbeats arrive. Other daemons are not added, since an entry may outlive its daemon.
func (s *Service) SetDiscovered(discovered []Member) {
	var known []Member
	s.mu.Lock()
	s.seeds = append([]netip.AddrPort(nil), s.config.Seeds...)
	for _, m := range discovered {
		s.seeds = append(s.seeds, m.Peer)
		if _, ok := s.table.Member(m.Host); ok {
			known = append(known, m)
		}
	}
	s.mu.Unlock()
	for _, m := range known {
		s.merge(m)
	}
}

// Done is closed when Serve has returned.
func (s *Service) Done() <-chan struct{} {
	return s.done
}

// Handle registers the handler of a kind of gossip message. The handler reports whether
// to forward the message. Handle must be called before Serve.
func (s *Service) Handle(kind GossipKind, handler func(origin string, payload []byte) bool) {
	s.handlers[kind] = handler
}

// Route adds this package's handlers to a router.
func (s *Service) Route(router *message.Router) {
	router.AddConsumerHandler(TopicHeartbeat, TopicHeartbeat, s.config.Mesh, s.handleHeartbeat)
	router.AddConsumerHandler(TopicAcknowledge, TopicAcknowledge, s.config.Mesh, s.handleAcknowledge)
	router.AddConsumerHandler(TopicSync, TopicSync, s.config.Mesh, s.handleSync)
	router.AddConsumerHandler(TopicGossip, TopicGossip, s.config.Mesh, s.handleGossip)
}

// Serve sends heartbeats and detects failures until ctx is done.
func (s *Service) Serve(ctx context.Context) error {
	defer close(s.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.tick(s.config.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (s *Service) tick(now time.Time) {
	s.mu.Lock()
	before := s.table.Digest()
	actions := s.table.Tick(now)
	due := now.Sub(s.lastHeartbeat) >= HeartbeatInterval
	if due {
		s.lastHeartbeat = now
	}
	probe := s.chooseProbe(now)
	changed := s.table.Digest() != before
	s.mu.Unlock()
	for _, host := range actions.Resets {
		s.config.Mesh.Reset(host)
	}
	for _, update := range actions.Updates {
		s.broadcastMember(update)
	}
	if due {
		s.sendHeartbeats(actions.Heartbeats)
	}
	if probe != "" {
		s.sendSync(probe, true)
	}
	if changed {
		s.config.Changed()
	}
}

// chooseProbe returns a random dead daemon or unknown seed if a probe is due, else "".
// Probes are sent at HeartbeatInterval while no other daemon is known. mu must be held.
func (s *Service) chooseProbe(now time.Time) string {
	if now.Sub(s.lastProbe) < probeInterval && len(s.table.members) > 1 {
		return ""
	}
	if now.Sub(s.lastProbe) < HeartbeatInterval {
		return ""
	}
	s.lastProbe = now
	var candidates []string
	for host, known := range s.table.members {
		if known.State == StateDead {
			candidates = append(candidates, host)
		}
	}
	for _, seed := range s.seeds {
		if seed != s.config.Self.Peer && !s.hasAddress(seed) {
			candidates = append(candidates, seed.String())
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}

func (s *Service) hasAddress(address netip.AddrPort) bool {
	for _, known := range s.table.members {
		if known.Peer == address {
			return true
		}
	}
	return false
}

// Resolve returns the peer address of a host. A seed whose host is not known yet
// has its address as its host name.
func (s *Service) Resolve(host string) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.table.Member(host); ok {
		return known.Peer, true
	}
	address, err := netip.ParseAddrPort(host)
	return address, err == nil
}

// Members returns the entries of all known daemons, sorted by host.
func (s *Service) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members()
}

// Digest returns a hash over the list of daemons.
func (s *Service) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Digest()
}

// Member returns the entry of a host.
func (s *Service) Member(host string) (Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Member(host)
}

// IncarnationSince returns the time at which the first update about the current process
// incarnation of a host arrived, or the zero time if the host is unknown.
func (s *Service) IncarnationSince(host string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.IncarnationSince(host)
}

// Hosts returns the alive and the suspected hosts of a zone, or of all zones if zone
// is "". A suspected host may own shards until it is declared dead.
func (s *Service) Hosts(zone string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var result []string
	for host, known := range s.table.members {
		serving := known.State == StateAlive || known.State == StateSuspect
		if serving && (zone == "" || known.AvailabilityZone == zone) {
			result = append(result, host)
		}
	}
	return result
}

// ownerProcessorsThreshold is the minimum number of processors of a shard owner, as a
// fraction of that of the largest host. An owner decides for all fronts. On a host with
// a quarter of the processors, its decisions are late before the host counts as failed.
const ownerProcessorsThreshold = 0.5

// EligibleOwners returns the given hosts that may own shards: the largest, and those that
// are not much smaller. If the largest are lost, the next largest become eligible. If no
// processor count is known, all given hosts are eligible.
func (s *Service) EligibleOwners(hosts []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	largest := 0.0
	for _, host := range hosts {
		if known, ok := s.table.members[host]; ok {
			largest = max(largest, known.Processors)
		}
	}
	if largest == 0 {
		return hosts
	}
	var result []string
	for _, host := range hosts {
		if known, ok := s.table.members[host]; ok && known.Processors >= ownerProcessorsThreshold*largest {
			result = append(result, host)
		}
	}
	return result
}

// startedTogetherLimit is the largest difference between the starts of two daemons that
// started together.
const startedTogetherLimit = 10 * time.Second

// StartedTogether reports whether most known daemons started together with this one. The
// whole site is then starting, and the list may still lack daemons. If only this daemon
// starts or restarts, the list that it receives is complete.
func (s *Service) StartedTogether() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.table.self.Incarnation.Start()
	startedTogether := 0
	for _, known := range s.table.members {
		if known.Incarnation.Start().Sub(own).Abs() < startedTogetherLimit {
			startedTogether++
		}
	}
	return 2*startedTogether > len(s.table.members)
}

// ServingHosts returns the hosts that may still serve requests: all that are not dead,
// including those that are leaving.
func (s *Service) ServingHosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var result []string
	for host, known := range s.table.members {
		if known.State != StateDead {
			result = append(result, host)
		}
	}
	return result
}

// Leave marks this daemon as leaving and broadcasts the update. A leaving daemon gets no
// more roles, such as the owner of a shard.
func (s *Service) Leave() {
	s.mu.Lock()
	update := s.table.Leave(s.config.Now())
	s.mu.Unlock()
	s.broadcastMember(update)
	s.config.Changed()
}

func (s *Service) send(host, topic string, value any) {
	payload, err := link.Encode(value)
	if err != nil {
		s.config.Log.Error(err, "message was not encoded", "topic", topic)
		return
	}
	if err := s.config.Mesh.Publish(topic, link.NewMessage(host, payload, trace.SpanContext{})); err != nil {
		s.config.Log.V(1).Info("message was dropped", "topic", topic, "host", host, "error", err.Error())
	}
}

func (s *Service) heartbeatMessage() wireHeartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wireHeartbeat{Ticket: uint64(s.config.Ticket()), Digest: s.table.Digest()}
}

func (s *Service) sendHeartbeats(hosts []string) {
	heartbeat := s.heartbeatMessage()
	for _, host := range hosts {
		s.send(host, TopicHeartbeat, heartbeat)
	}
}
