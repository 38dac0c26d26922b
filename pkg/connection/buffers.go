package connection

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// ErrBuffersFull is returned for a body while there is no memory for it.
var ErrBuffersFull = errors.New("buffers of requests are full")

// Buffers limits the total memory of the bodies of all requests. A body is kept until its
// request is finished, since it may be sent to more than one endpoint. It is read completely
// first, so that no endpoint waits for a caller that sends slowly.
type Buffers struct {
	free *semaphore.Weighted
}

// NewBuffers returns Buffers of limit bytes.
func NewBuffers(limit int64) *Buffers {
	return &Buffers{free: semaphore.NewWeighted(limit)}
}

// bufferChunkBytes is the unit in which memory is acquired. A typical request fits in one.
const bufferChunkBytes = 16 << 10

// Read reads the body of a request, of limit bytes at most. The memory is released when the
// request's context is done, or at once if there is not enough. Errors wrap *http.MaxBytesError for
// a body over the limit, ErrBuffersFull, or the error of reading the body.
func (b *Buffers) Read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.Body == http.NoBody {
		return nil, nil
	}
	body := http.MaxBytesReader(w, r.Body, limit)
	var acquired int64
	defer func() { context.AfterFunc(r.Context(), func() { b.free.Release(acquired) }) }()
	var content bytes.Buffer
	for {
		if !b.free.TryAcquire(bufferChunkBytes) {
			// The caller may go on to read the rest, for which it needs no memory.
			b.free.Release(acquired)
			acquired = 0
			return nil, errors.Newf("acquire memory for a body: %w", ErrBuffersFull)
		}
		acquired += bufferChunkBytes
		_, err := io.CopyN(&content, body, bufferChunkBytes)
		if errors.Is(err, io.EOF) {
			return content.Bytes(), nil
		}
		if err != nil {
			return nil, errors.Newf("read body: %w", err)
		}
	}
}
