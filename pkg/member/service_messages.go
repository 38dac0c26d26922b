package member

import (
	"net/netip"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

func encodeMember(m Member) wireMember {
	return wireMember{
		Host: m.Host, AvailabilityZone: m.AvailabilityZone,
		Address: m.Peer.Addr().AsSlice(), Port: m.Peer.Port(),
		Incarnation: uint64(m.Incarnation), State: uint8(m.State),
	}
}

func decodeMember(w wireMember) Member {
	address, _ := netip.AddrFromSlice(w.Address)
	return Member{
		Host: w.Host, AvailabilityZone: w.AvailabilityZone,
		Peer:        netip.AddrPortFrom(address, w.Port),
		Incarnation: Incarnation(w.Incarnation), State: State(w.State),
	}
}

func (s *Service) handleHeartbeat(m *message.Message) error {
	var beat wireHeartbeat
	if err := link.Decode(m.Payload, &beat); err != nil {
		return nil
	}
	host := link.Host(m)
	s.mu.Lock()
	s.inbound[host] = s.config.Now()
	s.mu.Unlock()
	s.send(host, TopicAcknowledge, s.heartbeatMessage())
	s.compare(host, beat)
	return nil
}

func (s *Service) handleAcknowledge(m *message.Message) error {
	var beat wireHeartbeat
	if err := link.Decode(m.Payload, &beat); err != nil {
		return nil
	}
	host := link.Host(m)
	s.mu.Lock()
	s.table.Acknowledge(s.config.Now(), host)
	s.mu.Unlock()
	s.compare(host, beat)
	return nil
}

// compare acts on a peer that knows something else.
func (s *Service) compare(host string, beat wireHeartbeat) {
	if ticket.Number(beat.Ticket) > s.config.Ticket() {
		s.config.TicketHeard(host, ticket.Number(beat.Ticket))
	}
	now := s.config.Now()
	s.mu.Lock()
	differs := beat.Digest != s.table.Digest()
	due := differs && now.Sub(s.lastSync[host]) >= syncPeriod
	if due {
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
		s.observe(decodeMember(wire))
	}
	if list.Reply {
		s.sendSync(link.Host(m), false)
	}
	return nil
}

// observe merges a fact and spreads it if it is news.
func (s *Service) observe(fact Member) {
	s.mu.Lock()
	news, ok := s.table.Observe(s.config.Now(), fact)
	s.mu.Unlock()
	if !ok {
		return
	}
	s.spreadMember(news)
	s.config.Changed()
}

func (s *Service) spreadMember(fact Member) {
	payload, err := link.Encode(encodeMember(fact))
	if err != nil {
		s.config.Log.Error(err, "member was not encoded")
		return
	}
	s.Spread(RumourMember, payload)
}

// Spread sends a rumour to all daemons that can be reached over neighbours.
func (s *Service) Spread(kind RumourKind, payload []byte) {
	s.mu.Lock()
	s.serial++
	rumour := wireRumour{Origin: s.config.Self.Host, Serial: s.serial, Kind: uint8(kind), Payload: payload}
	s.remember(rumourID{origin: rumour.Origin, serial: rumour.Serial})
	hosts := s.floodHosts("")
	s.mu.Unlock()
	for _, host := range hosts {
		s.send(host, TopicRumour, rumour)
	}
}

// remember notes a rumour and reports whether it is new. The caller holds the lock.
func (s *Service) remember(id rumourID) bool {
	if s.seen[id] {
		return false
	}
	s.seen[id] = true
	s.seenOrder = append(s.seenOrder, id)
	if len(s.seenOrder) > seenRumours {
		delete(s.seen, s.seenOrder[0])
		s.seenOrder = s.seenOrder[1:]
	}
	return true
}

// inboundAge is the age after which a daemon no longer counts as sending
// heartbeats to this one.
const inboundAge = 5 * time.Second

// floodHosts returns the neighbours in both directions. The caller holds the lock.
func (s *Service) floodHosts(except string) []string {
	now := s.config.Now()
	chosen := map[string]bool{except: true, s.config.Self.Host: true}
	var hosts []string
	for _, host := range s.table.Neighbours(now) {
		if !chosen[host] {
			chosen[host] = true
			hosts = append(hosts, host)
		}
	}
	for host, at := range s.inbound {
		if now.Sub(at) > inboundAge {
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

func (s *Service) handleRumour(m *message.Message) error {
	var rumour wireRumour
	if err := link.Decode(m.Payload, &rumour); err != nil {
		return nil
	}
	s.mu.Lock()
	fresh := s.remember(rumourID{origin: rumour.Origin, serial: rumour.Serial})
	hosts := s.floodHosts(link.Host(m))
	s.mu.Unlock()
	if !fresh {
		return nil
	}
	for _, host := range hosts {
		s.send(host, TopicRumour, rumour)
	}
	s.read(rumour)
	return nil
}

func (s *Service) read(rumour wireRumour) {
	if RumourKind(rumour.Kind) != RumourMember {
		if receiver, ok := s.receivers[RumourKind(rumour.Kind)]; ok {
			receiver(rumour.Origin, rumour.Payload)
		}
		return
	}
	var wire wireMember
	if err := link.Decode(rumour.Payload, &wire); err != nil {
		return
	}
	s.mu.Lock()
	news, ok := s.table.Observe(s.config.Now(), decodeMember(wire))
	refutation := ok && news.Host == s.config.Self.Host
	s.mu.Unlock()
	if refutation {
		s.spreadMember(news)
	}
	if ok {
		s.config.Changed()
	}
}
