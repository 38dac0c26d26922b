package member

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/store"
)

const (
	// registrationPrefix begins the store's keys of daemons.
	registrationPrefix = "turmerictide/members/"
	// registrationTTL is the time for which an entry outlives its daemon.
	registrationTTL = 30 * time.Second
	// renewPeriod spaces the renewals, three within the entry's time: hundreds of daemons
	// renew, and who lives is found out by heartbeats.
	renewPeriod = 10 * time.Second
	// registrationRetry spaces the attempts to register.
	registrationRetry = 500 * time.Millisecond
)

// Registration keeps an entry of this daemon in the platform's store, so that
// daemons find each other there.
type Registration struct {
	store *store.Store
	self  Member
	log   logr.Logger
	done  chan struct{}
	lost  chan struct{}

	mu         sync.Mutex
	lease      store.LeaseID
	registered bool
	// read are the entries of daemons as they were read, by key.
	read map[string]readEntry
}

// readEntry is the member of an entry, nil where it cannot be read.
type readEntry struct {
	revision store.Revision
	member   *Member
}

// NewRegistration returns a Registration of a daemon.
func NewRegistration(s *store.Store, self Member, log logr.Logger) *Registration {
	return &Registration{store: s, self: self, log: log, done: make(chan struct{}), lost: make(chan struct{}, 1)}
}

// Done is closed when Serve has returned.
func (r *Registration) Done() <-chan struct{} {
	return r.done
}

// Serve registers the daemon and renews its entry until ctx ends.
func (r *Registration) Serve(ctx context.Context) error {
	defer close(r.done)
	for {
		pause := renewPeriod
		if err := r.renew(ctx); err != nil {
			pause = registrationRetry
			r.log.Info("daemon is not registered", "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.lost:
		case <-time.After(pause):
		}
	}
}

func (r *Registration) renew(ctx context.Context) error {
	r.mu.Lock()
	lease, registered := r.lease, r.registered
	r.mu.Unlock()
	if registered {
		err := r.store.KeepLease(ctx, lease)
		if !errors.Is(err, store.ErrLeaseExpired) {
			return err
		}
	}
	return r.register(ctx)
}

func (r *Registration) register(ctx context.Context) error {
	lease, err := r.store.GrantLease(ctx, registrationTTL)
	if err != nil {
		return errors.Newf("grant lease: %w", err)
	}
	value, err := link.Encode(encodeMember(r.self))
	if err != nil {
		return errors.Newf("encode member: %w", err)
	}
	put := store.Put{Key: registrationPrefix + r.self.Host, Value: value, Lease: lease}
	if _, err := r.store.Commit(ctx, store.Commit{Puts: []store.Put{put}}); err != nil {
		return errors.Newf("write entry: %w", err)
	}
	r.mu.Lock()
	r.lease, r.registered = lease, true
	r.mu.Unlock()
	r.log.Info("daemon is registered", "lease", lease)
	return nil
}

// readAgain reads an entry that has changed. The caller holds the lock.
func (r *Registration) readAgain(key string, entry store.Entry) readEntry {
	if known, ok := r.read[key]; ok && known.revision == entry.Revision {
		return known
	}
	var wire wireMember
	if err := link.Decode(entry.Value, &wire); err != nil {
		r.log.Info("entry of a daemon cannot be read", "key", key, "error", err.Error())
		return readEntry{revision: entry.Revision}
	}
	m := decodeMember(wire)
	return readEntry{revision: entry.Revision, member: &m}
}

// Update takes the content of the store: it registers again when the entry of
// this daemon is missing, and returns the other daemons.
func (r *Registration) Update(content store.Content) []Member {
	var others []Member
	found := false
	r.mu.Lock()
	read := make(map[string]readEntry, len(r.read))
	for key, entry := range content.Entries {
		host, ok := strings.CutPrefix(key, registrationPrefix)
		if !ok {
			continue
		}
		found = found || host == r.self.Host
		read[key] = r.readAgain(key, entry)
		if m := read[key].member; m != nil && host != r.self.Host {
			others = append(others, *m)
		}
	}
	r.read = read
	missing := r.registered && !found
	if missing {
		r.registered = false
	}
	r.mu.Unlock()
	if missing {
		r.log.Info("entry of this daemon was taken away")
		select {
		case r.lost <- struct{}{}:
		default:
		}
	}
	return others
}
