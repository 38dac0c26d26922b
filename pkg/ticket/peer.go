package ticket

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/cockroachdb/errors"
)

const (
	// PeerHeadPath is the path of the peer listener that serves the current head.
	PeerHeadPath = "/peer/head"
	// PeerObjectPath is the path that serves one object by name and version.
	PeerObjectPath = "/peer/object"
)

// ServePeerHead writes the current head. It responds with 404 before the first.
func (f *Follower) ServePeerHead(w http.ResponseWriter, _ *http.Request) {
	state := f.Current()
	if state == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(state.Head)
}

// ServePeerObject writes an object of the current state. It responds with 404 if the
// state does not contain the object in that version.
func (f *Follower) ServePeerObject(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	state := f.Current()
	if state == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	value, ok := state.Object(ObjectName(query.Get("name")), Version(query.Get("version")))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(value)
}

// PeerReader reads the current state of a peer.
type PeerReader struct {
	Client *http.Client
	// Sign authenticates a request to a peer.
	Sign func(request *http.Request)
}

// Head returns the current head of a peer.
func (p PeerReader) Head(ctx context.Context, peer netip.AddrPort) (Head, error) {
	content, err := p.get(ctx, peer, PeerHeadPath, nil)
	if err != nil {
		return Head{}, errors.Newf("read head of peer: %w", err)
	}
	var head Head
	if err := json.Unmarshal(content, &head); err != nil {
		return Head{}, errors.Newf("decode head of peer: %w", err)
	}
	return head, nil
}

// Source returns a Source that reads the objects of a peer.
func (p PeerReader) Source(peer netip.AddrPort) Source {
	return Source{Object: func(ctx context.Context, name ObjectName, version Version) ([]byte, error) {
		query := url.Values{"name": {string(name)}, "version": {string(version)}}
		return p.get(ctx, peer, PeerObjectPath, query)
	}}
}

func (p PeerReader) get(ctx context.Context, peer netip.AddrPort, path string, query url.Values) ([]byte, error) {
	target := url.URL{Scheme: "http", Host: peer.String(), Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, errors.Newf("build request: %w", err)
	}
	p.Sign(request)
	response, err := p.Client.Do(request)
	if err != nil {
		return nil, errors.Newf("call peer: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("call peer: status %d", response.StatusCode)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, 2*MaxObjectBytes))
	if err != nil {
		return nil, errors.Newf("read response of peer: %w", err)
	}
	return content, nil
}
