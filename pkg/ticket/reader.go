package ticket

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/store"
)

const (
	// readInterval is the interval between full reads of the head. They detect changes
	// that a watch on a silent connection misses.
	readInterval = 5 * time.Second
	// roleCheckInterval is the interval between checks of whether this daemon is a reader.
	roleCheckInterval = 500 * time.Millisecond
)

// Reader reads and watches the store's head while this daemon is a reader.
type Reader struct {
	store    *store.Store
	follower *Follower
	isReader func() bool
	now      func() time.Time
	log      logr.Logger
	done     chan struct{}
}

// NewReader returns a Reader. isReader reports whether this daemon is currently a reader.
func NewReader(s *store.Store, follower *Follower, isReader func() bool, now func() time.Time, log logr.Logger) *Reader {
	return &Reader{store: s, follower: follower, isReader: isReader, now: now, log: log, done: make(chan struct{})}
}

// Done is closed when Serve has returned.
func (r *Reader) Done() <-chan struct{} {
	return r.done
}

// Serve reads and watches the head until ctx is done.
func (r *Reader) Serve(ctx context.Context) error {
	defer close(r.done)
	for ctx.Err() == nil {
		if r.isReader() {
			r.readAndWatch(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(roleCheckInterval):
		}
	}
	return ctx.Err()
}

// readAndWatch reads the head and then watches it for one readInterval.
func (r *Reader) readAndWatch(ctx context.Context) {
	head, revision, err := ReadHead(ctx, r.store)
	if err != nil {
		r.log.V(1).Info("store is not readable", "error", err.Error())
		return
	}
	r.follow(ctx, head)
	watchContext, cancel := context.WithTimeout(ctx, readInterval)
	defer cancel()
	err = r.store.Watch(watchContext, HeadKey, revision, func(event store.Event) {
		var head Head
		if err := json.Unmarshal(event.Entry.Value, &head); err != nil {
			r.log.Error(err, "head cannot be decoded")
			return
		}
		r.follow(ctx, head)
	})
	if err != nil && watchContext.Err() == nil {
		r.log.V(1).Info("watch on head ended", "error", err.Error())
	}
}

func (r *Reader) follow(ctx context.Context, head Head) {
	if err := r.follower.Follow(ctx, r.now(), head, NewStoreSource(r.store)); err != nil {
		r.log.Error(err, "state of a ticket cannot be loaded", "ticket", head.Number)
	}
}
