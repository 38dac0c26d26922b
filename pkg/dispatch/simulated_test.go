package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// The requests of the simulated site: 2,000 tokens in, 1,000 out in a second.
const (
	simPrompt = 2000
	simOutput = 1000
	simMemory = 300 * 64
)

// simulated is a site of hosts in virtual time. Each has a front and a dispatcher,
// its own view of who lives, and an inbox that keeps the order of messages.
type simulated struct {
	mu       sync.Mutex
	state    *ticket.State
	machines map[string]*machine
	cut      map[[2]string]bool
	lose     int
	running  map[string]map[*stream]bool
	faults   []string
	tags     uint32
	random   *rand.Rand
	work     sync.WaitGroup
}

// machine is one host in its present life.
type machine struct {
	name       string
	site       *simulated
	tag        uint32
	client     *dispatch.Client
	dispatcher *dispatch.Dispatcher
	inbox      chan delivery
	stop       context.CancelFunc
	ctx        context.Context
	frozen     bool
	// known are the hosts that it believes alive, with their tags and their lives.
	known map[string]uint32
	lives map[string]time.Time
}

type delivery struct {
	at    time.Time
	topic string
	m     *message.Message
}

// stream is a request that an engine runs.
type stream struct {
	started time.Time
}

func newSimulated(seed uint64) *simulated {
	s := &simulated{
		state: siteState("decode-0", "decode-1"), machines: map[string]*machine{}, cut: map[[2]string]bool{},
		running: map[string]map[*stream]bool{"decode-0": {}, "decode-1": {}}, random: rand.New(rand.NewPCG(seed, 1)), tags: 100,
	}
	for key, pool := range s.state.Pools {
		for i := range pool.Endpoints {
			pool.Endpoints[i].Pieces = simMemory / 64
		}
		s.state.Pools[key] = pool
	}
	for _, name := range []string{"one", "two", "three"} {
		s.start(name)
	}
	for name := range s.machines {
		s.spread(name, 0, 0)
	}
	return s
}

func (s *simulated) fault(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, values...))
}

// start begins a life of a host that knows the hosts alive now.
func (s *simulated) start(name string) {
	s.mu.Lock()
	s.tags++
	m := &machine{name: name, site: s, tag: s.tags, inbox: make(chan delivery, 10_000), known: map[string]uint32{}, lives: map[string]time.Time{}}
	m.ctx, m.stop = context.WithCancel(context.Background())
	s.machines[name] = m
	for other, o := range s.machines {
		m.known[other], m.lives[other] = o.tag, time.Now()
	}
	s.mu.Unlock()
	m.client = dispatch.NewClient(dispatch.ClientConfig{
		EligibleOwners: allHostsEligible, Host: name, AvailabilityZone: "a", FrontTag: m.tag, Publish: m.publish, Now: time.Now, Log: logr.Discard(),
		Hosts: m.hosts, IncarnationSince: m.lifeSince,
	})
	m.dispatcher = dispatch.NewDispatcher(dispatch.DispatcherConfig{
		EligibleOwners: allHostsEligible, StartedTogether: alwaysStartedTogether, Host: name, AvailabilityZone: "a", Publish: m.publish, Now: time.Now, Log: logr.Discard(), Hosts: m.hosts,
		Fronts: func() []string { return m.hosts("") }, FrontIncarnation: m.frontLife, ZoneOf: func(string) string { return "a" },
		CancelHold:        func(_ dispatch.Hold, _ dispatch.FencingNumber, confirmed func()) { go confirmed() },
		BroadcastPressure: func(dispatch.ShardID, dispatch.Pressure) {},
	})
	s.work.Go(func() { _ = m.client.Serve(m.ctx) })
	s.work.Go(func() { _ = m.dispatcher.Serve(m.ctx) })
	s.work.Go(m.deliver)
	m.client.Refresh(s.state)
	m.dispatcher.Refresh(s.state)
}

// spread makes all hosts know the present life of a host, or that the life with a
// tag has ended, each after a time of its own.
func (s *simulated) spread(name string, ended uint32, most time.Duration) {
	s.mu.Lock()
	present := uint32(0)
	if m, ok := s.machines[name]; ok {
		present = m.tag
	}
	var others []*machine
	for _, m := range s.machines {
		others = append(others, m)
	}
	slices.SortFunc(others, func(a, b *machine) int { return int(a.tag) - int(b.tag) })
	lags := make([]time.Duration, len(others))
	for i := range lags {
		lags[i] = time.Duration(s.random.Float64() * float64(most))
	}
	s.mu.Unlock()
	for i, m := range others {
		s.work.Go(func() {
			select {
			case <-m.ctx.Done():
				return
			case <-time.After(lags[i]):
			}
			s.mu.Lock()
			switch {
			case ended != 0 && m.known[name] == ended:
				delete(m.known, name)
			case ended == 0 && m.known[name] < present:
				m.known[name], m.lives[name] = present, time.Now()
			}
			s.mu.Unlock()
			m.dispatcher.Refresh(s.state)
		})
	}
}

func (m *machine) hosts(string) []string {
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	var result []string
	for host := range m.known {
		result = append(result, host)
	}
	slices.Sort(result)
	return result
}

func (m *machine) lifeSince(host string) time.Time {
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	return m.lives[host]
}

func (m *machine) frontLife(tag uint32, host string, heard time.Time) dispatch.IncarnationState {
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	for _, known := range m.known {
		if known == tag {
			return dispatch.IncarnationAlive
		}
	}
	if host != "" && m.lives[host].After(heard) {
		return dispatch.IncarnationEnded
	}
	return dispatch.IncarnationUnknown
}

func (m *machine) publish(topic string, messages ...*message.Message) error {
	s := m.site
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sent := range messages {
		to := link.Host(sent)
		target, ok := s.machines[to]
		if !ok || m.ctx.Err() != nil || s.cut[[2]string{m.name, to}] {
			continue
		}
		if s.lose > 0 && m.name != to {
			s.lose--
			continue
		}
		target.inbox <- delivery{at: time.Now().Add(time.Millisecond), topic: topic, m: link.NewMessage(m.name, sent.Payload, trace.SpanContext{})}
	}
	return nil
}

func (m *machine) deliver() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case d := <-m.inbox:
			time.Sleep(time.Until(d.at))
			for m.isFrozen() {
				time.Sleep(10 * time.Millisecond)
			}
			if d.topic == dispatch.TopicToOwner {
				_ = dispatch.HandleDispatcherMessage(m.dispatcher, d.m)
			} else {
				_ = dispatch.HandleClientMessage(m.client, d.m)
			}
		}
	}
}

func (m *machine) isFrozen() bool {
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	return m.frozen && m.ctx.Err() == nil
}

// offer has a front serve one request, and calls granted with what it got.
func (m *machine) offer(granted func(*dispatch.Reservation)) {
	m.site.work.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, 800*time.Millisecond)
		defer cancel()
		r := longRequest(m.client.NewRequestID(), time.Now())
		r.Front, r.Caller, r.PromptTokens, r.OutputTokens, r.ExpectedTokens = m.name, m.name, simPrompt, 2*simOutput, simOutput
		reservation, err := m.client.Acquire(ctx, "model", r)
		var refused *dispatch.RejectedError
		switch {
		case errors.As(err, &refused):
			if refused.Rejection.RetryAfter <= 0 {
				m.site.fault("%s was refused without a time to come back", m.name)
			}
			return
		case err != nil:
			return
		}
		granted(reservation)
		m.run(reservation)
	})
}

func (m *machine) run(reservation *dispatch.Reservation) {
	running := m.site.running[reservation.Decode.Name]
	work := &stream{}
	defer func() {
		m.site.mu.Lock()
		defer m.site.mu.Unlock()
		delete(running, work)
	}()
	steps := []struct {
		last time.Duration
		then func()
	}{
		{simPrompt * time.Second / 50_000, reservation.Prefilled},
		{20 * time.Millisecond, func() {
			m.site.mu.Lock()
			work.started = time.Now()
			running[work] = true
			m.site.mu.Unlock()
			reservation.Started()
		}},
		{simOutput * time.Millisecond, func() { reservation.Done(dispatch.Outcome{OutputTokens: simOutput}) }},
	}
	for _, step := range steps {
		select {
		case <-m.ctx.Done():
			return
		case <-time.After(step.last):
			step.then()
		}
	}
}

// memory returns the tokens that the fullest engine has to hold.
func (s *simulated) memory() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, running := range s.running {
		tokens := 0
		for work := range running {
			tokens += simPrompt + int(time.Since(work.started)/time.Millisecond)
		}
		most = max(most, tokens)
	}
	return most
}

// held returns what each dispatcher counts.
func (s *simulated) held() map[string]int {
	result := map[string]int{}
	for name, m := range s.machines {
		for _, summary := range m.dispatcher.Summaries() {
			result[name] += summary.Load.Held
		}
	}
	return result
}
