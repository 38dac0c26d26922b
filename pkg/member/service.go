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
	TopicRumour      = "member_rumour"
)

type wireMember struct {
	_                struct{} `cbor:",toarray"`
	Host             string
	AvailabilityZone string
	Address          []byte
	Port             uint16
	Incarnation      uint64
	State            uint8
	// Milliprocessors are thousandths of a processor.
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
	// Reply asks for the receiver's own list.
	Reply bool
}

type wireRumour struct {
	_       struct{} `cbor:",toarray"`
	Origin  string
	Serial  uint64
	Kind    uint8
	Payload []byte
}

// RumourKind tells the receivers of a rumour who reads it.
type RumourKind uint8

// The kinds of rumours. RumourMember is used by this package.
const (
	RumourMember RumourKind = iota
	RumourPressure
	RumourPoison
	RumourHosts
	RumourLeaving
)

const (
	tickPeriod = 250 * time.Millisecond
	// syncPeriod spaces comparisons of whole lists with one neighbour.
	syncPeriod = 3 * time.Second
	// probePeriod spaces attempts to reach a daemon that is held dead, which
	// finds out that a cut has healed.
	probePeriod = 5 * time.Second
	// seenRumours bounds the memory of rumours that were already spread.
	seenRumours = 8192
)

// Config holds what a Service needs.
type Config struct {
	Self  Member
	Seeds []netip.AddrPort
	Mesh  *link.Mesh
	Now   func() time.Time
	Log   logr.Logger
	// Ticket returns the number of the ticket in force here.
	Ticket func() ticket.Number
	// TicketHeard is called when a peer has a higher ticket in force.
	TicketHeard func(host string, number ticket.Number)
	// Changed is called after the list changed.
	Changed func()
}

// Service drives a Table over a Mesh.
type Service struct {
	config Config
	done   chan struct{}

	mu            sync.Mutex
	seeds         []netip.AddrPort
	table         *Table
	inbound       map[string]time.Time
	lastHeartbeat time.Time
	lastSync      map[string]time.Time
	lastProbe     time.Time
	serial        uint64
	seen          map[rumourID]bool
	seenOrder     []rumourID
	receivers     map[RumourKind]func(origin string, payload []byte) bool
}

type rumourID struct {
	origin string
	serial uint64
}

// NewService returns a Service that knows only itself.
func NewService(config Config) *Service {
	return &Service{
		config:    config,
		seeds:     config.Seeds,
		done:      make(chan struct{}),
		table:     NewTable(config.Self, config.Now()),
		inbound:   map[string]time.Time{},
		lastSync:  map[string]time.Time{},
		seen:      map[rumourID]bool{},
		serial:    uint64(config.Self.Incarnation),
		receivers: map[RumourKind]func(string, []byte) bool{},
	}
}

// Find takes daemons that were found elsewhere. The addresses of unknown ones are
// seeds beside those of the settings: their entries may outlive them. A new life of
// a known one is believed at once, before its heartbeats arrive.
func (s *Service) Find(found []Member) {
	var returned []Member
	s.mu.Lock()
	s.seeds = append([]netip.AddrPort(nil), s.config.Seeds...)
	for _, m := range found {
		s.seeds = append(s.seeds, m.Peer)
		if _, ok := s.table.Member(m.Host); ok {
			returned = append(returned, m)
		}
	}
	s.mu.Unlock()
	for _, m := range returned {
		s.observe(m)
	}
}

// Done is closed when Serve has returned.
func (s *Service) Done() <-chan struct{} {
	return s.done
}

// Receive registers the reader of a kind of rumour, which reports whether the rumour is
// to be passed on. It must be called before Serve.
func (s *Service) Receive(kind RumourKind, receiver func(origin string, payload []byte) bool) {
	s.receivers[kind] = receiver
}

// Route adds this package's handlers to a router.
func (s *Service) Route(router *message.Router) {
	router.AddConsumerHandler(TopicHeartbeat, TopicHeartbeat, s.config.Mesh, s.handleHeartbeat)
	router.AddConsumerHandler(TopicAcknowledge, TopicAcknowledge, s.config.Mesh, s.handleAcknowledge)
	router.AddConsumerHandler(TopicSync, TopicSync, s.config.Mesh, s.handleSync)
	router.AddConsumerHandler(TopicRumour, TopicRumour, s.config.Mesh, s.handleRumour)
}

// Serve sends heartbeats until ctx ends.
func (s *Service) Serve(ctx context.Context) error {
	defer close(s.done)
	ticker := time.NewTicker(tickPeriod)
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
	due := now.Sub(s.lastHeartbeat) >= HeartbeatPeriod
	if due {
		s.lastHeartbeat = now
	}
	probe := s.chooseProbe(now)
	changed := s.table.Digest() != before
	s.mu.Unlock()
	for _, host := range actions.Resets {
		s.config.Mesh.Reset(host)
	}
	for _, fact := range actions.Facts {
		s.spreadMember(fact)
	}
	if due {
		s.heartbeat(actions.Heartbeats)
	}
	if probe != "" {
		s.sendSync(probe, true)
	}
	if changed {
		s.config.Changed()
	}
}

// chooseProbe returns a dead daemon, or a seed while no other daemon is known.
func (s *Service) chooseProbe(now time.Time) string {
	if now.Sub(s.lastProbe) < probePeriod && len(s.table.members) > 1 {
		return ""
	}
	if now.Sub(s.lastProbe) < HeartbeatPeriod {
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
		if seed != s.config.Self.Peer && !s.knowsAddress(seed) {
			candidates = append(candidates, seed.String())
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}

func (s *Service) knowsAddress(address netip.AddrPort) bool {
	for _, known := range s.table.members {
		if known.Peer == address {
			return true
		}
	}
	return false
}

// Resolve returns the peer address of a host. A seed is named by its address
// until its host is known.
func (s *Service) Resolve(host string) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.table.Member(host); ok {
		return known.Peer, true
	}
	address, err := netip.ParseAddrPort(host)
	return address, err == nil
}

// Members returns all known daemons.
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

// Member returns what is known of one daemon.
func (s *Service) Member(host string) (Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Member(host)
}

// LifeSince returns the time at which the present life of a host was first
// heard of here.
func (s *Service) LifeSince(host string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.LifeSince(host)
}

// Hosts returns the hosts that may own shards in a zone: those alive, and
// those suspected until the suspicion is settled. All zones if zone is "".
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

// capableShare is the part of the largest host's processors from which a host may own
// shards: an owner decides for all fronts, and on a host with a quarter of the
// processors it is late before it is lost.
const capableShare = 0.5

// Capable returns those of some hosts that may own shards: the largest, and those that are
// not much smaller. When the largest are lost the next ones are.
func (s *Service) Capable(hosts []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0.0
	for _, host := range hosts {
		if known, ok := s.table.members[host]; ok {
			most = max(most, known.Processors)
		}
	}
	if most == 0 {
		return hosts
	}
	var result []string
	for _, host := range hosts {
		if known, ok := s.table.members[host]; ok && known.Processors >= capableShare*most {
			result = append(result, host)
		}
	}
	return result
}

// togetherTime is the difference of two starts up to which daemons have started together.
const togetherTime = 10 * time.Second

// StartedTogether reports whether most daemons that are known started with this one: the
// whole site did, and others are still to be heard of. While this daemon alone starts, or
// starts again, the list that it hears is whole.
func (s *Service) StartedTogether() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.table.self.Incarnation.Start()
	together := 0
	for _, known := range s.table.members {
		if known.Incarnation.Start().Sub(own).Abs() < togetherTime {
			together++
		}
	}
	return 2*together > len(s.table.members)
}

// Serving returns the hosts that may still serve requests: all that are not dead.
func (s *Service) Serving() []string {
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

// Leave tells all daemons that this one takes on no more roles.
func (s *Service) Leave() {
	s.mu.Lock()
	fact := s.table.Leave(s.config.Now())
	s.mu.Unlock()
	s.spreadMember(fact)
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

func (s *Service) heartbeat(hosts []string) {
	beat := s.heartbeatMessage()
	for _, host := range hosts {
		s.send(host, TopicHeartbeat, beat)
	}
}
