// Package dispatch schedules requests: it decides which request runs, on which
// endpoints and when.
//
// A front, which serves the connections of callers, offers a Request to the owner of a
// shard. A shard is a set of endpoints of one service, and its owner is one of the
// daemons. The owner's Planner, a pure function of state, event and current time, queues
// the request by rank and fairly between callers. It then grants a prefill place, room on
// the transfer link and a decode place together, or rejects the request immediately with
// the time after which to retry. The front reports the end of each stage, and the Planner
// releases the resources of that stage.
//
// A Dispatcher runs one Planner for each shard that its daemon owns and exchanges
// messages with fronts; a Client is the front's side of these messages. If the owner of a
// shard cannot be reached or does not reply, the Client decides with a local Planner. An
// Observer reads from the endpoints which requests they run, and the Dispatcher cancels
// those that no front holds.
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

// PrefixHash is the hash of a prompt prefix that an endpoint may have cached.
type PrefixHash uint32

// PrefixTokens are the lengths, in tokens, of the prompt prefixes that are hashed.
var PrefixTokens = [...]int{256, 1024, 4096, 16384}

// Request is one attempt to run a caller's request.
type Request struct {
	ID     RequestID
	Front  string
	Caller string
	// Rank is the position in the service's ranks, 0 the most urgent.
	Rank         int
	PromptTokens int
	// OutputTokens is the limit on tokens to generate.
	OutputTokens int
	// ExpectedTokens is the caller's estimate of the output length, 0 for none.
	ExpectedTokens int
	// Prefixes are the hashes of the prompt's prefixes with the lengths in
	// PrefixTokens, up to the length of the prompt.
	Prefixes []PrefixHash
	Arrival  time.Time
	// Exclude is the name of an endpoint that has just failed this request.
	Exclude string
	// Fingerprint identifies the request's content, so that a retry by a caller that
	// was rejected is recognized.
	Fingerprint Fingerprint
	// Barred are the endpoints to which the front temporarily sends no requests, at
	// the endpoints' own request.
	Barred []EndpointHash
	// Suspect is set for a request similar to one that has crashed an endpoint. An
	// endpoint runs at most one suspect request, so that the next crash identifies
	// its cause.
	Suspect bool
	// DecodeOnly requests a decode place without a prefill place: the KV cache
	// already exists, or the decode endpoint computes it.
	DecodeOnly bool
	// Cached is true when a KV cache can be fetched, so that a decode endpoint need
	// not compute the prompt.
	Cached bool
	// Zone is the availability zone of the front. Its endpoints are preferred.
	Zone string
	// Version is the software version that the decode endpoint must have, "" for any.
	Version string
	// Resumed is set for a stream that its caller takes up after it broke off. It goes before the
	// requests of all ranks, which have received nothing yet.
	Resumed bool
}

// excludes reports whether the request must not go to an endpoint.
func (r Request) excludes(endpoint string) bool {
	return endpoint == r.Exclude || (len(r.Barred) > 0 && slices.Contains(r.Barred, HashEndpoint(endpoint)))
}

// excludesDecode reports whether the request must not be decoded at an endpoint.
func (r Request) excludesDecode(e ticket.Endpoint) bool {
	return (r.Version != "" && r.Version != e.Version) || r.excludes(e.Name)
}

// computesPrompt reports whether a decode endpoint must compute the prompt.
func (r Request) computesPrompt() bool {
	return r.DecodeOnly && !r.Cached
}

// FencingNumber orders the grants of one shard across its owners.
type FencingNumber uint64

// Grant reserves a prefill place, room on the transfer link and a decode place
// together. For a plain request only Decode is set.
type Grant struct {
	ID      RequestID
	Front   string
	Prefill string
	Decode  string
	Fencing FencingNumber
	// Priority is forwarded to the engines, 0 the most urgent. It is the rank, with two
	// exceptions: work that is owed to a rank for its floor has priority 0, and caller
	// retries come after all ranks.
	Priority int
}

// Cause is the reason for a rejection.
type Cause string

// The causes of a rejection.
const (
	CauseTooLate    Cause = "targets_cannot_be_met"
	CauseQueueFull  Cause = "queue_full"
	CauseNoEndpoint Cause = "no_endpoint"
	CauseTooLarge   Cause = "request_too_large"
)

// Rejection is the final decision on a request that is not served. The caller may
// retry after RetryAfter.
type Rejection struct {
	ID         RequestID
	Front      string
	Cause      Cause
	RetryAfter time.Duration
}

// Decision is a grant or a rejection; exactly one of the two is set.
type Decision struct {
	Grant     Grant
	Rejection Rejection
}

// IsGrant reports whether the decision is a grant.
func (d Decision) IsGrant() bool {
	return d.Rejection.Cause == ""
}

// Stage is the progress of a granted request.
type Stage uint8

// The stages of a granted request.
const (
	StagePrefill Stage = iota
	StageTransfer
	StageDecode
)

// Outcome is the result of a granted request.
type Outcome struct {
	// OutputTokens is the number of tokens generated.
	OutputTokens int
	// FailedEndpoint is the name of the endpoint that failed, "" for none.
	FailedEndpoint string
	// Busy is true when the endpoint rejected the request because it was full.
	Busy bool
}

// Hold describes a granted request and its reservation, as its front reports it to a
// new owner.
type Hold struct {
	Request Request
	Stage   Stage
	Prefill string
	Decode  string
	// DecodingTime is the time since the first token, OutputTokens the number of tokens
	// generated in that time.
	DecodingTime time.Duration
	OutputTokens int
}

// PieceTokens is the number of tokens in one piece of decode memory, for services
// that do not set their own.
const PieceTokens = 4096

// memoryPieces returns the memory pieces that a request needs at an endpoint of a
// service.
func memoryPieces(service ticket.Service, request Request) int {
	size := service.PieceTokens
	if size <= 0 {
		size = PieceTokens
	}
	return (request.PromptTokens + request.OutputTokens + size - 1) / size
}

const (
	// outputTokenWork is the work of one generated token, in prompt tokens.
	outputTokenWork = 4.0
	// queuedRequestLimit is the maximum number of requests queued in one shard.
	queuedRequestLimit = 8192
	// blockedCallerLimit is the maximum number of callers skipped in one decision
	// because their next request does not fit.
	blockedCallerLimit = 8
	// prefillBacklogLimit is the time of queued work allowed at a prefill endpoint, so
	// that the endpoint does not become idle between two grants.
	prefillBacklogLimit = 60 * time.Millisecond
	// transferTimeLimit is the longest allowed predicted transfer time. It is below the
	// time for which a prefill endpoint keeps an exported KV cache.
	transferTimeLimit = 600 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a rejected caller may
	// retry.
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// targets are the latency targets and the floor share of a rank.
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
