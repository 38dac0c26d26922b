package daemon

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/store"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// moveRetention is the time after which the entry of a move no longer applies. The lease of the
// entry and the change of the role are shorter.
const moveRetention = 30 * time.Second

// wireMove is the value of a lease. Other daemons read from it which engine changes its
// role.
type wireMove struct {
	_        struct{} `cbor:",toarray"`
	Host     string
	Endpoint string
	Role     string
}

// moveEntries reads the entries of moves in the store. It is not safe for concurrent use.
type moveEntries struct {
	log   logr.Logger
	known map[string]moveEntry
}

// moveEntry is a decoded entry, nil if it cannot be decoded, and the time when it was first read.
type moveEntry struct {
	revision store.Revision
	since    time.Time
	move     *wireMove
}

// read returns the moves that apply at now.
func (m *moveEntries) read(now time.Time, content store.Content) []wireMove {
	var moves []wireMove
	known := make(map[string]moveEntry, len(m.known))
	for key, entry := range content.Entries {
		endpoint, ok := strings.CutPrefix(key, orderKeyPrefix)
		if !ok {
			continue
		}
		read, ok := m.known[key]
		if !ok || read.revision != entry.Revision {
			read = moveEntry{revision: entry.Revision, since: now}
			if move, err := decodeMove(endpoint, entry.Value); err != nil {
				m.log.Info("cannot decode the move of an engine in the store", "key", key, "error", err.Error())
			} else {
				read.move = &move
			}
		}
		known[key] = read
		if read.move != nil && now.Sub(read.since) < moveRetention {
			moves = append(moves, *read.move)
		}
	}
	m.known = known
	return moves
}

// decodeMove decodes the entry of a move of an endpoint.
func decodeMove(endpoint string, value []byte) (wireMove, error) {
	var wire wireMove
	if err := link.Decode(value, &wire); err != nil {
		return wireMove{}, err
	}
	role := ticket.Role(wire.Role)
	if wire.Host == "" || wire.Endpoint != endpoint || (role != ticket.RolePrefill && role != ticket.RoleDecode) {
		return wireMove{}, errors.Newf("invalid host %.40q, endpoint %.40q or role %.40q", wire.Host, wire.Endpoint, wire.Role)
	}
	return wire, nil
}
