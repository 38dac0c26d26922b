package daemon

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/member"
)

// wireIncarnation is the payload of a drain notice: the incarnation of an endpoint that has
// reported that it is leaving.
type wireIncarnation struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// BornMilliseconds is the Unix time of its start in milliseconds, 0 if unknown.
	BornMilliseconds int64
}

func encodeIncarnation(incarnation directory.Incarnation) wireIncarnation {
	wire := wireIncarnation{Name: incarnation.Name}
	if !incarnation.Born.IsZero() {
		wire.BornMilliseconds = incarnation.Born.UnixMilli()
	}
	return wire
}

func (w wireIncarnation) incarnation() directory.Incarnation {
	incarnation := directory.Incarnation{Name: w.Name}
	if w.BornMilliseconds != 0 {
		incarnation.Born = time.UnixMilli(w.BornMilliseconds)
	}
	return incarnation
}

// broadcastLeavingEndpoint sends the drain notice of an incarnation directly to the owners
// of the service's shards, and by gossip to all other daemons.
func (d *PlatformDaemon) broadcastLeavingEndpoint(service string, incarnation directory.Incarnation) {
	d.broadcast(member.GossipLeavingEndpoint, encodeIncarnation(incarnation), d.client.Owners(service)...)
}

// handleLeavingEndpoint processes a drain notice from a peer, and reports whether to
// forward it. Only a new one is forwarded.
func (d *PlatformDaemon) handleLeavingEndpoint(_ string, payload []byte) bool {
	var wire wireIncarnation
	if link.Decode(payload, &wire) != nil {
		return false
	}
	return d.notices.HandlePeerLeaving(wire.incarnation())
}
