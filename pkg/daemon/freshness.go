package daemon

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/freshness"
	"github.com/turmerictide/turmerictide/pkg/member"
	"github.com/turmerictide/turmerictide/pkg/settings"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// configurationFreshness tracks whether the configuration is recent enough to accept keys. It is nil
// where revocations are not strict, and its methods then report a fresh configuration.
type configurationFreshness struct {
	clock   freshness.Clock
	tracker *freshness.Tracker
	claims  *freshness.Claims
	// number returns the number of the own configuration. needsKeys reports whether the
	// configuration requires keys.
	number    func() ticket.Number
	needsKeys func() bool
	log       logr.Logger
	// source is the source of the last confirmation.
	source atomic.Pointer[string]
	// wasStale is true if the last log line says that the configuration is stale. Only observe
	// reads and writes it.
	wasStale bool
}

// claimShare is the fraction of the bound in which a higher number of a single peer prevents
// confirmations. Together with the normal age of a confirmation, it is below the bound, so that one
// peer with a wrong number makes no host stale.
const claimShare = 0.5

func newConfigurationFreshness(s settings.Revocation, clock freshness.Clock, number func() ticket.Number, needsKeys func() bool, log logr.Logger) *configurationFreshness {
	if !s.Strict {
		return nil
	}
	return &configurationFreshness{
		clock: clock, tracker: freshness.NewTracker(s.Within), claims: freshness.NewClaims(time.Duration(claimShare * float64(s.Within))),
		number: number, needsKeys: needsKeys, log: log,
	}
}

// confirm records that the configuration was current at askedAt, unless a peer has a higher number.
func (f *configurationFreshness) confirm(askedAt time.Duration, source string) {
	if f.claims.IsBehind(uint64(f.number()), f.clock()) {
		return
	}
	f.tracker.Confirm(askedAt)
	f.source.Store(&source)
}

// restored records that the store has come back from a copy.
func (f *configurationFreshness) restored() {
	f.tracker.Reset(f.clock())
}

// numberReceived records the number of a peer's configuration.
func (f *configurationFreshness) numberReceived(host string, number ticket.Number) {
	if f != nil {
		f.claims.Hear(host, uint64(number), uint64(f.number()), f.clock())
	}
}

// isFresh reports whether keys may be accepted.
func (f *configurationFreshness) isFresh() bool {
	return f == nil || f.tracker.IsFresh(f.clock())
}

// isStale reports whether requests with keys are rejected.
func (f *configurationFreshness) isStale() bool {
	return !f.isFresh() && f.needsKeys()
}

// age returns the time since the last confirmation in milliseconds, -1 if there is none.
func (f *configurationFreshness) age() int64 {
	if f == nil {
		return -1
	}
	age, ok := f.tracker.Age(f.clock())
	if !ok {
		return -1
	}
	return age.Milliseconds()
}

// observe logs when the configuration becomes stale, and when it is fresh again.
func (f *configurationFreshness) observe() {
	if f == nil {
		return
	}
	isStale := f.isStale()
	if isStale == f.wasStale {
		return
	}
	f.wasStale = isStale
	source := ""
	if last := f.source.Load(); last != nil {
		source = *last
	}
	message := "configuration is fresh"
	if isStale {
		message = "configuration is stale, requests with keys are rejected"
	}
	f.log.Info(message, "age_ms", f.age(), "source", source, "config", f.number())
}

const (
	// lapsingShare and directShare are the fractions of the bound at which a daemon reads more
	// peers, and at which one that is not a reader asks the store itself. In normal operation no
	// confirmation is that old.
	lapsingShare = 0.4
	directShare  = 0.5
	// directTurn is the time in which a daemon whose confirmation lapses asks the store, once in
	// directTurns such times. So the daemons of a zone do not all ask a store that is down at once.
	directTurn  = 500 * time.Millisecond
	directTurns = 3
	// lapsingReads is the number of concurrent reads of peers while a confirmation lapses: a read
	// of a peer that does not respond takes peerReadTimeout.
	lapsingReads = 3
)

// isOlder reports whether the last confirmation is older than a fraction of a bound, or missing.
func (f *configurationFreshness) isOlder(share float64, within time.Duration) bool {
	if f == nil {
		return false
	}
	age, ok := f.tracker.Age(f.clock())
	return !ok || age >= time.Duration(share*float64(within))
}

// isDirectTurn reports whether a host whose confirmation lapses asks the store at a time since boot.
func isDirectTurn(host string, now time.Duration) bool {
	return (uint64(now/directTurn)+xxhash.Sum64String(host))%directTurns == 0
}

// lapsingPeers returns the hosts of which one is read in an attempt while the confirmation lapses. It
// alternates between the readers of other zones, the rest of the own zone and all hosts: which of
// them still reaches the store depends on what has failed. zones contains the live hosts of each zone.
func lapsingPeers(self, ownZone string, zones map[string][]string, attempt int) []string {
	var otherReaders, all []string
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		hosts := zones[zone]
		all = append(all, hosts...)
		if zone == ownZone {
			continue
		}
		if readers := member.Readers(hosts); len(readers) > 0 {
			hosts = readers
		}
		otherReaders = append(otherReaders, hosts...)
	}
	classes := [][]string{otherReaders, zones[ownZone], all}
	candidates := without(classes[attempt%len(classes)], self)
	if len(candidates) == 0 {
		return without(all, self)
	}
	return candidates
}

// without returns the hosts except one.
func without(hosts []string, excluded string) []string {
	return slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return host == excluded })
}
