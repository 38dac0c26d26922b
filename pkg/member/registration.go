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
	// registrationPrefix is the prefix of the store keys of daemons.
	registrationPrefix = "turmerictide/members/"
	// registrationTTL is the time for which an entry outlives its daemon: the
	// duration of its lease.
	registrationTTL = 30 * time.Second
	// renewInterval is the interval between lease renewals, a third of the TTL. A
	// shorter interval would only add load, since hundreds of daemons renew and
	// heartbeats detect which daemons are alive.
	renewInterval = 10 * time.Second
	// registrationRetryInterval is the interval between attempts to register.
	registrationRetryInterval = 500 * time.Millisecond
)

// Registration maintains the entry of this daemon in the platform's store, where
// daemons discover each other.
type Registration struct {
	store        *store.Store
	self         Member
	log          logr.Logger
	done         chan struct{}
	entryRemoved chan struct{}

	mu         sync.Mutex
	lease      store.LeaseID
	registered bool
	// decoded caches the decoded entries of daemons by key.
	decoded map[string]decodedEntry
}

// decodedEntry is the member of an entry, nil if it cannot be decoded.
type decodedEntry struct {
	revision store.Revision
	member   *Member
}

// NewRegistration returns a Registration of self. Serve registers it.
func NewRegistration(s *store.Store, self Member, log logr.Logger) *Registration {
	return &Registration{store: s, self: self, log: log, done: make(chan struct{}), entryRemoved: make(chan struct{}, 1)}
}

// Done is closed when Serve has returned.
func (r *Registration) Done() <-chan struct{} {
	return r.done
}

// Serve registers the daemon and renews the lease of its entry until ctx is done.
func (r *Registration) Serve(ctx context.Context) error {
	defer close(r.done)
	for {
		pause := renewInterval
		if err := r.renew(ctx); err != nil {
			pause = registrationRetryInterval
			r.log.Info("daemon is not registered", "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.entryRemoved:
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

// decodeEntry returns the cached entry, and decodes it if its revision has
// changed. mu must be held.
func (r *Registration) decodeEntry(key, host string, entry store.Entry) decodedEntry {
	if cached, ok := r.decoded[key]; ok && cached.revision == entry.Revision {
		return cached
	}
	m, err := decodeRegistration(host, entry.Value)
	if err != nil {
		r.log.Info("cannot decode the entry of a daemon in the store", "key", key, "error", err.Error())
		return decodedEntry{revision: entry.Revision}
	}
	return decodedEntry{revision: entry.Revision, member: &m}
}

// decodeRegistration decodes the entry that a daemon writes for itself.
func decodeRegistration(host string, value []byte) (Member, error) {
	var wire wireMember
	if err := link.Decode(value, &wire); err != nil {
		return Member{}, err
	}
	m, err := decodeMember(wire)
	if err != nil {
		return Member{}, err
	}
	if m.Host != host || m.State != StateAlive {
		return Member{}, errors.Newf("entry is of host %.40q in state %s", m.Host, m.State)
	}
	return m, nil
}

// Update processes the content of the store and returns the other daemons. If the
// entry of this daemon is missing, or is from a copy, Serve registers it again.
func (r *Registration) Update(content store.Content) []Member {
	var others []Member
	found := false
	r.mu.Lock()
	decoded := make(map[string]decodedEntry, len(r.decoded))
	for key, entry := range content.Entries {
		host, ok := strings.CutPrefix(key, registrationPrefix)
		if !ok {
			continue
		}
		if host == r.self.Host {
			found = true
			continue
		}
		decoded[key] = r.decodeEntry(key, host, entry)
		if m := decoded[key].member; m != nil {
			others = append(others, *m)
		}
	}
	r.decoded = decoded
	missing := r.registered && (!found || content.Revision.Era() > r.lease.Era)
	if missing {
		r.registered = false
	}
	r.mu.Unlock()
	if missing {
		r.log.Info("entry of this daemon is missing from the store")
		select {
		case r.entryRemoved <- struct{}{}:
		default:
		}
	}
	return others
}
