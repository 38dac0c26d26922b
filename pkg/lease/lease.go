// Package lease gives one daemon at a time the right to do something, under leases
// of the platform's store.
//
// A lease is taken by writing a key that must be absent, is used for half of its
// time, and is neither renewed nor given back: the key ends with the store's lease,
// so that the uses of two daemons are always far apart. The revision of the write is
// the fencing token, which only grows. A write whose answer was lost gives no right.
package lease

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/store"
)

// ErrTaken reports that another daemon has the lease, or that this daemon's own time
// is over and the key has not ended yet.
var ErrHeld = errors.New("another daemon holds the lease")

// Taker takes leases for one daemon.
type Acquirer struct {
	store *store.Store
	ttl   time.Duration
	now   func() time.Time

	mu   sync.Mutex
	held map[string]heldLease
}

// held is a lease that this daemon has taken.
type heldLease struct {
	fencing    store.Revision
	acquiredAt time.Time
}

// NewTaker returns a Taker of leases of a length.
func NewAcquirer(s *store.Store, ttl time.Duration, now func() time.Time) *Acquirer {
	return &Acquirer{store: s, ttl: ttl, now: now, held: map[string]heldLease{}}
}

// Take returns the fencing token of the lease of a key. What is done under it must
// begin before ctx ends, which must be sooner than half of the length. Errors wrap
// ErrTaken or are the store's.
func (a *Acquirer) Acquire(ctx context.Context, key string, value []byte) (store.Revision, error) {
	now := a.now()
	a.mu.Lock()
	current, ok := a.held[key]
	a.mu.Unlock()
	if ok && now.Sub(current.acquiredAt) < a.ttl/2 {
		return current.fencing, nil
	}
	id, err := a.store.GrantLease(ctx, a.ttl)
	if err != nil {
		return 0, errors.Newf("grant lease: %w", err)
	}
	result, err := a.store.Commit(ctx, store.Commit{
		Compares: []store.Compare{{Key: key}},
		Puts:     []store.Put{{Key: key, Value: value, Lease: id}},
	})
	if err != nil {
		return 0, errors.Newf("write key of lease: %w", err)
	}
	if !result.Succeeded {
		return 0, errors.Newf("key of lease stands: %w", ErrHeld)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held[key] = heldLease{fencing: result.Revision, acquiredAt: now}
	return result.Revision, nil
}
