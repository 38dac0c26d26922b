package front

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
)

// code is a stable name for a kind of error answer.
type code string

const (
	codeBodyTooLarge   code = "body_too_large"
	codeInvalidJSON    code = "invalid_json"
	codeModelMissing   code = "model_missing"
	codeModelUnknown   code = "model_unknown"
	codeServiceUnknown code = "service_unknown"
	codeRouteUnknown   code = "route_unknown"
	codeMethodWrong    code = "method_not_allowed"
	codeTokenInvalid   code = "token_invalid"
	codeRankForbidden  code = "rank_forbidden"
	codeNotReady       code = "not_ready"
	codeTooLate        code = "targets_cannot_be_met"
	codeQueueFull      code = "queue_full"
	codeNoEndpoint     code = "no_endpoint"
	codeTooLarge       code = "request_too_large"
	codePoisoned       code = "request_crashes_endpoints"
	codeEndpointFailed code = "endpoint_failed"
	codeRejected       code = "endpoint_rejected"
	codeCallerGone     code = "caller_gone"
	codeNotRun         code = "not_run"
	codeOutcomeUnknown code = "outcome_unknown"
	codeAlreadyRun     code = "already_run"
	codeInProgress     code = "in_progress"
	codeKeyReused      code = "idempotency_key_reused"
)

// answerOf lists the status and the error type of each code.
var answerOf = map[code]struct {
	status int
	kind   string
}{
	codeBodyTooLarge:   {http.StatusRequestEntityTooLarge, "invalid_request_error"},
	codeInvalidJSON:    {http.StatusBadRequest, "invalid_request_error"},
	codeModelMissing:   {http.StatusBadRequest, "invalid_request_error"},
	codeModelUnknown:   {http.StatusNotFound, "invalid_request_error"},
	codeServiceUnknown: {http.StatusNotFound, "invalid_request_error"},
	codeRouteUnknown:   {http.StatusNotFound, "invalid_request_error"},
	codeMethodWrong:    {http.StatusMethodNotAllowed, "invalid_request_error"},
	codeTokenInvalid:   {http.StatusUnauthorized, "authentication_error"},
	codeRankForbidden:  {http.StatusForbidden, "permission_error"},
	codeNotReady:       {http.StatusServiceUnavailable, "server_error"},
	codeTooLate:        {http.StatusTooManyRequests, "rate_limit_error"},
	codeQueueFull:      {http.StatusTooManyRequests, "rate_limit_error"},
	codeNoEndpoint:     {http.StatusServiceUnavailable, "server_error"},
	codeTooLarge:       {http.StatusBadRequest, "invalid_request_error"},
	codePoisoned:       {http.StatusUnprocessableEntity, "invalid_request_error"},
	codeEndpointFailed: {http.StatusBadGateway, "server_error"},
	codeRejected:       {http.StatusBadRequest, "invalid_request_error"},
	codeCallerGone:     {statusCallerGone, "invalid_request_error"},
	codeNotRun:         {http.StatusServiceUnavailable, "server_error"},
	codeOutcomeUnknown: {http.StatusBadGateway, "server_error"},
	codeAlreadyRun:     {http.StatusConflict, "conflict_error"},
	codeInProgress:     {http.StatusConflict, "conflict_error"},
	codeKeyReused:      {http.StatusUnprocessableEntity, "invalid_request_error"},
}

// statusCallerGone is logged for a caller that closed its connection.
const statusCallerGone = 499

// fault is an error answer to a caller.
type fault struct {
	code       code
	message    string
	retryAfter time.Duration
}

// Error returns the code and the message.
func (f *fault) Error() string {
	return string(f.code) + ": " + f.message
}

func newFault(c code, message string) *fault {
	return &fault{code: c, message: message}
}

func newRetryFault(c code, message string, after time.Duration) *fault {
	return &fault{code: c, message: message, retryAfter: after}
}

// defaultRetryAfter is told when no queue says when to come back.
const defaultRetryAfter = 2 * time.Second

// faultOf maps an error of acquiring a reservation to an answer.
func faultOf(err error) *fault {
	var known *fault
	var refused *dispatch.RejectedError
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &refused):
		return refusalFault(refused.Rejection)
	case errors.Is(err, context.Canceled):
		return newFault(codeCallerGone, "the caller closed the connection")
	case errors.Is(err, context.DeadlineExceeded):
		return newRetryFault(codeTooLate, "no decision came within the latency target", defaultRetryAfter)
	case errors.Is(err, dispatch.ErrNoShard):
		return newRetryFault(codeNoEndpoint, "no endpoint of the service can be reached", defaultRetryAfter)
	default:
		return newRetryFault(codeEndpointFailed, "the endpoint failed", defaultRetryAfter)
	}
}

func refusalFault(r dispatch.Rejection) *fault {
	switch r.Cause {
	case dispatch.CauseTooLarge:
		return newFault(codeTooLarge, "the prompt and output do not fit in any endpoint's memory")
	case dispatch.CauseNoEndpoint:
		return newRetryFault(codeNoEndpoint, "the service has no endpoint now", r.RetryAfter)
	case dispatch.CauseQueueFull:
		return newRetryFault(codeQueueFull, "too many requests wait", r.RetryAfter)
	default:
		return newRetryFault(codeTooLate, "the latency targets cannot be met now", r.RetryAfter)
	}
}

type errorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

type errorAnswer struct {
	Error errorBody `json:"error"`
}

func newErrorAnswer(f *fault) errorAnswer {
	return errorAnswer{Error: errorBody{Message: f.message, Type: answerOf[f.code].kind, Code: string(f.code)}}
}

// writeError sends an error answer at once, with when to come back.
func writeError(w http.ResponseWriter, f *fault) {
	w.Header().Set("Content-Type", "application/json")
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	w.WriteHeader(answerOf[f.code].status)
	_ = json.NewEncoder(w).Encode(newErrorAnswer(f))
}
