package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table is the list of daemons as one daemon sees it. It is not safe for
// concurrent use.
type Table struct {
	self       Member
	members    map[string]*record
	neighbours []string
	stale      bool
	digest     uint64
}

type record struct {
	Member
	since time.Time
	// lifeSince is the time at which this life of the daemon was first heard of.
	lifeSince time.Time
	// acknowledged is the last answer to a heartbeat, or the time at which the
	// daemon became a neighbour.
	acknowledged time.Time
	reset        bool
}

// NewTable returns a Table that holds only the daemon itself.
func NewTable(self Member, now time.Time) *Table {
	t := &Table{self: self, members: map[string]*record{}, stale: true}
	t.members[self.Host] = &record{Member: self, since: now}
	t.digest = digestOf(self)
	return t
}

// digestOf is combined by exclusive or, so that the order does not matter.
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

// Observe merges a fact and returns what has to be spread: the fact itself if
// it is news, or the refutation of a suspicion about this daemon.
func (t *Table) Observe(now time.Time, fact Member) (Member, bool) {
	if fact.Host == t.self.Host {
		return t.refute(now, fact)
	}
	known, ok := t.members[fact.Host]
	if ok && !supersedes(fact, known.Member) {
		return Member{}, false
	}
	if !ok {
		known = &record{acknowledged: now, lifeSince: now}
		t.members[fact.Host] = known
		t.digest ^= digestOf(fact)
	} else {
		t.digest ^= digestOf(known.Member) ^ digestOf(fact)
	}
	if fact.State == StateAlive && known.State >= StateSuspect {
		known.acknowledged = now
	}
	if known.Life() != fact.Life() {
		known.lifeSince = now
	}
	known.Member = fact
	known.since = now
	known.reset = false
	t.stale = true
	return fact, true
}

func supersedes(fact, known Member) bool {
	if fact.Incarnation != known.Incarnation {
		return fact.Incarnation > known.Incarnation
	}
	return fact.State > known.State
}

// refute answers a wrong fact about this daemon with a higher incarnation.
func (t *Table) refute(now time.Time, fact Member) (Member, bool) {
	if !supersedes(fact, t.self) {
		return Member{}, false
	}
	t.setSelf(now, max(fact.Incarnation, t.self.Incarnation)+1, t.self.State)
	return t.self, true
}

// Leave marks this daemon as leaving and returns the fact to spread.
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
	own.since = now
	t.stale = true
}

// Acknowledge notes that a neighbour answered.
func (t *Table) Acknowledge(now time.Time, host string) {
	known, ok := t.members[host]
	if !ok {
		return
	}
	known.acknowledged = now
	known.reset = false
}

// Actions is what a Tick asks the driver to do.
type Actions struct {
	// Heartbeats are the neighbours that are due a heartbeat.
	Heartbeats []string
	// Resets are the neighbours whose connection has to be replaced.
	Resets []string
	// Facts have to be spread.
	Facts []Member
}

// Tick advances the failure detector to now.
func (t *Table) Tick(now time.Time) Actions {
	actions := Actions{Heartbeats: append([]string(nil), t.Neighbours(now)...)}
	for _, host := range actions.Heartbeats {
		known := t.members[host]
		silence := now.Sub(known.acknowledged)
		if silence >= ResetAfter && !known.reset {
			known.reset = true
			actions.Resets = append(actions.Resets, host)
		}
		if silence >= SuspectAfter && known.State < StateSuspect {
			actions.Facts = append(actions.Facts, t.advance(now, known, StateSuspect))
		}
	}
	for host, known := range t.members {
		age := now.Sub(known.since)
		switch {
		case host == t.self.Host:
		case known.State == StateSuspect && age >= DeadAfter:
			t.advance(now, known, StateDead)
		case known.State == StateDead && age >= ForgetAfter:
			t.digest ^= digestOf(known.Member)
			delete(t.members, host)
		}
	}
	return actions
}

func (t *Table) advance(now time.Time, known *record, state State) Member {
	t.digest ^= digestOf(known.Member)
	known.State = state
	known.since = now
	t.digest ^= digestOf(known.Member)
	t.stale = true
	return known.Member
}

// Neighbours returns the daemons that this one sends heartbeats to: its
// successors on the hash ring, most of them in its own availability zone.
func (t *Table) Neighbours(now time.Time) []string {
	if !t.stale {
		return t.neighbours
	}
	t.stale = false
	previous := map[string]bool{}
	for _, host := range t.neighbours {
		previous[host] = true
	}
	t.neighbours = t.successors()
	for _, host := range t.neighbours {
		if !previous[host] {
			t.members[host].acknowledged = now
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
	zone, other := zoneNeighbours, otherNeighbours
	for _, candidate := range ring {
		left := &other
		if candidate.AvailabilityZone == t.self.AvailabilityZone {
			left = &zone
		}
		if *left > 0 {
			*left--
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

// LifeSince returns the time at which the present life of a host was first
// heard of.
func (t *Table) LifeSince(host string) time.Time {
	if known, ok := t.members[host]; ok {
		return known.lifeSince
	}
	return time.Time{}
}

// Members returns all entries in the order of their hosts.
func (t *Table) Members() []Member {
	result := make([]Member, 0, len(t.members))
	for _, known := range t.members {
		result = append(result, known.Member)
	}
	sort.Slice(result, func(i, j int) bool { return result[i].Host < result[j].Host })
	return result
}
