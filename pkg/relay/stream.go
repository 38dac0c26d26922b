package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/connection"
)

const (
	// firstSilence and gapSilence are the silences before the first event and
	// between events after which a stream that can be resumed goes on elsewhere.
	// Both are well below the 2 s at which callers begin to give up.
	firstSilence = 1500 * time.Millisecond
	gapSilence   = 1500 * time.Millisecond
)

// errSilent ends a sending whose stream has fallen silent.
var errSilent = errors.New("stream is silent")

// stream is the progress of one streamed answer across its endpoints.
type stream struct {
	job *job
	// last is the number of the last event that was passed on.
	last   int64
	events int
	// lastAt is the time at which it was passed on, maxGap the longest pause
	// before one.
	lastAt time.Time
	maxGap time.Duration
	// passed is called after each event.
	passed func()
}

// relay passes the events of one reply on until the stream is complete. silent
// is called when nothing came for too long; it must make the body fail.
func (s *stream) relay(reply *Reply, now func() time.Time, silent func()) error {
	var watch *time.Timer
	if s.job.route.Resumable {
		watch = time.AfterFunc(firstSilence, silent)
		defer watch.Stop()
	}
	reader := newEventReader(reply.Body)
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) && !errors.Is(err, connection.ErrBroken) {
			return s.complete(reply)
		}
		if err != nil {
			return errors.Newf("read event: %w", errors.Mark(err, connection.ErrBroken))
		}
		if watch != nil {
			watch.Reset(gapSilence)
		}
		if err := s.pass(reply, e, now()); err != nil {
			return err
		}
	}
}

// pass passes one event on, unless the caller has it already.
func (s *stream) pass(reply *Reply, e event, now time.Time) error {
	if e.hasID && e.id <= s.last {
		return nil
	}
	answer := s.job.answer
	if !answer.Started() {
		answer.start(reply.Status, reply.Header)
	}
	if err := answer.write(e.raw); err != nil {
		return errors.Newf("pass event on: %w", errors.Mark(err, errCallerWrite))
	}
	if err := answer.push(); err != nil {
		return errors.Newf("pass event on: %w", errors.Mark(err, errCallerWrite))
	}
	if e.hasID {
		s.last = e.id
	}
	if s.events > 0 {
		s.maxGap = max(s.maxGap, now.Sub(s.lastAt))
	}
	s.events++
	s.lastAt = now
	s.passed()
	return nil
}

// errCallerWrite reports that the caller takes nothing any more.
var errCallerWrite = errors.New("caller takes nothing")

// made returns the output tokens that the caller has already, which the next
// endpoint takes into its memory with the prompt.
func (s *stream) made(j *job) int {
	return int(max(s.last+1, 0)) * max(j.service.Engine.TokensPerEvent, 1)
}

// complete ends a stream whose endpoint has ended it.
func (s *stream) complete(reply *Reply) error {
	if !s.job.answer.Started() {
		s.job.answer.start(reply.Status, reply.Header)
	}
	return nil
}

// isStream reports whether a reply is a stream of events.
func isStream(reply *Reply) bool {
	return reply.Status == http.StatusOK
}

// silence returns a function that ends a sending because its stream is silent.
func silence(cancel context.CancelCauseFunc) func() {
	return func() { cancel(errSilent) }
}
