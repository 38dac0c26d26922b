// Package claim ensures that a call with an Idempotency-Key runs at most once.
//
// Before a front sends a call, it requests a claim from the keeper of the key's
// bucket. The keeper writes many claims in one transaction of the platform's
// store. The front sends the call only if the claim is its own, and afterwards
// records the outcome. Safety depends only on the transaction: each claim
// requires that its key has no record, or still has the not_run record that was
// read. Keepers only reduce the number of writes, so a front that cannot reach
// the keeper commits the claim itself. Every claim has a unique attempt ID, which
// identifies its write when the store's reply is lost.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmerictide/turmerictide/pkg/store"
)

// Phase is the progress of the call for which a claim was made.
type Phase string

// The phases of a claim. Calls in PhaseClaimed and PhaseUnknown may have run.
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
	// Host and FrontTag identify the incarnation of the front that made the claim.
	Host     string `cbor:"host"`
	FrontTag uint32 `cbor:"front_tag"`
	// Content is the hash of the call. It detects the use of a key for another call.
	Content uint64 `cbor:"content"`
	// Status, ContentType, ContentEncoding and Body are the response of a call in
	// PhaseDone. Truncated is true if the body was too large to store.
	Status          int    `cbor:"status,omitempty"`
	ContentType     string `cbor:"content_type,omitempty"`
	ContentEncoding string `cbor:"content_encoding,omitempty"`
	Body            []byte `cbor:"body,omitempty"`
	Truncated       bool   `cbor:"truncated,omitempty"`
}

const (
	// MaxBodyBytes limits the response body that is stored with a claim.
	MaxBodyBytes = 8 << 10
	// Retention is the minimum time for which a claim is stored. A key that is
	// used again after its claim has expired counts as new.
	Retention = 24 * time.Hour
	// BucketCount is the number of buckets, and so the maximum number of keepers.
	BucketCount = 16
)

const keyPrefix = "/turmerictide/claim/"

// Key is the key of a claim in the store.
type Key string

// NewKey returns the store key for a caller's Idempotency-Key at a service.
func NewKey(service, caller, idempotencyKey string) Key {
	hash := sha256.New()
	for _, part := range []string{service, caller, idempotencyKey} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return Key(keyPrefix + hex.EncodeToString(hash.Sum(nil)[:16]))
}

// Bucket returns the bucket of a key, from 0 to BucketCount-1.
func (k Key) Bucket() int {
	digit, _ := hex.DecodeString("0" + string(k[len(k)-1:]))
	return int(digit[0]) % BucketCount
}

// Write is one conditional write of a record.
type Write struct {
	Key Key
	// Expect is the revision that the key must have, or 0 if it must be absent.
	Expect store.Revision
	Record Record
}

// Result is the result of a Write. Current is the record in the store, also when
// the write was rejected, and Revision is its revision.
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
