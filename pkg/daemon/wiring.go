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

// sinceTime is the time at which the ticket in force came.
type sinceTime struct {
	mu sync.Mutex
	at time.Time
}

func (s *sinceTime) set(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = at
}

func (s *sinceTime) get() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at
}

// stateChanged puts a new ticket in force in all roles.
func (d *Daemon) stateChanged(state *ticket.State, at time.Time) {
	d.since.set(at)
	d.client.Refresh(state)
	d.dispatcher.Refresh(state)
	d.log.Info("ticket is in force", "ticket", state.Head.Number, "attempt", state.Head.Attempt)
}

// membersChanged finds new owners after a change of the list of daemons.
func (d *Daemon) membersChanged() {
	d.dispatcher.Refresh(d.follower.Current())
}

// readers is the number of ticket readers in an availability zone.
const readers = 2

// readerRank returns the position of this daemon among the readers of its
// availability zone, or -1.
func (d *Daemon) readerRank() int {
	zone := d.settings.Daemon.AvailabilityZone
	chosen := shard.Owners("reader/"+zone, d.members.Hosts(zone), readers)
	return slices.Index(chosen, d.settings.Daemon.Host)
}

func (d *Daemon) isReader() bool {
	return d.readerRank() >= 0
}

func (d *Daemon) isFirstReader() bool {
	return d.readerRank() == 0
}

// followTimeout bounds the reading of a peer's state.
const followTimeout = 10 * time.Second

// ticketHeard reads a newer ticket from the peer that has it in force. One peer
// is read at a time; heartbeats repeat what is missed meanwhile.
func (d *Daemon) ticketHeard(host string, _ ticket.Number) {
	select {
	case d.following <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-d.following }()
		d.followPeer(host)
	}()
}

func (d *Daemon) followPeer(host string) {
	address, ok := d.members.Resolve(host)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), followTimeout)
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

// isLive tells whether the life of a front that made a claim goes on.
func (d *Daemon) isLive(host string, tag uint32) bool {
	known, ok := d.members.Member(host)
	return ok && known.FrontTag() == tag && lifeOf(known) == dispatch.IncarnationAlive
}

// cancelHold ends a request at its endpoints.
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

type wireLeaving struct {
	_     struct{} `cbor:",toarray"`
	Hosts []string
}

func (d *Daemon) spreadLeaving(hosts []string) {
	d.dispatcher.SetListedLeaving(hosts)
	d.spread(member.GossipLeavingHosts, wireLeaving{Hosts: hosts})
}

func (d *Daemon) hearLeaving(_ string, payload []byte) bool {
	var wire wireLeaving
	if link.Decode(payload, &wire) != nil {
		return false
	}
	d.dispatcher.SetListedLeaving(wire.Hosts)
	return true
}
