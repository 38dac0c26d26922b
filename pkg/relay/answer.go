package relay

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// wholeAnswerBytes is the size up to which an answer is read to its end before
	// it is passed on, so that one that breaks off can still be replaced.
	wholeAnswerBytes = 64 << 10
	// writeTimeout ends answers to callers that read nothing, so that they hold
	// neither an endpoint's place nor memory.
	writeTimeout = 5 * time.Second
	copyBytes    = 16 << 10
)

// Answer is the one answer to a call.
type Answer struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	now        func() time.Time
	status     int
	firstAt    time.Time
}

// NewAnswer returns an Answer that has not begun.
func NewAnswer(writer http.ResponseWriter, now func() time.Time) *Answer {
	return &Answer{writer: writer, controller: http.NewResponseController(writer), now: now}
}

// Started reports whether anything was answered.
func (a *Answer) Started() bool {
	return a.status != 0
}

func (a *Answer) start(status int, header http.Header) {
	target := a.writer.Header()
	for name, values := range header {
		target[name] = values
	}
	if _, ok := target["Content-Type"]; !ok {
		// A nil value keeps the server from guessing one.
		target["Content-Type"] = nil
	}
	a.status = status
	a.firstAt = a.now()
	a.writer.WriteHeader(status)
}

func (a *Answer) write(content []byte) error {
	_ = a.controller.SetWriteDeadline(a.now().Add(writeTimeout))
	if _, err := a.writer.Write(content); err != nil {
		return errors.Newf("write to caller: %w", err)
	}
	return nil
}

// push sends what was written so far.
func (a *Answer) push() error {
	if err := a.controller.Flush(); err != nil {
		return errors.Newf("flush to caller: %w", err)
	}
	return nil
}

// bufferReply reads a small answer to its end. A large or endless one is left
// with its first part in front.
func bufferReply(reply *Reply) error {
	head, err := io.ReadAll(io.LimitReader(reply.Body, wholeAnswerBytes))
	if err != nil {
		return errors.Newf("read answer: %w", err)
	}
	reply.Body = &frontedBody{Reader: io.MultiReader(bytes.NewReader(head), reply.Body), body: reply.Body}
	return nil
}

// frontedBody is a body of which a part has been read already.
type frontedBody struct {
	io.Reader
	body io.ReadCloser
}

// Close closes the rest.
func (b *frontedBody) Close() error {
	return b.body.Close()
}

// pass passes a whole reply on. The body is closed.
func (a *Answer) pass(reply *Reply) error {
	defer func() { _ = reply.Body.Close() }()
	a.start(reply.Status, reply.Header)
	buffer := make([]byte, copyBytes)
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 {
			if err := a.write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Newf("read answer: %w", err)
		}
	}
}
