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

// code is the stable error code in an error response.
type code string

const (
	codeBodyTooLarge     code = "body_too_large"
	codeFramingInvalid   code = "framing_invalid"
	codeInvalidJSON      code = "invalid_json"
	codeModelMissing     code = "model_missing"
	codeModelUnknown     code = "model_unknown"
	codeServiceUnknown   code = "service_unknown"
	codeRouteUnknown     code = "route_unknown"
	codeMethodNotAllowed code = "method_not_allowed"
	codeTokenInvalid     code = "token_invalid"
	codeRankForbidden    code = "rank_forbidden"
	codeNotReady         code = "not_ready"
	codeTargetsUnmet     code = "targets_cannot_be_met"
	codeQueueFull        code = "queue_full"
	codeNoEndpoint       code = "no_endpoint"
	codeRequestTooLarge  code = "request_too_large"
	codePoisoned         code = "request_crashes_endpoints"
	codeEndpointFailed   code = "endpoint_failed"
	codeEndpointRejected code = "endpoint_rejected"
	codeCallerGone       code = "caller_gone"
	codeNotRun           code = "not_run"
	codeOutcomeUnknown   code = "outcome_unknown"
	codeAlreadyRun       code = "already_run"
	codeInProgress       code = "in_progress"
	codeKeyReused        code = "idempotency_key_reused"
)

// responseByCode lists the HTTP status and the error type of each code.
var responseByCode = map[code]struct {
	status int
	kind   string
}{
	codeBodyTooLarge:     {http.StatusRequestEntityTooLarge, "invalid_request_error"},
	codeFramingInvalid:   {http.StatusBadRequest, "invalid_request_error"},
	codeInvalidJSON:      {http.StatusBadRequest, "invalid_request_error"},
	codeModelMissing:     {http.StatusBadRequest, "invalid_request_error"},
	codeModelUnknown:     {http.StatusNotFound, "invalid_request_error"},
	codeServiceUnknown:   {http.StatusNotFound, "invalid_request_error"},
	codeRouteUnknown:     {http.StatusNotFound, "invalid_request_error"},
	codeMethodNotAllowed: {http.StatusMethodNotAllowed, "invalid_request_error"},
	codeTokenInvalid:     {http.StatusUnauthorized, "authentication_error"},
	codeRankForbidden:    {http.StatusForbidden, "permission_error"},
	codeNotReady:         {http.StatusServiceUnavailable, "server_error"},
	codeTargetsUnmet:     {http.StatusTooManyRequests, "rate_limit_error"},
	codeQueueFull:        {http.StatusTooManyRequests, "rate_limit_error"},
	codeNoEndpoint:       {http.StatusServiceUnavailable, "server_error"},
	codeRequestTooLarge:  {http.StatusBadRequest, "invalid_request_error"},
	codePoisoned:         {http.StatusUnprocessableEntity, "invalid_request_error"},
	codeEndpointFailed:   {http.StatusBadGateway, "server_error"},
	codeEndpointRejected: {http.StatusBadRequest, "invalid_request_error"},
	codeCallerGone:       {statusCallerGone, "invalid_request_error"},
	codeNotRun:           {http.StatusServiceUnavailable, "server_error"},
	codeOutcomeUnknown:   {http.StatusBadGateway, "server_error"},
	codeAlreadyRun:       {http.StatusConflict, "conflict_error"},
	codeInProgress:       {http.StatusConflict, "conflict_error"},
	codeKeyReused:        {http.StatusUnprocessableEntity, "invalid_request_error"},
}

// statusCallerGone is the status for a caller that closed its connection. It is
// the nonstandard status that nginx uses for this.
const statusCallerGone = 499

// fault is an error response to a caller. A retryAfter of 0 sends no Retry-After header.
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

func newRetryableFault(c code, message string, retryAfter time.Duration) *fault {
	return &fault{code: c, message: message, retryAfter: retryAfter}
}

// defaultRetryAfter is the Retry-After of responses without an estimate from a queue.
const defaultRetryAfter = 2 * time.Second

// toFault maps an error of a request to the error response.
func toFault(err error) *fault {
	var known *fault
	var rejected *dispatch.RejectedError
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &rejected):
		return rejectionFault(rejected.Rejection)
	case errors.Is(err, context.Canceled):
		return newFault(codeCallerGone, "the caller closed the connection")
	case errors.Is(err, context.DeadlineExceeded):
		return newRetryableFault(codeTargetsUnmet, "no decision came within the latency target", defaultRetryAfter)
	case errors.Is(err, dispatch.ErrNoShard):
		return newRetryableFault(codeNoEndpoint, "no endpoint of the service can be reached", defaultRetryAfter)
	default:
		return newRetryableFault(codeEndpointFailed, "the endpoint failed", defaultRetryAfter)
	}
}

func rejectionFault(r dispatch.Rejection) *fault {
	switch r.Cause {
	case dispatch.CauseTooLarge:
		return newFault(codeRequestTooLarge, "the prompt and output do not fit in any endpoint's memory")
	case dispatch.CauseNoEndpoint:
		return newRetryableFault(codeNoEndpoint, "the service has no endpoint now", r.RetryAfter)
	case dispatch.CauseQueueFull:
		return newRetryableFault(codeQueueFull, "too many requests wait", r.RetryAfter)
	default:
		return newRetryableFault(codeTargetsUnmet, "the latency targets cannot be met now", r.RetryAfter)
	}
}

type errorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

type errorResponse struct {
	Error errorBody `json:"error"`
}

func newErrorResponse(f *fault) errorResponse {
	return errorResponse{Error: errorBody{Message: f.message, Type: responseByCode[f.code].kind, Code: string(f.code)}}
}

// writeError sends an error response with its Retry-After header.
func writeError(w http.ResponseWriter, f *fault) {
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	writeJSON(w, responseByCode[f.code].status, newErrorResponse(f))
}

// writeJSON sends a response with its length. Without it, the end of the connection would
// be the end of a long response to a caller that speaks HTTP/1.0.
func writeJSON(w http.ResponseWriter, status int, message any) {
	encoded, err := json.Marshal(message)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(encoded, '\n'))
}
