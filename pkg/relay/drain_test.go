package relay_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/relay"
)

// TestDrainingHostAcceptsCallsThatFit asks for calls that may last for 2 s, with different times
// left until calls in flight are cut.
func TestDrainingHostAcceptsCallsThatFit(t *testing.T) {
	const mayLast = 2 * time.Second
	start := time.Unix(1_800_000_000, 0)
	calls := func(count int, took time.Duration) []time.Duration {
		return slices.Repeat([]time.Duration{took}, count)
	}
	for name, c := range map[string]struct {
		calls    []time.Duration
		service  string
		left     time.Duration
		isStream bool
		// early is the time for which streams are early.
		early    time.Duration
		accepted bool
	}{
		"the deadline is earlier":              {left: mayLast, accepted: true},
		"no call is known":                     {left: mayLast - time.Millisecond},
		"no stream is known":                   {left: mayLast - time.Millisecond, isStream: true},
		"calls are shorter":                    {calls: calls(1, 400*time.Millisecond), left: 500 * time.Millisecond, accepted: true},
		"calls are hardly shorter":             {calls: calls(1, 400*time.Millisecond), left: 499 * time.Millisecond},
		"one of many calls was long":           {calls: append(calls(1, time.Minute), calls(200, 400*time.Millisecond)...), left: time.Second, accepted: true},
		"a few of many calls were long":        {calls: append(calls(6, time.Minute), calls(194, 400*time.Millisecond)...), left: time.Second},
		"a few streams were long, early":       {calls: append(calls(6, time.Minute), calls(194, 400*time.Millisecond)...), left: time.Second, isStream: true, early: time.Millisecond, accepted: true},
		"a few streams were long, late":        {calls: append(calls(6, time.Minute), calls(194, 400*time.Millisecond)...), left: time.Second, isStream: true},
		"a few calls were long, early":         {calls: append(calls(6, time.Minute), calls(194, 400*time.Millisecond)...), left: time.Second, early: time.Millisecond},
		"most streams were long, early":        {calls: append(calls(6, 100*time.Millisecond), calls(10, time.Second)...), left: time.Second, isStream: true, early: time.Millisecond},
		"calls were long some time ago":        {calls: append(calls(1000, time.Minute), calls(256, 400*time.Millisecond)...), left: time.Second, accepted: true},
		"calls of another service are shorter": {calls: calls(50, 100*time.Millisecond), service: "other", left: time.Second},
		"all known streams were short, late":   {calls: calls(50, 100*time.Millisecond), left: mayLast - time.Millisecond, isStream: true},
		"all known streams were short, early":  {calls: calls(50, 100*time.Millisecond), left: mayLast - time.Millisecond, isStream: true, early: time.Millisecond, accepted: true},
		"the deadline of a late stream fits":   {left: mayLast, isStream: true, accepted: true},
	} {
		d := relay.NewDrainer()
		for _, took := range c.calls {
			d.Record("desk", took)
		}
		service := "desk"
		if c.service != "" {
			service = c.service
		}
		require.True(t, d.Accepts(start, service, start.Add(time.Hour), c.isStream), "%s: the host does not drain", name)
		d.Begin(start.Add(c.early), start.Add(c.left))
		require.Equal(t, c.accepted, d.Accepts(start, service, start.Add(mayLast), c.isStream), name)
	}
}

// TestDrainingHostAcceptsEarlyStreamsOfUnknownLength asks for a stream that may last for a minute.
func TestDrainingHostAcceptsEarlyStreamsOfUnknownLength(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for _, left := range []time.Duration{4999 * time.Millisecond, 5 * time.Second} {
		d := relay.NewDrainer()
		d.Begin(start.Add(time.Millisecond), start.Add(left))
		require.Equal(t, left >= 5*time.Second, d.Accepts(start, "assistant", start.Add(time.Minute), true))
		require.False(t, d.Accepts(start, "assistant", start.Add(time.Minute), false))
		require.False(t, d.Accepts(start.Add(time.Millisecond), "assistant", start.Add(time.Minute), true), "the stream is late")
	}
}
