package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/endpoint"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/member"
	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// guardedTime is a time that is safe for concurrent use.
type guardedTime struct {
	mu sync.Mutex
	at time.Time
}

func (g *guardedTime) set(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.at = at
}

func (g *guardedTime) get() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.at
}

// stateChanged passes the state of a new ticket to the services that use it.
func (d *Daemon) stateChanged(state *ticket.State, at time.Time) {
	d.ticketSince.set(at)
	d.client.Refresh(state)
	d.served.Store(state)
	d.dispatcher.Refresh(state)
	d.log.Info("ticket is in force", "ticket", state.Head.Number, "attempt", state.Head.Attempt)
}

// membersChanged determines the new owners after a change of the list of daemons.
func (d *Daemon) membersChanged() {
	d.dispatcher.Refresh(d.follower.Current())
}

// readersPerZone is the number of ticket readers in an availability zone.
const readersPerZone = 2

// readerPosition returns the position of this daemon among the ticket readers of its
// availability zone, or -1 if it is not a reader.
func (d *Daemon) readerPosition() int {
	zone := d.settings.Daemon.AvailabilityZone
	owners := shard.Owners("reader/"+zone, d.members.Hosts(zone), readersPerZone)
	return slices.Index(owners, d.settings.Daemon.Host)
}

func (d *Daemon) isReader() bool {
	return d.readerPosition() >= 0
}

func (d *Daemon) isFirstReader() bool {
	return d.readerPosition() == 0
}

// ticketReadTimeout limits the time to read a ticket from a peer.
const ticketReadTimeout = 10 * time.Second

// ticketReceived reads a newer ticket from a peer in the background. Only one peer is
// read at a time. A call during a read does nothing: the next heartbeat starts another
// read.
func (d *Daemon) ticketReceived(host string, _ ticket.Number) {
	select {
	case d.peerReadSlot <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-d.peerReadSlot }()
		d.readTicketFromPeer(host)
	}()
}

func (d *Daemon) readTicketFromPeer(host string) {
	address, ok := d.members.Resolve(host)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ticketReadTimeout)
	defer cancel()
	reader := ticket.PeerReader{Client: http.DefaultClient, Sign: func(r *http.Request) {
		link.Keys(d.settings.Peers.Keys).Sign(r, d.settings.Daemon.Host, d.now())
	}}
	head, err := reader.Head(ctx, address)
	if err == nil {
		err = d.follower.Follow(ctx, d.now(), head, reader.Source(address))
	}
	if err != nil {
		d.log.V(1).Info("ticket was not read from peer", "host", host, "error", err.Error())
	}
}

// isLive reports whether the incarnation of a front that made a claim is still alive.
func (d *Daemon) isLive(host string, tag uint32) bool {
	known, ok := d.members.Member(host)
	return ok && known.FrontTag() == tag && incarnationState(known) == dispatch.IncarnationAlive
}

// cancelHold cancels a request at its decode endpoint, and then calls confirmed. If the
// endpoint is not in the current state, it calls confirmed without cancelling.
func (d *Daemon) cancelHold(hold dispatch.Hold, fencing dispatch.FencingNumber, confirmed func()) {
	address, ok := d.endpointAddress(hold.Decode)
	if !ok {
		go confirmed()
		return
	}
	call := endpoint.Call{RequestID: hold.Request.ID.String(), Fencing: uint64(fencing)}
	d.canceller.Cancel(address, call, confirmed)
}

func (d *Daemon) endpointAddress(name string) (netip.AddrPort, bool) {
	state := d.follower.Current()
	if state == nil {
		return netip.AddrPort{}, false
	}
	for _, pool := range state.Pools {
		for _, candidate := range pool.Endpoints {
			if candidate.Name == name {
				return candidate.Address, true
			}
		}
	}
	return netip.AddrPort{}, false
}

func (d *Daemon) loadReport(ctx context.Context, target ticket.Endpoint) (dispatch.EndpointReport, error) {
	report, err := d.engine.Load(ctx, target.Address)
	if err != nil {
		return dispatch.EndpointReport{}, err
	}
	result := dispatch.EndpointReport{Leaving: report.Leaving}
	for _, running := range report.Running {
		result.Running = append(result.Running, running.RequestID)
	}
	return result, nil
}

type wireLeavingHosts struct {
	_     struct{} `cbor:",toarray"`
	Hosts []string
}

func (d *Daemon) broadcastLeavingHosts(hosts []string) {
	d.dispatcher.SetListedLeaving(hosts)
	d.broadcast(member.GossipLeavingHosts, wireLeavingHosts{Hosts: hosts})
}

func (d *Daemon) handleLeavingHosts(_ string, payload []byte) bool {
	var wire wireLeavingHosts
	if link.Decode(payload, &wire) != nil {
		return false
	}
	d.dispatcher.SetListedLeaving(wire.Hosts)
	return true
}
