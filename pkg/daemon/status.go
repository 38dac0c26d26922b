package daemon

import (
	"strconv"

	"github.com/turmerictide/turmerictide/pkg/metric"
	"github.com/turmerictide/turmerictide/pkg/operator"
)

// status returns the state of this daemon for operators.
func (d *Daemon) status() operator.Status {
	result := operator.Status{
		Host: d.settings.Daemon.Host, AvailabilityZone: d.settings.Daemon.AvailabilityZone,
		Ticket: d.follower.Number(), TicketSince: d.ticketSince.get(),
		Serving:     d.front.Serving(),
		HostsDigest: strconv.FormatUint(d.members.Digest(), 16),
	}
	if state := d.follower.Current(); state != nil {
		result.TicketAttempt = state.Head.Attempt
		result.Ready = true
	}
	for _, m := range d.members.Members() {
		result.Hosts = append(result.Hosts, operator.Host{
			Host: m.Host, AvailabilityZone: m.AvailabilityZone, Peer: m.Peer, State: m.State.String(),
		})
	}
	for _, s := range d.dispatcher.Summaries() {
		result.Shards = append(result.Shards, operator.Shard{
			Shard: s.Key.String(), Owned: s.Owned, Queued: s.Load.Queued, Held: s.Load.Held,
			DecodeUsed: s.Load.DecodeUsed, DecodeLimit: s.Load.DecodeLimit,
			PiecesUsed: s.Load.PiecesUsed, PiecesLimit: s.Load.PiecesLimit,
		})
	}
	traffic := d.mesh.Traffic()
	result.Traffic = operator.Traffic{
		SentBytes: traffic.SentBytes, ReceivedBytes: traffic.ReceivedBytes,
		SentFrames: traffic.SentFrames, ReceivedFrames: traffic.ReceivedFrames,
		DroppedFrames: traffic.DroppedFrames, Connections: traffic.Connections,
	}
	return result
}

// gauges returns the gauges of a Daemon. Their values are read with each read of the
// metrics.
func (d *Daemon) gauges() []metric.Gauge {
	return append(d.peers.gauges(), []metric.Gauge{
		{Name: "serving", Read: func() int64 { return int64(d.front.Serving()) }},
		{Name: "ticket_number", Read: func() int64 { return int64(d.follower.Number()) }},
		{Name: "ticket_age_seconds", Read: func() int64 { return int64(d.now().Sub(d.ticketSince.get()).Seconds()) }},
		{Name: "claims_waiting", Read: func() int64 { return int64(d.committer.QueueLength()) }},
		{Name: "retries_denied", Read: func() int64 { _, denied := d.front.RetryCounts(); return denied }},
	}...)
}

// gauges returns the gauges that daemons of both protocols have.
func (p *peers) gauges() []metric.Gauge {
	return []metric.Gauge{
		{Name: "members", Read: func() int64 { return int64(len(p.members.Hosts(""))) }},
		{Name: "link_sent_bytes", Read: func() int64 { return int64(p.mesh.Traffic().SentBytes) }},
		{Name: "link_received_bytes", Read: func() int64 { return int64(p.mesh.Traffic().ReceivedBytes) }},
		{Name: "link_dropped_frames", Read: func() int64 { return int64(p.mesh.Traffic().DroppedFrames) }},
		{Name: "shards_owned", Read: func() int64 { return int64(len(p.dispatcher.Summaries())) }},
		{Name: "queued", Read: p.queuedRequests},
		{Name: "grants", Read: func() int64 { return p.dispatcher.Counts().Grants }},
		{Name: "refusals", Read: func() int64 { return p.dispatcher.Counts().Rejections }},
		{Name: "processor_milliseconds", Read: processorMilliseconds},
	}
}

func (p *peers) queuedRequests() int64 {
	total := int64(0)
	for _, s := range p.dispatcher.Summaries() {
		total += int64(s.Load.Queued)
	}
	return total
}
