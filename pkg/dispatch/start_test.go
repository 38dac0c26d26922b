package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/internal/virtual"
	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// largeState returns a state with one shard for each of the given number of services.
func largeState(services int) *ticket.State {
	state := &ticket.State{Services: map[string]ticket.Service{}, Pools: map[string]ticket.Pool{}}
	small := siteState("decode-0", "decode-1")
	for i := range services {
		for _, service := range small.Services {
			service.Name = fmt.Sprint("model-", i)
			state.Services[service.Name] = service
			for key, pool := range small.Pools {
				pool.Service = service.Name
				state.Pools[fmt.Sprint(key, "-", i)] = pool
			}
		}
	}
	return state
}

// TestLargeSiteStartLimitsHoldQueries guards against too many queries when the hosts of a
// large site start together. In the view of each host, at first only the host itself is
// live. The others are added one by one. The host must not query all hosts of its view at
// every step.
func TestLargeSiteStartLimitsHoldQueries(t *testing.T) {
	const hosts, services = 100, 30
	virtual.Run(t, func(t *testing.T) {
		var mu sync.Mutex
		known := []string{"host-0"}
		var queries atomic.Int64
		hostsKnown := func() []string {
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(known)
		}
		d := dispatch.NewDispatcher(dispatch.DispatcherConfig{
			EligibleOwners: allHostsEligible, StartedTogether: alwaysStartedTogether, Host: "host-0", AvailabilityZone: "a", Now: time.Now, Log: logr.Discard(),
			Publish:          func(string, ...*message.Message) error { queries.Add(1); return nil },
			Hosts:            func(string) []string { return hostsKnown() },
			Fronts:           hostsKnown,
			FrontIncarnation: func(uint32, string, time.Time) dispatch.IncarnationState { return dispatch.IncarnationUnknown },
			ZoneOf:           func(string) string { return "a" }, BroadcastPressure: func(dispatch.ShardID, dispatch.Pressure) {},
			CancelHold: func(dispatch.Hold, dispatch.FencingNumber, func()) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = d.Serve(ctx) }()
		state := largeState(services)
		d.Refresh(state)
		for i := 1; i < hosts; i++ {
			mu.Lock()
			known = append(known, fmt.Sprint("host-", i))
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			d.Refresh(state)
		}
		early := int(queries.Load())
		time.Sleep(5 * time.Second)
		owned := 0
		for _, summary := range d.Summaries() {
			if summary.Owned {
				owned++
			}
		}
		cancel()
		<-d.Done()
		require.LessOrEqual(t, early, 512, "too many queries before all hosts are known")
		require.Positive(t, owned, "no shard is taken over after the time for peer discovery")
		require.Less(t, owned, services/4)
		require.LessOrEqual(t, int(queries.Load())-early, owned*hosts)
	})
}

// TestRestartedOwnerQueriesAllFrontsImmediately restarts one host of a large site. The list of
// hosts that it receives is complete, and it needs the holds of all fronts before it
// grants.
func TestRestartedOwnerQueriesAllFrontsImmediately(t *testing.T) {
	const hosts = 60
	virtual.Run(t, func(t *testing.T) {
		queried := map[string]bool{}
		var known []string
		for i := range hosts {
			known = append(known, fmt.Sprint("host-", i))
		}
		state := siteState("decode-0", "decode-1")
		for _, host := range known {
			d := dispatch.NewDispatcher(dispatch.DispatcherConfig{
				EligibleOwners: allHostsEligible, StartedTogether: func() bool { return false }, Host: host, AvailabilityZone: "a", Now: time.Now, Log: logr.Discard(),
				Publish: func(_ string, messages ...*message.Message) error {
					for _, m := range messages {
						queried[link.Host(m)] = true
					}
					return nil
				},
				Hosts: func(string) []string { return known }, Fronts: func() []string { return known },
				FrontIncarnation: func(uint32, string, time.Time) dispatch.IncarnationState { return dispatch.IncarnationUnknown },
				ZoneOf:           func(string) string { return "a" }, BroadcastPressure: func(dispatch.ShardID, dispatch.Pressure) {},
				CancelHold: func(dispatch.Hold, dispatch.FencingNumber, func()) {},
			})
			d.Refresh(state)
		}
		require.Len(t, queried, hosts)
	})
}

// TestStartOfLargeSiteWithFewShardsLimitsHoldQueries is TestLargeSiteStartLimitsHoldQueries for
// a large site with few engines instead of many services.
func TestStartOfLargeSiteWithFewShardsLimitsHoldQueries(t *testing.T) {
	const hosts = 300
	virtual.Run(t, func(t *testing.T) {
		known := []string{"host-0"}
		queries := 0
		d := dispatch.NewDispatcher(dispatch.DispatcherConfig{
			EligibleOwners: allHostsEligible, StartedTogether: alwaysStartedTogether, Host: "host-0", AvailabilityZone: "a", Now: time.Now, Log: logr.Discard(),
			Publish: func(string, ...*message.Message) error { queries++; return nil },
			Hosts:   func(string) []string { return known }, Fronts: func() []string { return known },
			FrontIncarnation: func(uint32, string, time.Time) dispatch.IncarnationState { return dispatch.IncarnationUnknown },
			ZoneOf:           func(string) string { return "a" }, BroadcastPressure: func(dispatch.ShardID, dispatch.Pressure) {},
			CancelHold: func(dispatch.Hold, dispatch.FencingNumber, func()) {},
		})
		state := largeState(2)
		d.Refresh(state)
		for i := 1; i < hosts; i++ {
			known = append(known, fmt.Sprint("host-", i))
			time.Sleep(5 * time.Millisecond)
			d.Refresh(state)
		}
		require.LessOrEqual(t, queries, 100)
	})
}
