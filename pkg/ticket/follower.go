package ticket

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/store"
)

// Source reads objects from the store or from a peer.
type Source struct {
	Object func(ctx context.Context, name ObjectName, version Version) ([]byte, error)
}

// NewStoreSource returns a Source that reads the store.
func NewStoreSource(s *store.Store) Source {
	return Source{Object: func(ctx context.Context, name ObjectName, version Version) ([]byte, error) {
		entry, err := s.Get(ctx, ObjectKey(name, version))
		if err != nil {
			return nil, err
		}
		if entry.Revision == 0 {
			return nil, errors.Newf("object %s version %s is absent", name, version)
		}
		return entry.Value, nil
	}}
}

// Follower keeps the newest State that this daemon has received.
type Follower struct {
	// Changed is called after each change of the state, in order. The Follower's lock is
	// held during the call.
	Changed func(state *State, at time.Time)

	mu      sync.Mutex
	current atomic.Pointer[State]
}

// NewFollower returns a Follower without a state.
func NewFollower(changed func(state *State, at time.Time)) *Follower {
	return &Follower{Changed: changed}
}

// Current returns the current state, or nil before the first.
func (f *Follower) Current() *State {
	return f.current.Load()
}

// Number returns the number of the current state, 0 before the first.
func (f *Follower) Number() Number {
	state := f.current.Load()
	if state == nil {
		return 0
	}
	return state.Head.Number
}

// Follow loads the state of head if the number of head is higher than the current one.
// Only objects whose version changed are fetched.
func (f *Follower) Follow(ctx context.Context, now time.Time, head Head, source Source) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if head.Number <= f.Number() {
		return nil
	}
	values, err := f.fetchObjects(ctx, head, source)
	if err != nil {
		return errors.Newf("follow ticket %d: %w", head.Number, err)
	}
	state, err := NewState(head, values)
	if err != nil {
		return errors.Newf("follow ticket %d: %w", head.Number, err)
	}
	f.current.Store(state)
	if f.Changed != nil {
		f.Changed(state, now)
	}
	return nil
}

func (f *Follower) fetchObjects(ctx context.Context, head Head, source Source) (map[ObjectName][]byte, error) {
	current := f.current.Load()
	values := make(map[ObjectName][]byte, len(head.Objects))
	for name, version := range head.Objects {
		if current != nil {
			if value, ok := current.Object(name, version); ok {
				values[name] = value
				continue
			}
		}
		value, err := source.Object(ctx, name, version)
		if err != nil {
			return nil, errors.Newf("fetch %s: %w", name, err)
		}
		values[name] = value
	}
	return values, nil
}
