package relay

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/holdoff"
)

// Notice is what an endpoint says of itself beside an answer.
type Notice struct {
	// Leaving is true when it is leaving, and is to get no further request.
	Leaving bool
	// Wait is how long it wants no requests from this host, 0 for not at all.
	Wait time.Duration
}

// Notices acts on what endpoints say of themselves. That one leaves holds for all
// daemons; what it wants of this host alone goes with this host's offers.
type Notices struct {
	Directory *directory.Directory
	Holdoffs  *holdoff.Register
	// Spread tells the owners of a service's shards and all other daemons of a life that
	// leaves.
	Spread func(service string, life directory.Life)
	Now    func() time.Time
	Log    logr.Logger
}

// Heard takes a notice of an endpoint from the head of an answer.
func (n *Notices) Heard(endpoint directory.Endpoint, notice Notice) {
	now := n.Now()
	life := directory.LifeOf(endpoint)
	if notice.Leaving && n.Directory.Leave(now, life) {
		n.Spread(endpoint.Service, life)
	}
	if notice.Wait > 0 {
		until := n.Holdoffs.Record(now, endpoint.Name, endpoint.Born, notice.Wait)
		n.Log.Info("endpoint wants no requests for a while", "endpoint", endpoint.Name,
			"asked_ms", notice.Wait.Milliseconds(), "held_off_ms", until.Sub(now).Milliseconds())
	}
}

// HeardOf takes a life that leaves from another daemon, and reports whether that is to be
// passed on.
func (n *Notices) HeardOf(life directory.Life) bool {
	return n.Directory.Leave(n.Now(), life)
}
