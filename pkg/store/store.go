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

// ErrHistoryLost reports that the changes after a revision are no longer kept.
// The reader lists the entries again.
var ErrHistoryLost = errors.New("store history lost")

// ErrLeaseEnded reports a lease that the store no longer knows.
var ErrLeaseEnded = errors.New("store lease ended")

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

// Listing is all entries under a prefix, as of a revision or later.
type Listing struct {
	Entries  []Entry
	Revision Revision
}

// Changes are the events under a prefix up to a revision, in order.
type Changes struct {
	Events   []Event
	Revision Revision
}

// Store holds the calls that the system makes to the platform's service. The
// etcd adapter has Watch, which the tickets need; the adapter for the users'
// platform has KeepLease, List and Poll, which a Mirror and a registration need.
type Store struct {
	// Get returns the entry of a key; its revision is zero when it is absent.
	Get func(ctx context.Context, key string) (Entry, error)
	// Commit writes atomically. Errors wrap ErrUnavailable or ErrOutcomeUnknown.
	Commit func(ctx context.Context, commit Commit) (CommitResult, error)
	// GrantLease creates a lease that ends after ttl.
	GrantLease func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepLease renews a lease. Errors wrap ErrLeaseEnded when it has ended.
	KeepLease func(ctx context.Context, lease LeaseID) error
	// List returns the entries whose keys begin with prefix. Changes that are
	// made meanwhile may be in it or not, so it is followed by Poll from its
	// revision.
	List func(ctx context.Context, prefix string) (Listing, error)
	// Poll waits for changes under prefix after a revision, for wait at most.
	// Errors wrap ErrHistoryLost when some are no longer kept.
	Poll func(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Watch calls deliver for each change of key after the given revision,
	// until ctx ends or the connection is lost.
	Watch func(ctx context.Context, key string, after Revision, deliver func(Event)) error
}
