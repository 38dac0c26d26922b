// Package ending ends the responses of stand-ins in ways that are not their end.
package ending

import (
	"fmt"
	"net"
	"net/http"
	"strings"
)

// Kind is a way in which a response ends wrongly.
type Kind string

// The kinds of endings. The first ones end the body of a stream wrongly within a sound framing,
// the others are wrong in the framing and the end of the connection. None is no fault.
const (
	None           Kind = ""
	NoEvents       Kind = "no events"
	BlankLines     Kind = "blank lines alone"
	Comment        Kind = "a comment alone"
	InsideEvent    Kind = "inside an event"
	ErrorEvent     Kind = "an error event"
	OtherStatus    Kind = "another status"
	NextResponse   Kind = "the next response"
	NoLastChunk    Kind = "no last chunk"
	LengthTooLong  Kind = "a length that is too long"
	LengthTooShort Kind = "a length that is too short"
	Closed         Kind = "a close"
	Reset          Kind = "a reset"
)

// StreamKinds are the kinds for streams of events. AnswerKinds are those for answers without
// events: only these show that the answer is cut.
var (
	StreamKinds = []Kind{
		NoEvents, BlankLines, Comment, InsideEvent, ErrorEvent, OtherStatus, NextResponse,
		NoLastChunk, LengthTooLong, LengthTooShort, Closed, Reset,
	}
	AnswerKinds = []Kind{NoLastChunk, LengthTooLong, Reset}
)

// Write sends a response with status 200 that ends in the given way, and closes its connection.
// sent is the part of the body that is sent, and rest is what follows in the whole one.
func Write(w http.ResponseWriter, kind Kind, contentType, sent, rest string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n"
	_, _ = buffer.WriteString(raw(kind, head, sent, rest))
	_ = buffer.Flush()
	if tcp, ok := conn.(*net.TCPConn); ok && kind == Reset {
		_ = tcp.SetLinger(0)
	}
}

func raw(kind Kind, head, sent, rest string) string {
	switch kind {
	case NoEvents:
		return head + chunk("") + lastChunk
	case BlankLines:
		return head + chunk("\n\n\n") + lastChunk
	case Comment:
		return head + chunk(": ping\n\n") + lastChunk
	case InsideEvent:
		return head + chunk(sent+rest[:len(rest)/3]) + lastChunk
	case ErrorEvent:
		return head + chunk(sent+"data: {\"error\":{\"message\":\"out of memory\"}}\n\ndata: [DONE]\n\n") + lastChunk
	case OtherStatus:
		return strings.Replace(head, "200 OK", "500 Internal Server Error", 1) + withLength(0, "")
	case NextResponse:
		return head + "\r\n" + sent + head + "\r\n" + strings.ReplaceAll(sent+rest, "w", "other-w")
	case NoLastChunk:
		return head + chunk(sent)
	case LengthTooLong:
		return head + withLength(len(sent)+len(rest), sent)
	case LengthTooShort:
		return head + withLength(len(sent), sent+rest)
	default:
		return head + "\r\n" + sent
	}
}

const lastChunk = "0\r\n\r\n"

// chunk returns the header for a body in chunks, and its first chunk.
func chunk(content string) string {
	header := "Transfer-Encoding: chunked\r\n\r\n"
	if content == "" {
		return header
	}
	return header + fmt.Sprintf("%x\r\n%s\r\n", len(content), content)
}

// withLength returns the header for a body with a length, and the body.
func withLength(length int, body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, body)
}
