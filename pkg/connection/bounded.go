package connection

import (
	"io"

	"github.com/cockroachdb/errors"
)

// errHeadTooLong reports the head of a response that is over maxHeadBytes.
var errHeadTooLong = errors.New("head of response is too long")

// boundedReader reads from a source, up to a limit while one is set. Heads are read
// under a limit, since a faulty endpoint may send one without end.
type boundedReader struct {
	source  io.Reader
	limited bool
	left    int
}

// limit allows so many bytes more.
func (r *boundedReader) limit(bytes int) {
	r.limited, r.left = true, bytes
}

// lift allows any number of bytes.
func (r *boundedReader) lift() {
	r.limited = false
}

// Read reads from the source.
func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.source.Read(p)
	}
	if r.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
