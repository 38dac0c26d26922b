// Package lease gives one daemon at a time the right to perform an action, with leases
// of the platform's store.
//
// A daemon acquires a lease by writing a key that must be absent. It uses the lease for
// half of its TTL and neither renews nor releases it. The key expires with the store's
// lease, so that the actions of two daemons are always well separated in time. The
// revision of the write is the fencing token, which only increases. A daemon whose
// write has an unknown outcome does not use the lease. A store that comes back from a copy
// loses leases that are in use, so no daemon acquires one for a TTL after that.
package lease

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/store"
)

// ErrHeld means that another daemon has the lease, or that this daemon may no longer use
// its own lease and the key has not expired yet.
var ErrHeld = errors.New("another daemon holds the lease")

// Acquirer acquires leases for one daemon. It is safe for concurrent use.
type Acquirer struct {
	store *store.Store
	ttl   time.Duration
	now   func() time.Time

	mu   sync.Mutex
	held map[string]heldLease
	// era is the latest era of the store, nil if none is known. It was first observed at
	// eraSince, zero for the first one.
	era      *int64
	eraSince time.Time
}

// heldLease is a lease that this daemon has acquired.
type heldLease struct {
	fencing    store.Revision
	acquiredAt time.Time
}

// NewAcquirer returns an Acquirer of leases with a TTL.
func NewAcquirer(s *store.Store, ttl time.Duration, now func() time.Time) *Acquirer {
	return &Acquirer{store: s, ttl: ttl, now: now, held: map[string]heldLease{}}
}

// ObserveEra records an era of the store. The leases of earlier ones are lost, but their holders
// may not know.
func (a *Acquirer) ObserveEra(now time.Time, era int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.era == nil:
		a.era = &era
	case era > *a.era:
		a.era, a.eraSince = &era, now
	}
}

// mayAcquire reports whether the holders of leases that were lost with the last era no longer
// use them.
func (a *Acquirer) mayAcquire(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.eraSince.IsZero() || now.Sub(a.eraSince) >= a.ttl
}

// Acquire returns the fencing token of the lease of a key. The action under the lease
// must start before ctx is done, and ctx must end in less than half of the TTL. Errors
// wrap ErrHeld or an error of the store.
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
	a.ObserveEra(now, id.Era)
	if !a.mayAcquire(now) {
		return 0, errors.Newf("leases were lost with the store's last era: %w", ErrHeld)
	}
	result, err := a.store.Commit(ctx, store.Commit{
		Compares: []store.Compare{{Key: key}},
		Puts:     []store.Put{{Key: key, Value: value, Lease: id}},
	})
	if err != nil {
		return 0, errors.Newf("write lease key: %w", err)
	}
	if !result.Succeeded {
		return 0, errors.Newf("lease key already exists: %w", ErrHeld)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held[key] = heldLease{fencing: result.Revision, acquiredAt: now}
	return result.Revision, nil
}
