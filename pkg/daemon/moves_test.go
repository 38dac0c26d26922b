package daemon_test

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/daemon"
	"github.com/turmerictide/turmerictide/pkg/store"
)

const ordersPrefix = "turmerictide/orders/"

func moveContent(t *testing.T, entries map[string]any) store.Content {
	t.Helper()
	content := store.Content{Entries: map[string]store.Entry{}, Revision: 5}
	for endpoint, value := range entries {
		encoded, err := cbor.Marshal(value)
		require.NoError(t, err)
		content.Entries[ordersPrefix+endpoint] = store.Entry{Key: ordersPrefix + endpoint, Value: encoded, Revision: 5}
	}
	return content
}

// TestOddMoveOfAnEngineDoesNotCloseIt covers entries of moves that no daemon has written.
func TestOddMoveOfAnEngineDoesNotCloseIt(t *testing.T) {
	var deep any
	for range 100 {
		deep = []any{deep}
	}
	for _, odd := range []any{
		nil, "x", 7,
		[]any{},
		map[string]string{"Host": "edge-1"},
		deep,
		[]any{"edge-1", "i-1"},
		[]any{"edge-1", "i-1", 3},
		[]any{math.Inf(1), "i-1", "decode"},
		[]any{"edge-1", "i-1", ""},
		[]any{"edge-1", "i-1", "plain"},
		[]any{"", "i-1", "decode"},
		[]any{"edge-1", "i-2", "decode"},
		[]any{"edge-1", "", "decode"},
	} {
		var moves daemon.MoveEntries
		content := moveContent(t, map[string]any{"i-1": odd, "i-sound": []any{"edge-1", "i-sound", "decode"}})
		require.Equal(t, []string{"i-sound"}, moves.Read(time.Unix(1_800_000_000, 0), content), "%v", odd)
	}
}

// TestMoveWithoutALeaseDoesNotCloseAnEngineForGood covers an entry that never expires, or that
// is kept during an outage of the store.
func TestMoveWithoutALeaseDoesNotCloseAnEngineForGood(t *testing.T) {
	const changeTimeout = 14 * time.Second
	var moves daemon.MoveEntries
	now := time.Unix(1_800_000_000, 0)
	content := moveContent(t, map[string]any{"i-1": []any{"edge-1", "i-1", "decode"}})
	require.Len(t, moves.Read(now, content), 1)
	require.Len(t, moves.Read(now.Add(changeTimeout), content), 1)
	require.Empty(t, moves.Read(now.Add(time.Minute), content))
	next := moveContent(t, map[string]any{"i-1": []any{"edge-1", "i-1", "decode"}})
	renewed := next.Entries[ordersPrefix+"i-1"]
	renewed.Revision++
	next.Entries[ordersPrefix+"i-1"] = renewed
	require.Len(t, moves.Read(now.Add(time.Minute), next), 1, "a later move applies")
}
