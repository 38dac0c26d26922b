package ticket

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/store"
)

const (
	// readerPeriod spaces full reads of the head. They find what a watch on a
	// silent connection misses.
	readerPeriod = 5 * time.Second
	// readerPoll spaces checks of whether this daemon is a reader.
	readerPoll = 500 * time.Millisecond
)

// Reader holds the watch on the store's head while this daemon is chosen to.
type Reader struct {
	store    *store.Store
	follower *Follower
	isReader func() bool
	now      func() time.Time
	log      logr.Logger
	done     chan struct{}
}

// NewReader returns a Reader. isReader says whether this daemon reads now.
func NewReader(s *store.Store, follower *Follower, isReader func() bool, now func() time.Time, log logr.Logger) *Reader {
	return &Reader{store: s, follower: follower, isReader: isReader, now: now, log: log, done: make(chan struct{})}
}

// Done is closed when Serve has returned.
func (r *Reader) Done() <-chan struct{} {
	return r.done
}

// Serve reads and watches the head until ctx ends.
func (r *Reader) Serve(ctx context.Context) error {
	defer close(r.done)
	for ctx.Err() == nil {
		if r.isReader() {
			r.readOnce(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readerPoll):
		}
	}
	return ctx.Err()
}

// readOnce reads the head and then watches it for one period.
func (r *Reader) readOnce(ctx context.Context) {
	head, revision, err := ReadHead(ctx, r.store)
	if err != nil {
		r.log.V(1).Info("store is not readable", "error", err.Error())
		return
	}
	r.follow(ctx, head)
	watchContext, cancel := context.WithTimeout(ctx, readerPeriod)
	defer cancel()
	err = r.store.Watch(watchContext, HeadKey, revision, func(event store.Event) {
		var head Head
		if err := json.Unmarshal(event.Entry.Value, &head); err != nil {
			r.log.Error(err, "head is not readable")
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
		r.log.Error(err, "ticket is not in force yet", "ticket", head.Number)
	}
}
