package relay_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/relay"
)

// TestRunThatSurvivedItsPartsIsNotBlamedForACrash ends runs at different times after their
// first event.
func TestRunThatSurvivedItsPartsIsNotBlamedForACrash(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		events []time.Duration
		blamed int
	}{
		{nil, 1},
		{[]time.Duration{0}, 1},
		{[]time.Duration{0, 200 * time.Millisecond}, 1},
		{[]time.Duration{0, 300 * time.Millisecond}, 0},
	} {
		blamed := 0
		r := relay.New(relay.Config{
			Poison: poison.NewRegister(), Parts: poison.NewPartRegister(), BroadcastCrashRecord: func(poison.CrashRecord) {},
			BroadcastPartRecord: func(record poison.PartRecord) { blamed += len(record.Crashes) },
			Now:                 func() time.Time { return start }, Log: logr.Discard(),
		})
		var events []time.Time
		for _, delay := range c.events {
			events = append(events, start.Add(delay))
		}
		call := &relay.Call{ID: "a", Parts: []poison.Part{poison.NewPart("part")}}
		r.CrashAfterEvents(call, directory.Endpoint{Name: "decode-1", Service: "assistant"}, events...)
		require.Equal(t, c.blamed, blamed, "events at %v", c.events)
	}
}
