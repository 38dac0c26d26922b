package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes limits one event of a stream. An event contains the text of a few tokens.
// The limit is far above that size, and small compared with the memory of a host that
// relays dozens of streams.
const maxEventBytes = 128 << 10

// event is one complete event of a stream, byte for byte as received.
type event struct {
	raw []byte
	// id is the number in the event's id field.
	id    int64
	hasID bool
}

var errEventSize = errors.New("event is too large")

// eventReader reads complete events (WHATWG HTML, section "Server-sent events").
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReader(body)}
}

// next returns the next complete event. The error is io.EOF only when the stream is
// complete and does not end within an event. The event is valid until the next call.
func (r *eventReader) next() (event, error) {
	r.buffer = r.buffer[:0]
	var e event
	for {
		line, err := r.reader.ReadSlice('\n')
		r.buffer = append(r.buffer, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(r.buffer) < maxEventBytes {
			continue
		}
		if err != nil {
			if len(bytes.TrimSpace(r.buffer)) > 0 {
				return event{}, errors.Newf("stream ends within an event: %v", err)
			}
			return event{}, err
		}
		if len(r.buffer) > maxEventBytes {
			return event{}, errEventSize
		}
		text := bytes.TrimRight(r.buffer, "\r\n")
		if ended := len(bytes.TrimRight(line, "\r\n")) == 0; ended && len(text) > 0 {
			e.raw = r.buffer
			e.id, e.hasID = eventID(text)
			return e, nil
		}
	}
}

// eventID returns the number in the last id field of an event.
func eventID(text []byte) (int64, bool) {
	id, found := int64(0), false
	for len(text) > 0 {
		var line []byte
		line, text, _ = bytes.Cut(text, []byte("\n"))
		value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r"), []byte("id:"))
		if !ok {
			continue
		}
		number, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			id, found = number, true
		}
	}
	return id, found
}
