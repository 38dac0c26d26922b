package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// maxEventBytes limits one line of a server-sent event.
const maxEventBytes = 16 << 10

// Token is a token of a stream, or its final event with the finish reason.
type Token struct {
	// Offset is the number of tokens before this one.
	Offset int
	Text   string
	// FinishReason is set on the last event, which has no text.
	FinishReason string
}

// Stream reads the tokens of one request. It must be closed.
type Stream struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	response *http.Response
	reader   *bufio.Reader
	event    []byte
	// finished is set after the event with the finish reason.
	finished bool
	// isDone is set after the [DONE] event.
	isDone      bool
	watchdog    *time.Timer
	idleTimeout time.Duration
}

type streamEvent struct {
	TokenOffset *int            `json:"token_offset"`
	Error       json.RawMessage `json:"error"`
	Choices     []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, response *http.Response, watchdog *time.Timer, idleTimeout time.Duration) *Stream {
	return &Stream{
		ctx: ctx, cancel: cancel, response: response,
		reader:   bufio.NewReaderSize(response.Body, maxEventBytes),
		watchdog: watchdog, idleTimeout: idleTimeout,
	}
}

// streamEndTimeout limits the wait for the last chunk behind the [DONE] event. Engines send it directly after
// the event, but in another packet. A connection without it is reset.
const streamEndTimeout = 100 * time.Millisecond

// Close closes the connection.
func (s *Stream) Close() {
	s.watchdog.Stop()
	if s.isDone {
		timer := time.AfterFunc(streamEndTimeout, func() { s.cancel(nil) })
		_, _ = io.Copy(io.Discard, io.LimitReader(s.reader, maxEventBytes))
		timer.Stop()
	}
	s.cancel(nil)
	_ = s.response.Body.Close()
}

// Next returns the next token. It returns io.EOF after the [DONE] event of a
// complete stream, which follows the finish reason directly, ErrIdleTimeout if no
// data was received in time, and ErrFailedAfterSend if the stream ended otherwise
// or has an invalid event. How the response is framed proves nothing.
func (s *Stream) Next() (Token, error) {
	data, err := s.nextEvent()
	if err != nil {
		return Token{}, err
	}
	isLast := bytes.Equal(data, []byte("[DONE]"))
	if isLast != s.finished {
		return Token{}, errors.Newf("the last event does not follow the finish reason: %w", ErrFailedAfterSend)
	}
	if isLast {
		s.isDone = true
		return Token{}, io.EOF
	}
	token, err := parseToken(data)
	s.finished = token.FinishReason != ""
	return token, err
}

// nextEvent returns the data of the next event that has any. An event ends with a
// blank line: what precedes the end of the connection is not an event.
func (s *Stream) nextEvent() ([]byte, error) {
	s.event = s.event[:0]
	for {
		s.watchdog.Reset(s.idleTimeout)
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return nil, s.readError(err)
		}
		line = bytes.TrimSpace(line)
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case len(line) == 0 && len(s.event) > 0:
			return s.event, nil
		case ok && len(s.event) > 0:
			return nil, errors.Newf("event has more than one line of data: %w", ErrFailedAfterSend)
		case ok:
			s.event = append(s.event, data...)
		case !isField(line):
			return nil, errors.Newf("line is not a part of an event: %w", ErrFailedAfterSend)
		}
	}
}

// isField reports whether a line may occur in a stream of events: a blank line, a
// comment or a field. The head of another response is none.
func isField(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "data", "event", "id", "retry":
		return true
	}
	return false
}

func (s *Stream) readError(err error) error {
	if errors.Is(context.Cause(s.ctx), ErrIdleTimeout) {
		return ErrIdleTimeout
	}
	return errors.Newf("%v: %w", err, ErrFailedAfterSend)
}

// failureReasons are the finish reasons of outputs that an engine gave up.
var failureReasons = []string{"abort", "error"}

func parseToken(data []byte) (Token, error) {
	var event streamEvent
	if err := json.Unmarshal(data, &event); err != nil || len(event.Choices) != 1 || event.TokenOffset == nil {
		return Token{}, errors.Newf("invalid event: %w", ErrFailedAfterSend)
	}
	if len(event.Error) > 0 && !bytes.Equal(event.Error, []byte("null")) {
		return Token{}, errors.Newf("event tells an error: %w", ErrFailedAfterSend)
	}
	token := Token{Offset: *event.TokenOffset, Text: event.Choices[0].Delta.Content}
	if event.Choices[0].FinishReason != nil {
		token.FinishReason = *event.Choices[0].FinishReason
	}
	if slices.Contains(failureReasons, token.FinishReason) {
		return Token{}, errors.Newf("engine ended the output with %s: %w", token.FinishReason, ErrFailedAfterSend)
	}
	if token.FinishReason != "" && token.Text != "" {
		return Token{}, errors.Newf("last event has text: %w", ErrFailedAfterSend)
	}
	return token, nil
}
