package daemon

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/member"
)

// wireLife tells the other daemons of a life of an endpoint that leaves by its own word.
type wireLife struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// BornMilliseconds is the Unix time of its start, 0 where that is not known.
	BornMilliseconds int64
}

func encodeLife(life directory.Incarnation) wireLife {
	wire := wireLife{Name: life.Name}
	if !life.Born.IsZero() {
		wire.BornMilliseconds = life.Born.UnixMilli()
	}
	return wire
}

func (w wireLife) life() directory.Incarnation {
	life := directory.Incarnation{Name: w.Name}
	if w.BornMilliseconds != 0 {
		life.Born = time.UnixMilli(w.BornMilliseconds)
	}
	return life
}

// spreadLife tells the owners of a service's shards, and all other daemons, of a life that
// leaves.
func (d *PlatformDaemon) spreadLife(service string, life directory.Incarnation) {
	d.spread(member.GossipLeavingEndpoint, encodeLife(life), d.client.Owners(service)...)
}

// hearLife takes a life that leaves from another daemon. It is passed on while it is
// news.
func (d *PlatformDaemon) hearLife(_ string, payload []byte) bool {
	var wire wireLife
	if link.Decode(payload, &wire) != nil {
		return false
	}
	return d.notices.HandlePeerLeaving(wire.life())
}
