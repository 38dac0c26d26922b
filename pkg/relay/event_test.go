package relay_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/relay"
)

func TestEventsAreReadWhole(t *testing.T) {
	stream := "id: 1\ndata: a\n\nturmerictide: 3\nid:2\ndata: b\ndata: c\n\r\n: comment\n\n"
	texts, ids, err := relay.ReadEvents(strings.NewReader(stream))
	require.NoError(t, err)
	require.Equal(t, stream, strings.Join(texts, ""))
	require.Len(t, texts, 3)
	require.Equal(t, []int64{1, 2}, ids)
}

func TestStreamThatEndsWithinAnEventIsNotComplete(t *testing.T) {
	texts, _, err := relay.ReadEvents(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b"))
	require.Error(t, err)
	require.Equal(t, []string{"id: 1\ndata: a\n\n"}, texts)
}

func TestEventWithoutEndIsBounded(t *testing.T) {
	_, _, err := relay.ReadEvents(strings.NewReader("data: " + strings.Repeat("x", 2<<20)))
	require.Error(t, err)
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("id: 1\r\n\r\nid:")
	f.Fuzz(func(t *testing.T, stream string) {
		texts, _, err := relay.ReadEvents(strings.NewReader(stream))
		joined := strings.Join(texts, "")
		require.True(t, strings.HasPrefix(stream, joined))
		if err == nil {
			require.Empty(t, strings.TrimSpace(stream[len(joined):]), "a complete stream must not end within an event")
		}
	})
}
