// Package claim makes sure that a call with an Idempotency-Key runs at most once.
//
// The flow is: before a call is sent, its front asks the keeper of the key's
// bucket for a claim; the keeper writes many claims in one transaction of the
// platform's store; the front sends the call only when the claim is its own, and
// afterwards records how it ended. Safety is the transaction's alone: each claim
// compares that its key has no record, or still has the not_run record that was
// read. Keepers only make the writes few, so a front whose keeper cannot be
// reached commits by itself. Every claim carries a unique attempt, by which a
// write whose answer was lost is recognised.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmerictide/turmerictide/pkg/store"
)

// Phase is how far the call of a claim has come.
type Phase string

// The phases of a claim. Claimed and Unknown calls may have run.
const (
	PhaseClaimed Phase = "claimed"
	PhaseDone    Phase = "done"
	PhaseNotRun  Phase = "not_run"
	PhaseUnknown Phase = "unknown"
)

// Record is the stored state of a claim.
type Record struct {
	Attempt string `cbor:"attempt"`
	Phase   Phase  `cbor:"phase"`
	// Host and FrontTag identify the life of the front that made the claim.
	Host     string `cbor:"host"`
	FrontTag uint32 `cbor:"front_tag"`
	// Content is the hash of the call, to find a key that is used for another.
	Content uint64 `cbor:"content"`
	// Status, ContentType and Body are the answer of a call that is done.
	// Truncated is true when the body was too large to keep.
	Status      int    `cbor:"status,omitempty"`
	ContentType string `cbor:"content_type,omitempty"`
	Body        []byte `cbor:"body,omitempty"`
	Truncated   bool   `cbor:"truncated,omitempty"`
}

const (
	// MaxBodyBytes bounds the answer that is kept with a claim.
	MaxBodyBytes = 8 << 10
	// Retention is the time for which a claim is kept. A key that is used again
	// later counts as a new one.
	Retention = 24 * time.Hour
	// Buckets is the number of keepers at most.
	BucketCount = 16
)

const keyPrefix = "/turmerictide/claim/"

// Key identifies a claim in the store.
type Key string

// NewKey returns the key of a caller's Idempotency-Key for a service.
func NewKey(service, caller, idempotencyKey string) Key {
	hash := sha256.New()
	for _, part := range []string{service, caller, idempotencyKey} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return Key(keyPrefix + hex.EncodeToString(hash.Sum(nil)[:16]))
}

// Bucket returns the bucket of a key, from 0 to Buckets-1.
func (k Key) Bucket() int {
	digit, _ := hex.DecodeString("0" + string(k[len(k)-1:]))
	return int(digit[0]) % BucketCount
}

// Write is one conditional write of a record.
type Write struct {
	Key Key
	// Expect is the revision that the key must have, 0 for none.
	Expect store.Revision
	Record Record
}

// Result is what became of a Write. When it was not written, Current is the
// record that stands; Revision belongs to the record that stands in either case.
type Result struct {
	Written  bool
	Current  Record
	Revision store.Revision
}

func encodeRecord(r Record) ([]byte, error) {
	return cbor.Marshal(r)
}

func decodeRecord(value []byte) (Record, error) {
	var r Record
	err := cbor.Unmarshal(value, &r)
	return r, err
}
