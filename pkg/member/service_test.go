package member_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/member"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// settle bounds the wait for something that must come about.
const settle = 60 * time.Second

// fleet is a set of daemons' membership parts on loopback. While it is cut,
// daemons of different zones do not reach each other.
type fleet struct {
	nodes []*node
	cut   atomic.Bool
	heard sync.Map
}

type node struct {
	host    string
	zone    string
	address netip.AddrPort
	mesh    *link.Mesh
	service *member.Service
}

// nowhere is an address that refuses connections.
var nowhere = netip.MustParseAddrPort("127.0.0.1:1")

func newFleet(t *testing.T, zones, each int) *fleet {
	f := &fleet{}
	for i := range zones * each {
		f.add(t, fmt.Sprint("entry-", i), fmt.Sprint("zone-", i%zones))
	}
	return f
}

func (f *fleet) add(t *testing.T, host, zone string) {
	n := &node{host: host, zone: zone}
	topics := []string{member.TopicHeartbeat, member.TopicAcknowledge, member.TopicSync, member.TopicRumour}
	n.mesh = link.NewMesh(link.Config{
		Host: host, Keys: link.Keys{"key"}, Topics: topics, LossDetected: topics[:2], Now: time.Now, Log: logr.Discard(),
		Resolve:     func(target string) (netip.AddrPort, bool) { return f.resolve(n, target) },
		Unreachable: func(string) {},
	})
	server := httptest.NewServer(n.mesh)
	n.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	var seeds []netip.AddrPort
	if len(f.nodes) > 0 {
		seeds = append(seeds, f.nodes[0].address)
	}
	self := member.Member{Host: host, AvailabilityZone: zone, Peer: n.address, Incarnation: member.NewIncarnation(time.Now())}
	n.service = member.NewService(member.Config{
		Self: self, Seeds: seeds, Mesh: n.mesh, Now: time.Now, Log: logr.Discard(),
		Ticket: func() ticket.Number { return 0 }, TicketHeard: func(string, ticket.Number) {}, Changed: func() {},
	})
	n.service.Receive(member.RumourPoison, func(_ string, payload []byte) bool {
		f.heard.Store(host+string(payload), true)
		return true
	})
	f.nodes = append(f.nodes, n)
	f.serve(t, n, server)
}

func (f *fleet) serve(t *testing.T, n *node, server *httptest.Server) {
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: time.Second}, watermill.NopLogger{})
	require.NoError(t, err)
	n.service.Route(router)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = router.Run(ctx) }()
	<-router.Running()
	go func() { _ = n.service.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-n.service.Done()
		_ = n.mesh.Close()
		server.CloseClientConnections()
		server.Close()
	})
}

// resolve is called while a mesh opens a connection.
func (f *fleet) resolve(from *node, target string) (netip.AddrPort, bool) {
	address, ok := from.service.Resolve(target)
	if !ok || !f.cut.Load() {
		return address, ok
	}
	for _, n := range f.nodes {
		if n.address == address && n.zone != from.zone {
			return nowhere, true
		}
	}
	return address, true
}

// setCut cuts the zones off from each other, or heals the cut.
func (f *fleet) setCut(cut bool) {
	f.cut.Store(cut)
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if a.zone != b.zone {
				a.mesh.Reset(b.host)
			}
		}
	}
}

func (f *fleet) agree(count func(n *node) int) bool {
	for _, n := range f.nodes {
		if len(n.service.Hosts("")) != count(n) {
			return false
		}
	}
	return true
}

func (f *fleet) waitFor(t *testing.T, what string, count func(n *node) int) {
	t.Helper()
	require.Eventually(t, func() bool { return f.agree(count) }, settle, 50*time.Millisecond, what)
}

func TestCutZonesKeepTheirOwnAndHeal(t *testing.T) {
	f := newFleet(t, 2, 3)
	all := func(*node) int { return 6 }
	f.waitFor(t, "all know each other", all)
	for range 2 {
		f.setCut(true)
		f.waitFor(t, "each zone holds the other dead", func(*node) int { return 3 })
		for _, n := range f.nodes {
			require.Len(t, n.service.Hosts(n.zone), 3, "the own zone stays whole")
		}
		f.setCut(false)
		f.waitFor(t, "the zones find each other again", all)
		require.Eventually(t, func() bool {
			for _, n := range f.nodes {
				if n.service.Digest() != f.nodes[0].service.Digest() {
					return false
				}
			}
			return true
		}, settle, 50*time.Millisecond, "all lists are equal")
	}
}

func TestRumoursReachAll(t *testing.T) {
	f := newFleet(t, 4, 3)
	f.waitFor(t, "all know each other", func(*node) int { return 12 })
	f.nodes[5].service.Spread(member.RumourPoison, []byte("mark"))
	for _, n := range f.nodes {
		if n == f.nodes[5] {
			continue
		}
		require.Eventually(t, func() bool {
			_, ok := f.heard.Load(n.host + "mark")
			return ok
		}, settle, 10*time.Millisecond, n.host)
	}
}

// TestJoinsCostIsBounded holds the frames of a fleet's start against the rule
// that a fact crosses each link once, however many daemons learn it by comparing
// lists. Heartbeats and comparisons are allowed for by the time that passed.
func TestJoinsCostIsBounded(t *testing.T) {
	const nodes, links, perLinkAndSecond = 24, 10, 4
	started := time.Now()
	f := newFleet(t, 4, nodes/4)
	f.waitFor(t, "all know each other", func(*node) int { return nodes })
	frames := 0
	for _, n := range f.nodes {
		frames += int(n.mesh.Traffic().SentFrames)
	}
	seconds := int(time.Since(started).Seconds()) + 1
	require.LessOrEqual(t, frames, nodes*nodes*links+nodes*links*perLinkAndSecond*seconds)
}

// TestNewLifeIsBelievedFromTheStore replays a daemon that starts anew before its
// links stand: its entry in the store tells of the new life. An entry of a daemon
// that nobody has met yet may outlive it, and tells only where to look.
func TestNewLifeIsBelievedFromTheStore(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.waitFor(t, "two daemons", func(*node) int { return 2 })
	watcher := f.nodes[0].service
	before := watcher.LifeSince("entry-1")
	known, ok := watcher.Member("entry-1")
	require.True(t, ok)
	known.Incarnation = member.NewIncarnation(time.Now().Add(time.Minute))
	watcher.Find([]member.Member{known, {Host: "entry-9", Peer: nowhere, Incarnation: member.NewIncarnation(time.Now())}})
	require.True(t, watcher.LifeSince("entry-1").After(before))
	require.NotContains(t, watcher.Hosts(""), "entry-9")
	older := known
	older.Incarnation--
	older.State = member.StateDead
	watcher.Find([]member.Member{older})
	now, _ := watcher.Member("entry-1")
	require.NotEqual(t, member.StateDead, now.State, "an older life says nothing of the present one")
}
