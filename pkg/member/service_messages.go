package member

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// milliprocessors are those of one processor.
const milliprocessors = 1000

func encodeMember(m Member) wireMember {
	return wireMember{
		Host: m.Host, AvailabilityZone: m.AvailabilityZone,
		Address: m.Peer.Addr().AsSlice(), Port: m.Peer.Port(),
		Incarnation: uint64(m.Incarnation), State: uint8(m.State),
		Milliprocessors: uint32(math.Round(m.Processors * milliprocessors)),
	}
}

func decodeMember(w wireMember) Member {
	address, _ := netip.AddrFromSlice(w.Address)
	return Member{
		Host: w.Host, AvailabilityZone: w.AvailabilityZone,
		Peer:        netip.AddrPortFrom(address, w.Port),
		Incarnation: Incarnation(w.Incarnation), State: State(w.State),
		Processors: float64(w.Milliprocessors) / milliprocessors,
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

// Spread sends a rumour to all daemons that can be reached over neighbours, and to some
// hosts directly, which need it soonest.
func (s *Service) Spread(kind RumourKind, payload []byte, first ...string) {
	s.mu.Lock()
	s.serial++
	rumour := wireRumour{Origin: s.config.Self.Host, Serial: s.serial, Kind: uint8(kind), Payload: payload}
	s.remember(rumourID{origin: rumour.Origin, serial: rumour.Serial})
	hosts := s.floodHosts("")
	s.mu.Unlock()
	for _, host := range first {
		if host != s.config.Self.Host && !slices.Contains(hosts, host) {
			s.send(host, TopicRumour, rumour)
		}
	}
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
	if !s.isNews(rumour) {
		return nil
	}
	s.mu.Lock()
	hosts := s.floodHosts(link.Host(m))
	s.mu.Unlock()
	for _, host := range hosts {
		s.send(host, TopicRumour, rumour)
	}
	return nil
}

// isNews takes a rumour and reports whether it is to be passed on. A fact about
// a daemon or an endpoint is passed on only while it is news here, whoever spreads it,
// so that it crosses each link once however many daemons learn it.
func (s *Service) isNews(rumour wireRumour) bool {
	if RumourKind(rumour.Kind) == RumourMember {
		return s.hearMember(rumour.Payload)
	}
	s.mu.Lock()
	fresh := s.remember(rumourID{origin: rumour.Origin, serial: rumour.Serial})
	s.mu.Unlock()
	receiver, ok := s.receivers[RumourKind(rumour.Kind)]
	if fresh && ok {
		return receiver(rumour.Origin, rumour.Payload)
	}
	return fresh
}

// hearMember merges a fact. A suspicion of this daemon is refuted instead of
// being passed on.
func (s *Service) hearMember(payload []byte) bool {
	var wire wireMember
	if err := link.Decode(payload, &wire); err != nil {
		return false
	}
	s.mu.Lock()
	news, ok := s.table.Observe(s.config.Now(), decodeMember(wire))
	s.mu.Unlock()
	if !ok {
		return false
	}
	s.config.Changed()
	if news.Host == s.config.Self.Host {
		s.spreadMember(news)
		return false
	}
	return true
}
