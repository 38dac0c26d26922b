package relay

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Cause is the reason why a call got no complete response from an endpoint.
type Cause string

// The causes. CauseNone stands for a response from an endpoint.
const (
	CauseNone Cause = ""
	// CauseNoState: this daemon has no configuration yet.
	CauseNoState Cause = "no_state"
	CauseNoRoute Cause = "no_route"
	// CauseNoEndpoint: no endpoint of the service is usable, no dispatcher decided on the
	// call, or all attempts ended before an endpoint ran it.
	CauseNoEndpoint Cause = "no_endpoint"
	// CauseFull: no endpoint accepted a plain call, or the retry budget is exhausted.
	CauseFull Cause = "full"
	// CauseRateLimited: all endpoints of a plain service are at the rate limits that they name.
	CauseRateLimited Cause = "rate_limited"
	// CauseTooLate: the call cannot be served in time.
	CauseTooLate Cause = "too_late"
	// CauseLeaving: the daemon is shutting down.
	CauseLeaving Cause = "leaving"
	// CausePoisoned: calls like this one have crashed the endpoints that ran them.
	CausePoisoned Cause = "poisoned"
	// CauseVersionUnknown: the call resumes a stream, and the software version that began it is not
	// known. CauseVersionGone: no endpoint of that version accepts calls.
	CauseVersionUnknown Cause = "version_unknown"
	CauseVersionGone    Cause = "version_gone"
	// CauseTimeout: the call timed out after an endpoint may have started to run it.
	CauseTimeout Cause = "timeout"
	// CauseEndpointFailed: the endpoint that may have run the call sent no response.
	CauseEndpointFailed Cause = "endpoint_failed"
	// CauseInterrupted: the daemon stopped after an endpoint may have started to run the call.
	CauseInterrupted Cause = "interrupted"
	// CauseUnauthenticated: the caller sent no key of a team.
	CauseUnauthenticated Cause = "unauthenticated"
	// CauseStale: keys may have been revoked since this daemon last confirmed its configuration.
	CauseStale Cause = "stale_configuration"
	// CauseOverLimit: the team is over its rate limit.
	CauseOverLimit Cause = "over_limit"
	// CauseMemory: the daemon has no memory for the call, which waited.
	CauseMemory Cause = "no_memory"
	// CauseCallerGone: the caller has disconnected.
	CauseCallerGone Cause = "caller_gone"
	// CauseBroken: the response was truncated after it had begun.
	CauseBroken Cause = "answer_broken"
)

// isNotRun reports whether the cause stands for a call that no endpoint has run and that
// may be retried.
func (c Cause) isNotRun() bool {
	switch c {
	case CauseNoState, CauseNoEndpoint, CauseFull, CauseRateLimited, CauseTooLate, CauseLeaving, CausePoisoned, CauseVersionUnknown, CauseVersionGone, CauseStale, CauseOverLimit, CauseMemory:
		return true
	}
	return false
}

// Fault is the error of a call that got no response from an endpoint. It is final.
type Fault struct {
	Cause Cause
	// RetryAfter is the time after which the caller should retry a call that was not run.
	RetryAfter time.Duration
}

// Error returns a message with the cause.
func (f *Fault) Error() string {
	return "call was not served: " + string(f.Cause)
}

// IsNotRun reports whether no endpoint has run the call or will run it later. It is false
// for CauseNoRoute, which has no RetryAfter.
func (f *Fault) IsNotRun() bool {
	return f.Cause.isNotRun()
}

// ErrResponseTruncated reports that a response has begun and cannot be completed.
var ErrResponseTruncated = errors.New("response was truncated")

// errTimeout is the cancellation cause at the timeout of the route or the deadline of the
// caller.
var errTimeout = errors.New("deadline exceeded")

// errShed is the cancellation cause of a call that was given up before any send for lack of memory.
var errShed = errors.New("no memory for the call")

const (
	// memoryRetryAfter is the time in which requests with bodies of typical size are served.
	memoryRetryAfter = 500 * time.Millisecond
	// stateRetryAfter is the time in which a starting daemon reads its state.
	stateRetryAfter = 500 * time.Millisecond
	// leavingRetryAfter lets callers retry almost immediately, at another daemon.
	leavingRetryAfter = 100 * time.Millisecond
	// rejectionRetryAfter is the time in which a full or missing endpoint of a plain
	// service may become available.
	rejectionRetryAfter = 250 * time.Millisecond
)
