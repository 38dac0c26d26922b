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

// budgetSite is a set of daemons in three zones that share a retry budget. Each daemon has its
// own view of which daemons are alive, and so of which one keeps the pool of its zone.
type budgetSite struct {
	settings relay.RetryBudget
	random   *rand.Rand
	daemons  []*budgetDaemon
	requests []time.Time
	retries  []time.Time
	denied   int
}

type budgetDaemon struct {
	site   *budgetSite
	name   string
	zone   int
	budget *retry.LocalBudget
	pool   *retry.Pool
	// alive are the daemons of its zone that it considers alive. The first one keeps the pool.
	// Daemons in different partitions do not reach each other.
	alive     []string
	partition int
}

func newBudgetSite(settings relay.RetryBudget, count int, seed uint64) *budgetSite {
	s := &budgetSite{settings: settings, random: rand.New(rand.NewPCG(seed, 3))}
	for i := range count {
		s.daemons = append(s.daemons, &budgetDaemon{site: s, name: fmt.Sprint("edge-", i), zone: i % 3})
	}
	for _, d := range s.daemons {
		d.alive = s.names(func(o *budgetDaemon) bool { return o.zone == d.zone })
		d.start()
	}
	time.Sleep(budgetWindow)
	return s
}

func (s *budgetSite) names(matches func(*budgetDaemon) bool) []string {
	var names []string
	for _, d := range s.daemons {
		if matches(d) {
			names = append(names, d.name)
		}
	}
	return names
}

// start starts or restarts a daemon.
func (d *budgetDaemon) start() {
	now := time.Now()
	d.budget = retry.NewLocalBudget(now, budgetWindow)
	d.pool = retry.NewPool(retry.PoolConfig{
		Host: d.name, Publish: d.publish, Keeper: func(string) string { return d.alive[0] },
		Size:   func() float64 { return d.site.settings.PoolTokens(len(d.alive), len(d.site.daemons)) },
		Window: budgetWindow, Now: time.Now, Log: logr.Discard(),
	})
	d.pool.UpdateServices([]string{"desk"})
}

func (d *budgetDaemon) publish(topic string, messages ...*message.Message) error {
	for _, m := range messages {
		peer := d.site.daemons[slices.IndexFunc(d.site.daemons, func(o *budgetDaemon) bool { return o.name == link.Host(m) })]
		if peer.partition != d.partition {
			continue
		}
		received := link.NewMessage(d.name, m.Payload, trace.SpanContext{})
		go func() {
			time.Sleep(time.Millisecond)
			if topic == retry.TopicAcquire {
				_ = retry.HandleAcquire(peer.pool, received)
			} else {
				_ = retry.HandleGrant(peer.pool, received)
			}
		}()
	}
	return nil
}

// call makes a request that fails at all endpoints and is retried up to retries times, while
// the budget allows it.
func (d *budgetDaemon) call(retries int) {
	d.site.requests = append(d.site.requests, time.Now())
	d.budget.RecordRequest(time.Now())
	for range retries {
		allowance := d.site.settings.PerDaemon(len(d.site.daemons))
		if !d.budget.Acquire(time.Now(), allowance) && !d.pool.Acquire(context.Background(), "desk", d.budget, allowance) {
			d.site.denied++
			return
		}
		d.site.retries = append(d.site.retries, time.Now())
	}
}

// isolate moves the matching daemons to a network partition of their own.
func (s *budgetSite) isolate(matches func(*budgetDaemon) bool) {
	partition := 1 + s.random.IntN(1000)
	for _, d := range s.daemons {
		if matches(d) {
			d.partition = partition
		}
	}
}

// updateViews makes all daemons consider those in their own partition alive.
func (s *budgetSite) updateViews() {
	for _, d := range s.daemons {
		d.alive = s.names(func(o *budgetDaemon) bool { return o.zone == d.zone && o.partition == d.partition })
		d.pool.UpdateServices([]string{"desk"})
	}
}

// findExcess describes a window with more retries than the settings allow, or returns "".
func (s *budgetSite) findExcess() string {
	countFrom := func(times []time.Time, from time.Time) int {
		count := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(budgetWindow)) {
				count++
			}
		}
		return count
	}
	for _, from := range s.retries {
		retries, requests := countFrom(s.retries, from), countFrom(s.requests, from)
		if allowed := s.settings.Share*float64(requests) + s.settings.Slack; float64(retries) > allowed {
			return fmt.Sprintf("%d retries of %d requests, allowed %.1f", retries, requests, allowed)
		}
	}
	return ""
}

// TestDaemonsDoNotExceedSharedRetryBudget simulates failures at a few or all daemons of a site
// while daemons restart, keepers are lost, and zones or single daemons are cut off and
// considered dead. In no window may the daemons together make more retries than the settings
// allow.
func TestDaemonsDoNotExceedSharedRetryBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		settings := relay.RetryBudget{Share: 0.2, Slack: rapid.Float64Range(5, 60).Draw(rt, "slack"), Window: budgetWindow}
		daemons := rapid.IntRange(1, 30).Draw(rt, "daemons")
		seed := rapid.Uint64().Draw(rt, "seed")
		actions := rapid.SliceOfN(rapid.SampledFrom([]string{"calls", "calls", "calls", "one", "wait", "restart", "zone", "host", "half", "see", "heal", "all"}), 5, 60).Draw(rt, "actions")
		var excess string
		virtual.Run(t, func(*testing.T) {
			s := newBudgetSite(settings, daemons, seed)
			for _, action := range actions {
				s.apply(action)
			}
			time.Sleep(time.Second)
			excess = s.findExcess()
		})
		require.Empty(rt, excess)
	})
}

func (s *budgetSite) apply(action string) {
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
		// All daemons lose power for a moment.
		for _, d := range s.daemons {
			d.start()
		}
	case "zone":
		s.isolate(func(o *budgetDaemon) bool { return o.zone == d.zone })
	case "host":
		s.isolate(func(o *budgetDaemon) bool { return o == d })
	case "half":
		s.isolate(func(*budgetDaemon) bool { return s.random.IntN(2) == 0 })
	case "see":
		s.updateViews()
	case "heal":
		for _, o := range s.daemons {
			o.partition = 0
		}
		s.updateViews()
	}
}

// TestPoolGrantsRetriesToFailingDaemons replays a site of up to a thousand daemons where a few
// lose responses. These daemons must be able to retry although an equal part of the budget for
// each daemon would be too small.
func TestPoolGrantsRetriesToFailingDaemons(t *testing.T) {
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
