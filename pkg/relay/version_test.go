package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/relay"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

func versionedState(versions ...string) *directory.State {
	state := &directory.State{Endpoints: map[string]directory.Endpoint{
		"prefill": {Name: "prefill", Service: "model", Role: ticket.RolePrefill, Version: "v0"},
		"desk":    {Name: "desk", Service: "desk", Role: ticket.RolePlain, Version: "v0"},
	}}
	for _, version := range versions {
		state.Endpoints[version] = directory.Endpoint{Name: version, Service: "model", Role: ticket.RoleDecode, Version: version}
	}
	return state
}

// TestOnlyVersionIsKnownAfterAllOtherStreamsHaveEnded replaces the endpoints of a version.
func TestOnlyVersionIsKnownAfterAllOtherStreamsHaveEnded(t *testing.T) {
	const period = 28 * time.Second
	start := time.Unix(1_800_000_000, 0)
	history := relay.NewVersionHistory()
	requireOnly := func(second int, expected string) {
		t.Helper()
		version, ok := history.Only(start.Add(time.Duration(second)*time.Second), "model", period)
		require.Equal(t, expected != "", ok)
		if ok {
			require.Equal(t, expected, version)
		}
	}
	update := func(second int, versions ...string) {
		history.Update(start.Add(time.Duration(second)*time.Second), versionedState(versions...))
	}
	requireOnly(0, "")
	update(0, "v1")
	requireOnly(27, "")
	requireOnly(28, "v1")
	update(40, "v1", "v2")
	requireOnly(41, "")
	update(50, "v2")
	requireOnly(51, "")
	requireOnly(77, "")
	requireOnly(78, "v2")
	update(80)
	requireOnly(81, "v2")
	requireOnly(109, "")
	update(110, "v1")
	requireOnly(111, "v1")
	history.MarkStale(start.Add(115 * time.Second))
	requireOnly(116, "")
	requireOnly(143, "v1")
}

// TestOnlyVersionIsNotKnownAfterAPause guards against events of two versions that are joined at a host
// which stood still while servers of another version joined and left.
func TestOnlyVersionIsNotKnownAfterAPause(t *testing.T) {
	const period = 28 * time.Second
	start := time.Unix(1_800_000_000, 0)
	at := func(second float64) time.Time { return start.Add(time.Duration(second * float64(time.Second))) }
	history := relay.NewVersionHistory()
	requireOnly := func(second float64, expected bool) {
		t.Helper()
		_, ok := history.Only(at(second), "model", period)
		require.Equal(t, expected, ok, second)
	}
	history.Update(start, versionedState("v1"))
	for second := 0.0; second <= 40; second += 0.25 {
		history.Check(at(second), true)
	}
	requireOnly(40, true)
	requireOnly(41, true)
	requireOnly(41.1, false)
	history.Check(at(45), true)
	requireOnly(45, false)
	for second := 45.25; second <= 74; second += 0.25 {
		requireOnly(second, second >= 73)
		history.Check(at(second), true)
	}
	history.Check(at(74.25), false)
	requireOnly(74.5, false)
}
