package store

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

const (
	// pollWait is the time that the store waits for a change before it replies to a
	// poll. A connection that stops responding delays changes by pollWait and
	// pollRoundTripMargin at most.
	pollWait = 2 * time.Second
	// strictPollWait is pollWait where confirmations are tracked. The confirmation by a poll
	// is as old as the poll took, and grows by as much until the next one, so that it is 1.2 s
	// old at most, and 1.7 s with the interval between reads of peers. 1 s would give 2.5 s.
	strictPollWait = 600 * time.Millisecond
	// briefPollWait is that of the first poll after a listing where confirmations are tracked, as a
	// listing may be stale and confirms nothing, and of a poll after a confirmation that is older
	// than maxConfirmedAge. 0 could mean the store's default.
	briefPollWait = time.Millisecond
	// maxConfirmedAge is the largest age of a confirmation in normal operation.
	maxConfirmedAge = 2 * time.Second
	// pollRoundTripMargin is added to pollWait in the timeout of a poll.
	pollRoundTripMargin = 700 * time.Millisecond
	// listTimeout limits one listing of all entries. It doubles with each listing that takes
	// longer, up to maxListTimeout, as other writers may have written many large entries.
	listTimeout    = 3 * time.Second
	maxListTimeout = 12 * time.Second
	// minListInterval is the minimum interval between the starts of a listing and of the next
	// but one. minPollInterval is that between two polls of which the first returned nothing.
	minListInterval = time.Second
	minPollInterval = 200 * time.Millisecond
	// initialRetryDelay and maxRetryDelay limit the delay before jitter after a failed
	// call. The delay doubles with each failure.
	initialRetryDelay = 40 * time.Millisecond
	maxRetryDelay     = 400 * time.Millisecond
	// batchDelayPerEntry times the number of entries, up to maxBatchDelay, is the delay
	// after a change, so that further changes are published together. The cost of
	// publishing grows with the number of entries. The delay keeps this cost at a few
	// percent of the time while thousands of endpoints register.
	batchDelayPerEntry = 20 * time.Microsecond
	maxBatchDelay      = 100 * time.Millisecond
	// startupPeriod is the time in which the daemons of a site that start together
	// register. Each daemon reads the store until its member list has the readers of its
	// zone, so each new entry would complete the pending polls of all daemons. Polls are
	// startupBatchDelay apart in this period.
	startupPeriod     = 4 * time.Second
	startupBatchDelay = 700 * time.Millisecond
	// largeSiteBatchDelay is the minimum delay after a change on a site that is not small. The
	// heartbeats of its endpoints change entries many times a second, and without a delay each
	// of them costs every reader a call. It is a small part of the time in which a daemon must
	// follow a change.
	largeSiteBatchDelay = 250 * time.Millisecond
	// smallSiteEntryLimit is the number of entries up to which startupBatchDelay and
	// largeSiteBatchDelay do not apply: the load of the polls is low.
	smallSiteEntryLimit = 40
	// recentEventLimit limits the changes that are kept for peers, and recentByteLimit the
	// bytes of their values.
	recentEventLimit = 4096
	recentByteLimit  = 8 << 20
)

// Mirror keeps a live copy of the entries under a prefix. An entry is never replaced by an
// older revision. Responses may arrive in any order.
type Mirror struct {
	store  *Store
	prefix string
	now    func() time.Time
	log    logr.Logger
	done   chan struct{}
	// closeOnce guards the close of done: a supervisor restarts Serve after a panic.
	closeOnce sync.Once
	// onChange is called with the current content after each change, in order and with
	// mu held.
	onChange func(Content)
	// confirmations is set if this Mirror reports confirmations.
	confirmations *Confirmations
	// era is the latest era that confirmations.OnEra was told, if isEraKnown.
	era        int64
	isEraKnown bool
	// hasPolled is true if a poll succeeded since the last listing or pause.
	hasPolled bool
	// wasPollBrief is true if the last poll that succeeded had briefPollWait.
	wasPollBrief bool
	// jitter returns a random part of a limit.
	jitter func(limit time.Duration) time.Duration
	// ignored is the prefix of the keys of entries that are not kept, "" for none.
	ignored string

	mu      sync.Mutex
	entries map[string]Entry
	// revision is the revision up to which changes were read from the store.
	revision Revision
	// adopted is the revision up to which changes were read from peers.
	adopted Revision
	// recent contains all changes after recentAfter, in order, for peers that lack them.
	recent      []recentChange
	recentAfter Revision
	// recentBytes is the size of the values in recent.
	recentBytes int
	// lastContact is the time of the last response of the store, lastFailure the time of
	// the last failed call.
	lastContact time.Time
	lastFailure time.Time
	// contentFailure is the latest LastFailure of the contents so far. Calls of this daemon that failed
	// later say nothing about entries that another one has read.
	contentFailure time.Time
	listed         bool
	// listedAt are the starts of the last two listings, listTimeout is the limit of the next.
	listedAt    [2]time.Time
	listTimeout time.Duration
	// unreadable is the number of entries in the last response that could not be read.
	unreadable int
	// startedAt is the time at which Serve was called.
	startedAt time.Time
	// paused is true while peers are read instead of the store.
	paused bool
	wake   chan struct{}
}

// Content is a copy of the entries of a Mirror. The map must not be changed.
type Content struct {
	Entries  map[string]Entry
	Revision Revision
	// LastFailure is the time of the last failed call of the daemon that read the entries from the
	// store, before it read them, zero for none.
	LastFailure time.Time
}

// recentChange is a change with the time of the last failed call of the daemon that read it from the
// store.
type recentChange struct {
	Event
	lastFailure time.Time
}

// NewMirror returns a Mirror without entries. onChange may be nil. It is called with the
// lock held, so it must not call methods of the Mirror.
func NewMirror(s *Store, prefix string, onChange func(Content), now func() time.Time, log logr.Logger) *Mirror {
	return &Mirror{
		store: s, prefix: prefix, now: now, log: log, onChange: onChange, done: make(chan struct{}),
		entries: map[string]Entry{}, wake: make(chan struct{}, 1), listTimeout: listTimeout, jitter: rand.N[time.Duration],
	}
}

// Ignore excludes the entries under a prefix, which their readers read from the store one by one. It
// must be called before Serve.
func (m *Mirror) Ignore(prefix string) {
	m.ignored = prefix
}

// SetJitter sets the source of the random part of the delays after failed calls. The default has no
// seed. It must be called before Serve.
func (m *Mirror) SetJitter(jitter func(limit time.Duration) time.Duration) {
	m.jitter = jitter
}

// isIgnored reports whether an entry is not kept.
func (m *Mirror) isIgnored(entry Entry) bool {
	return m.ignored != "" && strings.HasPrefix(entry.Key, m.ignored)
}

// Done is closed when Serve has returned for the first time.
func (m *Mirror) Done() <-chan struct{} {
	return m.done
}

// Serve lists the entries and polls for changes until ctx is done.
func (m *Mirror) Serve(ctx context.Context) error {
	defer m.closeOnce.Do(func() { close(m.done) })
	m.mu.Lock()
	m.startedAt = m.now()
	m.mu.Unlock()
	delay := initialRetryDelay
	for ctx.Err() == nil {
		if m.isPaused() {
			select {
			case <-ctx.Done():
			case <-m.wake:
			}
			continue
		}
		err := m.listOrPoll(ctx)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			delay = initialRetryDelay
			continue
		}
		m.recordFailure(err)
		wait(ctx, delay/2+m.jitter(delay))
		delay = min(delay*2, maxRetryDelay)
	}
	return ctx.Err()
}

// SetPaused stops or resumes reading the store. A paused Mirror still reads until its
// first listing has succeeded.
func (m *Mirror) SetPaused(paused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused = paused
	m.hasPolled = m.hasPolled && !paused
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Mirror) isPaused() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.paused && m.listed
}

// listOrPoll makes one call to the store: a listing before the first poll and after
// ErrHistoryLost, a poll otherwise.
func (m *Mirror) listOrPoll(ctx context.Context) error {
	m.mu.Lock()
	listed, revision := m.listed, m.revision
	m.mu.Unlock()
	if !listed {
		return m.list(ctx)
	}
	return m.poll(ctx, revision)
}

func (m *Mirror) list(parent context.Context) error {
	m.mu.Lock()
	pause, timeout := minListInterval-m.now().Sub(m.listedAt[0]), m.listTimeout
	m.mu.Unlock()
	wait(parent, pause)
	m.mu.Lock()
	m.listedAt = [2]time.Time{m.listedAt[1], m.now()}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	listing, err := m.store.List(ctx, m.prefix)
	if err != nil {
		if ctx.Err() != nil {
			m.mu.Lock()
			m.listTimeout = min(2*m.listTimeout, maxListTimeout)
			m.mu.Unlock()
		}
		return errors.Newf("list entries: %w", err)
	}
	if changes, askedAt, ok := m.pollRestored(parent, listing); ok {
		m.applyListing(listing, &changes, askedAt)
		return nil
	}
	m.applyListing(listing, nil, 0)
	return nil
}

func (m *Mirror) poll(parent context.Context, revision Revision) error {
	pollWait := m.nextPollWait()
	ctx, cancel := context.WithTimeout(parent, pollWait+pollRoundTripMargin)
	defer cancel()
	start, askedAt := m.now(), m.bootTime()
	changes, err := m.store.Poll(ctx, m.prefix, revision, pollWait)
	if errors.Is(err, ErrHistoryLost) {
		m.mu.Lock()
		m.listed = false
		m.mu.Unlock()
		m.log.Info("store history was lost, entries are listed again", "revision", revision.String(), "error", err.Error())
		return nil
	}
	if err != nil {
		return errors.Newf("poll for changes: %w", err)
	}
	m.recordPoll(pollWait)
	m.applyChanges(changes, revision, askedAt)
	if changes.Revision <= revision {
		wait(parent, minPollInterval-m.now().Sub(start))
	}
	if len(changes.Events) > 0 {
		m.waitForBatch(parent)
	}
	return nil
}

// wait returns after a duration, or when ctx is done.
func wait(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// waitForBatch waits so that further changes arrive in one poll.
func (m *Mirror) waitForBatch(ctx context.Context) {
	m.mu.Lock()
	delay := min(time.Duration(len(m.entries))*batchDelayPerEntry, maxBatchDelay)
	if len(m.entries) > smallSiteEntryLimit {
		delay = largeSiteBatchDelay
		if m.now().Sub(m.startedAt) < startupPeriod {
			delay = startupBatchDelay
		}
	}
	m.mu.Unlock()
	wait(ctx, delay)
}

func (m *Mirror) recordFailure(err error) {
	now := m.now()
	m.mu.Lock()
	isFirst := m.lastFailure.IsZero() || m.lastContact.After(m.lastFailure)
	m.lastFailure = now
	contact := m.lastContact
	m.mu.Unlock()
	if isFirst {
		m.log.Info("store became unavailable", "error", err.Error(), "last_contact_ms", elapsed(now, contact).Milliseconds())
	}
}

// recordContact records a response of the store. mu must be held.
func (m *Mirror) recordContact() {
	now := m.now()
	if m.lastFailure.After(m.lastContact) {
		m.log.Info("store is available again", "away_ms", elapsed(now, m.lastContact).Milliseconds())
	}
	m.lastContact = now
}

// recordUnreadable logs the number of entries that could not be read when it changes. mu must be
// held.
func (m *Mirror) recordUnreadable(count int) {
	if count != m.unreadable {
		m.log.Info("entries of the store cannot be read", "entries", count)
	}
	m.unreadable = count
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// elapsed returns the time between at and now, 0 when at is zero.
func elapsed(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// applyListing applies a listing that was read from the store, and the changes after it that were
// polled at askedAt, nil for none.
func (m *Mirror) applyListing(listing Listing, changes *Changes, askedAt time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordContact()
	m.recordUnreadable(listing.Unreadable)
	listing.Entries = slices.DeleteFunc(listing.Entries, m.isIgnored)
	m.mergeListing(listing)
	m.listed, m.listTimeout = true, listTimeout
	m.revision = max(m.revision, listing.Revision)
	m.hasPolled = false
	m.resetRecent()
	if changes != nil {
		m.applyEvents(m.withoutIgnored(changes.Events), m.lastFailure)
		m.revision = max(m.revision, changes.Revision)
	}
	m.publish(m.lastFailure)
	m.observeEra()
	if changes != nil {
		m.confirmPoll(*changes, listing.Revision, askedAt)
	}
}

// withoutIgnored returns the events whose entries are kept.
func (m *Mirror) withoutIgnored(events []Event) []Event {
	return slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return m.isIgnored(e.Entry) })
}

// mergeListing stores the entries of a listing that are newer, and removes entries that are
// missing from it and were last written at its revision or before. It reports whether
// anything changed. mu must be held.
func (m *Mirror) mergeListing(listing Listing) bool {
	if known := m.knownRevision(); known > 0 && listing.Revision.Era() > known.Era() {
		m.log.Info("store came back from a copy", "revision", listing.Revision.String(), "last_revision", known.String())
	}
	changed := false
	listed := map[string]bool{}
	for _, entry := range listing.Entries {
		listed[entry.Key] = true
		changed = m.put(entry) || changed
	}
	for key, entry := range m.entries {
		if !listed[key] && entry.Revision <= listing.Revision {
			delete(m.entries, key)
			changed = true
		}
	}
	return changed
}

// applyChanges applies the response to a poll that was sent at askedAt for the changes after a
// revision.
func (m *Mirror) applyChanges(changes Changes, after Revision, askedAt time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordContact()
	if len(changes.Events) > 0 || changes.Unreadable > 0 {
		m.recordUnreadable(changes.Unreadable)
	}
	events := m.withoutIgnored(changes.Events)
	m.applyEvents(events, m.lastFailure)
	m.revision = max(m.revision, changes.Revision)
	if len(events) > 0 {
		m.publish(m.lastFailure)
	}
	m.observeEra()
	m.confirmPoll(changes, after, askedAt)
}

// applyEvents applies changes, and appends those after the known revision to recent. It
// reports whether there were any. lastFailure is that of the daemon that read them. mu must be held.
func (m *Mirror) applyEvents(events []Event, lastFailure time.Time) bool {
	known := m.knownRevision()
	hasNew := false
	for _, event := range events {
		if event.Entry.Revision > known {
			m.recent = append(m.recent, recentChange{Event: event, lastFailure: lastFailure})
			m.recentBytes += len(event.Entry.Value)
			hasNew = true
		}
		if event.Deleted {
			m.remove(event.Entry.Key, event.Entry.Revision)
			continue
		}
		m.put(event.Entry)
	}
	excess := 0
	for len(m.recent)-excess > recentEventLimit || m.recentBytes > recentByteLimit {
		m.recentAfter = m.recent[excess].Entry.Revision
		m.recentBytes -= len(m.recent[excess].Entry.Value)
		excess++
	}
	if excess > 0 {
		m.recent = slices.Clone(m.recent[excess:])
	}
	return hasNew
}

// resetRecent clears the changes for peers after a listing, which does not contain the
// revisions at which entries were removed. mu must be held.
func (m *Mirror) resetRecent() {
	m.recent, m.recentBytes, m.recentAfter = nil, 0, m.knownRevision()
}

// ChangesSince returns all changes after a revision and the last failed call of the daemons that read
// them. It returns false when these changes are no longer kept one by one.
func (m *Mirror) ChangesSince(after Revision) (changes Changes, lastFailure time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changesSince(after)
}

// changesSince is ChangesSince with mu held.
func (m *Mirror) changesSince(after Revision) (changes Changes, lastFailure time.Time, ok bool) {
	if after < m.recentAfter || m.knownRevision() == 0 {
		return Changes{}, time.Time{}, false
	}
	first := sort.Search(len(m.recent), func(i int) bool { return m.recent[i].Entry.Revision > after })
	changes = Changes{Revision: m.knownRevision()}
	for _, change := range m.recent[first:] {
		changes.Events = append(changes.Events, change.Event)
		lastFailure = latest(lastFailure, change.lastFailure)
	}
	return changes, lastFailure, true
}

// AdoptChanges applies the changes of a peer whose last failed store call was at
// lastFailure. They must start at a revision that this Mirror has.
func (m *Mirror) AdoptChanges(changes Changes, lastFailure time.Time) {
	m.adoptChanges(changes, lastFailure, peerConfirmation{})
}

func (m *Mirror) adoptChanges(changes Changes, lastFailure time.Time, confirmation peerConfirmation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.confirmByPeer(confirmation)
	changed := m.applyEvents(changes.Events, lastFailure)
	m.adopted = max(m.adopted, changes.Revision)
	if changed {
		m.publish(lastFailure)
	}
}

// AdoptListing applies the listing of a peer whose last failed store call was at lastFailure.
// Entries that are older than the known ones are ignored.
func (m *Mirror) AdoptListing(listing Listing, lastFailure time.Time) {
	m.adoptListing(listing, lastFailure, peerConfirmation{})
}

func (m *Mirror) adoptListing(listing Listing, lastFailure time.Time, confirmation peerConfirmation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.confirmByPeer(confirmation)
	changed := m.mergeListing(listing)
	if listing.Revision > m.knownRevision() {
		m.adopted = listing.Revision
		m.resetRecent()
	}
	if changed {
		m.publish(lastFailure)
	}
}

// IsFailing reports whether the last call to the store failed.
func (m *Mirror) IsFailing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastFailure.After(m.lastContact)
}

// Revision returns the revision up to which all changes are known.
func (m *Mirror) Revision() Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.knownRevision()
}

// knownRevision returns the revision up to which all changes are known. mu must be held.
func (m *Mirror) knownRevision() Revision {
	return max(m.revision, m.adopted)
}

// Content returns a copy of the current content.
func (m *Mirror) Content() Content {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copyContent(m.lastFailure)
}

// copyContent returns a copy of the content with a LastFailure. mu must be held.
func (m *Mirror) copyContent(lastFailure time.Time) Content {
	entries := make(map[string]Entry, len(m.entries))
	for key, entry := range m.entries {
		entries[key] = entry
	}
	return Content{Entries: entries, Revision: m.knownRevision(), LastFailure: lastFailure}
}

// put stores an entry when it is newer than the known one, and reports whether it did. An
// entry that is not newer than the known revision and whose key is absent was removed
// later, so it is ignored. mu must be held.
func (m *Mirror) put(entry Entry) bool {
	current, ok := m.entries[entry.Key]
	if entry.Revision <= current.Revision || (!ok && entry.Revision <= m.knownRevision()) {
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

// publish calls onChange with the content. lastFailure is the time of the last failed call
// of the daemon that read the changes. mu must be held, so that calls are in order.
func (m *Mirror) publish(lastFailure time.Time) {
	m.contentFailure = latest(m.contentFailure, lastFailure)
	if m.onChange != nil {
		m.onChange(m.copyContent(lastFailure))
	}
}
