package relay

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ReadEvents returns the complete events of a stream with their numbers, and the error
// that ended the stream, nil at the end of a complete one.
func ReadEvents(stream io.Reader) ([]string, []int64, error) {
	reader := newEventReader(io.NopCloser(stream))
	var texts []string
	var ids []int64
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) {
			return texts, ids, nil
		}
		if err != nil {
			return texts, ids, err
		}
		texts = append(texts, string(e.raw))
		if e.hasID {
			ids = append(ids, e.id)
		}
	}
}
