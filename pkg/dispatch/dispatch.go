// Package dispatch decides who is served, where and when.
//
// The flow is: a front offers a Request to the owner of a shard. The owner's
// Planner, a pure function of state, event and the present time, queues it by
// rank and fairly between callers, and grants a prefill place, room on the
// transfer link and a decode place together, or refuses it at once with the time
// to come back. The front reports each stage as it ends, and the Planner releases
// what that stage held. An Owner runs one Planner and exchanges messages with
// fronts; a Client is the front's side of these messages.
package dispatch

import (
	"slices"
	"strconv"
	"time"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// RequestID identifies one attempt to run a request. A retry has a new one.
type RequestID uint64

// String returns the identifier in hexadecimal.
func (id RequestID) String() string {
	return strconv.FormatUint(uint64(id), 16)
}

// PrefixHash is the hash of a leading part of a prompt that an endpoint may have
// cached.
type PrefixHash uint32

// PrefixTokens are the lengths of the leading parts that are hashed.
var PrefixTokens = [...]int{256, 1024, 4096, 16384}

// Request is one attempt to run a request of a caller.
type Request struct {
	ID     RequestID
	Front  string
	Caller string
	// Rank is the position in the service's ranks, 0 the most urgent.
	Rank         int
	PromptTokens int
	// OutputTokens is the limit on tokens to generate.
	OutputTokens int
	// ExpectedTokens is the caller's guess at the output, 0 for none.
	ExpectedTokens int
	// Prefixes are the hashes of the prompt's leading parts with the lengths of
	// PrefixTokens, as many as the prompt is long enough for.
	Prefixes []PrefixHash
	Arrival  time.Time
	// Exclude names an endpoint that has just failed this request.
	Exclude string
	// Fingerprint is that of the request's content, so that a caller who was refused is
	// known when it comes back.
	Fingerprint Fingerprint
	// Barred are the endpoints that want no requests from the front for a while.
	Barred []EndpointHash
	// Suspect marks a request whose like has crashed an endpoint. An endpoint
	// runs at most one of them, so that the next crash tells which it was.
	Suspect bool
	// DecodeOnly asks for a decode place alone: the KV cache is there already, or
	// the decode endpoint computes it.
	DecodeOnly bool
	// Cached is true when a KV cache waits to be fetched, so that a decode endpoint
	// need not compute the prompt.
	Cached bool
	// Zone is the availability zone of the front, whose endpoints are preferred.
	Zone string
}

// bars reports whether the request must not go to an endpoint.
func (r Request) excludes(endpoint string) bool {
	return endpoint == r.Exclude || (len(r.Barred) > 0 && slices.Contains(r.Barred, HashEndpoint(endpoint)))
}

// computesPrompt reports whether a decode endpoint is to compute the prompt.
func (r Request) computesPrompt() bool {
	return r.DecodeOnly && !r.Cached
}

// FencingNumber orders the grants of one shard across its owners.
type FencingNumber uint64

// Grant reserves a prefill place, link room and a decode place together. A
// plain request has only Decode.
type Grant struct {
	ID      RequestID
	Front   string
	Prefill string
	Decode  string
	Fencing FencingNumber
	// Priority is passed on to the engines, 0 the most urgent. It is the rank,
	// but for work that a rank is owed for its floor, which goes with the most
	// urgent.
	Priority int
}

// Cause says why a request was refused.
type Cause string

// The causes of a refusal.
const (
	CauseTooLate    Cause = "targets_cannot_be_met"
	CauseQueueFull  Cause = "queue_full"
	CauseNoEndpoint Cause = "no_endpoint"
	CauseTooLarge   Cause = "request_too_large"
)

// Rejection is the final answer to a request that is not served.
type Rejection struct {
	ID         RequestID
	Front      string
	Cause      Cause
	RetryAfter time.Duration
}

// Decision is a grant or a refusal; exactly one of the two is set.
type Decision struct {
	Grant     Grant
	Rejection Rejection
}

// IsGrant reports whether the decision is a grant.
func (d Decision) IsGrant() bool {
	return d.Rejection.Cause == ""
}

// Stage is how far a granted request has come.
type Stage uint8

// The stages of a granted request.
const (
	StagePrefill Stage = iota
	StageTransfer
	StageDecode
)

// Outcome is how a granted request ended.
type Outcome struct {
	// OutputTokens is the number of tokens generated.
	OutputTokens int
	// FailedEndpoint names the endpoint that failed, if one did.
	FailedEndpoint string
	// Busy is true when the endpoint refused the request because it was full.
	Busy bool
}

// Hold is a reservation as its front reports it to a new owner.
type Hold struct {
	Request Request
	Stage   Stage
	Prefill string
	Decode  string
	// DecodingTime is the time since the first token, OutputTokens the tokens since then.
	DecodingTime time.Duration
	OutputTokens int
}

// PieceTokens is the number of tokens in one piece of decode memory, for
// services that set none.
const PieceTokens = 4096

// memoryPieces returns the memory pieces that a request needs at an endpoint of
// a service.
func memoryPieces(service ticket.Service, request Request) int {
	size := service.PieceTokens
	if size <= 0 {
		size = PieceTokens
	}
	return (request.PromptTokens + request.OutputTokens + size - 1) / size
}

const (
	// outputTokenWork is the work of one generated token in prompt tokens.
	outputTokenWork = 4.0
	// maxQueued bounds the requests that wait in one shard.
	queuedRequestLimit = 8192
	// maxBlockedCallers bounds the callers that are passed over in one decision
	// because their next request does not fit.
	blockedCallerLimit = 8
	// prefillAhead is the work, in time, that may wait at a prefill endpoint, so
	// that it does not fall idle between two grants.
	prefillBacklogLimit = 60 * time.Millisecond
	// transferLimit bounds the predicted transfer, below the time for which a
	// prefill endpoint keeps an exported KV cache.
	transferTimeLimit = 600 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time to come back.
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// targets are the latency targets of a rank in the form the Planner uses.
type targets struct {
	firstToken time.Duration
	tokenGap   time.Duration
	floorShare float64
}

func targetsOf(rank ticket.Rank) targets {
	return targets{
		firstToken: time.Duration(rank.FirstTokenTarget),
		tokenGap:   time.Duration(rank.TokenGapTarget),
		floorShare: rank.FloorShare,
	}
}
