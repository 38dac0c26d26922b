package store

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// PeerPath is the route of the peer listener that serves a Mirror's entries.
const PeerPath = "/peer/entries"

// maxPeerBytes bounds what is read from a peer.
const maxPeerBytes = 16 << 20

// wireEntry is an entry between daemons.
type wireEntry struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision int64
}

// ServePeer writes the entries whose keys begin with one of prefixes.
func (m *Mirror) ServePeer(w http.ResponseWriter, prefixes []string) {
	var wire []wireEntry
	for key, entry := range m.Content().Entries {
		for _, prefix := range prefixes {
			if strings.HasPrefix(key, prefix) {
				wire = append(wire, wireEntry{Key: key, Value: entry.Value, Revision: int64(entry.Revision)})
				break
			}
		}
	}
	content, err := cbor.Marshal(wire)
	if err != nil {
		http.Error(w, "entries cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(content)
}

// ReadPeer reads the entries that a peer serves. sign authenticates the request.
func ReadPeer(ctx context.Context, client *http.Client, address netip.AddrPort, sign func(*http.Request)) ([]Entry, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+PeerPath, nil)
	if err != nil {
		return nil, errors.Newf("build request: %w", err)
	}
	sign(request)
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Newf("ask peer: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("peer answered with %d", response.StatusCode)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxPeerBytes))
	if err != nil {
		return nil, errors.Newf("read entries: %w", err)
	}
	var wire []wireEntry
	if err := cbor.Unmarshal(content, &wire); err != nil {
		return nil, errors.Newf("decode entries: %w", err)
	}
	entries := make([]Entry, len(wire))
	for i, w := range wire {
		entries[i] = Entry{Key: w.Key, Value: w.Value, Revision: Revision(w.Revision)}
	}
	return entries, nil
}
