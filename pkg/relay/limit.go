package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// acquirePermit reports whether a request of a call may be sent now to an endpoint, which may
// have named a rate limit.
func (r *Relay) acquirePermit(ctx context.Context, j *job, e directory.Endpoint) bool {
	if !r.config.Limits.IsLimited(e.Name, e.Born) {
		return true
	}
	if r.config.Limits.Acquire(ctx, e.Name, e.Born, j.isUrgent()) {
		return true
	}
	r.config.Log.V(1).Info("endpoint is at its rate limit", "request_id", j.call.ID, "endpoint", e.Name)
	return false
}

// isUrgent reports whether no request for the call's service is more urgent.
func (j *job) isUrgent() bool {
	return j.state.IsMostUrgent(j.service.Name, j.priority)
}

// isClosed reports whether an endpoint accepts no requests of a call from this host now: it has
// requested a hold-off or is at its rate limit.
func (r *Relay) isClosed(now time.Time, j *job, e directory.Endpoint) bool {
	if _, heldOff := r.config.Holdoffs.Until(now, e.Name, e.Born); heldOff {
		return true
	}
	return r.config.Limits.IsLimited(e.Name, e.Born) && r.config.Limits.IsClosed(now, e.Name, e.Born, j.isUrgent())
}

// noEndpointFault returns the Fault of a plain call that no endpoint of its service may get now.
func (r *Relay) noEndpointFault(now time.Time, service string) *Fault {
	limits := 0.0
	for _, e := range r.config.State().Serving(service) {
		rate := r.config.Limits.Rate(e.Name, e.Born)
		if rate == 0 {
			return &Fault{Cause: CauseNoEndpoint, RetryAfter: rejectionRetryAfter}
		}
		limits += rate
	}
	if limits == 0 {
		return &Fault{Cause: CauseNoEndpoint, RetryAfter: rejectionRetryAfter}
	}
	return &Fault{Cause: CauseRateLimited, RetryAfter: r.config.Limits.RetryAfter(now, service, limits)}
}

// acquirePermits acquires the permits for both stages before the first one begins, so that no
// prompt is computed in vain.
func (m *modelRun) acquirePermits(ctx context.Context, reservation *dispatch.Reservation) error {
	r := m.relay
	for _, granted := range []ticket.Endpoint{reservation.Prefill, reservation.Decode} {
		e, ok := r.config.State().ServingAt(granted.Name, granted.Address)
		if ok && !r.acquirePermit(ctx, m.job, e) {
			m.unusableGrants++
			return errors.Newf("endpoint %s is at its rate limit: %w", granted.Name, errNotRun)
		}
	}
	return nil
}
