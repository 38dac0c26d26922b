package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table is one daemon's list of daemons. It is not safe for concurrent use.
type Table struct {
	self            Member
	members         map[string]*record
	neighbours      []string
	neighboursStale bool
	digest          uint64
}

type record struct {
	Member
	stateSince time.Time
	// incarnationSince is the time at which the first update about this process
	// of the daemon arrived.
	incarnationSince time.Time
	// lastAcknowledged is the time of the last acknowledgement of a heartbeat. It
	// is set to now when the daemon becomes a neighbour or is alive again.
	lastAcknowledged time.Time
	connectionReset  bool
}

// NewTable returns a Table that contains only self.
func NewTable(self Member, now time.Time) *Table {
	t := &Table{self: self, members: map[string]*record{}, neighboursStale: true}
	t.members[self.Host] = &record{Member: self, stateSince: now}
	t.digest = digestOf(self)
	return t
}

// digestOf returns the hash of an entry. The hashes of all entries are combined by
// exclusive or, so that their order does not matter. The factor, 2^64 divided by the
// golden ratio, spreads the incarnation over all bits.
func digestOf(m Member) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(m.Host)
	_, _ = hash.Write([]byte{0, byte(m.State)})
	return hash.Sum64() ^ uint64(m.Incarnation)*0x9e3779b97f4a7c15
}

// Self returns the daemon's own entry.
func (t *Table) Self() Member {
	return t.self
}

// Digest returns a hash over all entries.
func (t *Table) Digest() uint64 {
	return t.digest
}

// maxClockDifference is the largest difference between the clocks of two hosts. No update of a
// daemon would supersede one whose incarnation starts later than any.
const maxClockDifference = 24 * time.Hour

// Merge merges an update into the table. If the table changed, it returns the entry to
// broadcast and true: the update itself, or the refutation of an update about this daemon. An
// update whose incarnation starts more than maxClockDifference after now is ignored.
func (t *Table) Merge(now time.Time, update Member) (Member, bool) {
	if update.Incarnation.Start().Sub(now) > maxClockDifference {
		return Member{}, false
	}
	if update.Host == t.self.Host {
		return t.refute(now, update)
	}
	known, ok := t.members[update.Host]
	if ok && !supersedes(update, known.Member) {
		return Member{}, false
	}
	if !ok {
		known = &record{lastAcknowledged: now, incarnationSince: now}
		t.members[update.Host] = known
		t.digest ^= digestOf(update)
	} else {
		t.digest ^= digestOf(known.Member) ^ digestOf(update)
	}
	if update.State == StateAlive && known.State >= StateSuspect {
		known.lastAcknowledged = now
	}
	if known.StartMilliseconds() != update.StartMilliseconds() {
		known.incarnationSince = now
	}
	known.Member = update
	known.stateSince = now
	known.connectionReset = false
	t.neighboursStale = true
	return update, true
}

func supersedes(update, known Member) bool {
	if update.Incarnation != known.Incarnation {
		return update.Incarnation > known.Incarnation
	}
	return update.State > known.State
}

// refute raises the incarnation of this daemon above that of a wrong update about it.
func (t *Table) refute(now time.Time, update Member) (Member, bool) {
	if !supersedes(update, t.self) {
		return Member{}, false
	}
	t.setSelf(now, max(update.Incarnation, t.self.Incarnation)+1, t.self.State)
	return t.self, true
}

// Leave marks this daemon as leaving and returns the update to broadcast.
func (t *Table) Leave(now time.Time) Member {
	t.setSelf(now, t.self.Incarnation, StateLeaving)
	return t.self
}

func (t *Table) setSelf(now time.Time, incarnation Incarnation, state State) {
	t.digest ^= digestOf(t.self)
	t.self.Incarnation = incarnation
	t.self.State = state
	t.digest ^= digestOf(t.self)
	own := t.members[t.self.Host]
	own.Member = t.self
	own.stateSince = now
	t.neighboursStale = true
}

// Acknowledge records the acknowledgement of a heartbeat by a neighbour.
func (t *Table) Acknowledge(now time.Time, host string) {
	known, ok := t.members[host]
	if !ok {
		return
	}
	known.lastAcknowledged = now
	known.connectionReset = false
}

// Actions lists the actions that the caller of Tick must perform.
type Actions struct {
	// Heartbeats are the neighbours to send the next heartbeat to.
	Heartbeats []string
	// Resets are the neighbours whose connections must be replaced.
	Resets []string
	// Updates are the entries to broadcast.
	Updates []Member
}

// Tick advances the failure detector to now. It suspects neighbours that do not
// acknowledge, declares suspected daemons dead, and removes dead daemons. Each daemon
// declares a suspect dead itself, so only suspicions are broadcast.
func (t *Table) Tick(now time.Time) Actions {
	actions := Actions{Heartbeats: append([]string(nil), t.Neighbours(now)...)}
	for _, host := range actions.Heartbeats {
		known := t.members[host]
		silence := now.Sub(known.lastAcknowledged)
		if silence >= ResetTimeout && !known.connectionReset {
			known.connectionReset = true
			actions.Resets = append(actions.Resets, host)
		}
		if silence >= SuspectTimeout && known.State < StateSuspect {
			actions.Updates = append(actions.Updates, t.setState(now, known, StateSuspect))
		}
	}
	for host, known := range t.members {
		age := now.Sub(known.stateSince)
		switch {
		case host == t.self.Host:
		case known.State == StateSuspect && age >= RefutationTimeout:
			t.setState(now, known, StateDead)
		case known.State == StateDead && age >= ForgetTimeout:
			t.digest ^= digestOf(known.Member)
			delete(t.members, host)
		}
	}
	return actions
}

func (t *Table) setState(now time.Time, known *record, state State) Member {
	t.digest ^= digestOf(known.Member)
	known.State = state
	known.stateSince = now
	t.digest ^= digestOf(known.Member)
	t.neighboursStale = true
	return known.Member
}

// Neighbours returns the daemons that this one sends heartbeats to: its successors on
// the hash ring, most of them in its own availability zone. A daemon that becomes a
// neighbour counts as acknowledged at now.
func (t *Table) Neighbours(now time.Time) []string {
	if !t.neighboursStale {
		return t.neighbours
	}
	t.neighboursStale = false
	previous := map[string]bool{}
	for _, host := range t.neighbours {
		previous[host] = true
	}
	t.neighbours = t.successors()
	for _, host := range t.neighbours {
		if !previous[host] {
			t.members[host].lastAcknowledged = now
		}
	}
	return t.neighbours
}

func (t *Table) successors() []string {
	var ring []*record
	for host, known := range t.members {
		if host != t.self.Host && known.State != StateDead {
			ring = append(ring, known)
		}
	}
	own := xxhash.Sum64String(t.self.Host)
	distance := func(host string) uint64 { return xxhash.Sum64String(host) - own }
	sort.Slice(ring, func(i, j int) bool { return distance(ring[i].Host) < distance(ring[j].Host) })
	var result []string
	zoneRemaining, otherRemaining := zoneNeighbours, otherZoneNeighbours
	for _, candidate := range ring {
		remaining := &otherRemaining
		if candidate.AvailabilityZone == t.self.AvailabilityZone {
			remaining = &zoneRemaining
		}
		if *remaining > 0 {
			*remaining--
			result = append(result, candidate.Host)
		}
	}
	return result
}

// Member returns the entry of a host.
func (t *Table) Member(host string) (Member, bool) {
	known, ok := t.members[host]
	if !ok {
		return Member{}, false
	}
	return known.Member, true
}

// IncarnationSince returns the time at which the first update about the current process
// incarnation of a host arrived, or the zero time if the host is unknown.
func (t *Table) IncarnationSince(host string) time.Time {
	if known, ok := t.members[host]; ok {
		return known.incarnationSince
	}
	return time.Time{}
}

// Members returns all entries, sorted by host.
func (t *Table) Members() []Member {
	result := make([]Member, 0, len(t.members))
	for _, known := range t.members {
		result = append(result, known.Member)
	}
	sort.Slice(result, func(i, j int) bool { return result[i].Host < result[j].Host })
	return result
}
