package store_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmerictide/turmerictide/internal/virtual"
	"github.com/turmerictide/turmerictide/pkg/store"
)

// historyStore is a store that keeps all changes, so that it can respond as of any revision,
// like a replica that lags behind.
type historyStore struct {
	mu     sync.Mutex
	events []store.Event
	// oldest is the oldest revision after which changes are still available.
	oldest  store.Revision
	changed chan struct{}
}

func (s *historyStore) revision() store.Revision {
	return store.Revision(len(s.events))
}

func (s *historyStore) write(key string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.revision() + 1
	s.events = append(s.events, store.Event{Entry: entry(key, fmt.Sprint(key, revision), revision), Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// at returns the entries as of a revision. mu must be held.
func (s *historyStore) at(revision store.Revision) map[string]store.Entry {
	entries := map[string]store.Entry{}
	for _, event := range s.events[:revision] {
		if event.Deleted {
			delete(entries, event.Entry.Key)
			continue
		}
		entries[event.Entry.Key] = event.Entry
	}
	return entries
}

// mirrorHost is one host with its own connection to the store.
type mirrorHost struct {
	history *historyStore
	mirror  *store.Mirror

	mu sync.Mutex
	// isFailing, isSilent and lag are the injected faults: calls fail, calls get no
	// response, or responses come from a replica that is lag writes behind.
	isFailing, isSilent bool
	lag                 store.Revision
	// seen contains the newest revision of each key that the mirror has published, or that
	// of its removal.
	seen       map[string]store.Revision
	violations []string
}

func newMirrorHost(s *historyStore) *mirrorHost {
	h := &mirrorHost{history: s, seen: map[string]store.Revision{}}
	h.mirror = store.NewMirror(&store.Store{List: h.list, Poll: h.poll}, "", h.observe, time.Now, logr.Discard())
	return h
}

// injectFault lets a call pass, fails it, or blocks it until ctx is done.
func (h *mirrorHost) injectFault(ctx context.Context) (lag store.Revision, err error) {
	h.mu.Lock()
	isFailing, isSilent, lag := h.isFailing, h.isSilent, h.lag
	h.mu.Unlock()
	if isSilent {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	if isFailing {
		return 0, errors.Mark(errors.New("outage"), store.ErrUnavailable)
	}
	return lag, nil
}

func (h *mirrorHost) list(ctx context.Context, _ string) (store.Listing, error) {
	lag, err := h.injectFault(ctx)
	if err != nil {
		return store.Listing{}, err
	}
	h.history.mu.Lock()
	defer h.history.mu.Unlock()
	revision := max(h.history.revision()-lag, 0)
	return store.Listing{Entries: slices.Collect(maps.Values(h.history.at(revision))), Revision: revision}, nil
}

func (h *mirrorHost) poll(ctx context.Context, _ string, after store.Revision, wait time.Duration) (store.Changes, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		lag, err := h.injectFault(ctx)
		if err != nil {
			return store.Changes{}, err
		}
		h.history.mu.Lock()
		revision, oldest, changed := max(h.history.revision()-lag, 0), h.history.oldest, h.history.changed
		var events []store.Event
		if after < revision {
			events = slices.Clone(h.history.events[after:revision])
		}
		h.history.mu.Unlock()
		switch {
		case after < oldest:
			return store.Changes{}, errors.Mark(errors.New("compacted"), store.ErrHistoryLost)
		case len(events) > 0:
			return store.Changes{Events: events, Revision: revision}, nil
		}
		select {
		case <-ctx.Done():
			return store.Changes{}, ctx.Err()
		case <-limit.C:
			return store.Changes{Revision: after}, nil
		case <-changed:
		}
	}
}

// observe checks each content that the mirror publishes: an entry has the value that was
// written at its revision, and the revision of a key never decreases.
func (h *mirrorHost) observe(content store.Content) {
	h.history.mu.Lock()
	defer h.history.mu.Unlock()
	for key, e := range content.Entries {
		if written := h.history.events[e.Revision-1]; written.Deleted || written.Entry.Key != key || string(written.Entry.Value) != string(e.Value) {
			h.violations = append(h.violations, fmt.Sprintf("%s is %s, which was not written at %d", key, e.Value, e.Revision))
		}
		if e.Revision < h.seen[key] {
			h.violations = append(h.violations, fmt.Sprintf("revision of %s decreases from %d to %d", key, h.seen[key], e.Revision))
		}
		h.seen[key] = e.Revision
	}
	for key, revision := range h.seen {
		if _, ok := content.Entries[key]; ok {
			continue
		}
		// A missing entry was removed by the next deletion of its key.
		for _, event := range h.history.events[revision:] {
			if event.Entry.Key == key && event.Deleted {
				h.seen[key] = max(h.seen[key], event.Entry.Revision)
				break
			}
		}
	}
}

// storeAction is one step of a test run.
type storeAction struct {
	Kind     string
	Host     int
	Peer     int
	Key      string
	Duration time.Duration
}

func drawStoreAction(t *rapid.T) storeAction {
	return storeAction{
		Kind: rapid.SampledFrom([]string{"write", "write", "write", "delete", "delete", "wait", "away", "silent", "behind", "compact", "adopt", "follow", "follow", "rest", "read"}).Draw(t, "kind"),
		Host: rapid.IntRange(0, 2).Draw(t, "host"), Peer: rapid.IntRange(0, 2).Draw(t, "peer"),
		Key:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
		Duration: time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond,
	}
}

// runStoreActions runs actions on three hosts and returns the violations that were seen.
func runStoreActions(t *testing.T, actions []storeAction) []string {
	t.Helper()
	var violations []string
	virtual.Run(t, func(t *testing.T) {
		s := &historyStore{changed: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		var hosts []*mirrorHost
		for range 3 {
			h := newMirrorHost(s)
			hosts = append(hosts, h)
			work.Go(func() { _ = h.mirror.Serve(ctx) })
		}
		for _, a := range actions {
			hosts[a.Host].do(&work, a, hosts[a.Peer])
		}
		time.Sleep(20 * time.Second)
		for i, h := range hosts {
			h.mirror.SetPaused(false)
			time.Sleep(5 * time.Second)
			s.mu.Lock()
			written, content := s.at(s.revision()), h.mirror.Content()
			if !maps.EqualFunc(written, content.Entries, func(a, b store.Entry) bool { return a.Revision == b.Revision }) {
				h.violations = append(h.violations, fmt.Sprintf("host %d has entries %v, the store has %v", i, content.Entries, written))
			}
			violations = append(violations, h.violations...)
			s.mu.Unlock()
		}
		cancel()
		work.Wait()
	})
	return violations
}

// do runs an action. Each fault ends after the action's duration.
func (h *mirrorHost) do(work *sync.WaitGroup, a storeAction, peer *mirrorHost) {
	set := func(change func(on bool)) {
		h.mu.Lock()
		change(true)
		h.mu.Unlock()
		work.Go(func() {
			time.Sleep(a.Duration)
			h.mu.Lock()
			defer h.mu.Unlock()
			change(false)
		})
	}
	switch a.Kind {
	case "write", "delete":
		h.history.write(a.Key, a.Kind == "delete")
	case "wait":
		time.Sleep(a.Duration)
	case "away":
		set(func(on bool) { h.isFailing = on })
	case "silent":
		set(func(on bool) { h.isSilent = on })
	case "behind":
		set(func(on bool) {
			h.lag = 0
			if on {
				h.lag = 1 + store.Revision(a.Duration/(500*time.Millisecond))
			}
		})
	case "compact":
		h.history.mu.Lock()
		h.history.oldest = h.history.revision()
		h.history.mu.Unlock()
	case "adopt":
		content := peer.mirror.Content()
		work.Go(func() {
			time.Sleep(a.Duration)
			h.mirror.AdoptListing(store.Listing{Entries: slices.Collect(maps.Values(content.Entries)), Revision: content.Revision}, content.LastFailure)
		})
	case "follow":
		changes, lastFailure, ok := peer.mirror.ChangesSince(h.mirror.Revision())
		work.Go(func() {
			time.Sleep(a.Duration)
			if ok {
				h.mirror.AdoptChanges(changes, lastFailure)
			}
		})
	case "rest", "read":
		h.mirror.SetPaused(a.Kind == "rest")
	}
}

// TestMirrorIgnoresOlderRevisionsInAnyMixOfFaults combines writes, removals, outages, calls
// without a response, lagging replicas, compacted history, and delayed listings and changes
// of peers in virtual time.
func TestMirrorIgnoresOlderRevisionsInAnyMixOfFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		require.Empty(rt, runStoreActions(t, rapid.SliceOfN(rapid.Custom(drawStoreAction), 1, 40).Draw(rt, "actions")))
	})
}

// TestRemovedEntryStaysRemoved applies a listing of a peer after this host has read from the
// store that an entry of the listing was removed.
func TestRemovedEntryStaysRemoved(t *testing.T) {
	require.Empty(t, runStoreActions(t, []storeAction{
		{Kind: "write", Key: "c"},
		{Kind: "away", Host: 1, Duration: 2069 * time.Millisecond},
		{Kind: "wait", Duration: 2223 * time.Millisecond},
		{Kind: "adopt", Host: 1, Peer: 2, Duration: 962 * time.Millisecond},
		{Kind: "delete", Key: "c"},
	}))
}
