package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/shard"
)

// The topics of this package. All messages of one direction share a topic, so
// that they arrive in the order in which they were sent.
const (
	TopicToOwner = "dispatch_to_owner"
	TopicToFront = "dispatch_to_front"
)

// ShardID is the hash of a shard's key.
type ShardID uint64

// NewShardID returns the identifier of a shard.
func NewShardID(key shard.Key) ShardID {
	return ShardID(xxhash.Sum64String(key.String()))
}

type wireKind uint8

const (
	kindOffer wireKind = iota
	kindStage
	kindDone
	kindHolds
	kindDisown
	kindGrant
	kindRefusal
	kindReport
	kindAudit
)

// wireMessage is the envelope of all messages.
type wireMessage struct {
	_     struct{} `cbor:",toarray"`
	Kind  wireKind
	Shard ShardID
	Body  cbor.RawMessage
}

type wirePrefix struct {
	_      struct{} `cbor:",toarray"`
	Hash   uint64
	Tokens int
}

type wireRequest struct {
	_            struct{} `cbor:",toarray"`
	ID           RequestID
	Caller       string
	Rank         int
	PromptTokens int
	OutputTokens int
	Prefixes     []wirePrefix
	// AgeMilliseconds is the time since arrival, so that clocks need not agree.
	AgeMilliseconds int64
	Exclude         string
	Suspect         bool
}

type wireStage struct {
	_     struct{} `cbor:",toarray"`
	ID    RequestID
	Stage Stage
}

type wireDone struct {
	_              struct{} `cbor:",toarray"`
	ID             RequestID
	OutputTokens   int
	FailedEndpoint string
	Busy           bool
}

type wireHold struct {
	_       struct{} `cbor:",toarray"`
	Request wireRequest
	Stage   Stage
	Prefill string
	Decode  string
}

type wireHolds struct {
	_     struct{} `cbor:",toarray"`
	Holds []wireHold
	// Complete is true when these are all holds of the front in this shard.
	Complete bool
}

type wireGrant struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Prefill string
	Decode  string
	Fencing FencingNumber
}

type wireRefusal struct {
	_                      struct{} `cbor:",toarray"`
	ID                     RequestID
	Cause                  Cause
	RetryAfterMilliseconds int64
}

type wireIDs struct {
	_   struct{} `cbor:",toarray"`
	IDs []RequestID
}

func encodeRequest(r Request, now time.Time) wireRequest {
	w := wireRequest{
		ID: r.ID, Caller: r.Caller, Rank: r.Rank,
		PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		AgeMilliseconds: now.Sub(r.Arrival).Milliseconds(), Exclude: r.Exclude, Suspect: r.Suspect,
	}
	for _, prefix := range r.Prefixes {
		w.Prefixes = append(w.Prefixes, wirePrefix{Hash: prefix.Hash, Tokens: prefix.Tokens})
	}
	return w
}

// maxPromptTokens bounds what a peer may claim of a request.
const maxPromptTokens = 1 << 24

func decodeRequest(w wireRequest, front string, now time.Time) Request {
	r := Request{
		ID: w.ID, Front: front, Caller: w.Caller, Rank: w.Rank,
		PromptTokens: min(max(w.PromptTokens, 0), maxPromptTokens),
		OutputTokens: min(max(w.OutputTokens, 0), maxPromptTokens),
		Arrival:      now.Add(-time.Duration(max(w.AgeMilliseconds, 0)) * time.Millisecond),
		Exclude:      w.Exclude,
		Suspect:      w.Suspect,
	}
	for _, prefix := range w.Prefixes {
		r.Prefixes = append(r.Prefixes, Prefix{Hash: prefix.Hash, Tokens: prefix.Tokens})
	}
	return r
}

func encodeHold(h Hold, now time.Time) wireHold {
	return wireHold{Request: encodeRequest(h.Request, now), Stage: h.Stage, Prefill: h.Prefill, Decode: h.Decode}
}

func decodeHold(w wireHold, front string, now time.Time) Hold {
	return Hold{Request: decodeRequest(w.Request, front, now), Stage: w.Stage, Prefill: w.Prefill, Decode: w.Decode}
}

// encodeMessage wraps a body in its envelope.
func encodeMessage(kind wireKind, id ShardID, body any) ([]byte, error) {
	encoded, err := link.Encode(body)
	if err != nil {
		return nil, err
	}
	payload, err := link.Encode(wireMessage{Kind: kind, Shard: id, Body: encoded})
	if err != nil {
		return nil, errors.Newf("encode envelope: %w", err)
	}
	return payload, nil
}
