package daemon

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/store"
)

// MoveEntries exports moveEntries to tests.
type MoveEntries struct{ entries moveEntries }

// Read returns the names of the engines whose moves apply at now.
func (m *MoveEntries) Read(now time.Time, content store.Content) []string {
	var names []string
	for _, move := range m.entries.read(now, content) {
		names = append(names, move.Endpoint)
	}
	return names
}

// RunRecovered exports runRecovered to tests.
var RunRecovered = runRecovered
