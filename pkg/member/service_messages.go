package member

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const milliprocessorsPerProcessor = 1000

func encodeMember(m Member) wireMember {
	return wireMember{
		Host: m.Host, AvailabilityZone: m.AvailabilityZone,
		Address: m.Peer.Addr().AsSlice(), Port: m.Peer.Port(),
		Incarnation: uint64(m.Incarnation), State: uint8(m.State),
		Milliprocessors: uint32(math.Round(m.Processors * milliprocessorsPerProcessor)),
	}
}

// maxProcessors limits the processors of a daemon. The daemons with the most own the shards.
const maxProcessors = 4096

// decodeMember returns an error for values that no daemon sends.
func decodeMember(w wireMember) (Member, error) {
	address, ok := netip.AddrFromSlice(w.Address)
	if !ok || w.Port == 0 {
		return Member{}, errors.New("invalid address")
	}
	if w.Host == "" || w.Milliprocessors > maxProcessors*milliprocessorsPerProcessor {
		return Member{}, errors.Newf("invalid host %.40q or processors %d", w.Host, w.Milliprocessors)
	}
	return Member{
		Host: w.Host, AvailabilityZone: w.AvailabilityZone,
		Peer:        netip.AddrPortFrom(address, w.Port),
		Incarnation: Incarnation(w.Incarnation), State: State(w.State),
		Processors: float64(w.Milliprocessors) / milliprocessorsPerProcessor,
	}, nil
}

func (s *Service) handleHeartbeat(m *message.Message) error {
	var heartbeat wireHeartbeat
	if err := link.Decode(m.Payload, &heartbeat); err != nil {
		return nil
	}
	host := link.Host(m)
	s.mu.Lock()
	s.inbound[host] = s.config.Now()
	s.mu.Unlock()
	s.send(host, TopicAcknowledge, s.heartbeatMessage())
	s.reconcile(host, heartbeat)
	return nil
}

func (s *Service) handleAcknowledge(m *message.Message) error {
	var heartbeat wireHeartbeat
	if err := link.Decode(m.Payload, &heartbeat); err != nil {
		return nil
	}
	host := link.Host(m)
	s.mu.Lock()
	s.table.Acknowledge(s.config.Now(), host)
	s.mu.Unlock()
	s.reconcile(host, heartbeat)
	return nil
}

// reconcile reports a higher ticket number of a peer. It sends the whole list to the peer
// if the digests differ and no exchange with the peer was started within syncInterval.
func (s *Service) reconcile(host string, heartbeat wireHeartbeat) {
	if ticket.Number(heartbeat.Ticket) > s.config.Ticket() {
		s.config.TicketReceived(host, ticket.Number(heartbeat.Ticket))
	}
	now := s.config.Now()
	s.mu.Lock()
	differs := heartbeat.Digest != s.table.Digest()
	due := differs && now.Sub(s.lastSync[host]) >= syncInterval
	if due {
		maps.DeleteFunc(s.lastSync, func(_ string, at time.Time) bool { return now.Sub(at) >= syncInterval })
		s.lastSync[host] = now
	}
	s.mu.Unlock()
	if due {
		s.sendSync(host, true)
	}
}

func (s *Service) sendSync(host string, reply bool) {
	var list wireSync
	list.Reply = reply
	for _, known := range s.Members() {
		list.Members = append(list.Members, encodeMember(known))
	}
	s.send(host, TopicSync, list)
}

func (s *Service) handleSync(m *message.Message) error {
	var list wireSync
	if err := link.Decode(m.Payload, &list); err != nil {
		return nil
	}
	for _, wire := range list.Members {
		if update, err := decodeMember(wire); err == nil {
			s.merge(update)
		}
	}
	if list.Reply {
		s.sendSync(link.Host(m), false)
	}
	return nil
}

// merge merges an update into the table. If the table changed, it broadcasts the update, or
// the refutation of a suspicion about this daemon.
func (s *Service) merge(update Member) {
	s.mu.Lock()
	outgoing, ok := s.table.Merge(s.config.Now(), update)
	s.mu.Unlock()
	if !ok {
		return
	}
	s.broadcastMember(outgoing)
	s.config.Changed()
}

func (s *Service) broadcastMember(update Member) {
	payload, err := link.Encode(encodeMember(update))
	if err != nil {
		s.config.Log.Error(err, "member was not encoded")
		return
	}
	s.Broadcast(GossipMember, payload)
}

// Broadcast sends a gossip message to all daemons: it is flooded over the neighbours. It is
// also sent directly to the hosts in direct, which need it soonest.
func (s *Service) Broadcast(kind GossipKind, payload []byte, direct ...string) {
	s.mu.Lock()
	s.serial++
	gossip := wireGossip{Origin: s.config.Self.Host, Serial: s.serial, Kind: uint8(kind), Payload: payload}
	s.markSeen(gossipID{origin: gossip.Origin, serial: gossip.Serial})
	hosts := s.floodHosts("")
	s.mu.Unlock()
	for _, host := range direct {
		if host != s.config.Self.Host && !slices.Contains(hosts, host) {
			s.send(host, TopicGossip, gossip)
		}
	}
	for _, host := range hosts {
		s.send(host, TopicGossip, gossip)
	}
}

// markSeen stores the identifier of a gossip message and reports whether it is new. mu
// must be held.
func (s *Service) markSeen(id gossipID) bool {
	if s.seen[id] {
		return false
	}
	s.seen[id] = true
	s.seenOrder = append(s.seenOrder, id)
	if len(s.seenOrder) > seenGossipLimit {
		delete(s.seen, s.seenOrder[0])
		s.seenOrder = s.seenOrder[1:]
	}
	return true
}

// inboundNeighbourTimeout is the time since the last heartbeat of a daemon after which it
// no longer counts as a neighbour that sends heartbeats to this one.
const inboundNeighbourTimeout = 5 * time.Second

// floodHosts returns the daemons that this one sends heartbeats to and those that send
// heartbeats to it, without exclude. mu must be held.
func (s *Service) floodHosts(exclude string) []string {
	now := s.config.Now()
	chosen := map[string]bool{exclude: true, s.config.Self.Host: true}
	var hosts []string
	for _, host := range s.table.Neighbours(now) {
		if !chosen[host] {
			chosen[host] = true
			hosts = append(hosts, host)
		}
	}
	for host, at := range s.inbound {
		if now.Sub(at) > inboundNeighbourTimeout {
			delete(s.inbound, host)
			continue
		}
		if !chosen[host] {
			chosen[host] = true
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (s *Service) handleGossip(m *message.Message) error {
	var gossip wireGossip
	if err := link.Decode(m.Payload, &gossip); err != nil {
		return nil
	}
	if !s.processGossip(gossip) {
		return nil
	}
	s.mu.Lock()
	hosts := s.floodHosts(link.Host(m))
	s.mu.Unlock()
	for _, host := range hosts {
		s.send(host, TopicGossip, gossip)
	}
	return nil
}

// processGossip handles a gossip message and reports whether to forward it. An update
// about a daemon or an endpoint is forwarded only if it is new to this daemon, whichever
// daemon broadcasts it. It therefore crosses each link once, however many daemons broadcast
// it.
func (s *Service) processGossip(gossip wireGossip) bool {
	if GossipKind(gossip.Kind) == GossipMember {
		return s.mergeMember(gossip.Payload)
	}
	s.mu.Lock()
	isNew := s.markSeen(gossipID{origin: gossip.Origin, serial: gossip.Serial})
	s.mu.Unlock()
	handler, ok := s.handlers[GossipKind(gossip.Kind)]
	if isNew && ok {
		return handler(gossip.Origin, gossip.Payload)
	}
	return isNew
}

// mergeMember merges a received update and reports whether to forward it. A suspicion
// of this daemon is refuted instead of forwarded.
func (s *Service) mergeMember(payload []byte) bool {
	var wire wireMember
	if err := link.Decode(payload, &wire); err != nil {
		return false
	}
	update, err := decodeMember(wire)
	if err != nil {
		return false
	}
	s.mu.Lock()
	outgoing, ok := s.table.Merge(s.config.Now(), update)
	s.mu.Unlock()
	if !ok {
		return false
	}
	s.config.Changed()
	if outgoing.Host == s.config.Self.Host {
		s.broadcastMember(outgoing)
		return false
	}
	return true
}
