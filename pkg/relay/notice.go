package relay

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/holdoff"
	"github.com/turmerictide/turmerictide/pkg/ratelimit"
)

// Notice is what an endpoint reports about itself in the header of a response.
type Notice struct {
	// Leaving is true when the endpoint is leaving and must get no further request.
	Leaving bool
	// HoldOff is the time for which the endpoint accepts no requests from this host, 0 if it
	// requests no hold-off.
	HoldOff time.Duration
	// Limit is what the response says about the endpoint's rate limit, nil for nothing.
	Limit *LimitNotice
}

// LimitNotice is what a response says about the rate limit of its endpoint for all hosts
// together.
type LimitNotice struct {
	// Named is true if the response names a limit, Rate the limit in requests a second.
	Named bool
	Rate  float64
	// SentAt is the time when the request was sent.
	SentAt time.Time
}

// NoticeHandler processes notices of endpoints. A drain notice applies to all daemons. A
// hold-off applies only to this host and is part of its offers to dispatchers.
type NoticeHandler struct {
	Directory *directory.Directory
	Holdoffs  *holdoff.Register
	Limits    *ratelimit.Register
	// BroadcastLeaving sends a drain notice for an incarnation of an endpoint to the owners
	// of the service's shards and to all other daemons.
	BroadcastLeaving func(service string, incarnation directory.Incarnation)
	// BroadcastLimit sends the rate limit of an endpoint to all other daemons.
	BroadcastLimit func(limit ratelimit.Limit)
	Now            func() time.Time
	Log            logr.Logger
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
	if notice.Limit != nil {
		n.recordLimit(now, endpoint, *notice.Limit)
	}
}

// recordLimit stores the rate limit that an endpoint names, or its end.
func (n *NoticeHandler) recordLimit(now time.Time, endpoint directory.Endpoint, notice LimitNotice) {
	limit := ratelimit.Limit{Endpoint: endpoint.Name, Born: endpoint.Born, HeardAt: now}
	if notice.Named {
		limit.Rate = ratelimit.Bound(notice.Rate)
	}
	if !n.Limits.Record(limit, notice.SentAt) {
		return
	}
	n.BroadcastLimit(limit)
	n.logLimit(limit, "response")
}

func (n *NoticeHandler) logLimit(limit ratelimit.Limit, source string) {
	n.Log.Info("rate limit of endpoint has changed", "endpoint", limit.Endpoint, "born", limit.Born, "requests_per_second", limit.Rate,
		"source", source, "age_ms", n.Now().Sub(limit.HeardAt).Milliseconds())
}

// HandlePeerLimit processes a rate limit that a peer has broadcast. It reports whether to
// forward it.
func (n *NoticeHandler) HandlePeerLimit(limit ratelimit.Limit, origin string) bool {
	if !n.Limits.Apply(limit) {
		return false
	}
	n.logLimit(limit, origin)
	return true
}

// HandlePeerLeaving processes a drain notice that a peer has broadcast. It reports whether
// to forward the notice.
func (n *NoticeHandler) HandlePeerLeaving(incarnation directory.Incarnation) bool {
	return n.Directory.MarkLeaving(n.Now(), incarnation)
}
