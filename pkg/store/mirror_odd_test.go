package store_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/internal/virtual"
	"github.com/turmerictide/turmerictide/pkg/store"
)

// runStore runs a mirror of a store for a time.
func runStore(t *testing.T, s *store.Store, length time.Duration) *store.Mirror {
	t.Helper()
	var m *store.Mirror
	virtual.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m = store.NewMirror(s, "", nil, time.Now, logr.Discard())
		go func() { _ = m.Serve(ctx) }()
		time.Sleep(length)
		synctest.Wait()
		cancel()
		<-m.Done()
	})
	return m
}

// TestStoreThatRespondsAtOnceIsNotPolledInALoop covers responses without a change, which a
// store sends after the time to wait.
func TestStoreThatRespondsAtOnceIsNotPolledInALoop(t *testing.T) {
	polls := 0
	runStore(t, &store.Store{
		List: func(context.Context, string) (store.Listing, error) { return store.Listing{Revision: 5}, nil },
		Poll: func(ctx context.Context, _ string, _ store.Revision, _ time.Duration) (store.Changes, error) {
			polls++
			time.Sleep(time.Millisecond)
			return store.Changes{Revision: 5}, ctx.Err()
		},
	}, 10*time.Second)
	require.LessOrEqual(t, polls, 52, "5 polls a second")
	require.GreaterOrEqual(t, polls, 10)
}

// TestHistoryThatIsLostWithEachPollIsNotListedInALoop covers changes that no poll can return,
// such as too many for one response.
func TestHistoryThatIsLostWithEachPollIsNotListedInALoop(t *testing.T) {
	listings := 0
	m := runStore(t, &store.Store{
		List: func(context.Context, string) (store.Listing, error) {
			listings++
			time.Sleep(time.Millisecond)
			revision := store.Revision(listings)
			return store.Listing{Revision: revision, Entries: []store.Entry{entry("a", fmt.Sprint(revision), revision)}}, nil
		},
		Poll: func(context.Context, string, store.Revision, time.Duration) (store.Changes, error) {
			return store.Changes{}, errors.Mark(errors.New("too large"), store.ErrHistoryLost)
		},
	}, 10*time.Second)
	require.LessOrEqual(t, listings, 22, "2 listings a second")
	require.GreaterOrEqual(t, listings, 10)
	require.Equal(t, map[string]string{"a": fmt.Sprint(listings)}, values(m), "the mirror follows")
}
