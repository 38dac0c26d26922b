package connection_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/connection"
)

func readBody(ctx context.Context, buffers *connection.Buffers, body io.Reader) ([]byte, error) {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", body)
	return buffers.Read(httptest.NewRecorder(), r, 1<<20)
}

func TestBuffersBoundAllBodiesTogether(t *testing.T) {
	const limit, size = 1 << 20, 300_000
	buffers := connection.NewBuffers(limit)
	body := bytes.Repeat([]byte("x"), size)
	var cancels []context.CancelFunc
	read := func() error {
		ctx, cancel := context.WithCancel(t.Context())
		cancels = append(cancels, cancel)
		content, err := readBody(ctx, buffers, iotest.HalfReader(bytes.NewReader(body)))
		if err == nil {
			require.Equal(t, body, content)
		}
		return err
	}
	for range 3 {
		require.NoError(t, read())
	}
	require.True(t, errors.Is(read(), connection.ErrBuffersFull))
	cancels[3]()
	cancels[0]()
	require.Eventually(t, func() bool { return read() == nil }, 5*time.Second, 5*time.Millisecond)
	require.True(t, errors.Is(read(), connection.ErrBuffersFull), "the memory of a finished request is released only once")
}

func TestBuffersReleaseTheMemoryOfABrokenBody(t *testing.T) {
	buffers := connection.NewBuffers(64 << 10)
	for range 100 {
		broken := io.MultiReader(bytes.NewReader(make([]byte, 20_000)), iotest.ErrReader(io.ErrUnexpectedEOF))
		for _, body := range []io.Reader{broken, bytes.NewReader(make([]byte, 40_000))} {
			// The memory of the previous request is released shortly after its end.
			require.Eventually(t, func() bool {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				_, err := readBody(ctx, buffers, body)
				return !errors.Is(err, connection.ErrBuffersFull)
			}, 5*time.Second, time.Millisecond)
		}
	}
}

// TestBuffersReleaseTheMemoryOfARefusedBodyAtOnce guards against requests that are refused since others,
// which are refused too, still hold memory while the rest of their bodies is read.
func TestBuffersReleaseTheMemoryOfARefusedBodyAtOnce(t *testing.T) {
	buffers := connection.NewBuffers(64 << 10)
	_, err := readBody(t.Context(), buffers, bytes.NewReader(make([]byte, 100_000)))
	require.True(t, errors.Is(err, connection.ErrBuffersFull))
	_, err = readBody(t.Context(), buffers, bytes.NewReader(make([]byte, 40_000)))
	require.NoError(t, err)
}
