package daemon

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/turmerictide/turmerictide/pkg/freshness"
	"github.com/turmerictide/turmerictide/pkg/member"
)

const (
	// peerPollInterval is the interval between reads of peers instead of the store, to the nearest
	// housekeepingInterval. These reads delay a change by half of the interval on average.
	peerPollInterval = 500 * time.Millisecond
	// peerFailoverTimeout is the time without a successful read of a peer after which a
	// daemon reads the store itself. It is slightly longer than two poll intervals, and much
	// shorter than the time in which a configuration must be applied.
	peerFailoverTimeout = 1100 * time.Millisecond
	// failedPeerTimeout is the time in which a peer whose read failed is not selected again if
	// there are others. A reader that does not respond is removed from the list of daemons after
	// about 5 s, and each read of it takes peerReadTimeout.
	failedPeerTimeout = 3 * time.Second
)

// peerPollerConfig contains the functions that a peerPoller calls.
type peerPollerConfig struct {
	host, zone string
	// hosts returns the live daemons of a zone, or of all zones for "".
	hosts  func(zone string) []string
	zoneOf func(host string) string
	// isFailing reports whether the last call to the store failed. setPaused stops or resumes
	// reading the store.
	isFailing func() bool
	setPaused func(paused bool)
	clock     freshness.Clock
	freshness *configurationFreshness
	// within is the bound on the age of confirmations.
	within time.Duration
	// read and readLapsing start a read of a peer, the latter while the confirmation lapses.
	read, readLapsing func(host string)
	// random returns a random number in [0, n). The default is rand.IntN, which has no seed.
	random func(n int) int
}

// peerPoller decides when a daemon reads a peer instead of the store, and which one.
type peerPoller struct {
	peerPollerConfig
	// polledAt is the time of the last periodic read, since boot.
	polledAt time.Duration
	// lapsingAttempts counts the calls of readLapsing.
	lapsingAttempts int
	// readAt is the time of the last successful read, since boot, 0 for none.
	readAt atomic.Int64
	// failed is the last read that failed.
	failed atomic.Pointer[failedRead]
}

// failedRead is a read of a peer that failed, with its time since boot.
type failedRead struct {
	host string
	at   time.Duration
}

func newPeerPoller(config peerPollerConfig) *peerPoller {
	if config.random == nil {
		config.random = rand.IntN
	}
	return &peerPoller{peerPollerConfig: config}
}

// recordRead records the end of a read of a peer.
func (p *peerPoller) recordRead(host string, succeeded bool) {
	if succeeded {
		p.readAt.Store(int64(p.clock()))
		return
	}
	p.failed.Store(&failedRead{host: host, at: p.clock()})
}

// poll reads the entries of a peer if this daemon is not one of the zone's readers of the store, or
// if its calls to the store fail. It selects one of the zone's readers, not the one whose last read
// failed. If this daemon is itself a reader, or has read no peer for peerFailoverTimeout, it selects
// any daemon, since the store may still serve others. It pauses the mirror while this daemon is not
// a reader and has recently read a peer. While the confirmation of the configuration lapses, it
// reads more peers, and asks the store in turns. It is called once per housekeepingInterval.
func (p *peerPoller) poll() {
	now := p.clock()
	readers := member.Readers(p.hosts(p.zone))
	isReader := len(readers) == 0 || slices.Contains(readers, p.host)
	isPaused := !isReader && now-time.Duration(p.readAt.Load()) < peerFailoverTimeout
	isDirect := p.freshness.isOlder(directShare, p.within) && isDirectTurn(p.host, now)
	p.setPaused(isPaused && !isDirect)
	if p.freshness.isOlder(lapsingShare, p.within) {
		p.readMore()
	}
	if (isReader && !p.isFailing()) || now-p.polledAt < peerPollInterval-housekeepingInterval/2 {
		return
	}
	p.polledAt = now
	hosts := readers
	if isReader || !isPaused {
		hosts = p.hosts("")
	}
	hosts = without(hosts, p.host)
	if failed := p.failed.Load(); failed != nil && len(hosts) > 1 && now-failed.at < failedPeerTimeout {
		hosts = without(hosts, failed.host)
	}
	if len(hosts) > 0 {
		p.read(hosts[p.random(len(hosts))])
	}
}

// readMore reads one more peer than the periodic reads, from another part of the site each time.
func (p *peerPoller) readMore() {
	zones := map[string][]string{}
	for _, host := range p.hosts("") {
		zone := p.zoneOf(host)
		zones[zone] = append(zones[zone], host)
	}
	p.lapsingAttempts++
	if hosts := lapsingPeers(p.host, p.zone, zones, p.lapsingAttempts); len(hosts) > 0 {
		p.readLapsing(hosts[p.random(len(hosts))])
	}
}
