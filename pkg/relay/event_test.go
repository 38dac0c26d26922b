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

// TestLineThatFillsTheReadBufferIsNoEnd has a line of each length around the size of the buffer,
// so that its line break comes alone.
func TestLineThatFillsTheReadBufferIsNoEnd(t *testing.T) {
	const bufferSize = 4096
	for length := bufferSize - 10; length < bufferSize+10; length++ {
		stream := strings.Repeat("x", length) + "\nid: 1\n\nid: 2\ndata: b\n\n"
		texts, ids, err := relay.ReadEvents(strings.NewReader(stream))
		require.NoError(t, err)
		require.Equal(t, []int64{1, 2}, ids)
		require.Equal(t, "id: 2\ndata: b\n\n", texts[1])
	}
}

func TestTextThatIsNoEventBreaksTheStream(t *testing.T) {
	for _, text := range []string{"event: error\ndata: failed\n\n", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "id: x\ndata: a\n\n", ": comment\ndata: a\n\n", "failed\n\n"} {
		texts, _, err := relay.ReadEvents(strings.NewReader("id: 1\ndata: a\n\n" + text + "id: 2\ndata: b\n\n"))
		require.Error(t, err, text)
		require.Equal(t, []string{"id: 1\ndata: a\n\n"}, texts)
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("id: 1\r\n\r\nid:")
	f.Fuzz(func(t *testing.T, stream string) {
		texts, _, err := relay.ReadEvents(strings.NewReader(stream))
		joined := strings.Join(texts, "")
		require.True(t, strings.HasPrefix(stream, joined))
		if err == nil {
			require.Equal(t, stream, joined, "nothing of a complete stream is left out")
		}
	})
}
