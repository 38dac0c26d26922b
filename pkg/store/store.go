// Package store is the daemon's view of the platform's key-value service.
//
// A Store is a struct of function fields, so that a test replaces one call at a
// time. Readers call Get and Watch; writers call Commit, which compares
// revisions and writes all of its puts or none of them. The adapter in
// store_gateway.go speaks the etcd v3 protocol.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable reports a call that certainly had no effect.
var ErrUnavailable = errors.New("store unavailable")

// ErrOutcomeUnknown reports a write whose answer was lost: it may have taken
// effect. The writer settles it by reading back.
var ErrOutcomeUnknown = errors.New("store outcome unknown")

// Revision orders all writes of the store. Zero means that a key is absent.
type Revision int64

// LeaseID names a lease of the store. Zero means no lease.
type LeaseID int64

// Entry is a stored value with the revision of its last write.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Compare requires that Key was last written at Revision.
type Compare struct {
	Key      string
	Revision Revision
}

// Put writes a value, to be removed when its lease expires.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Commit is one atomic write. When a Compare fails nothing is written and the
// entries named in Otherwise are read in the same step.
type Commit struct {
	Compares  []Compare
	Puts      []Put
	Deletes   []string
	Otherwise []string
}

// CommitResult tells whether a Commit was written, and at which revision.
type CommitResult struct {
	Succeeded bool
	Revision  Revision
	Current   []Entry
}

// Event is one change of a watched key.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Store holds the calls that the system makes to the platform's service.
type Store struct {
	// Get returns the entry of a key; its revision is zero when it is absent.
	Get func(ctx context.Context, key string) (Entry, error)
	// Commit writes atomically. Errors wrap ErrUnavailable or ErrOutcomeUnknown.
	Commit func(ctx context.Context, commit Commit) (CommitResult, error)
	// GrantLease creates a lease that ends after ttl.
	GrantLease func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Watch calls deliver for each change of key after the given revision,
	// until ctx ends or the connection is lost.
	Watch func(ctx context.Context, key string, after Revision, deliver func(Event)) error
}
