package ratelimit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"

	"github.com/turmerictide/turmerictide/internal/seed"
	"github.com/turmerictide/turmerictide/internal/virtual"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/ratelimit"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m))
}

const (
	limitWindow = 4 * time.Second
	// detectionTime is the time after which hosts know who is in their partition.
	detectionTime = 5 * time.Second
)

// gateSite consists of hosts that send requests to one limited endpoint.
type gateSite struct {
	rate   float64
	random *rand.Rand
	hosts  []*gateHost

	mu sync.Mutex
	// sent are the times of the requests to the endpoint.
	sent []time.Time
}

type gateHost struct {
	site   *gateSite
	name   string
	limits *ratelimit.Register
	gate   *ratelimit.Gate
	// alive are the hosts that it considers alive. Hosts in different partitions do not reach
	// each other.
	alive     []*gateHost
	partition int
	// lostShare is the fraction of the host's messages that are lost.
	lostShare float64
}

func newGateSite(rate float64, count int, seed uint64) *gateSite {
	s := &gateSite{rate: rate, random: rand.New(rand.NewPCG(seed, 5))}
	for i := range count {
		s.hosts = append(s.hosts, &gateHost{site: s, name: fmt.Sprintf("edge-%03d", i)})
	}
	for _, h := range s.hosts {
		h.alive = s.hosts
		h.start()
	}
	return s
}

// start starts or restarts a host that knows the limit.
func (h *gateHost) start() {
	h.limits = ratelimit.NewRegister()
	h.limits.Apply(ratelimit.Limit{Endpoint: "desk-1", Born: born, Rate: h.site.rate, HeardAt: time.Now()})
	h.gate = ratelimit.NewGate(ratelimit.GateConfig{
		Host: h.name, Limits: h.limits, Publish: h.publish, Keeper: func(string) string { return h.alive[0].name },
		Share:  func() float64 { return float64(len(h.alive)) / float64(len(h.site.hosts)) },
		Hosts:  func() int { return len(h.site.hosts) },
		Random: h.site.draw, Now: time.Now, Log: logr.Discard(),
	})
}

func (s *gateSite) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

func (h *gateHost) publish(topic string, messages ...*message.Message) error {
	for _, m := range messages {
		peer := h.site.hosts[slices.IndexFunc(h.site.hosts, func(o *gateHost) bool { return o.name == link.Host(m) })]
		if peer.partition != h.partition || h.site.draw() < h.lostShare {
			continue
		}
		received := link.NewMessage(h.name, m.Payload, trace.SpanContext{})
		go func() {
			time.Sleep(2 * time.Millisecond)
			_ = peer.gate.Handle(topic, received)
		}()
	}
	return nil
}

// run sends requests from random hosts at a rate for a time.
func (s *gateSite) run(requestsPerSecond float64, length time.Duration) {
	s.runFrom(s.hosts, requestsPerSecond, length)
}

func (s *gateSite) runFrom(hosts []*gateHost, requestsPerSecond float64, length time.Duration) {
	var work sync.WaitGroup
	for range int(requestsPerSecond * length.Seconds()) {
		host := hosts[int(s.draw()*float64(len(hosts)))]
		work.Go(func() {
			if host.gate.Acquire(context.Background(), "desk-1", born, true) {
				s.mu.Lock()
				s.sent = append(s.sent, time.Now())
				s.mu.Unlock()
			}
		})
		time.Sleep(time.Duration(float64(time.Second) / requestsPerSecond))
	}
	work.Wait()
}

// cut moves a third of the hosts, the keeper among them, to a partition of their own.
func (s *gateSite) cut() {
	for i, h := range s.hosts {
		if i%3 == 0 {
			h.partition = 1
		}
	}
}

func (s *gateSite) updateViews() {
	for _, h := range s.hosts {
		h.alive = nil
		for _, other := range s.hosts {
			if other.partition == h.partition {
				h.alive = append(h.alive, other)
			}
		}
	}
}

func (s *gateSite) heal() {
	for _, h := range s.hosts {
		h.partition = 0
	}
}

// requireWithinLimit requires that no window has more requests than one and a half times the
// limit and 5, and that the endpoint got a part of its limit over the whole time.
func (s *gateSite) requireWithinLimit(t *testing.T, length time.Duration, usedShare float64) {
	t.Helper()
	slices.SortFunc(s.sent, time.Time.Compare)
	allowed := int(1.5*s.rate*limitWindow.Seconds() + 5)
	for i, first := range s.sent {
		count := 0
		for _, at := range s.sent[i:] {
			if at.Sub(first) >= limitWindow {
				break
			}
			count++
		}
		require.LessOrEqual(t, count, allowed, "requests in 4 s from %v", first)
	}
	require.GreaterOrEqual(t, float64(len(s.sent)), usedShare*s.rate*length.Seconds(), "the limit is not used")
}

// TestAllHostsTogetherKeepALimit sends more requests than an endpoint accepts, from few and
// from many hosts.
func TestAllHostsTogetherKeepALimit(t *testing.T) {
	const calm, failing = 20 * time.Second, 4 * time.Second
	for name, disturb := range map[string]func(s *gateSite){
		"calm":          func(*gateSite) {},
		"after a pause": func(*gateSite) { time.Sleep(time.Minute) },
		"keeper killed": func(s *gateSite) { s.hosts[0].start() },
		"keeper killed often": func(s *gateSite) {
			for range 30 {
				s.hosts[0].start()
				s.run(200, 200*time.Millisecond)
			}
		},
		"all killed": func(s *gateSite) {
			for _, h := range s.hosts {
				h.start()
			}
		},
		"messages lost": func(s *gateSite) {
			for _, h := range s.hosts {
				h.lostShare = 0.3
			}
		},
		"keeper cut off": func(s *gateSite) {
			s.cut()
			s.run(100, detectionTime)
			s.updateViews()
		},
		"zone healed": func(s *gateSite) {
			s.cut()
			s.updateViews()
			s.run(100, failing)
			s.heal()
			s.run(100, failing)
			s.updateViews()
		},
	} {
		for _, count := range []int{7, 300} {
			for _, rate := range []float64{0.5, 7.4, 60} {
				t.Run(fmt.Sprint(name, " ", count, " ", rate), func(t *testing.T) {
					virtual.Run(t, func(t *testing.T) {
						s := newGateSite(rate, count, 1)
						s.run(200, calm)
						disturb(s)
						s.run(200, calm)
						s.requireWithinLimit(t, 2*calm, 0.5)
					})
				})
			}
		}
	}
}

// TestHostsWithoutAKeeperKeepALimit cuts all hosts off from the keeper, which sends nothing.
func TestHostsWithoutAKeeperKeepALimit(t *testing.T) {
	for _, count := range []int{2, 7, 300} {
		virtual.Run(t, func(t *testing.T) {
			s := newGateSite(7.4, count, 2)
			for i, h := range s.hosts {
				h.partition = i
			}
			s.runFrom(s.hosts[1:], 200, 30*time.Second)
			s.requireWithinLimit(t, 30*time.Second, 0.1)
			time.Sleep(10 * time.Minute)
			s.runFrom(s.hosts[1:], 200, 30*time.Second)
			s.requireWithinLimit(t, time.Minute, 0.1)
		})
	}
}

// TestKeeperGrantsByTheLimitThatItKnows gives one host a wrong limit.
func TestKeeperGrantsByTheLimitThatItKnows(t *testing.T) {
	virtual.Run(t, func(t *testing.T) {
		s := newGateSite(7.4, 7, 4)
		s.hosts[1].limits.Apply(ratelimit.Limit{Endpoint: "desk-1", Born: born, Rate: 1000, HeardAt: time.Now().Add(time.Millisecond)})
		s.run(200, 20*time.Second)
		s.requireWithinLimit(t, 20*time.Second, 0.5)
	})
}

// TestUrgentRequestsGetThePermits sends both kinds to an endpoint that accepts as many as are
// urgent.
func TestUrgentRequestsGetThePermits(t *testing.T) {
	virtual.Run(t, func(t *testing.T) {
		s := newGateSite(10, 7, 3)
		granted := map[bool]int{}
		for i := range 1200 {
			isUrgent := i%4 == 0
			if s.hosts[i%7].gate.Acquire(context.Background(), "desk-1", born, isUrgent) {
				granted[isUrgent]++
			}
			time.Sleep(25 * time.Millisecond)
		}
		require.Greater(t, granted[true], 4*granted[false])
	})
}

func TestUnlimitedEndpointNeedsNoPermit(t *testing.T) {
	limits := ratelimit.NewRegister()
	gate := ratelimit.NewGate(ratelimit.GateConfig{Limits: limits, Keeper: func(string) string { return "" }, Now: time.Now, Hosts: func() int { return 7 }, Random: func() float64 { return 0.99 }})
	require.True(t, gate.Acquire(context.Background(), "desk-1", born, true))
	limits.Apply(ratelimit.Limit{Endpoint: "desk-1", Born: born, Rate: 7.4, HeardAt: time.Now()})
	require.False(t, gate.Acquire(context.Background(), "desk-1", born, true))
	require.True(t, gate.Acquire(context.Background(), "desk-1", born.Add(time.Minute), true), "another incarnation")
}

// TestRetryAfterFollowsTheLimits rejects several requests at once.
func TestRetryAfterFollowsTheLimits(t *testing.T) {
	gate := ratelimit.NewGate(ratelimit.GateConfig{Limits: ratelimit.NewRegister(), Now: time.Now, Hosts: func() int { return 7 }})
	var delays []time.Duration
	for range 5 {
		delays = append(delays, gate.RetryAfter(epoch, "desk", 14))
	}
	require.Equal(t, []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 500 * time.Millisecond}, delays)
	require.Equal(t, 500*time.Millisecond, gate.RetryAfter(epoch.Add(time.Minute), "desk", 14))
	require.LessOrEqual(t, gate.RetryAfter(epoch, "other", 0), 2*time.Second)
}

// TestRefreshIsDueAfterATimeWithoutResponses lets one request of the hosts together reach the
// endpoint in the time of one permit.
func TestRefreshIsDueAfterATimeWithoutResponses(t *testing.T) {
	for _, c := range []struct {
		hosts int
		due   time.Duration
	}{{7, 2 * time.Second}, {300, 60 * time.Second}} {
		limits := ratelimit.NewRegister()
		limits.Apply(limitAt(5, 0))
		gate := ratelimit.NewGate(ratelimit.GateConfig{Limits: limits, Now: time.Now, Hosts: func() int { return c.hosts }})
		require.False(t, gate.NeedsRefresh(epoch.Add(c.due), "desk-1", born))
		require.True(t, gate.NeedsRefresh(epoch.Add(c.due+time.Millisecond), "desk-1", born))
	}
}
