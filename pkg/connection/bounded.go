package connection

import (
	"io"

	"github.com/cockroachdb/errors"
)

// errHeadTooLong is returned for a response head that is longer than maxHeadBytes.
var errHeadTooLong = errors.New("head of response is too long")

// boundedReader reads from a source, up to a limit while one is set. Response heads are read
// with a limit, since a faulty endpoint may send one without end.
type boundedReader struct {
	source    io.Reader
	limited   bool
	remaining int
	// recorded are the bytes that were read under the limit.
	recorded []byte
}

// setLimit allows that many further bytes. The recorded bytes begin with those that are buffered.
func (r *boundedReader) setLimit(bytes int, buffered []byte) {
	r.limited, r.remaining, r.recorded = true, bytes, append(r.recorded[:0], buffered...)
}

func (r *boundedReader) removeLimit() {
	r.limited, r.recorded = false, nil
}

// Read reads from the source. It returns errHeadTooLong when the limit is reached.
func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.source.Read(p)
	}
	if r.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	r.recorded = append(r.recorded, p[:n]...)
	return n, err
}
