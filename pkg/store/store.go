// Package store accesses the platform's key-value service.
//
// A Store is a struct of function fields, so that a test can replace single calls. Readers
// call Get and Watch. Writers call Commit, which compares revisions and applies all of its
// writes or none. The adapter in store_gateway.go uses the etcd v3 protocol.
package store

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable is returned for a call that certainly had no effect.
var ErrUnavailable = errors.New("store unavailable")

// ErrOutcomeUnknown is returned for a write whose response was lost. The write may have
// taken effect: the writer must read the keys to find out.
var ErrOutcomeUnknown = errors.New("store outcome unknown")

// ErrHistoryLost is returned when the store no longer keeps the changes after a revision.
// The reader must list the entries again.
var ErrHistoryLost = errors.New("store history lost")

// ErrLeaseExpired is returned for a lease that the store no longer has.
var ErrLeaseExpired = errors.New("store lease expired")

// Revision numbers all writes of the store in their order. Zero means that a key is absent.
//
// A store that comes back from a copy gives the numbers of the writes that it has lost to others.
// It counts its eras for this, which are the upper bits of a Revision. So a Revision of a later
// era is always the greater one, and two different writes never have the same Revision.
type Revision int64

const (
	// revisionNumberBits is the number of bits for the number of a write in its era.
	revisionNumberBits = 48
	// MaxRevisionNumber and MaxEra are the largest parts of a Revision.
	MaxRevisionNumber = 1<<revisionNumberBits - 1
	MaxEra            = 1<<(63-revisionNumberBits) - 1
)

// NewRevision returns the Revision of a write by its number in an era. It limits both to their
// largest values. The Revision of number 0 is zero in each era.
func NewRevision(era, number int64) Revision {
	if number <= 0 {
		return 0
	}
	return Revision(min(max(era, 0), MaxEra)<<revisionNumberBits | min(number, MaxRevisionNumber))
}

// Era returns the number of times that the store has come back from a copy.
func (r Revision) Era() int64 {
	return int64(r) >> revisionNumberBits
}

// Number returns the number of the write in its era, as the store counts it.
func (r Revision) Number() int64 {
	return int64(r) & MaxRevisionNumber
}

// String returns the number, after the era if it is not the first.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatInt(r.Number(), 10)
	}
	return strconv.FormatInt(r.Era(), 10) + "." + strconv.FormatInt(r.Number(), 10)
}

// LeaseID identifies a lease of the store. The zero value means no lease. A store that comes back
// from a copy gives the numbers of lost leases out again, so a lease ends with its era.
type LeaseID struct {
	Era    int64
	Number int64
}

// Entry is a stored value with the revision of its last write.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Compare is the condition that Key was last written at Revision.
type Compare struct {
	Key      string
	Revision Revision
}

// Put writes a value. The store removes it when its lease expires.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Commit is one transaction. When a Compare fails, nothing is written and the entries of
// the keys in Otherwise are read in the same transaction.
type Commit struct {
	Compares  []Compare
	Puts      []Put
	Deletes   []string
	Otherwise []string
}

// CommitResult reports whether a Commit was written, and at which revision. Current contains
// the entries of Otherwise when it was not.
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

// Listing contains all entries under a prefix, as of Revision. Later changes of the same era may
// be included.
type Listing struct {
	Entries  []Entry
	Revision Revision
	// Unreadable is the number of entries that are missing because they cannot be read.
	Unreadable int
}

// Changes contains the events under a prefix up to Revision, in order.
type Changes struct {
	Events   []Event
	Revision Revision
	// Unreadable is the number of events that are missing because they cannot be read.
	Unreadable int
}

// Store contains the calls to the key-value service. The etcd adapter sets Watch, which
// tickets need. The adapter for the users' platform sets KeepLease, List and Poll, which a
// Mirror and a registration need.
type Store struct {
	// Get returns the entry of a key. Its revision is zero when the key is absent.
	Get func(ctx context.Context, key string) (Entry, error)
	// Commit runs a transaction. Errors wrap ErrUnavailable or ErrOutcomeUnknown.
	Commit func(ctx context.Context, commit Commit) (CommitResult, error)
	// GrantLease creates a lease that expires after ttl.
	GrantLease func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepLease renews a lease. Errors wrap ErrLeaseExpired when it has expired.
	KeepLease func(ctx context.Context, lease LeaseID) error
	// List returns the entries whose keys begin with prefix. It may or may not include
	// concurrent changes, so callers must Poll from its revision afterwards.
	List func(ctx context.Context, prefix string) (Listing, error)
	// Poll waits for changes under prefix after a revision, for wait at most. Errors wrap
	// ErrHistoryLost when the store no longer keeps some of them, or is in another era.
	Poll func(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Watch calls deliver for each change of key after the given revision, until ctx is
	// done or the connection is lost.
	Watch func(ctx context.Context, key string, after Revision, deliver func(Event)) error
}
