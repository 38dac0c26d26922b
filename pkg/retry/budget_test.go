package retry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"
	"pgregory.net/rapid"

	"github.com/turmerictide/turmerictide/internal/virtual"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/relay"
	"github.com/turmerictide/turmerictide/pkg/retry"
)

const budgetWindow = 10 * time.Second

// budgetSite is the daemons of a site that share a retry budget, in three zones. Each has
// its own view of who lives, and so of who keeps the pool of its zone.
type budgetSite struct {
	settings relay.RetryBudget
	random   *rand.Rand
	daemons  []*budgetDaemon
	requests []time.Time
	repeats  []time.Time
	denied   int
}

type budgetDaemon struct {
	site  *budgetSite
	name  string
	zone  int
	share *retry.Share
	pool  *retry.Pool
	// sees are the daemons of its zone that it takes for alive, in the order in which they
	// keep the pool. Daemons in different islands do not reach each other.
	sees   []string
	island int
}

func newBudgetSite(settings relay.RetryBudget, count int, seed uint64) *budgetSite {
	s := &budgetSite{settings: settings, random: rand.New(rand.NewPCG(seed, 3))}
	for i := range count {
		s.daemons = append(s.daemons, &budgetDaemon{site: s, name: fmt.Sprint("edge-", i), zone: i % 3})
	}
	for _, d := range s.daemons {
		d.sees = s.names(func(o *budgetDaemon) bool { return o.zone == d.zone })
		d.start()
	}
	time.Sleep(budgetWindow)
	return s
}

func (s *budgetSite) names(within func(*budgetDaemon) bool) []string {
	var names []string
	for _, d := range s.daemons {
		if within(d) {
			names = append(names, d.name)
		}
	}
	return names
}

// start begins a life of a daemon.
func (d *budgetDaemon) start() {
	now := time.Now()
	d.share = retry.NewShare(now, budgetWindow)
	d.pool = retry.NewPool(retry.PoolConfig{
		Host: d.name, Publish: d.publish, Keeper: func(string) string { return d.sees[0] },
		Size:   func() float64 { return d.site.settings.PoolTokens(len(d.sees), len(d.site.daemons)) },
		Window: budgetWindow, Now: time.Now, Log: logr.Discard(),
	})
	d.pool.Keep([]string{"desk"})
}

func (d *budgetDaemon) publish(topic string, messages ...*message.Message) error {
	for _, m := range messages {
		to := d.site.daemons[slices.IndexFunc(d.site.daemons, func(o *budgetDaemon) bool { return o.name == link.Host(m) })]
		if to.island != d.island {
			continue
		}
		arrived := link.NewMessage(d.name, m.Payload, trace.SpanContext{})
		go func() {
			time.Sleep(time.Millisecond)
			if topic == retry.TopicBorrow {
				_ = retry.HandleBorrow(to.pool, arrived)
			} else {
				_ = retry.HandleLoan(to.pool, arrived)
			}
		}()
	}
	return nil
}

// call is a request that fails at all endpoints, and is sent again as often as it may be.
func (d *budgetDaemon) call(repeats int) {
	d.site.requests = append(d.site.requests, time.Now())
	d.share.Note(time.Now())
	for range repeats {
		part := d.site.settings.PerDaemon(len(d.site.daemons))
		if !d.share.Take(time.Now(), part) && !d.pool.Borrow(context.Background(), "desk", d.share, part) {
			d.site.denied++
			return
		}
		d.site.repeats = append(d.site.repeats, time.Now())
	}
}

// cutOff makes an island of some daemons.
func (s *budgetSite) cutOff(within func(*budgetDaemon) bool) {
	island := 1 + s.random.IntN(1000)
	for _, d := range s.daemons {
		if within(d) {
			d.island = island
		}
	}
}

// see makes all daemons take those of their islands for alive.
func (s *budgetSite) see() {
	for _, d := range s.daemons {
		d.sees = s.names(func(o *budgetDaemon) bool { return o.zone == d.zone && o.island == d.island })
		d.pool.Keep([]string{"desk"})
	}
}

// over returns the window in which more was repeated than the users allow, or "".
func (s *budgetSite) over() string {
	within := func(times []time.Time, from time.Time) int {
		count := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(budgetWindow)) {
				count++
			}
		}
		return count
	}
	for _, from := range s.repeats {
		repeats, requests := within(s.repeats, from), within(s.requests, from)
		if allowed := s.settings.Share*float64(requests) + s.settings.Slack; float64(repeats) > allowed {
			return fmt.Sprintf("%d repeats of %d requests, allowed %.1f", repeats, requests, allowed)
		}
	}
	return ""
}

// TestDaemonsTogetherKeepToTheBudget plays failures at a few or all daemons of a site
// while daemons start again, keepers are lost, and zones or single daemons are cut off and
// taken for dead: in no window are more requests repeated than the users allow.
func TestDaemonsTogetherKeepToTheBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		settings := relay.RetryBudget{Share: 0.2, Slack: rapid.Float64Range(5, 60).Draw(rt, "slack"), Window: budgetWindow}
		daemons := rapid.IntRange(1, 30).Draw(rt, "daemons")
		seed := rapid.Uint64().Draw(rt, "seed")
		actions := rapid.SliceOfN(rapid.SampledFrom([]string{"calls", "calls", "calls", "one", "wait", "restart", "zone", "host", "half", "see", "heal", "all"}), 5, 60).Draw(rt, "actions")
		var over string
		virtual.Run(t, func(*testing.T) {
			s := newBudgetSite(settings, daemons, seed)
			for _, action := range actions {
				s.do(action)
			}
			time.Sleep(time.Second)
			over = s.over()
		})
		require.Empty(rt, over)
	})
}

func (s *budgetSite) do(action string) {
	d := s.daemons[s.random.IntN(len(s.daemons))]
	switch action {
	case "calls":
		for range s.random.IntN(40) {
			s.daemons[s.random.IntN(len(s.daemons))].call(3)
			time.Sleep(time.Duration(s.random.IntN(50)) * time.Millisecond)
		}
	case "one":
		for range s.random.IntN(60) {
			d.call(3)
		}
	case "wait":
		time.Sleep(time.Duration(s.random.IntN(4000)) * time.Millisecond)
	case "restart":
		d.start()
	case "all":
		// Power is lost everywhere for a moment.
		for _, d := range s.daemons {
			d.start()
		}
	case "zone":
		s.cutOff(func(o *budgetDaemon) bool { return o.zone == d.zone })
	case "host":
		s.cutOff(func(o *budgetDaemon) bool { return o == d })
	case "half":
		s.cutOff(func(*budgetDaemon) bool { return s.random.IntN(2) == 0 })
	case "see":
		s.see()
	case "heal":
		for _, o := range s.daemons {
			o.island = 0
		}
		s.see()
	}
}

// TestBudgetIsWhereItIsNeeded replays a site of hundreds of daemons of which a few lose
// answers: their requests may be repeated though a part for each daemon would be nothing.
func TestBudgetIsWhereItIsNeeded(t *testing.T) {
	for _, daemons := range []int{7, 66, 295, 1000} {
		virtual.Run(t, func(t *testing.T) {
			s := newBudgetSite(relay.RetryBudget{Share: 0.2, Slack: 172, Window: budgetWindow}, daemons, 1)
			for i := range 50 {
				s.daemons[i%5].call(1)
				time.Sleep(40 * time.Millisecond)
			}
			require.LessOrEqual(t, s.denied, 3, "%d daemons", daemons)
		})
	}
}
