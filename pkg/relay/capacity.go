package relay

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/balance"
	"github.com/turmerictide/turmerictide/pkg/capacity"
	"github.com/turmerictide/turmerictide/pkg/directory"
)

// admitToCapacity rejects a plain call that all endpoints together cannot serve within the
// target, beside the calls of all hosts. Endpoints that name rate limits bound their calls
// themselves.
func (r *Relay) admitToCapacity(j *job) error {
	if r.config.Capacity == nil || !r.config.Limits.IsEmpty() {
		return nil
	}
	admitted, retryAfter := r.config.Capacity.Admit(r.config.Now(), j.service.Name, j.isUrgent())
	if !admitted {
		return &Fault{Cause: CauseFull, RetryAfter: retryAfter}
	}
	return nil
}

// addEstimate adds what all hosts have learned of an endpoint to a candidate.
func (r *Relay) addEstimate(now time.Time, endpoint directory.Endpoint, candidate *balance.Candidate) {
	if r.config.Capacity == nil {
		return
	}
	if e, ok := r.config.Capacity.Estimate(now, endpoint); ok {
		candidate.Rate, candidate.Load, candidate.FailureRate, candidate.Part = e.Rate, e.Load, e.FailureRate, e.Part
	}
}

// recordEvidence records the outcome of a request to a plain endpoint for all hosts. A rejection
// of a full endpoint shows no failure.
func (r *Relay) recordEvidence(now time.Time, endpoint directory.Endpoint, outcome balance.Outcome, took time.Duration) {
	if r.config.Capacity == nil {
		return
	}
	result := capacity.Ignored
	switch outcome {
	case balance.Succeeded:
		result = capacity.Served
	case balance.Failed, balance.Unreachable:
		result = capacity.Failed
	case balance.Rejected, balance.Cancelled:
	}
	r.config.Capacity.RecordEnd(now, endpoint, result, took)
}
