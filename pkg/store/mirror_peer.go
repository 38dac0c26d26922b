package store

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// The routes of the peer listener that serve a Mirror's entries and its changes.
const (
	PeerEntriesPath = "/peer/entries"
	PeerChangesPath = "/peer/changes"
)

// maxPeerBytes limits the response that is read from a peer.
const maxPeerBytes = 64 << 20

// ErrPeerTooLarge reports a response of a peer that exceeds the limit.
var ErrPeerTooLarge = errors.New("response of peer is too large")

// wireEntry is an entry in a message between daemons.
type wireEntry struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision int64
}

// wireListing contains all entries of a daemon. TroubledMilliseconds is the time since the last
// failed call of the daemons that read them from the store, 0 for none.
type wireListing struct {
	_                    struct{} `cbor:",toarray"`
	Revision             int64
	TroubledMilliseconds int64
	Entries              []wireEntry
}

func encodeEntry(e Entry) wireEntry {
	return wireEntry{Key: e.Key, Value: e.Value, Revision: int64(e.Revision)}
}

func (w wireEntry) entry() Entry {
	return Entry{Key: w.Key, Value: w.Value, Revision: Revision(w.Revision)}
}

// wireEvent is a change in a message between daemons.
type wireEvent struct {
	_       struct{} `cbor:",toarray"`
	Entry   wireEntry
	Deleted bool
}

// wireChanges contains all changes after the requested revision up to Revision.
// TroubledMilliseconds is as in wireListing.
type wireChanges struct {
	_                    struct{} `cbor:",toarray"`
	Revision             int64
	TroubledMilliseconds int64
	Events               []wireEvent
}

func (w wireChanges) changes() Changes {
	changes := Changes{Revision: Revision(w.Revision)}
	for _, event := range w.Events {
		changes.Events = append(changes.Events, Event{Entry: event.Entry.entry(), Deleted: event.Deleted})
	}
	return changes
}

// afterParameter is the query parameter with the revision that the requesting daemon has.
const afterParameter = "after"

// ServePeerEntries writes all entries, or status 204 when the requesting daemon has all of them.
func (m *Mirror) ServePeerEntries(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	m.writeConfirmation(w.Header())
	content := m.copyContent(m.contentFailure)
	m.mu.Unlock()
	if after, err := strconv.ParseInt(r.URL.Query().Get(afterParameter), 10, 64); err == nil && after >= int64(content.Revision) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	wire := wireListing{Revision: int64(content.Revision), TroubledMilliseconds: elapsed(m.now(), content.LastFailure).Milliseconds()}
	for _, entry := range content.Entries {
		wire.Entries = append(wire.Entries, encodeEntry(entry))
	}
	writePeer(w, wire)
}

func writePeer(w http.ResponseWriter, value any) {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		http.Error(w, "entries cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(encoded)
}

// ServePeerChanges writes the changes after the revision that the requesting daemon has,
// status 204 when there are none, or status 410 when it must read all entries.
func (m *Mirror) ServePeerChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get(afterParameter), 10, 64)
	if err != nil {
		http.Error(w, "a revision is needed", http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	m.writeConfirmation(w.Header())
	changes, lastFailure, ok := m.changesSince(Revision(after))
	m.mu.Unlock()
	switch {
	case !ok:
		w.WriteHeader(http.StatusGone)
		return
	case int64(changes.Revision) <= after:
		w.WriteHeader(http.StatusNoContent)
		return
	}
	wire := wireChanges{Revision: int64(changes.Revision), TroubledMilliseconds: elapsed(m.now(), lastFailure).Milliseconds()}
	for _, event := range changes.Events {
		wire.Events = append(wire.Events, wireEvent{Entry: encodeEntry(event.Entry), Deleted: event.Deleted})
	}
	writePeer(w, wire)
}

// ReadPeer reads the changes that this Mirror lacks from a peer, or all entries when the
// peer cannot list the changes. It returns the number of changes or entries that it read,
// 0 when the peer has nothing newer. sign authenticates the requests.
func (m *Mirror) ReadPeer(ctx context.Context, client *http.Client, address netip.AddrPort, sign func(*http.Request)) (int, error) {
	query := func(path string, value any) (int, peerConfirmation, error) {
		sentAt := m.bootTime()
		status, header, err := queryPeer(ctx, client, "http://"+address.String()+path+"?"+afterParameter+"="+strconv.FormatInt(int64(m.Revision()), 10), sign, value)
		return status, readConfirmation(header, sentAt, address.String()), err
	}
	if m.Revision() > 0 {
		var changes wireChanges
		status, confirmation, err := query(PeerChangesPath, &changes)
		switch {
		case err != nil:
			return 0, err
		case status == http.StatusNoContent:
			m.adoptNothing(confirmation)
			return 0, nil
		case status == http.StatusOK:
			m.adoptChanges(changes.changes(), m.failureTime(changes.TroubledMilliseconds), confirmation)
			return len(changes.Events), nil
		}
	}
	var wire wireListing
	status, confirmation, err := query(PeerEntriesPath, &wire)
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusNoContent:
		m.adoptNothing(confirmation)
		return 0, nil
	case status != http.StatusOK:
		return 0, errors.Newf("peer responded with status %d", status)
	}
	listing := Listing{Revision: Revision(wire.Revision)}
	for _, w := range wire.Entries {
		listing.Entries = append(listing.Entries, w.entry())
	}
	m.adoptListing(listing, m.failureTime(wire.TroubledMilliseconds), confirmation)
	return len(listing.Entries), nil
}

// adoptNothing applies the response of a peer that has nothing newer.
func (m *Mirror) adoptNothing(confirmation peerConfirmation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmByPeer(confirmation)
}

// failureTime returns the time of a peer's last failed store call, which was milliseconds
// ago. It is zero for 0 milliseconds.
func (m *Mirror) failureTime(milliseconds int64) time.Time {
	if milliseconds <= 0 {
		return time.Time{}
	}
	return m.now().Add(-time.Duration(milliseconds) * time.Millisecond)
}

// queryPeer sends one request to a peer and returns the status and the header of the response. It
// decodes the body into value when the status is 200.
func queryPeer(ctx context.Context, client *http.Client, target string, sign func(*http.Request), value any) (int, http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, nil, errors.Newf("build request: %w", err)
	}
	sign(request)
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, errors.Newf("query peer: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, response.Header, nil
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxPeerBytes+1))
	if err != nil {
		return 0, nil, errors.Newf("read response of peer: %w", err)
	}
	if len(content) > maxPeerBytes {
		return 0, nil, errors.Newf("read response of peer: more than %d bytes: %w", maxPeerBytes, ErrPeerTooLarge)
	}
	if err := cbor.Unmarshal(content, value); err != nil {
		return 0, nil, errors.Newf("decode response of peer: %w", err)
	}
	return response.StatusCode, response.Header, nil
}
