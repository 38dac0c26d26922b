package quota

import "time"

// decideAsKeeper decides on a request at the keeper. The configuration of this host counts.
func (g *Gate) decideAsKeeper(now time.Time, team string, cost, extra float64) decision {
	limit, ok := g.config.Limit(team)
	if !ok || !(cost > 0) || g.config.Keeper(team) != g.config.Host {
		return decision{}
	}
	if cost > g.config.Rule.keeperTerms(limit, 1, support{}).capacity {
		return decision{verdict: denied, wait: g.config.Rule.Window, retryAfter: g.config.Rule.Window}
	}
	share, hosts := g.share(), g.config.Hosts()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe(now)
	t := g.config.Rule.keeperTerms(limit, share, g.confirmations.read(now, hosts))
	if cost > t.capacity {
		return decision{}
	}
	return g.keeperBucket(now, team, t).take(now, t, cost, extra)
}

func (g *Gate) share() float64 {
	return min(max(g.config.Share(), 0), 1)
}

func (g *Gate) zoneShare() float64 {
	return min(max(g.config.ZoneShare(), 0), 1)
}

// keeperBucket returns the bucket of a team of which this host is the keeper.
func (g *Gate) keeperBucket(now time.Time, team string, t terms) *bucket {
	b, ok := g.keeperBuckets[team]
	if !ok {
		b = newBucket(now, g.since(), t)
		g.keeperBuckets[team] = b
	}
	if b.isRetired {
		b.resume(now, t.support)
	}
	return b
}

// since returns the time since which a bucket without requests has accrued.
func (g *Gate) since() time.Time {
	since := g.config.Since()
	if since.Before(g.resumedAt) {
		return g.resumedAt
	}
	return since
}

// decideAsDeputy decides on a request at the deputy of this host's availability zone.
func (g *Gate) decideAsDeputy(now time.Time, team string, cost, _ float64) decision {
	limit, ok := g.config.Limit(team)
	keeper := g.config.Keeper(team)
	if !ok || !(cost > 0) || g.config.Deputy(keeper) != g.config.Host {
		return decision{}
	}
	share, hosts := g.zoneShare(), g.config.Hosts()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe(now)
	t := g.config.Rule.deputyTerms(limit, share, g.deputyTally(keeper).read(now, hosts))
	if cost > t.capacity {
		return decision{}
	}
	b, ok := g.deputyBuckets[team]
	if !ok {
		b = newBucket(now, g.since(), t)
		g.deputyBuckets[team] = b
	}
	return b.take(now, t, cost, 0)
}

// Return returns the charge for a request that did not run.
func (g *Gate) Return(team string, cost float64) {
	if limit, ok := g.config.Limit(team); !ok || !(limit.Rate > 0) || !(cost > 0) {
		return
	}
	switch keeper := g.config.Keeper(team); keeper {
	case "":
	case g.config.Host:
		g.put(team, cost)
	default:
		g.sendReturn(keeper, team, cost)
	}
}

// put adds returned tokens to the bucket of a team, if this host is its keeper.
func (g *Gate) put(team string, amount float64) {
	limit, ok := g.config.Limit(team)
	if !ok || g.config.Keeper(team) != g.config.Host {
		return
	}
	now := g.config.Now()
	share, hosts := g.share(), g.config.Hosts()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe(now)
	t := g.config.Rule.keeperTerms(limit, share, g.confirmations.read(now, hosts))
	g.keeperBucket(now, team, t).put(now, t, amount)
}

// observe detects that the process was suspended, or that the list of keepers has changed. Other hosts may
// use another source then.
func (g *Gate) observe(now time.Time) {
	isResumed := now.Sub(g.seenAt) > suspensionThreshold
	if now.After(g.seenAt) {
		g.seenAt = now
	}
	if g.confirmer.setList(now, digest(g.config.Keepers())) || isResumed {
		former := g.confirmations
		g.confirmations, g.deputyConfirmations = newTally(), map[string]*tally{}
		for _, b := range g.keeperBuckets {
			b.changeList(former)
		}
		for _, b := range g.deputyBuckets {
			b.sum = 0
		}
	}
	if isResumed {
		g.resumedAt = now
		for team, b := range g.keeperBuckets {
			limit, _ := g.config.Limit(team)
			s := g.confirmations.read(now, g.config.Hosts())
			b.retire(g.config.Rule.keeperTerms(limit, g.share(), s))
			b.resume(now, s)
		}
	}
}
