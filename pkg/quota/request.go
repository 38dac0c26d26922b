package quota

import (
	"context"
	"time"
)

// pendingRequest is a request without a reply.
type pendingRequest struct {
	host, team string
	isDeputy   bool
	// amount is the largest amount that may be granted.
	amount  float64
	askedAt time.Time
	source  *source
	reply   chan decision
	// isAbandoned is true if nobody waits for the reply.
	isAbandoned bool
}

// source is a host that was asked.
type source struct {
	askedAt   time.Time
	repliedAt time.Time
	// silentUntil is the time until which it is not asked. silenced is closed when it begins to count
	// as silent, so that further requests do not wait for their own time-out.
	silentUntil time.Time
	silenced    chan struct{}
}

// ask sends a request to a host and waits for the reply, unless the host counts as silent.
func (g *Gate) ask(ctx context.Context, host string, wire wireRequest) decision {
	p, silenced, ok := g.startRequest(host, &wire)
	if !ok {
		return decision{}
	}
	if err := g.send(host, TopicRequest, wire); err != nil {
		g.abandon(wire.Serial, p)
		return decision{}
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	isTimeout := false
	select {
	case result := <-p.reply:
		return p.check(g.config.Now(), result, float64(wire.Cost))
	case <-ctx.Done():
	case <-silenced:
	case <-timer.C:
		isTimeout = true
	}
	if result, ok := g.abandon(wire.Serial, p); ok {
		return p.check(g.config.Now(), result, float64(wire.Cost))
	}
	if isTimeout && g.silence(p) {
		g.config.Log.Info("host did not reply to a quota request", "host", host, "team", wire.Team, "is_deputy", wire.IsDeputy)
	}
	return decision{}
}

// check returns a decision on a request of a cost. A grant of too few tokens counts as none, and so does
// one that was read too late because the process was suspended.
func (p *pendingRequest) check(now time.Time, result decision, cost float64) decision {
	if result.verdict == granted && (!(result.amount >= cost) || now.Sub(p.askedAt) >= leaseLifetime) {
		return decision{}
	}
	return result
}

// startRequest registers a request, and assigns its number. It returns false if the host counts as
// silent.
func (g *Gate) startRequest(host string, wire *wireRequest) (*pendingRequest, <-chan struct{}, bool) {
	now := g.config.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.sources[host]
	if !ok {
		s = &source{silenced: make(chan struct{})}
		g.sources[host] = s
	}
	if now.Before(s.silentUntil) {
		return nil, nil, false
	}
	s.askedAt = now
	g.lastSerial++
	wire.Serial = g.lastSerial
	p := &pendingRequest{
		host: host, team: wire.Team, isDeputy: wire.IsDeputy, amount: float64(wire.Cost) + float64(wire.Extra), askedAt: now, source: s, reply: make(chan decision, 1),
	}
	g.pending[wire.Serial] = p
	return p, s.silenced, true
}

// abandon ends the wait for a reply. It returns the reply if it has just arrived.
func (g *Gate) abandon(serial uint32, p *pendingRequest) (decision, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.pending[serial]; !ok {
		return <-p.reply, true
	}
	p.isAbandoned = true
	return decision{}, false
}

// silence makes the host of a request count as silent, unless it has replied to another one since. It
// ends the waits for the host.
func (g *Gate) silence(p *pendingRequest) bool {
	now := g.config.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.source.repliedAt.After(p.askedAt) || now.Before(p.source.silentUntil) {
		return false
	}
	p.source.silentUntil = now.Add(silentPeriod)
	close(p.source.silenced)
	p.source.silenced = make(chan struct{})
	return true
}
