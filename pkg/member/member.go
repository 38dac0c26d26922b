// Package member maintains the list of daemons and broadcasts small updates among
// them by gossip.
//
// Each daemon sends a heartbeat every second to a constant number of neighbours
// on a hash ring, and expects an acknowledgement. A neighbour that does not
// acknowledge first gets a new connection, is then suspected, and is declared
// dead if it does not refute the suspicion in time (after Das, Gupta and Motivala,
// "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol", 2002). Each change floods once over the neighbour links. Heartbeats
// carry a digest of the list. Daemons whose digests differ, because one missed a
// change or was partitioned, exchange their whole lists. While nothing changes,
// the cost per daemon does not grow with the number of daemons.
//
// Table makes the decisions and does no I/O; Service drives it over a link.Mesh.
package member

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a daemon. Of two updates with the same incarnation, the
// one with the greater state wins.
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

// Incarnation is the SWIM incarnation number of a daemon. It orders the
// processes of one daemon by their start, and within a process its refutations
// of suspicions.
type Incarnation uint64

// refutationBits is the number of low bits of an Incarnation that count the
// refutations of one process. The other bits are its start in Unix milliseconds.
const refutationBits = 16

// NewIncarnation returns the first incarnation of a process that started at start.
func NewIncarnation(start time.Time) Incarnation {
	return Incarnation(start.UnixMilli()) << refutationBits
}

// Start returns the time at which the process started, by the clock of its host.
func (i Incarnation) Start() time.Time {
	return time.UnixMilli(int64(i >> refutationBits))
}

// Member is the entry of one daemon.
type Member struct {
	Host             string
	AvailabilityZone string
	Peer             netip.AddrPort
	Incarnation      Incarnation
	State            State
	// Processors is the number of processors that the daemon may use, 0 if unknown.
	Processors float64
}

// StartMilliseconds returns the start of the process in Unix milliseconds, which
// identifies it among the processes of its host.
func (m Member) StartMilliseconds() uint64 {
	return uint64(m.Incarnation >> refutationBits)
}

// FrontTag returns a hash of the host and the start of the process. It is part of
// the identifiers of the requests that the process creates.
func (m Member) FrontTag() uint32 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(m.Host)
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, m.StartMilliseconds()))
	return uint32(hash.Sum64())
}

const (
	// HeartbeatInterval is the interval between heartbeats to one neighbour.
	HeartbeatInterval = time.Second
	// ResetTimeout is the time without an acknowledgement after which the
	// connection to a neighbour is replaced.
	ResetTimeout = 1500 * time.Millisecond
	// SuspectTimeout is the time without an acknowledgement after which a
	// neighbour is suspected.
	SuspectTimeout = 3200 * time.Millisecond
	// RefutationTimeout is the time after which a suspected daemon that has not
	// refuted the suspicion is declared dead.
	RefutationTimeout = 2 * time.Second
	// ForgetTimeout is the time after which a dead daemon is removed from the
	// list if no update about it arrived.
	ForgetTimeout = 2 * time.Hour
	// zoneNeighbours is the number of neighbours in the same availability zone.
	zoneNeighbours = 3
	// otherZoneNeighbours is the number of neighbours in other availability zones.
	otherZoneNeighbours = 2
)
