package quota

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/ratelimit"
)

// Sweep returns the tokens of expired leases and drops state that is no longer needed. It must be
// called several times a second.
func (g *Gate) Sweep(now time.Time) {
	unused := g.sweepAccounts(now)
	for team, amount := range unused {
		g.Return(team, amount)
	}
	g.sendConfirmations(now)
}

func (g *Gate) sweepAccounts(now time.Time) map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe(now)
	if now.Sub(g.phaseAt) >= phaseInterval {
		if members := g.config.Members(); len(members) >= g.config.Hosts() {
			g.phase, g.phaseAt = ratelimit.TurnPhase(g.config.Host, members), now
		}
	}
	unused := map[string]float64{}
	for team, a := range g.accounts {
		if amount := a.expire(now); amount >= 1 {
			unused[team] = amount
		}
		if len(a.leases) == 0 && now.Sub(a.usedAt) > 2*leaseLifetime && !now.Before(a.deniedUntil) {
			delete(g.accounts, team)
		}
	}
	for serial, p := range g.pending {
		if now.Sub(p.askedAt) > leaseLifetime {
			delete(g.pending, serial)
		}
	}
	for host, s := range g.sources {
		if now.Sub(s.askedAt) > retention {
			delete(g.sources, host)
		}
	}
	for team, t := range g.turns {
		if now.Sub(t.updatedAt) > retention {
			delete(g.turns, team)
		}
	}
	if since := g.config.Since(); !since.Equal(g.sweptSince) || now.Sub(g.bucketsSweptAt) >= bucketSweepInterval {
		g.sweptSince, g.bucketsSweptAt = since, now
		g.sweepBuckets(now)
	}
	return unused
}

// sweepBuckets retires the buckets of which this host is no longer the keeper, and drops those that a
// new one would equal.
func (g *Gate) sweepBuckets(now time.Time) {
	share, zoneShare, hosts := g.share(), g.zoneShare(), g.config.Hosts()
	confirmed := g.confirmations.read(now, hosts)
	for team, b := range g.keeperBuckets {
		limit, ok := g.config.Limit(team)
		t := g.config.Rule.keeperTerms(limit, share, confirmed)
		isKeeper := ok && g.config.Keeper(team) == g.config.Host
		switch {
		case !isKeeper && !b.isRetired:
			b.update(now, t)
			b.retire(t)
		case isKeeper && b.isRetired:
			b.resume(now, confirmed)
		case !isKeeper && now.Sub(b.updatedAt) > retention, isKeeper && b.isFull(now, t) && now.Sub(g.since()) > retention:
			delete(g.keeperBuckets, team)
		}
	}
	for team, b := range g.deputyBuckets {
		limit, ok := g.config.Limit(team)
		t := g.config.Rule.deputyTerms(limit, zoneShare, g.deputyTally(g.config.Keeper(team)).read(now, hosts))
		if !ok || b.isFull(now, t) {
			delete(g.deputyBuckets, team)
		}
	}
}
