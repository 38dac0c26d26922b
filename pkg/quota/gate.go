package quota

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/credential"
	"github.com/turmerictide/turmerictide/pkg/ratelimit"
)

const (
	// replyTimeout limits the wait for a reply of the keeper or deputy: a few round trips, well below
	// the latency targets of the waiting requests.
	replyTimeout = 60 * time.Millisecond
	// silentPeriod is the time without requests to a host after it did not reply.
	silentPeriod = time.Second
	// suspensionThreshold is the time without Sweep and requests after which the process counts as
	// suspended. Sweep is called four times a second.
	suspensionThreshold = time.Second
	// phaseInterval is the interval between calculations of the phase, which need a hash of each host.
	phaseInterval = 10 * time.Second
	// bucketSweepInterval is the interval between sweeps of the buckets, unless the hosts change. A
	// sweep needs a hash of each possible keeper for each bucket, of which there may be 35,000.
	bucketSweepInterval = 10 * time.Second
	// retention is how long state without use is kept.
	retention = time.Minute
	// minRetryAfter is the shortest time after which a refused request should be sent again.
	minRetryAfter = 50 * time.Millisecond
	// deniedRetryAfter is the time after which a request should be sent again that was refused
	// without the keeper. The keeper may be asked again then.
	deniedRetryAfter = silentPeriod
)

type GateConfig struct {
	Host string
	Rule Rule
	// Publish sends messages to other daemons.
	Publish func(topic string, messages ...*message.Message) error
	// Keepers returns the sorted list of the hosts among which keepers are chosen.
	Keepers func() []string
	// Keeper returns the host that has the bucket of a team. Deputy returns the one that decides in
	// this host's availability zone on the teams of a keeper that does not reply. They return "" if
	// there is none.
	Keeper func(team string) string
	Deputy func(keeper string) string
	// Since returns the time since which this host has known the hosts that may be keepers or
	// deputies, without a change.
	Since func() time.Time
	// Share returns the fraction of the hosts that are live. ZoneShare
	// returns the fraction of the hosts that are live and in its availability zone.
	Share     func() float64
	ZoneShare func() float64
	// Hosts returns the number of hosts that share the limits.
	Hosts func() int
	// Members returns the names of the live hosts, in any order.
	Members func() []string
	// Limit returns the limit of a team in the configuration, and false if it has none.
	Limit func(team string) (credential.Limit, bool)
	// HasLimits reports whether a team has a limit. If none has, no messages are sent. nil means true.
	HasLimits func() bool
	Now       func() time.Time
	Log       logr.Logger
}

// Counts are the numbers of decisions since the start. Granted includes Deputy and OwnTurns, the
// requests that a deputy granted and those for which a turn was used.
type Counts struct {
	Granted, Denied, Deputy, OwnTurns int64
}

// Gate decides whether requests are within the limits of their teams. It is safe for concurrent use.
type Gate struct {
	config                            GateConfig
	granted, denied, deputy, ownTurns atomic.Int64

	mu sync.Mutex
	// lastSerial is the number of the latest request to a keeper or deputy.
	lastSerial uint32
	pending    map[uint32]*pendingRequest
	// sources are the hosts that were asked.
	sources map[string]*source
	// accounts, turns and the buckets of this host as keeper and as deputy are by team.
	accounts      map[string]*account
	turns         map[string]*turns
	keeperBuckets map[string]*bucket
	deputyBuckets map[string]*bucket
	// confirmer confirms sources. confirmations are those of this host as a keeper, deputyConfirmations
	// those as the deputy for a keeper, by its name.
	confirmer           *confirmer
	confirmations       *tally
	deputyConfirmations map[string]*tally
	// clockStart is the start of the clock in acknowledgments. Its random offset tells processes apart.
	clockStart  time.Time
	clockOffset uint32
	// seenAt is the time of the last call, resumedAt the end of the last suspension.
	seenAt    time.Time
	resumedAt time.Time
	// sweptSince is the time since which the hosts were known at the last sweep of the buckets.
	sweptSince, bucketsSweptAt time.Time
	// phase is the phase of this host's turns, from phaseAt, a time at which it knew all hosts.
	phase   float64
	phaseAt time.Time
}

// NewGate returns a Gate. Route must be called for it to receive messages.
func NewGate(config GateConfig) *Gate {
	now := config.Now()
	return &Gate{
		config: config, pending: map[uint32]*pendingRequest{}, sources: map[string]*source{}, accounts: map[string]*account{}, turns: map[string]*turns{},
		keeperBuckets: map[string]*bucket{}, deputyBuckets: map[string]*bucket{},
		// A reply to an earlier incarnation of this host must match no number of this one.
		lastSerial: rand.Uint32(), seenAt: now, phase: ratelimit.TurnPhase(config.Host, nil),
		confirmer: newConfirmer(now, config.Host, config.Rule.Window, confirmationInterval), confirmations: newTally(), deputyConfirmations: map[string]*tally{},
		clockStart: now, clockOffset: rand.Uint32(),
	}
}

// Counts returns the numbers of decisions.
func (g *Gate) Counts() Counts {
	return Counts{Granted: g.granted.Load(), Denied: g.denied.Load(), Deputy: g.deputy.Load(), OwnTurns: g.ownTurns.Load()}
}

// Result is the decision on a request.
type Result struct {
	Granted bool
	// RetryAfter is the time after which a request that is not granted should be sent again.
	RetryAfter time.Duration
}

// Acquire decides whether a request of a team is within its limit, and charges its cost if so. It
// waits only if this host holds too few tokens. A Result without Granted is no refusal if ctx has
// ended.
func (g *Gate) Acquire(ctx context.Context, team string, limit credential.Limit, cost float64) Result {
	if !(limit.Rate > 0) || !(cost > 0) {
		return Result{Granted: true}
	}
	now := g.config.Now()
	isHeld, extra, wait, isDenied := g.takeHeld(now, team, limit.Rate, cost)
	switch {
	case isHeld:
		return g.grantResult()
	case isDenied:
		return g.denyResult(team, cost, "recent denial", wait)
	}
	result := g.askKeeper(ctx, team, cost, extra)
	switch result.verdict {
	case granted:
		return g.grantResult()
	case denied:
		return g.denyResult(team, cost, "keeper", result.retryAfter)
	}
	result = g.askDeputy(ctx, team, cost)
	switch result.verdict {
	case granted:
		g.deputy.Add(1)
		return g.grantResult()
	case denied:
		return g.denyResult(team, cost, "deputy", min(result.retryAfter, deniedRetryAfter))
	}
	if ctx.Err() != nil {
		return Result{RetryAfter: minRetryAfter}
	}
	if g.takeTurn(team, limit, cost) {
		g.ownTurns.Add(1)
		return g.grantResult()
	}
	return g.denyResult(team, cost, "own turns", deniedRetryAfter)
}

func (g *Gate) grantResult() Result {
	g.granted.Add(1)
	return Result{Granted: true}
}

func (g *Gate) denyResult(team string, cost float64, origin string, wait time.Duration) Result {
	g.denied.Add(1)
	wait = min(max(wait, minRetryAfter), max(g.config.Rule.Window, minRetryAfter))
	g.config.Log.Info("request is over the rate limit of its team", "team", team, "cost", cost, "source", origin, "retry_after_ms", wait.Milliseconds())
	return Result{RetryAfter: wait}
}

// takeHeld uses tokens of the leases that this host holds. If there are too few, it returns the tokens
// to request in advance, or the time after which to send the request again after a recent denial.
func (g *Gate) takeHeld(now time.Time, team string, rate, cost float64) (isHeld bool, extra float64, wait time.Duration, isDenied bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe(now)
	a, ok := g.accounts[team]
	if !ok {
		a = &account{}
		g.accounts[team] = a
	}
	if a.take(now, cost) {
		a.recordUse(now, cost)
		return true, 0, 0, false
	}
	if wait, isDenied = a.isDenied(now, cost, rate, g.config.Rule.Window); isDenied {
		return false, 0, wait, true
	}
	a.usedAt = now
	return false, a.extra(now, cost), 0, false
}

func (g *Gate) askKeeper(ctx context.Context, team string, cost, extra float64) decision {
	keeper := g.config.Keeper(team)
	var result decision
	askedAt := g.config.Now()
	switch keeper {
	case "":
		return decision{}
	case g.config.Host:
		result = g.decideAsKeeper(askedAt, team, cost, 0)
	default:
		result = g.ask(ctx, keeper, wireRequest{Team: team, Cost: uint64(math.Ceil(cost)), Extra: uint64(extra), Confirmation: g.confirm(askedAt, keeper)})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.accounts[team]
	switch {
	case a == nil:
	case result.verdict == denied:
		a.deny(g.config.Now(), cost, result)
	case result.verdict == granted:
		a.recordUse(g.config.Now(), cost)
		a.add(lease{tokens: result.amount - cost, expiry: askedAt.Add(leaseLifetime)})
	}
	return result
}

func (g *Gate) askDeputy(ctx context.Context, team string, cost float64) decision {
	keeper := g.config.Keeper(team)
	switch deputy := g.config.Deputy(keeper); deputy {
	case "":
		return decision{}
	case g.config.Host:
		return g.decideAsDeputy(g.config.Now(), team, cost, 0)
	default:
		return g.ask(ctx, deputy, wireRequest{Team: team, Cost: uint64(math.Ceil(cost)), IsDeputy: true, Confirmation: g.confirmDeputy(g.config.Now(), keeper, deputy)})
	}
}

// takeTurn uses tokens of this host's turns.
func (g *Gate) takeTurn(team string, limit credential.Limit, cost float64) bool {
	now := g.config.Now()
	rate := g.config.Rule.turnRate(limit, g.config.Hosts())
	if !(rate > 0) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t, ok := g.turns[team]
	if !ok {
		t = newTurns(now, rate, g.phase)
		g.turns[team] = t
	}
	return t.take(now, rate, g.config.Rule.grain(limit), cost)
}
