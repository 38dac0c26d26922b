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
	"github.com/turmerictide/turmerictide/pkg/poison"
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

func (d *Daemon) resolve(host string) (netip.AddrPort, bool) {
	return d.members.Resolve(host)
}

// unreachable is called when a new connection to a host could not be opened.
func (d *Daemon) unreachable(host string) {
	d.client.Avoid(host)
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

// frontLife tells whether the life of a front goes on, for a dispatcher that
// first heard of it at a time. A host whose present life was heard of later than
// that has ended the earlier one. Without a host, all daemons are searched.
func (d *Daemon) frontLife(tag uint32, host string, heard time.Time) dispatch.Life {
	if host == "" {
		return d.lifeOfTag(tag)
	}
	known, ok := d.members.Member(host)
	switch {
	case ok && known.FrontTag() == tag:
		return lifeOf(known)
	case ok && d.members.LifeSince(host).After(heard):
		return dispatch.LifeEnded
	default:
		return dispatch.LifeUnknown
	}
}

func (d *Daemon) lifeOfTag(tag uint32) dispatch.Life {
	for _, known := range d.members.Members() {
		if known.FrontTag() == tag {
			return lifeOf(known)
		}
	}
	return dispatch.LifeUnknown
}

func lifeOf(known member.Member) dispatch.Life {
	if known.State == member.StateDead {
		return dispatch.LifeEnded
	}
	return dispatch.LifeAlive
}

// isLive tells whether the life of a front that made a claim goes on.
func (d *Daemon) isLive(host string, tag uint32) bool {
	known, ok := d.members.Member(host)
	return ok && known.FrontTag() == tag && lifeOf(known) == dispatch.LifeAlive
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

type wirePressure struct {
	_        struct{} `cbor:",toarray"`
	Shard    dispatch.ShardID
	Pressure dispatch.Pressure
}

type wireMark struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint poison.Fingerprint
	Verdict     poison.Verdict
	Endpoint    string
}

type wireLeaving struct {
	_     struct{} `cbor:",toarray"`
	Hosts []string
}

func (d *Daemon) spread(kind member.RumourKind, body any) {
	payload, err := link.Encode(body)
	if err != nil {
		d.log.Error(err, "rumour was not encoded")
		return
	}
	d.members.Spread(kind, payload)
}

func (d *Daemon) spreadPressure(id dispatch.ShardID, pressure dispatch.Pressure) {
	d.client.SetPressure(id, pressure)
	d.spread(member.RumourPressure, wirePressure{Shard: id, Pressure: pressure})
}

func (d *Daemon) hearPressure(_ string, payload []byte) {
	var wire wirePressure
	if link.Decode(payload, &wire) == nil {
		d.client.SetPressure(wire.Shard, wire.Pressure)
	}
}

func (d *Daemon) spreadMark(mark poison.Mark) {
	d.spread(member.RumourPoison, wireMark{Fingerprint: mark.Fingerprint, Verdict: mark.Verdict, Endpoint: mark.Endpoint})
}

func (d *Daemon) hearMark(_ string, payload []byte) {
	var wire wireMark
	if link.Decode(payload, &wire) == nil {
		d.poison.Apply(d.now(), poison.Mark{Fingerprint: wire.Fingerprint, Verdict: wire.Verdict, Endpoint: wire.Endpoint})
	}
}

func (d *Daemon) spreadLeaving(hosts []string) {
	d.dispatcher.SetListedLeaving(hosts)
	d.spread(member.RumourHosts, wireLeaving{Hosts: hosts})
}

func (d *Daemon) hearLeaving(_ string, payload []byte) {
	var wire wireLeaving
	if link.Decode(payload, &wire) == nil {
		d.dispatcher.SetListedLeaving(wire.Hosts)
	}
}
