package relay

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/connection"
)

// errStalled is the cancellation cause of a send whose stream has stalled, or whose prefill
// takes too long.
var errStalled = errors.New("stream has stalled")

// stream is the progress of one streamed response across its endpoints.
type stream struct {
	job *job
	// lastEvent is the number of the last event that was forwarded.
	lastEvent  int64
	eventCount int
	// progress is eventCount for readers beside the run.
	progress atomic.Int64
	// heldComments are comments that came before the first event. The response to the caller
	// begins with an event.
	heldComments []byte
	// lastAt is the time when the last event was forwarded, maxGap the longest time
	// between two events.
	lastAt time.Time
	maxGap time.Duration
	// onBegin is called before the first event. Its error ends the response.
	onBegin func() error
	// onEvent is called after each event.
	onEvent func()
}

// forward sends the events of one response to the caller until the stream is complete. A response
// shows that the stream is complete if its body is complete, its events have increasing numbers,
// and the last thing in it, but for comments, is an event that the caller does not have yet.
// Nothing is assumed about the steps between numbers.
// watch is told of each event.
func (s *stream) forward(response *Response, now func() time.Time, watch *stallWatch) error {
	watch.extend(firstEventTimeout)
	before, previous := s.eventCount, NoEvent
	s.heldComments = nil
	reader := newEventReader(response.Body)
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) && !errors.Is(err, connection.ErrBroken) {
			if s.eventCount == before && !s.hasLastEvent(response, previous) {
				return errors.Newf("response has no further events: %w", connection.ErrBroken)
			}
			return s.complete(response, reader.trailer())
		}
		if err != nil {
			return errors.Newf("read event: %w", errors.Mark(err, connection.ErrBroken))
		}
		if e.isComment {
			if err := s.forwardComment(e); err != nil {
				return err
			}
			continue
		}
		if e.id <= previous {
			return errors.Newf("event %d follows event %d: %w", e.id, previous, connection.ErrBroken)
		}
		previous = e.id
		watch.extend(eventGapTimeout)
		if err := s.forwardEvent(response, e, now()); err != nil {
			return err
		}
	}
}

// forwardComment sends a comment to the caller at once, since it may keep the connection alive. It
// is no progress of the stream.
func (s *stream) forwardComment(e event) error {
	if s.job.writer.Started() {
		return s.write(e.raw)
	}
	s.heldComments = append(s.heldComments, e.raw...)
	if len(s.heldComments) > maxEventBytes {
		return errors.Newf("read comments: %w", errors.Mark(errEventSize, connection.ErrBroken))
	}
	return nil
}

// forwardEvent sends one event to the caller, unless the caller already has it.
func (s *stream) forwardEvent(response *Response, e event, now time.Time) error {
	if e.id <= s.lastEvent {
		return nil
	}
	if !s.job.writer.Started() {
		if err := s.onBegin(); err != nil {
			return err
		}
		if err := s.writeHeader(response); err != nil {
			return err
		}
	}
	if err := s.write(e.raw); err != nil {
		return err
	}
	s.lastEvent = e.id
	if s.eventCount > 0 {
		s.maxGap = max(s.maxGap, now.Sub(s.lastAt))
	}
	s.eventCount++
	s.progress.Store(int64(s.eventCount))
	s.lastAt = now
	s.onEvent()
	return nil
}

// errCallerWrite reports that a write to the caller failed.
var errCallerWrite = errors.New("write to caller failed")

// deliveredTokens returns the number of output tokens that the caller has after a number of events of
// this call. The next endpoint loads them into its memory together with the prompt. For the events that
// the caller had before this call it is an estimate from their number, which may be of any size.
func (s *stream) deliveredTokens(j *job, events int) int {
	if j.call.LastEvent != NoEvent {
		events += int(min(j.call.LastEvent, int64(j.call.OutputTokens))) + 1
	}
	return min(events*max(j.service.Engine.TokensPerEvent, 1), j.call.OutputTokens)
}

// hasLastEvent reports whether a complete response without a new event shows that the caller has
// the last event of the stream. It does to a caller that has asked for the events after one that it
// has, as endpoints respond with an empty body when none follows, or with the events up to that
// one. lastInResponse is the number of the last event of the response, or NoEvent. The close of the
// connection alone shows nothing, as a crash looks the same.
func (s *stream) hasLastEvent(response *Response, lastInResponse int64) bool {
	if s.eventCount > 0 || s.job.call.LastEvent == NoEvent || response.Framing == connection.FramingClose {
		return false
	}
	return lastInResponse == NoEvent || lastInResponse == s.lastEvent
}

// complete finishes the stream with the blank lines after its last event.
func (s *stream) complete(response *Response, trailer []byte) error {
	if !s.job.writer.Started() {
		if err := s.writeHeader(response); err != nil {
			return err
		}
	}
	if len(trailer) == 0 {
		return nil
	}
	return s.write(trailer)
}

// writeHeader begins the response to the caller. It has no length, since the stream may go on at
// another endpoint.
func (s *stream) writeHeader(response *Response) error {
	header := response.Header.Clone()
	header.Del("Content-Length")
	if err := s.job.writer.writeHeader(response.Status, header); err != nil {
		return err
	}
	if len(s.heldComments) == 0 {
		return nil
	}
	return s.write(s.heldComments)
}

// write sends a part of the stream to the caller.
func (s *stream) write(content []byte) error {
	if err := s.job.writer.write(content); err != nil {
		return errors.Newf("forward event: %w", errors.Mark(err, errCallerWrite))
	}
	if err := s.job.writer.flush(); err != nil {
		return errors.Newf("forward event: %w", errors.Mark(err, errCallerWrite))
	}
	return nil
}

// isSuccess reports whether a response shows that the endpoint ran the request to its end. A
// successful response of a model engine is a stream of events.
func isSuccess(response *Response) bool {
	return response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
}

// cancelOnStall returns a function that cancels a send with errStalled.
func cancelOnStall(cancel context.CancelCauseFunc) func() {
	return func() { cancel(errStalled) }
}
