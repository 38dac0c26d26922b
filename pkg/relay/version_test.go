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
