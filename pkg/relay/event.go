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

// event is one event of a stream, or a comment, byte for byte as received with the blank lines
// before it.
type event struct {
	raw       []byte
	isComment bool
	// id is the number in the event's id field.
	id int64
}

var (
	errEventSize = errors.New("event is too large")
	// errNotAnEvent reports text that is neither an event with a number nor a comment, such
	// as an error message or the head of another response.
	errNotAnEvent = errors.New("text is no event of the stream")
)

// eventReader reads complete events (WHATWG HTML, section "Server-sent events"). All events of
// the platform's streams have numbers.
type eventReader struct {
	reader *bufio.Reader
	// buffer contains the next event, as far as it was read.
	buffer []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReader(body)}
}

// next returns the next event or comment. The error is io.EOF only when the body is complete and
// does not end within an event. The event is valid until the next call.
func (r *eventReader) next() (event, error) {
	r.buffer = r.buffer[:0]
	blockStart, lineStart := 0, 0
	for {
		part, err := r.reader.ReadSlice('\n')
		r.buffer = append(r.buffer, part...)
		if errors.Is(err, bufio.ErrBufferFull) && len(r.buffer) < maxEventBytes {
			continue
		}
		if err != nil {
			if len(bytes.TrimSpace(r.buffer[blockStart:])) > 0 {
				return event{}, errors.Newf("stream ends within an event: %v", err)
			}
			return event{}, err
		}
		if len(r.buffer) > maxEventBytes {
			return event{}, errEventSize
		}
		isBlank := len(bytes.TrimRight(r.buffer[lineStart:], "\r\n")) == 0
		lineStart = len(r.buffer)
		if !isBlank {
			continue
		}
		block := bytes.Trim(r.buffer[blockStart:], "\r\n")
		blockStart = len(r.buffer)
		if len(block) == 0 {
			continue
		}
		if isComment(block) {
			return event{raw: r.buffer, isComment: true}, nil
		}
		id, ok := eventID(block)
		if !ok || !hasOnlyFields(block) {
			return event{}, errNotAnEvent
		}
		return event{raw: r.buffer, id: id}, nil
	}
}

// trailer returns the blank lines at the end of the body. It is valid after next has returned
// io.EOF.
func (r *eventReader) trailer() []byte {
	return r.buffer
}

// isComment reports whether a block has no line but comments.
func isComment(block []byte) bool {
	for line := range bytes.Lines(block) {
		if line[0] != ':' {
			return false
		}
	}
	return true
}

// hasOnlyFields reports whether each line of a block can be a field or a comment. Names of fields
// are in lower case, so that the lines of another response's head are none.
func hasOnlyFields(block []byte) bool {
	for line := range bytes.Lines(block) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		for _, c := range name {
			if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
				return false
			}
		}
	}
	return true
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
