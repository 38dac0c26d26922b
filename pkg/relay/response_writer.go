package relay

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/connection"
)

const (
	// bufferedResponseLimit is the size up to which a response is read to its end before
	// it is forwarded, so that a truncated one can still be replaced.
	bufferedResponseLimit = 64 << 10
	// writeTimeout limits one write to a caller for which there is no room in the buffers, so that
	// callers that do not read do not occupy a place at an endpoint.
	writeTimeout   = 5 * time.Second
	copyBufferSize = 16 << 10
)

// ResponseWriter writes the single response to a call.
type ResponseWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	now        func() time.Time
	status     int
	startTime  time.Time
	// buffers limits the memory of what the caller has not read yet, nil to write at the caller's
	// pace. backlog is nil until synchronousBytes are written.
	buffers *connection.Buffers
	backlog *backlog
	written int

	// mu guards isClosed, and status against close.
	mu       sync.Mutex
	isClosed bool
}

// NewResponseWriter returns a ResponseWriter that has written nothing.
func NewResponseWriter(writer http.ResponseWriter, now func() time.Time) *ResponseWriter {
	return &ResponseWriter{writer: writer, controller: http.NewResponseController(writer), now: now}
}

// Started reports whether the response has begun.
func (w *ResponseWriter) Started() bool {
	return w.status != 0
}

// errSecondResponse reports that a response cannot be sent because the caller has received the
// beginning of another one.
var errSecondResponse = errors.New("another response has begun")

// errInterrupted is the cancellation cause of a call without a response at the end of a shutdown.
var errInterrupted = errors.New("daemon stops")

// close prevents that a response begins, and reports whether none had begun. It may be called beside
// the other methods.
func (w *ResponseWriter) close() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isClosed = !w.Started()
	return w.isClosed
}

// writeHeader begins the response to the caller, which can be done once.
func (w *ResponseWriter) writeHeader(status int, header http.Header) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.Started() {
		return errSecondResponse
	}
	if w.isClosed {
		return errInterrupted
	}
	target := w.writer.Header()
	for name, values := range header {
		target[name] = values
	}
	if _, ok := target["Content-Type"]; !ok {
		// A nil value prevents the server from guessing the type.
		target["Content-Type"] = nil
	}
	w.status = status
	w.startTime = w.now()
	w.writer.WriteHeader(status)
	return nil
}

// extendDeadline starts the timeout of the next write, or of the end of the response, which the
// HTTP server writes.
func (w *ResponseWriter) extendDeadline() {
	_ = w.controller.SetWriteDeadline(w.now().Add(writeTimeout))
}

// write sends a part of the response to the caller. It may return before the caller has read it.
func (w *ResponseWriter) write(content []byte) error {
	w.written += len(content)
	if w.backlog == nil && w.buffers != nil && w.written > synchronousBytes {
		w.backlog = newBacklog(w)
	}
	if w.backlog != nil {
		return w.backlog.add(content)
	}
	w.extendDeadline()
	if _, err := w.writer.Write(content); err != nil {
		return errors.Newf("write to caller: %w", err)
	}
	return nil
}

// flush sends the buffered content to the caller.
func (w *ResponseWriter) flush() error {
	if w.backlog != nil {
		return w.backlog.flush()
	}
	if err := w.controller.Flush(); err != nil {
		return errors.Newf("flush to caller: %w", err)
	}
	return nil
}

// finish waits until the caller has received what was written, until a time at the latest.
func (w *ResponseWriter) finish(by time.Time) error {
	if w.backlog == nil {
		return nil
	}
	return w.backlog.end(by)
}

// bufferResponse reads a body up to bufferedResponseLimit. What it has read becomes the
// first part of the new body. A larger or endless body is read further when it is forwarded, and so
// is any body for which buffers has no room.
func bufferResponse(response *Response, buffers *connection.Buffers) error {
	size := int64(bufferedResponseLimit)
	if length, err := strconv.ParseInt(response.Header.Get("Content-Length"), 10, 64); err == nil && length >= 0 {
		size = min(size, length)
	}
	release := func() {}
	if buffers != nil {
		if !buffers.AcquireResponse(size, 0) {
			return nil
		}
		release = sync.OnceFunc(func() { buffers.ReleaseResponse(size) })
	}
	head, err := io.ReadAll(io.LimitReader(response.Body, bufferedResponseLimit))
	if err != nil {
		release()
		return errors.Newf("read response: %w", err)
	}
	response.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(head), response.Body), body: response.Body, release: release}
	return nil
}

// prefixedBody is a body of which the first part has already been read.
type prefixedBody struct {
	io.Reader
	body io.ReadCloser
	// release releases the memory of the first part.
	release func()
}

// Close closes the rest of the body.
func (b *prefixedBody) Close() error {
	b.release()
	return b.body.Close()
}

// forward sends a complete response to the caller and closes its body. It sends nothing and fails
// if the caller has received the beginning of another response.
func (w *ResponseWriter) forward(response *Response) error {
	defer func() { _ = response.Body.Close() }()
	if err := w.writeHeader(response.Status, response.Header); err != nil {
		return err
	}
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if err := w.write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Newf("read response: %w", err)
		}
	}
}
