package store

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

const (
	// pollWait is the time for which one poll waits. A connection that has gone
	// silent holds back changes for that long at most.
	pollWait = 2 * time.Second
	// pollGrace is added to it for the way there and back.
	pollGrace = 700 * time.Millisecond
	// listTimeout bounds the reading of all entries.
	listTimeout = 3 * time.Second
	// firstRetryPause and maxRetryPause bound the pause after a failed call.
	firstRetryPause = 40 * time.Millisecond
	maxRetryPause   = 400 * time.Millisecond
	// gatherTime is the pause after a change for each entry that is held, in which more
	// changes gather: passing a content on takes time for each of its entries. It keeps
	// the work at a few parts in a hundred while thousands of endpoints register.
	gatherTime    = 20 * time.Microsecond
	maxGatherTime = 100 * time.Millisecond
	// startTime is the time in which the daemons of a site that start together register.
	// Each reads the store until it knows who does so for its zone, and each entry would
	// answer the waiting polls of all, so polls are startGather apart meanwhile.
	startTime   = 4 * time.Second
	startGather = 700 * time.Millisecond
	// smallSite is the number of entries up to which so many polls are no burden.
	smallSite = 40
	// maxRecent bounds the changes that are kept for peers.
	maxRecent = 4096
)

// Mirror keeps a live copy of the entries under a prefix. An entry never goes
// back to an older revision, whatever order the answers arrive in.
type Mirror struct {
	store  *Store
	prefix string
	now    func() time.Time
	log    logr.Logger
	done   chan struct{}
	// changed is called with the present content after each change, in order.
	changed func(Content)

	mu      sync.Mutex
	entries map[string]Entry
	// revision is that up to which the store's changes were read.
	revision Revision
	// adopted is the revision up to which changes were taken from peers.
	adopted Revision
	// recent are all changes after recentFrom, in order, for peers that lack them.
	recent     []Event
	recentFrom Revision
	// contact is the time of the last answer; troubled the time of the last
	// failure.
	contact  time.Time
	troubled time.Time
	listed   bool
	// started is when the Mirror began to follow the store.
	started time.Time
	// resting is true while peers are read in place of the store.
	resting bool
	wake    chan struct{}
}

// Content is what a Mirror holds. The map must not be changed.
type Content struct {
	Entries  map[string]Entry
	Revision Revision
	// Troubled is the time of the last failed call of whoever read the entries, zero
	// for none.
	Troubled time.Time
}

// NewMirror returns a Mirror without entries.
func NewMirror(s *Store, prefix string, changed func(Content), now func() time.Time, log logr.Logger) *Mirror {
	return &Mirror{
		store: s, prefix: prefix, now: now, log: log, changed: changed, done: make(chan struct{}),
		entries: map[string]Entry{}, wake: make(chan struct{}, 1),
	}
}

// Done is closed when Serve has returned.
func (m *Mirror) Done() <-chan struct{} {
	return m.done
}

// Serve follows the store until ctx ends.
func (m *Mirror) Serve(ctx context.Context) error {
	defer close(m.done)
	m.mu.Lock()
	m.started = m.now()
	m.mu.Unlock()
	pause := firstRetryPause
	for ctx.Err() == nil {
		if m.isResting() {
			select {
			case <-ctx.Done():
			case <-m.wake:
			}
			continue
		}
		err := m.follow(ctx)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			pause = firstRetryPause
			continue
		}
		m.noteTrouble(err)
		wait := pause/2 + rand.N(pause)
		pause = min(pause*2, maxRetryPause)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return ctx.Err()
}

// Rest makes the Mirror leave the store to others, or read it again. It reads until
// it has the entries once.
func (m *Mirror) Rest(resting bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resting = resting
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Mirror) isResting() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.resting && m.listed
}

// follow makes one call: a listing when the changes cannot be followed, a poll
// otherwise.
func (m *Mirror) follow(parent context.Context) error {
	m.mu.Lock()
	listed, revision := m.listed, m.revision
	m.mu.Unlock()
	if !listed {
		ctx, cancel := context.WithTimeout(parent, listTimeout)
		defer cancel()
		listing, err := m.store.List(ctx, m.prefix)
		if err != nil {
			return errors.Newf("list entries: %w", err)
		}
		m.replace(listing)
		return nil
	}
	ctx, cancel := context.WithTimeout(parent, pollWait+pollGrace)
	defer cancel()
	changes, err := m.store.Poll(ctx, m.prefix, revision, pollWait)
	if errors.Is(err, ErrHistoryLost) {
		m.mu.Lock()
		m.listed = false
		m.mu.Unlock()
		m.log.Info("store history was lost, entries are listed again", "revision", revision)
		return nil
	}
	if err != nil {
		return errors.Newf("poll for changes: %w", err)
	}
	m.apply(changes)
	if len(changes.Events) > 0 {
		m.gather(parent)
	}
	return nil
}

// gather waits while more changes come together.
func (m *Mirror) gather(ctx context.Context) {
	m.mu.Lock()
	wait := min(time.Duration(len(m.entries))*gatherTime, maxGatherTime)
	if len(m.entries) > smallSite && m.now().Sub(m.started) < startTime {
		wait = startGather
	}
	m.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (m *Mirror) noteTrouble(err error) {
	now := m.now()
	m.mu.Lock()
	lost := m.troubled.IsZero() || m.contact.After(m.troubled)
	m.troubled = now
	contact := m.contact
	m.mu.Unlock()
	if lost {
		m.log.Info("store was lost", "error", err.Error(), "last_contact_ms", age(now, contact).Milliseconds())
	}
}

// noteContact notes an answer. The caller holds the lock.
func (m *Mirror) noteContact() {
	now := m.now()
	if m.troubled.After(m.contact) {
		m.log.Info("store was regained", "away_ms", age(now, m.contact).Milliseconds())
	}
	m.contact = now
}

// age returns the time since a moment, 0 when there was none.
func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// replace takes a whole listing. Entries that are missing from it and were last
// written before it are removed.
func (m *Mirror) replace(listing Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteContact()
	m.merge(listing)
	m.listed = true
	m.revision = max(m.revision, listing.Revision)
	m.forgetRecent()
	m.publish(m.troubled)
}

// merge takes what a listing has and drops what it lacks, where the listing is
// newer. It reports whether anything changed. The caller holds the lock.
func (m *Mirror) merge(listing Listing) bool {
	news := false
	present := map[string]bool{}
	for _, entry := range listing.Entries {
		present[entry.Key] = true
		news = m.put(entry) || news
	}
	for key, entry := range m.entries {
		if !present[key] && entry.Revision <= listing.Revision {
			delete(m.entries, key)
			news = true
		}
	}
	return news
}

func (m *Mirror) apply(changes Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteContact()
	m.take(changes.Events)
	m.revision = max(m.revision, changes.Revision)
	if len(changes.Events) > 0 {
		m.publish(m.troubled)
	}
}

// take applies changes and keeps those that are new for peers. It reports whether there
// were any. The caller holds the lock.
func (m *Mirror) take(events []Event) bool {
	known := m.known()
	news := false
	for _, event := range events {
		if event.Entry.Revision > known {
			m.recent = append(m.recent, event)
			news = true
		}
		if event.Deleted {
			m.remove(event.Entry.Key, event.Entry.Revision)
			continue
		}
		m.put(event.Entry)
	}
	if over := len(m.recent) - maxRecent; over > 0 {
		m.recentFrom = m.recent[over-1].Entry.Revision
		m.recent = append([]Event(nil), m.recent[over:]...)
	}
	return news
}

// forgetRecent starts the changes for peers anew, after a listing that does not tell
// which entries went when. The caller holds the lock.
func (m *Mirror) forgetRecent() {
	m.recent, m.recentFrom = nil, m.known()
}

// ChangesSince returns all changes after a revision, and false when they are not known
// one by one.
func (m *Mirror) ChangesSince(after Revision) (changes Changes, troubled time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.recentFrom || m.known() == 0 {
		return Changes{}, time.Time{}, false
	}
	first := sort.Search(len(m.recent), func(i int) bool { return m.recent[i].Entry.Revision > after })
	return Changes{Events: slices.Clone(m.recent[first:]), Revision: m.known()}, m.troubled, true
}

// AdoptChanges takes the changes of another reader of the store, whose last failed call
// was at troubled. They have to begin at a revision that is known here.
func (m *Mirror) AdoptChanges(changes Changes, troubled time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	news := m.take(changes.Events)
	m.adopted = max(m.adopted, changes.Revision)
	if news {
		m.publish(troubled)
	}
}

// Adopt takes the listing of another reader of the store, whose last failed call was
// at troubled. What is older than what is known here is passed over.
func (m *Mirror) Adopt(listing Listing, troubled time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.merge(listing)
	if listing.Revision > m.known() {
		m.adopted = listing.Revision
		m.forgetRecent()
	}
	if changed {
		m.publish(troubled)
	}
}

// IsLost reports whether the last call failed.
func (m *Mirror) IsLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.troubled.After(m.contact)
}

// Revision returns the newest revision up to which all changes are known.
func (m *Mirror) Revision() Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known()
}

// known returns the revision up to which all changes are known. The caller holds the
// lock.
func (m *Mirror) known() Revision {
	return max(m.revision, m.adopted)
}

// Content returns the present content.
func (m *Mirror) Content() Content {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.content()
}

// content copies the entries. The caller holds the lock.
func (m *Mirror) content() Content {
	entries := make(map[string]Entry, len(m.entries))
	for key, entry := range m.entries {
		entries[key] = entry
	}
	return Content{Entries: entries, Revision: m.known(), Troubled: m.troubled}
}

// put reports whether the entry is newer than what is known of its key. An older one
// of a key without an entry was removed since.
func (m *Mirror) put(entry Entry) bool {
	known, ok := m.entries[entry.Key]
	if entry.Revision <= known.Revision || (!ok && entry.Revision <= m.known()) {
		return false
	}
	m.entries[entry.Key] = entry
	return true
}

func (m *Mirror) remove(key string, at Revision) {
	if at >= m.entries[key].Revision {
		delete(m.entries, key)
	}
}

// publish passes the content on, which a reader has whose last failed call was at
// troubled. The caller holds the lock, so that contents are passed on in order.
func (m *Mirror) publish(troubled time.Time) {
	if m.changed != nil {
		content := m.content()
		content.Troubled = troubled
		m.changed(content)
	}
}
