// Package ticket defines the operators' state and the tickets that change it.
//
// An operator writes a Ticket as JSON. Check lists all of its faults. Apply writes each
// object under a new key and then replaces the head in one compare-and-swap, so that a
// ticket takes effect as a whole or not at all. Readers watch the head, and other daemons
// receive its number in heartbeats. A Follower on each daemon fetches the objects that
// changed, builds a State and makes it current. The number of the current State never
// decreases.
package ticket

import (
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Number orders tickets. The first ticket is number 1.
type Number uint64

// Kind is the kind of endpoints that serve a service.
type Kind string

// The kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Role is the work that the endpoints of a pool do.
type Role string

// The roles of pools.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RolePlain   Role = "plain"
)

// Duration is a time.Duration encoded as text such as "400ms".
type Duration time.Duration

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration in Go's notation.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("parse duration: %w", err)
	}
	*d = Duration(parsed)
	return nil
}

// Rank is a class of work with its targets. FirstTokenTarget is the target for the
// time to the first token, or to the response of a plain service.
type Rank struct {
	Name             string   `json:"name"`
	FirstTokenTarget Duration `json:"first_token_target"`
	TokenGapTarget   Duration `json:"token_gap_target,omitempty"`
	Worth            float64  `json:"worth"`
	// FloorShare is the share of granted work, from 0 to 1, that the rank keeps when more
	// urgent ranks request more than the capacity.
	FloorShare float64 `json:"floor_share"`
}

// Service is one service with its ranks, the most urgent first.
type Service struct {
	Name   string   `json:"name"`
	Kind   Kind     `json:"kind"`
	Models []string `json:"models,omitempty"`
	Ranks  []Rank   `json:"ranks"`
	// OutputTokens is the output limit, in tokens, of a request that sets none.
	OutputTokens int `json:"output_tokens,omitempty"`
	// KVBytesPerToken is the size of the KV cache per token. It determines the size of the
	// transfer from prefill to decode.
	KVBytesPerToken int `json:"kv_bytes_per_token,omitempty"`
	// RetryShare limits retries to a share of the service's requests, from 0 to 1.
	RetryShare float64 `json:"retry_share"`
	// IdempotentPaths are path prefixes whose calls may be retried with any method.
	IdempotentPaths []string `json:"idempotent_paths,omitempty"`
	// PieceTokens is the number of tokens in a piece of decode memory, 0 for the default
	// of package dispatch.
	PieceTokens int `json:"piece_tokens,omitempty"`
	// MemoryGrows is true when engines allocate memory for output as it is generated, and
	// not when a request begins.
	MemoryGrows bool `json:"memory_grows,omitempty"`
	// LongestPause limits the time for which an endpoint that failed gets no work. It is
	// for services whose lost endpoints are soon removed from the state.
	LongestPause Duration `json:"longest_pause,omitempty"`
	// TokenTime is the typical time per output token. It is set when it is far below the
	// target of the token gap.
	TokenTime Duration `json:"token_time,omitempty"`
	// FirstStep is the time from the end of a prefill to the first token. It is set when
	// it differs much from the target of the token gap.
	FirstStep Duration `json:"first_step,omitempty"`
	// AllZones makes one owner dispatch to the endpoints of all availability zones.
	AllZones bool `json:"all_zones,omitempty"`
	// ReturnTargets is how long a caller that retries after a rejection waits for its
	// first token, in first-token targets of its rank. With 0 a retry is served like a
	// first request.
	ReturnTargets float64 `json:"return_targets,omitempty"`
	// DecodeReadsPrompts is true when decode endpoints also serve a request
	// whose prompt no prefill endpoint has computed.
	DecodeReadsPrompts bool `json:"decode_reads_prompts,omitempty"`
	// BySpeed makes the placement of decodes, moves between pools and retry times follow the
	// learned speeds of decode endpoints.
	BySpeed bool `json:"by_speed,omitempty"`
}

// Endpoint is one model engine or plain server.
type Endpoint struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	// AvailabilityZone is set if a shard spans several zones.
	AvailabilityZone string `json:"availability_zone,omitempty"`
	// Places is the number of requests that the endpoint runs concurrently.
	Places int `json:"places"`
	// Pieces is the decode memory in pieces, by default of about 4,096 tokens.
	Pieces int `json:"pieces,omitempty"`
	// TokensPerSecond is the nominal prefill rate.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Link is the name of the shared transfer link that the endpoint uses.
	Link string `json:"link,omitempty"`
	// LinkBytesPerSecond is the rate of the link.
	LinkBytesPerSecond float64 `json:"link_bytes_per_second,omitempty"`
	// ChecksFencing is true when the endpoint rejects outdated fencing numbers.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Leaving endpoints receive no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Version is that of the endpoint's software. Requests may ask for one.
	Version string `json:"version,omitempty"`
	// Born is the start time of the endpoint's incarnation, zero if it is unknown. It comes from
	// the platform, not from tickets.
	Born time.Time `json:"-"`
}

// Pool contains all endpoints of one role of a service in one availability zone.
type Pool struct {
	Service          string     `json:"service"`
	AvailabilityZone string     `json:"availability_zone"`
	Role             Role       `json:"role"`
	Endpoints        []Endpoint `json:"endpoints"`
}

// Team is a caller with the hash of its bearer token.
type Team struct {
	Name        string `json:"name"`
	TokenSHA256 string `json:"token_sha256"`
	// Ranks are the names of the ranks that the team may use, its default first.
	Ranks []string `json:"ranks"`
}

// CallerGroup is a set of teams that change together.
type CallerGroup struct {
	Teams []Team `json:"teams"`
}

// Ticket is a numbered change. It contains the complete new value of each object that
// it changes.
type Ticket struct {
	Number   Number                 `json:"number"`
	Services map[string]Service     `json:"services,omitempty"`
	Pools    map[string]Pool        `json:"pools,omitempty"`
	Callers  map[string]CallerGroup `json:"callers,omitempty"`
	// Remove lists object names such as "pool/old".
	Remove []string `json:"remove,omitempty"`
}

// ObjectName identifies an object as kind/name.
type ObjectName string

// The kinds of objects, as the first part of an ObjectName.
const (
	servicePrefix = "service/"
	poolPrefix    = "pool/"
	callersPrefix = "callers/"
)

// Version identifies one value of an object.
type Version string

// Head lists the current version of each object after ticket Number.
type Head struct {
	Number  Number                 `json:"number"`
	Attempt string                 `json:"attempt"`
	Objects map[ObjectName]Version `json:"objects"`
}

const (
	// HeadKey is the store's key of the Head.
	HeadKey         = "/turmerictide/head"
	objectKeyPrefix = "/turmerictide/object/"
)

// ObjectKey returns the store's key of one version of an object.
func ObjectKey(name ObjectName, version Version) string {
	return objectKeyPrefix + string(name) + "/" + string(version)
}

// Parse decodes a ticket. Unknown fields are an error.
func Parse(content []byte) (Ticket, error) {
	decoder := json.NewDecoder(strings.NewReader(string(content)))
	decoder.DisallowUnknownFields()
	var t Ticket
	if err := decoder.Decode(&t); err != nil {
		return Ticket{}, errors.Newf("parse ticket: %w", err)
	}
	return t, nil
}

// objects returns the encoded value of each object in the ticket.
func (t Ticket) objects() (map[ObjectName][]byte, error) {
	result := map[ObjectName][]byte{}
	add := func(name ObjectName, value any) error {
		encoded, err := json.Marshal(value)
		if err != nil {
			return errors.Newf("encode %s: %w", name, err)
		}
		result[name] = encoded
		return nil
	}
	for name, value := range t.Services {
		if err := add(ObjectName(servicePrefix+name), value); err != nil {
			return nil, err
		}
	}
	for name, value := range t.Pools {
		if err := add(ObjectName(poolPrefix+name), value); err != nil {
			return nil, err
		}
	}
	for name, value := range t.Callers {
		if err := add(ObjectName(callersPrefix+name), value); err != nil {
			return nil, err
		}
	}
	return result, nil
}
