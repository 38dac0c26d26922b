package relay

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/holdoff"
)

// Notice is what an endpoint reports about itself in the header of a response.
type Notice struct {
	// Leaving is true when the endpoint is leaving and must get no further request.
	Leaving bool
	// HoldOff is the time for which the endpoint accepts no requests from this host, 0 if it
	// requests no hold-off.
	HoldOff time.Duration
}

// NoticeHandler processes notices of endpoints. A drain notice applies to all daemons. A
// hold-off applies only to this host and is part of its offers to dispatchers.
type NoticeHandler struct {
	Directory *directory.Directory
	Holdoffs  *holdoff.Register
	// BroadcastLeaving sends a drain notice for an incarnation of an endpoint to the owners
	// of the service's shards and to all other daemons.
	BroadcastLeaving func(service string, incarnation directory.Incarnation)
	Now              func() time.Time
	Log              logr.Logger
}

// HandleNotice processes a notice from the header of a response.
func (n *NoticeHandler) HandleNotice(endpoint directory.Endpoint, notice Notice) {
	now := n.Now()
	incarnation := directory.IncarnationOf(endpoint)
	if notice.Leaving && n.Directory.MarkLeaving(now, incarnation) {
		n.BroadcastLeaving(endpoint.Service, incarnation)
	}
	if notice.HoldOff > 0 {
		until := n.Holdoffs.Record(now, endpoint.Name, endpoint.Born, notice.HoldOff)
		n.Log.Info("endpoint requested a hold-off", "endpoint", endpoint.Name,
			"asked_ms", notice.HoldOff.Milliseconds(), "held_off_ms", until.Sub(now).Milliseconds())
	}
}

// HandlePeerLeaving processes a drain notice that a peer has broadcast. It reports whether
// to forward the notice.
func (n *NoticeHandler) HandlePeerLeaving(incarnation directory.Incarnation) bool {
	return n.Directory.MarkLeaving(n.Now(), incarnation)
}
