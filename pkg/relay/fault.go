package relay

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Cause says why a call got no answer of an endpoint.
type Cause string

// The causes. CauseNone stands for an endpoint's answer.
const (
	CauseNone Cause = ""
	// CauseNoState: no configuration is known here yet.
	CauseNoState Cause = "no_state"
	CauseNoRoute Cause = "no_route"
	// CauseNoEndpoint: no endpoint of the service can be used.
	CauseNoEndpoint Cause = "no_endpoint"
	// CauseFull: all endpoints that can be used are full.
	CauseFull Cause = "full"
	// CauseTooLate: the call cannot be served in time.
	CauseTooLate Cause = "too_late"
	// CauseLeaving: the daemon shuts down.
	CauseLeaving Cause = "leaving"
	// CausePoisoned: calls like this one have crashed the endpoints that ran them.
	CausePoisoned Cause = "poisoned"
	// CauseTimeout: the time was over while an endpoint may have worked on the call.
	CauseTimeout Cause = "timeout"
	// CauseEndpointFailed: the endpoint that may have run the call gave no answer.
	CauseEndpointFailed Cause = "endpoint_failed"
	// CauseCallerGone: the caller no longer waits.
	CauseCallerGone Cause = "caller_gone"
	// CauseBroken: the answer broke off after it had begun.
	CauseBroken Cause = "answer_broken"
)

// notRun reports whether the cause stands for a call that no endpoint has run.
func (c Cause) notRun() bool {
	switch c {
	case CauseNoState, CauseNoEndpoint, CauseFull, CauseTooLate, CauseLeaving, CausePoisoned:
		return true
	}
	return false
}

// Fault is the final word on a call that got no answer of an endpoint.
type Fault struct {
	Cause Cause
	// RetryAfter is when the caller is to come back, for a call that was not run.
	RetryAfter time.Duration
}

// Error returns the cause.
func (f *Fault) Error() string {
	return "call was not served: " + string(f.Cause)
}

// IsNotRun reports whether no endpoint has run the call or ever will.
func (f *Fault) IsNotRun() bool {
	return f.Cause.notRun()
}

// ErrAnswerBroken reports an answer that has begun and cannot be completed.
var ErrAnswerBroken = errors.New("answer broke off")

// errTimeout ends calls at the timeout of their route or their caller's deadline.
var errTimeout = errors.New("time is over")

const (
	// stateRetryAfter is the time in which a starting daemon learns its state.
	stateRetryAfter = 500 * time.Millisecond
	// leavingRetryAfter lets callers come back at once, at another daemon.
	leavingRetryAfter = 100 * time.Millisecond
	// refusalRetryAfter is the time in which a full or missing endpoint of a
	// plain service may be back.
	refusalRetryAfter = 250 * time.Millisecond
)
