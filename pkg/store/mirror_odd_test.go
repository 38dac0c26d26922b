package store_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
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

// TestLongListingCompletes covers a store with so many large entries of other writers that a
// listing takes longer than listings are given at first.
func TestLongListingCompletes(t *testing.T) {
	m := runStore(t, &store.Store{
		List: func(ctx context.Context, _ string) (store.Listing, error) {
			select {
			case <-ctx.Done():
				return store.Listing{}, ctx.Err()
			case <-time.After(10 * time.Second):
				return store.Listing{Revision: 5, Entries: []store.Entry{entry("a", "1", 5)}}, nil
			}
		},
		Poll: func(ctx context.Context, _ string, after store.Revision, wait time.Duration) (store.Changes, error) {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
			return store.Changes{Revision: after}, ctx.Err()
		},
	}, 30*time.Second)
	require.Equal(t, map[string]string{"a": "1"}, values(m))
}

// TestRewrittenEntryDoesNotFillTheMemory covers an entry of another writer that changes with
// each poll. Its changes are kept for peers.
func TestRewrittenEntryDoesNotFillTheMemory(t *testing.T) {
	const bytesLimit = 16 << 20
	peer := store.NewMirror(&store.Store{}, "", nil, time.Now, logr.Discard())
	read := newPeerReader(t, map[string]http.HandlerFunc{store.PeerEntriesPath: peer.ServePeerEntries, store.PeerChangesPath: peer.ServePeerChanges})
	m := store.NewMirror(&store.Store{}, "", nil, time.Now, logr.Discard())
	peer.AdoptListing(store.Listing{Entries: []store.Entry{entry("sound", "1", 1)}, Revision: 1}, time.Time{})
	require.Equal(t, 1, read(m))
	value := bytes.Repeat([]byte("x"), 128<<10)
	for revision := store.Revision(2); revision < 1000; revision++ {
		peer.AdoptChanges(store.Changes{Revision: revision, Events: []store.Event{{Entry: store.Entry{Key: "odd", Value: value, Revision: revision}}}}, time.Time{})
	}
	changes, _, ok := peer.ChangesSince(peer.Revision() - 10)
	require.True(t, ok)
	require.Len(t, changes.Events, 10, "a peer that reads often reads the changes alone")
	_, _, ok = peer.ChangesSince(1)
	require.False(t, ok, "all changes are %d MB", len(value)*998>>20)
	size := 0
	for after := peer.Revision(); ok || after == peer.Revision(); after-- {
		changes, _, ok = peer.ChangesSince(after)
		size = max(size, len(changes.Events)*len(value))
	}
	require.LessOrEqual(t, size, bytesLimit)
	require.Equal(t, 2, read(m), "a peer that reads seldom reads all entries")
	require.Equal(t, values(peer), values(m))
}

// TestThousandLargeEntriesDoNotStopAPeerFromReading covers a daemon that reads the entries of
// a peer instead of the store.
func TestThousandLargeEntriesDoNotStopAPeerFromReading(t *testing.T) {
	peer := store.NewMirror(&store.Store{}, "", nil, time.Now, logr.Discard())
	read := newPeerReader(t, map[string]http.HandlerFunc{store.PeerEntriesPath: peer.ServePeerEntries, store.PeerChangesPath: peer.ServePeerChanges})
	entries := []store.Entry{entry("sound", "1", 1)}
	value := bytes.Repeat([]byte{'['}, 16<<10)
	for i := range 1100 {
		entries = append(entries, store.Entry{Key: fmt.Sprint("odd-", i, "\x00\u00e4"), Value: value, Revision: store.Revision(i + 2)})
	}
	peer.AdoptListing(store.Listing{Entries: entries, Revision: 2000}, time.Time{})
	m := store.NewMirror(&store.Store{}, "", nil, time.Now, logr.Discard())
	require.Equal(t, 1101, read(m))
	require.Equal(t, values(peer), values(m))
}

// TestMirrorFollowsAfterAPanic covers a supervisor that restarts a mirror whose onChange panicked
// on one content.
func TestMirrorFollowsAfterAPanic(t *testing.T) {
	virtual.Run(t, func(t *testing.T) {
		s := &scriptedStore{listing: store.Listing{Entries: []store.Entry{entry("a", "1", 5)}, Revision: 5}, polls: make(chan pollResult)}
		var seen []string
		m := store.NewMirror(s.store(), "", func(c store.Content) {
			value := string(c.Entries["a"].Value)
			if value == "odd" {
				panic(value)
			}
			seen = append(seen, value)
		}, time.Now, logr.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		serve := func() (cause any) {
			defer func() { cause = recover() }()
			_ = m.Serve(ctx)
			return nil
		}
		causes := make(chan any, 2)
		go func() {
			causes <- serve()
			causes <- serve()
		}()
		s.polls <- pollResult{changes: store.Changes{Revision: 6, Events: []store.Event{{Entry: entry("a", "odd", 6)}}}}
		require.Equal(t, "odd", <-causes)
		s.polls <- pollResult{changes: store.Changes{Revision: 7, Events: []store.Event{{Entry: entry("a", "2", 7)}}}}
		synctest.Wait()
		require.Equal(t, []string{"1", "2"}, seen)
		cancel()
		require.Nil(t, <-causes, "a mirror that was restarted can be stopped")
	})
}
