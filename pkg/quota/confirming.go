package quota

import (
	"slices"
	"time"
)

// confirmDeputy returns the confirmation in a request to the deputy of a keeper.
func (g *Gate) confirmDeputy(now time.Time, keeper, deputy string) confirmation {
	interval := g.interval()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.confirmer.confirmDeputy(now, keeper, deputy, interval)
}

// confirm returns the confirmation in a request to a keeper.
func (g *Gate) confirm(now time.Time, keeper string) confirmation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.confirmer.confirm(now, keeper, g.interval())
}

func (g *Gate) interval() time.Duration {
	return intervalFor(g.config.Hosts(), len(g.config.Keepers()))
}

// outgoing is a confirmation to a source.
type outgoing struct {
	host string
	wire wireConfirmation
}

// sendConfirmations sends the confirmations that are due.
func (g *Gate) sendConfirmations(now time.Time) {
	if g.config.HasLimits != nil && !g.config.HasLimits() {
		return
	}
	for _, o := range g.dueConfirmations(now) {
		if o.host == g.config.Host {
			g.count(now, o.host, o.wire.Confirmation)
			continue
		}
		_ = g.send(o.host, TopicConfirmation, o.wire)
	}
}

func (g *Gate) dueConfirmations(now time.Time) []outgoing {
	keepers, interval := g.config.Keepers(), g.interval()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe(now)
	var due []outgoing
	isVoteDue := g.confirmer.isVoteDue(now)
	for _, keeper := range keepers {
		// A deputy is chosen only if it may be needed, which hashes all hosts of the zone.
		if g.confirmer.isDoubted(now, keeper) {
			if deputy := g.config.Deputy(keeper); g.confirmer.isDeputyDue(now, keeper, deputy, interval) {
				due = append(due, outgoing{host: deputy, wire: wireConfirmation{Number: g.confirmer.expect(now, deputy), Confirmation: g.confirmer.confirmDeputy(now, keeper, deputy, interval)}})
			}
		}
		if g.confirmer.isDue(now, keeper, interval) || isVoteDue {
			due = append(due, outgoing{host: keeper, wire: wireConfirmation{Number: g.confirmer.expect(now, keeper), Confirmation: g.confirmer.confirm(now, keeper, interval)}})
		}
	}
	return due
}

// count counts a host that confirms this one.
func (g *Gate) count(now time.Time, host string, c confirmation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe(now)
	if c.Digest != g.confirmer.digest {
		return
	}
	t := g.confirmations
	if c.Keeper != "" {
		if !slices.Contains(g.config.Keepers(), c.Keeper) {
			return
		}
		t = g.deputyTally(c.Keeper)
	}
	if c.IsStart {
		t.started[host] = true
	}
	age := time.Duration(g.stamp(now)-c.Stamp-c.Held) * time.Millisecond
	if c.Validity > 0 && (age <= lateLimit || host == g.config.Host) {
		t.confirm(now, host, min(time.Duration(c.Validity)*time.Millisecond, retention))
	}
}

// stamp returns the clock in acknowledgments.
func (g *Gate) stamp(now time.Time) uint32 {
	return g.clockOffset + uint32(now.Sub(g.clockStart).Milliseconds())
}

func (g *Gate) handleConfirmation(host string, wire wireConfirmation) {
	now := g.config.Now()
	g.count(now, host, wire.Confirmation)
	g.mu.Lock()
	reply := wireAcknowledgment{Number: wire.Number, Stamp: g.stamp(now), HasOtherList: wire.Confirmation.Digest != g.confirmer.digest}
	g.mu.Unlock()
	_ = g.send(host, TopicAcknowledgment, reply)
}

func (g *Gate) handleAcknowledgment(host string, wire wireAcknowledgment) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirmer.acknowledged(g.config.Now(), host, wire.Number, wire.Stamp, wire.HasOtherList)
}

// Confirmed returns the fraction of the hosts that confirm this one as a keeper.
func (g *Gate) Confirmed(now time.Time) float64 {
	hosts := g.config.Hosts()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe(now)
	return g.confirmations.read(now, hosts).fraction
}

// deputyTally returns the confirmations of this host as the deputy for a keeper.
func (g *Gate) deputyTally(keeper string) *tally {
	t, ok := g.deputyConfirmations[keeper]
	if !ok {
		t = newTally()
		g.deputyConfirmations[keeper] = t
	}
	return t
}
