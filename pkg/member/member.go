// Package member keeps the list of daemons and spreads small facts among them.
//
// The flow is: each daemon sends a heartbeat every second to a constant number
// of neighbours on a hash ring, and expects an acknowledgement. A neighbour that
// stays silent gets a new connection, is then suspected, and is held dead when
// it has not refuted the suspicion in time (after Das, Gupta and Motivala,
// "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol", 2002). Each change floods once over the neighbour links. Heartbeats
// carry a digest of the list, so that daemons which missed a change, or were
// cut off, compare their whole lists. Cost per daemon does not grow with the
// number of daemons while nothing changes.
//
// Table is the pure decision part; Service drives it over a link.Mesh.
package member

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is known of a daemon. Of two facts with one incarnation, the
// greater state wins.
type State uint8

// The states of a daemon.
const (
	StateAlive State = iota
	StateLeaving
	StateSuspect
	StateDead
)

// String returns the state in snake case.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateLeaving:
		return "leaving"
	case StateSuspect:
		return "suspect"
	default:
		return "dead"
	}
}

// Incarnation orders the lives of one daemon, and within a life its
// refutations of suspicions.
type Incarnation uint64

// lifeShift leaves room for the refutations of one life.
const lifeShift = 16

// NewIncarnation returns the first incarnation of a life that began at a time.
func NewIncarnation(start time.Time) Incarnation {
	return Incarnation(start.UnixMilli()) << lifeShift
}

// Start returns the time at which the life began, by its own clock.
func (i Incarnation) Start() time.Time {
	return time.UnixMilli(int64(i >> lifeShift))
}

// Member is one daemon.
type Member struct {
	Host             string
	AvailabilityZone string
	Peer             netip.AddrPort
	Incarnation      Incarnation
	State            State
	// Processors is what the daemon may use of its host, 0 where that is not known.
	Processors float64
}

// Life identifies the life of the daemon that the entry is about.
func (m Member) Life() uint64 {
	return uint64(m.Incarnation >> lifeShift)
}

// FrontTag is the hash of the host and its life. It marks the identifiers of the
// requests that this life makes.
func (m Member) FrontTag() uint32 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(m.Host)
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, m.Life()))
	return uint32(hash.Sum64())
}

const (
	// HeartbeatPeriod spaces the heartbeats to one neighbour.
	HeartbeatPeriod = time.Second
	// ResetAfter is the silence after which a neighbour gets a new connection.
	ResetAfter = 1500 * time.Millisecond
	// SuspectAfter is the silence after which a neighbour is suspected.
	SuspectAfter = 3200 * time.Millisecond
	// DeadAfter is the time in which a suspicion must be refuted.
	DeadAfter = 2 * time.Second
	// ForgetAfter removes a dead daemon that nothing was heard of.
	ForgetAfter = 2 * time.Hour
	// zoneNeighbours are neighbours in the own availability zone.
	zoneNeighbours = 3
	// otherNeighbours are neighbours in other availability zones.
	otherNeighbours = 2
)
