package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/shard"
)

// The topics of this package. All messages in one direction share a topic, so that they
// arrive in the order in which they were sent.
const (
	TopicToOwner = "dispatch_to_owner"
	TopicToFront = "dispatch_to_front"
)

// ShardID is the hash of a shard's key. It is never noShard.
type ShardID uint32

// noShard is the shard of messages whose request identifier determines the shard.
const noShard ShardID = 0

// NewShardID returns the identifier of a shard.
func NewShardID(key shard.Key) ShardID {
	return ShardID(xxhash.Sum64String(key.String())) | 1
}

// EndpointHash replaces an endpoint's name in messages. Neither side can distinguish names
// whose hashes collide within a shard, so a grant whose hash belongs to two endpoints is
// released.
type EndpointHash uint32

// HashEndpoint returns the hash of a name, or 0 for "".
func HashEndpoint(name string) EndpointHash {
	if name == "" {
		return 0
	}
	return EndpointHash(xxhash.Sum64String(name)) | 1
}

type wireKind uint8

// The kinds of messages. Those up to kindUnknownHolds, kindVersionOffer and kindEstimates go to
// an owner, the others to a front.
const (
	kindOffer wireKind = iota
	kindPrefilled
	kindStarted
	kindDone
	kindBusy
	kindHolds
	kindUnknownHolds
	kindGrant
	kindRejection
	kindHoldsQuery
	kindAudit
	kindQueued
	kindSearch
	kindVersionOffer
	kindEstimates
)

// wireMessage is the envelope of all messages.
type wireMessage struct {
	_     struct{} `cbor:",toarray"`
	Kind  wireKind
	Shard ShardID
	Body  cbor.RawMessage
}

type wireRequest struct {
	_            struct{} `cbor:",toarray"`
	ID           RequestID
	Caller       string
	Rank         int
	PromptTokens int
	OutputTokens int
	Prefixes     []PrefixHash
	// AgeMilliseconds is the time since arrival. It does not depend on synchronized clocks.
	AgeMilliseconds int64
	Flags           requestFlags
	// Rare is nil if all its fields are zero.
	Rare *wireRare
}

// wireVersionOffer is the body of kindVersionOffer, an offer that asks for a software version. An
// owner that does not know this kind does not reply.
type wireVersionOffer struct {
	_       struct{} `cbor:",toarray"`
	Request wireRequest
	Version string
}

// wireRare contains the fields that few requests set.
type wireRare struct {
	_              struct{} `cbor:",toarray"`
	Exclude        string
	ExpectedTokens int
	Barred         []EndpointHash
	Fingerprint    Fingerprint
}

// requestFlags are the boolean fields of a Request.
type requestFlags uint8

const (
	flagSuspect requestFlags = 1 << iota
	flagDecodeOnly
	flagCached
	flagResumed
)

func encodeFlags(r Request) requestFlags {
	var flags requestFlags
	if r.Suspect {
		flags |= flagSuspect
	}
	if r.DecodeOnly {
		flags |= flagDecodeOnly
	}
	if r.Cached {
		flags |= flagCached
	}
	if r.Resumed {
		flags |= flagResumed
	}
	return flags
}

// wireDone is the body of kindDone, and of kindBusy if the failed endpoint was full. The
// body of kindPrefilled, kindStarted and kindQueued is a RequestID.
type wireDone struct {
	_              struct{} `cbor:",toarray"`
	ID             RequestID
	OutputTokens   int
	FailedEndpoint string
}

type wireHold struct {
	_       struct{} `cbor:",toarray"`
	Request wireRequest
	Stage   Stage
	Prefill string
	Decode  string
	// DecodingMilliseconds is the time since the first token, Made the number of tokens
	// generated in that time.
	DecodingMilliseconds int64
	Made                 int
}

type wireHolds struct {
	_     struct{} `cbor:",toarray"`
	Holds []wireHold
	// Complete is true if Holds are all holds of the front in the shard.
	Complete bool
}

type wireGrant struct {
	_        struct{} `cbor:",toarray"`
	ID       RequestID
	Prefill  EndpointHash
	Decode   EndpointHash
	Fencing  FencingNumber
	Priority int
}

type wireRejection struct {
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
	return wireRequest{
		ID: r.ID, Caller: r.Caller, Rank: r.Rank,
		PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		AgeMilliseconds: now.Sub(r.Arrival).Milliseconds(), Flags: encodeFlags(r),
		Prefixes: r.Prefixes, Rare: encodeRare(r),
	}
}

func encodeRare(r Request) *wireRare {
	if r.Exclude == "" && r.ExpectedTokens == 0 && len(r.Barred) == 0 && r.Fingerprint == 0 {
		return nil
	}
	return &wireRare{Exclude: r.Exclude, ExpectedTokens: r.ExpectedTokens, Barred: r.Barred, Fingerprint: r.Fingerprint}
}

// tokenCountLimit is the limit on token counts in messages of peers.
const tokenCountLimit = 1 << 24

func decodeRequest(w wireRequest, front string, now time.Time) Request {
	r := Request{
		ID: w.ID, Front: front, Caller: w.Caller, Rank: w.Rank,
		PromptTokens: min(max(w.PromptTokens, 0), tokenCountLimit),
		OutputTokens: min(max(w.OutputTokens, 0), tokenCountLimit),
		Arrival:      now.Add(-time.Duration(max(w.AgeMilliseconds, 0)) * time.Millisecond),
		Suspect:      w.Flags&flagSuspect != 0,
		DecodeOnly:   w.Flags&flagDecodeOnly != 0,
		Cached:       w.Flags&flagCached != 0,
		Resumed:      w.Flags&flagResumed != 0,
	}
	if w.Rare != nil {
		r.Exclude = w.Rare.Exclude
		r.ExpectedTokens = min(max(w.Rare.ExpectedTokens, 0), tokenCountLimit)
		r.Barred, r.Fingerprint = w.Rare.Barred, w.Rare.Fingerprint
	}
	r.Prefixes = w.Prefixes[:min(len(w.Prefixes), len(PrefixTokens))]
	return r
}

func encodeHold(h Hold, now time.Time) wireHold {
	return wireHold{Request: encodeRequest(h.Request, now), Stage: h.Stage, Prefill: h.Prefill, Decode: h.Decode, DecodingMilliseconds: h.DecodingTime.Milliseconds(), Made: h.OutputTokens}
}

func decodeHold(w wireHold, front string, now time.Time) Hold {
	return Hold{
		Request: decodeRequest(w.Request, front, now), Stage: w.Stage, Prefill: w.Prefill, Decode: w.Decode,
		DecodingTime: time.Duration(max(w.DecodingMilliseconds, 0)) * time.Millisecond, OutputTokens: min(max(w.Made, 0), tokenCountLimit),
	}
}

// encodeMessage encodes a body and wraps it in an envelope.
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
