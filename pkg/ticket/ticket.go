// Package ticket holds the operators' state and how it changes.
//
// The flow is: an operator writes a change Ticket as JSON; Check lists all of
// its faults; Apply writes each object under a fresh key and then swings the
// head in one compare-and-swap, so that a ticket is accepted whole or not at
// all. Readers watch the head, other daemons hear its number by gossip, and a
// Follower on each daemon fetches the objects that changed, builds a State and
// puts it in force. A State never goes back to a lower number.
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

// Kind tells what stands behind a service.
type Kind string

// The kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Role tells what the endpoints of a pool do.
type Role string

// The roles of pools.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RolePlain   Role = "plain"
)

// Duration is a time.Duration written as text such as "400ms".
type Duration time.Duration

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration in Go's notation.
func (d *Duration) UnmarshalText(text []byte) error {
	length, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("parse duration: %w", err)
	}
	*d = Duration(length)
	return nil
}

// Rank is a class of work with its targets. FirstTokenTarget bounds the time to
// the first token, or to the answer of a plain service.
type Rank struct {
	Name             string   `json:"name"`
	FirstTokenTarget Duration `json:"first_token_target"`
	TokenGapTarget   Duration `json:"token_gap_target,omitempty"`
	Worth            float64  `json:"worth"`
	// FloorShare is the part of granted work, from 0 to 1, that the rank keeps
	// while more urgent ranks flood.
	FloorShare float64 `json:"floor_share"`
}

// Service is one service with its ranks, the most urgent first.
type Service struct {
	Name   string   `json:"name"`
	Kind   Kind     `json:"kind"`
	Models []string `json:"models,omitempty"`
	Ranks  []Rank   `json:"ranks"`
	// OutputTokens is the limit of a request that names none.
	OutputTokens int `json:"output_tokens,omitempty"`
	// KVBytesPerToken sizes the transfer from prefill to decode.
	KVBytesPerToken int `json:"kv_bytes_per_token,omitempty"`
	// RetryShare bounds retries as a part of the service's requests.
	RetryShare float64 `json:"retry_share"`
	// IdempotentPaths are path prefixes whose calls may be repeated with any method.
	IdempotentPaths []string `json:"idempotent_paths,omitempty"`
	// PieceTokens is the size of a piece of decode memory, 0 for PieceTokens.
	PieceTokens int `json:"piece_tokens,omitempty"`
	// MemoryGrows is true when engines take memory for output as it is made, and
	// not when a request begins.
	MemoryGrows bool `json:"memory_grows,omitempty"`
	// LongestPause bounds the time for which an endpoint that failed gets no work,
	// for services whose lost endpoints are removed from the state soon.
	LongestPause Duration `json:"longest_pause,omitempty"`
	// TokenTime is the usual time for one output token, when it is far below the
	// token gap's target.
	TokenTime Duration `json:"token_time,omitempty"`
	// FirstStep is the time from the end of a prefill to the first token, when it
	// is far from the token gap's target.
	FirstStep Duration `json:"first_step,omitempty"`
	// AllZones makes one owner dispatch the endpoints of all availability zones.
	AllZones bool `json:"all_zones,omitempty"`
	// ReturnTargets is how long a caller that was refused and came back waits for its
	// first token, in first-token targets of its rank. With 0 it is served as if it had
	// not come before.
	ReturnTargets float64 `json:"return_targets,omitempty"`
	// DecodeReadsPrompts is true when decode endpoints also serve a request
	// whose prompt no prefill endpoint has computed.
	DecodeReadsPrompts bool `json:"decode_reads_prompts,omitempty"`
}

// Endpoint is one model engine or plain server.
type Endpoint struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	// AvailabilityZone is set where a shard spans several.
	AvailabilityZone string `json:"availability_zone,omitempty"`
	// Places is the number of requests that the endpoint runs at once.
	Places int `json:"places"`
	// Pieces is the decode memory in pieces of about 4,096 tokens.
	Pieces int `json:"pieces,omitempty"`
	// TokensPerSecond is the nominal prefill rate.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Link names the shared transfer link that the endpoint hangs on.
	Link string `json:"link,omitempty"`
	// LinkBytesPerSecond is the rate of that link.
	LinkBytesPerSecond float64 `json:"link_bytes_per_second,omitempty"`
	// ChecksFencing is true when the endpoint refuses old fencing numbers.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Leaving endpoints receive no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Pool is the whole membership of one role of a service in one availability zone.
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
	// Ranks are the names that the team may use, its default first.
	Ranks []string `json:"ranks"`
}

// CallerGroup is a set of teams that change together.
type CallerGroup struct {
	Teams []Team `json:"teams"`
}

// Ticket is a numbered change. It carries the whole new state of each object
// that it touches.
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
	objectService = "service/"
	objectPool    = "pool/"
	objectCallers = "callers/"
)

// Version names one value of an object.
type Version string

// Head says which version of each object ticket Number put in force.
type Head struct {
	Number  Number                 `json:"number"`
	Attempt string                 `json:"attempt"`
	Objects map[ObjectName]Version `json:"objects"`
}

const (
	// HeadKey is the store's key of the Head.
	HeadKey      = "/turmerictide/head"
	objectPrefix = "/turmerictide/object/"
)

// ObjectKey returns the store's key of one version of an object.
func ObjectKey(name ObjectName, version Version) string {
	return objectPrefix + string(name) + "/" + string(version)
}

// Parse reads a ticket and refuses unknown fields.
func Parse(content []byte) (Ticket, error) {
	decoder := json.NewDecoder(strings.NewReader(string(content)))
	decoder.DisallowUnknownFields()
	var t Ticket
	if err := decoder.Decode(&t); err != nil {
		return Ticket{}, errors.Newf("parse ticket: %w", err)
	}
	return t, nil
}

// objects returns the encoded value of each object that the ticket carries.
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
		if err := add(ObjectName(objectService+name), value); err != nil {
			return nil, err
		}
	}
	for name, value := range t.Pools {
		if err := add(ObjectName(objectPool+name), value); err != nil {
			return nil, err
		}
	}
	for name, value := range t.Callers {
		if err := add(ObjectName(objectCallers+name), value); err != nil {
			return nil, err
		}
	}
	return result, nil
}
