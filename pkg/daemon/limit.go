package daemon

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/member"
	"github.com/turmerictide/turmerictide/pkg/ratelimit"
	"github.com/turmerictide/turmerictide/pkg/shard"
)

// wireLimit is the rate limit that an incarnation of an endpoint names.
type wireLimit struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// BornMilliseconds is the Unix time of its start in milliseconds, 0 if unknown.
	BornMilliseconds int64
	// Rate is the number of requests a second, 0 for none.
	Rate float64
	// AgeMilliseconds is the time since the response that named it.
	AgeMilliseconds int64
}

// broadcastLimit sends the rate limit of an endpoint directly to its keeper, and by gossip to
// all other daemons.
func (d *PlatformDaemon) broadcastLimit(limit ratelimit.Limit) {
	incarnation := encodeIncarnation(directory.Incarnation{Name: limit.Endpoint, Born: limit.Born})
	d.broadcast(member.GossipRateLimit, wireLimit{
		Name: incarnation.Name, BornMilliseconds: incarnation.BornMilliseconds, Rate: limit.Rate,
		AgeMilliseconds: d.now().Sub(limit.HeardAt).Milliseconds(),
	}, d.limitKeeper(limit.Endpoint))
}

// handleLimit processes a rate limit from a peer, and reports whether to forward it. Only one
// that is new to this daemon is forwarded.
func (d *PlatformDaemon) handleLimit(origin string, payload []byte) bool {
	var wire wireLimit
	if link.Decode(payload, &wire) != nil || !(wire.Rate >= 0) {
		return false
	}
	incarnation := wireIncarnation{Name: wire.Name, BornMilliseconds: wire.BornMilliseconds}.incarnation()
	age := time.Duration(max(wire.AgeMilliseconds, 0)) * time.Millisecond
	return d.notices.HandlePeerLimit(ratelimit.Limit{
		Endpoint: incarnation.Name, Born: incarnation.Born, Rate: wire.Rate, HeardAt: d.now().Add(-age),
	}, origin)
}

// limitKeeper returns the host that grants the permits for an endpoint.
func (d *PlatformDaemon) limitKeeper(endpoint string) string {
	return shard.Owner("limit/"+endpoint, d.members.EligibleOwners(d.members.Hosts("")))
}

// limitShare returns the fraction of a limit that this daemon may grant as its keeper: that of
// the live daemons, as the others may be partitioned and have a keeper of their own.
func (d *PlatformDaemon) limitShare() float64 {
	return float64(d.countDaemons()) / float64(max(d.countPeakDaemons(), 1))
}
