package connection

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// framerState is the part of a request to which the next byte of a connection belongs.
type framerState uint8

const (
	inHead framerState = iota
	inBody
	inChunkSize
	inChunk
	afterChunk
	inTrailer
	// endLost is the state after a request whose end is not certain.
	endLost
)

// framedHead is the head of a request with the length of its body.
type framedHead struct {
	// start is the request line up to the version.
	start     string
	length    int64
	isChunked bool
	// isAmbiguous is true if the end of the request can be taken for different ones.
	isAmbiguous bool
}

// framer divides the bytes of a connection into requests. It follows RFC 9112 without the exceptions that
// the HTTP server makes, so that it ends with endLost where the two might differ.
type framer struct {
	state framerState
	// head contains the bytes of a partial head, line those of a partial line of a chunk or trailer. The
	// HTTP server limits these lines.
	head, line []byte
	// remaining is the number of bytes to the end of the body or chunk.
	remaining int64
	// heads are the complete heads that no handler has checked.
	heads []framedHead
	// isTooLong is true if the last head exceeds the limit.
	isTooLong bool
}

// add processes bytes that were read. limit is the maximum length of a head, 0 for none.
func (f *framer) add(data []byte, limit int) {
	for len(data) > 0 && f.state != endLost {
		switch f.state {
		case inHead:
			data = f.addToHead(data, limit)
		case inBody, inChunk:
			n := min(int64(len(data)), f.remaining)
			f.remaining -= n
			data = data[n:]
			if f.remaining == 0 && f.state == inBody {
				f.state = inHead
			} else if f.remaining == 0 {
				f.state = afterChunk
			}
		default:
			data = f.addToLine(data)
		}
	}
}

// addToHead processes the bytes up to the end of a line of the head, and returns the rest. Like the HTTP
// server, it takes lines that end in LF alone.
func (f *framer) addToHead(data []byte, limit int) []byte {
	line, rest := cutLine(data)
	f.head = append(f.head, line...)
	isComplete := bytes.HasSuffix(f.head, []byte("\n\r\n")) || bytes.HasSuffix(f.head, []byte("\n\n"))
	if limit > 0 && (len(f.head) > limit || len(f.head) == limit && !isComplete) {
		f.isTooLong, f.state = true, endLost
		return nil
	}
	if !isComplete {
		return rest
	}
	head := parseHead(f.head)
	f.heads, f.head = append(f.heads, head), f.head[:0]
	switch {
	case head.isChunked:
		f.state = inChunkSize
	case head.length > 0:
		f.state, f.remaining = inBody, head.length
	}
	return rest
}

// addToLine processes the bytes up to the end of a line around the chunks, and returns the rest.
func (f *framer) addToLine(data []byte) []byte {
	line, rest := cutLine(data)
	f.line = append(f.line, line...)
	if f.line[len(f.line)-1] != '\n' {
		return rest
	}
	text, ok := strings.CutSuffix(string(f.line), "\r\n")
	f.line = f.line[:0]
	if !ok {
		f.state = endLost
	}
	switch f.state {
	case inChunkSize:
		digits, _, _ := strings.Cut(text, ";")
		f.startChunk(digits)
	case afterChunk:
		f.state = inChunkSize
	case inTrailer:
		if text == "" {
			f.state = inHead
		}
	}
	return rest
}

func (f *framer) startChunk(digits string) {
	size, err := strconv.ParseUint(digits, 16, 63)
	switch {
	case err != nil:
		f.state = endLost
	case size == 0:
		f.state = inTrailer
	default:
		f.state, f.remaining = inChunk, int64(size)
	}
}

// cutLine cuts data behind the first LF. Without one, all of it is the line.
func cutLine(data []byte) (line, rest []byte) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return data[:i+1], data[i+1:]
	}
	return data, nil
}

// parseHead returns the head of a request with the length of its body (RFC 9112, section 6.3). It does not
// check what the HTTP server itself rejects, such as other codings and lengths that differ, and joins no
// folded lines: matches finds out if the HTTP server does.
func parseHead(head []byte) framedHead {
	lines := strings.Split(strings.ReplaceAll(string(head), "\r\n", "\n"), "\n")
	result := framedHead{start: lines[0][:max(strings.LastIndex(lines[0], " "), 0)]}
	hasLength := false
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "content-length":
			length, _ := strconv.ParseUint(strings.TrimSpace(value), 10, 63)
			result.length, hasLength = int64(length), true
		case "transfer-encoding":
			result.isChunked = true
		}
	}
	result.isAmbiguous = result.isChunked && hasLength
	return result
}

// matches reports whether the HTTP server takes the same end for a request with this head.
func (h framedHead) matches(r *http.Request) bool {
	isSameEnd := h.isChunked == (len(r.TransferEncoding) > 0) && (h.isChunked || h.length == r.ContentLength)
	return !h.isAmbiguous && isSameEnd
}
