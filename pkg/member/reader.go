package member

import "github.com/turmerictide/turmerictide/pkg/shard"

const (
	// readersPerZone is the number of daemons of an availability zone that read the
	// store. With two, one of them may fail.
	readersPerZone = 2
	// allReadersLimit is the number of daemons of a zone up to which all of them
	// read the store: the load of so few calls is negligible.
	allReadersLimit = 3
)

// Readers returns those of the daemons of one zone that read the store for all of
// them, or nil if each reads it. Daemons with the same list choose the same readers.
func Readers(hosts []string) []string {
	if len(hosts) <= allReadersLimit {
		return nil
	}
	return shard.Owners("store", hosts, readersPerZone)
}
