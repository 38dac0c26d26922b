package store

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/turmerictide/turmerictide/pkg/freshness"
)

// Confirmations connects a Mirror with the daemon's record of when its content was certainly that
// of the store. The functions are called with the lock of the Mirror held, so they must not call
// methods of it.
type Confirmations struct {
	Clock freshness.Clock
	// OnConfirm is called after the content of askedAt or later was applied: by source, which is
	// SourceStore or the address of a peer.
	OnConfirm func(askedAt time.Duration, source string)
	// OnEra is called when the store has come back from a copy. Earlier confirmations prove nothing.
	OnEra func()
	// Age returns the time since the latest confirmation that counts. It returns false if there is none.
	Age func(now time.Duration) (time.Duration, bool)
}

// SourceStore is the source of a confirmation by a poll of the store.
const SourceStore = "store"

// The headers of a response to a peer. Age is the time in milliseconds since the content of the
// responding daemon was confirmed, and the revision is that of this content. They are headers, as
// daemons of the previous version reject a longer array in the body, and a response with status 204
// has no body.
const (
	confirmedAgeHeader = "Confirmed-Age"
	revisionHeader     = "Content-Revision"
)

// TrackConfirmations makes the Mirror report confirmations and poll more often. It must be called
// before Serve.
func (m *Mirror) TrackConfirmations(c Confirmations) {
	m.confirmations = &c
}

// bootTime returns the time on the clock of the confirmations, 0 if they are not tracked.
func (m *Mirror) bootTime() time.Duration {
	if m.confirmations == nil {
		return 0
	}
	return m.confirmations.Clock()
}

// nextPollWait returns the time that the store may wait for a change before it replies to the next
// poll. Where confirmations are tracked, the first poll after a listing or a pause is brief, and
// so is one after a suspension or an outage of the store. A brief poll never follows another one that
// succeeded, so that a store that confirms nothing gets no more polls than usual. One that failed is
// repeated: the store may have come back, and a longer poll would delay the confirmation.
func (m *Mirror) nextPollWait() time.Duration {
	if m.confirmations == nil {
		return pollWait
	}
	age, ok := m.confirmations.Age(m.confirmations.Clock())
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.wasPollBrief && (!m.hasPolled || !ok || age > maxConfirmedAge) {
		return briefPollWait
	}
	return strictPollWait
}

// recordPoll records that a poll with the given wait succeeded.
func (m *Mirror) recordPoll(wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wasPollBrief = wait == briefPollWait
}

// pollRestored polls the changes after a listing of a later era than the known one, so that both
// are applied together. Otherwise the daemon and those that read from it would be without a
// confirmation until the next poll. It returns false if no poll is needed, or if it failed.
func (m *Mirror) pollRestored(parent context.Context, listing Listing) (Changes, time.Duration, bool) {
	known := m.Revision()
	if m.confirmations == nil || known == 0 || listing.Revision.Era() <= known.Era() {
		return Changes{}, 0, false
	}
	ctx, cancel := context.WithTimeout(parent, briefPollWait+pollRoundTripMargin)
	defer cancel()
	askedAt := m.bootTime()
	changes, err := m.store.Poll(ctx, m.prefix, listing.Revision, briefPollWait)
	if err != nil {
		m.log.Info("restored store was not confirmed", "revision", listing.Revision.String(), "error", err.Error())
	}
	return changes, askedAt, err == nil
}

// observeEra reports a later era than the known one. mu must be held.
func (m *Mirror) observeEra() {
	known := m.knownRevision()
	if m.confirmations == nil || known == 0 {
		return
	}
	if era := known.Era(); !m.isEraKnown || era > m.era {
		if m.isEraKnown {
			m.confirmations.OnEra()
		}
		m.era, m.isEraKnown = era, true
	}
}

// confirmPoll reports the confirmation by a poll for the changes after a revision. A response of an
// earlier era, or of a store that is behind what was read from it, proves nothing. mu must be held.
func (m *Mirror) confirmPoll(changes Changes, after Revision, askedAt time.Duration) {
	m.hasPolled = true
	if m.confirmations == nil || changes.Revision < after || changes.Revision.Era() < m.knownRevision().Era() {
		return
	}
	m.confirmations.OnConfirm(askedAt, SourceStore)
}

// peerConfirmation is what the response of a peer says about its content.
type peerConfirmation struct {
	isValid bool
	// askedAt is a moment no later than that of the peer's confirmation.
	askedAt time.Duration
	// revision is that of the peer's content.
	revision Revision
	source   string
}

// readConfirmation reads the headers of a response to a request that was sent at sentAt. The peer's
// age is subtracted from that time, not from the time of receipt: the response may have been
// delayed.
func readConfirmation(header http.Header, sentAt time.Duration, source string) peerConfirmation {
	age, err := strconv.ParseInt(header.Get(confirmedAgeHeader), 10, 64)
	if err != nil || age < 0 || age > time.Hour.Milliseconds() {
		return peerConfirmation{}
	}
	revision, err := strconv.ParseInt(header.Get(revisionHeader), 10, 64)
	if err != nil || revision <= 0 {
		return peerConfirmation{}
	}
	return peerConfirmation{isValid: true, askedAt: sentAt - time.Duration(age)*time.Millisecond, revision: Revision(revision), source: source}
}

// confirmByPeer reports the confirmation by a peer whose content has been applied. It counts only if
// this Mirror has all of that content, and not content of a later era. mu must be held.
func (m *Mirror) confirmByPeer(c peerConfirmation) {
	m.observeEra()
	known := m.knownRevision()
	if m.confirmations == nil || !c.isValid || c.askedAt < 0 || c.revision > known || c.revision.Era() != known.Era() {
		return
	}
	m.confirmations.OnConfirm(c.askedAt, c.source)
}

// writeConfirmation writes the headers for the current content. mu must be held from this call until
// the content has been copied.
func (m *Mirror) writeConfirmation(header http.Header) {
	if m.confirmations == nil {
		return
	}
	age, ok := m.confirmations.Age(m.confirmations.Clock())
	if !ok {
		return
	}
	// An age is rounded up, so that no daemon takes a confirmation for a later one.
	milliseconds := (max(age, 0) + time.Millisecond - 1).Milliseconds()
	header.Set(confirmedAgeHeader, strconv.FormatInt(milliseconds, 10))
	header.Set(revisionHeader, strconv.FormatInt(int64(m.knownRevision()), 10))
}
