package front

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/endpoint"
)

// chatResponse writes the response to one chat request. Nothing of a streamed
// response is written before the first token, so that an earlier failure can
// set the HTTP status.
type chatResponse struct {
	writer  http.ResponseWriter
	job     *chatJob
	now     func() time.Time
	created int64

	tokens       int
	firstTokenAt time.Time
	lastTokenAt  time.Time
	text         strings.Builder
	finishReason string
	started      bool
}

func newChatResponse(w http.ResponseWriter, job *chatJob, now func() time.Time) *chatResponse {
	return &chatResponse{writer: w, job: job, now: now, created: job.arrival.Unix()}
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatChoice struct {
	Index        int        `json:"index"`
	Delta        *chatDelta `json:"delta,omitempty"`
	Message      *chatDelta `json:"message,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type chatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

func (r *chatResponse) newCompletion(object string, choice chatChoice) chatCompletion {
	return chatCompletion{
		ID: "chatcmpl-" + r.job.id.String(), Object: object, Created: r.created,
		Model: r.job.model, Choices: []chatChoice{choice},
	}
}

// errTokenGap reports a stream that skips tokens.
var errTokenGap = errors.New("tokens are missing from the stream")

// addToken adds the next token to the response. It ignores a token that was
// already added and fails if tokens are missing before this one, so that the
// caller receives every token exactly once.
func (r *chatResponse) addToken(token endpoint.Token) error {
	if token.FinishReason != "" {
		if token.Offset != r.tokens {
			return errTokenGap
		}
		r.finishReason = token.FinishReason
		return nil
	}
	if token.Offset < r.tokens {
		return nil
	}
	if token.Offset > r.tokens {
		return errTokenGap
	}
	r.lastTokenAt = r.now()
	if r.tokens == 0 {
		r.firstTokenAt = r.lastTokenAt
	}
	r.tokens++
	if !r.job.stream {
		r.text.WriteString(token.Text)
		return nil
	}
	delta := &chatDelta{Content: token.Text}
	if !r.started {
		delta.Role = "assistant"
	}
	return r.sendEvent(r.newCompletion("chat.completion.chunk", chatChoice{Delta: delta}))
}

// sendEvent sends a message as a server-sent event. The first event sets the headers.
func (r *chatResponse) sendEvent(message any) error {
	if !r.started {
		r.started = true
		r.writer.Header().Set("Content-Type", "text/event-stream")
		r.writer.Header().Set("Cache-Control", "no-cache")
	}
	encoded, err := json.Marshal(message)
	if err != nil {
		return errors.Newf("encode event: %w", err)
	}
	return r.sendData(string(encoded))
}

func (r *chatResponse) sendData(data string) error {
	if _, err := r.writer.Write([]byte("data: " + data + "\n\n")); err != nil {
		return errors.Newf("write event: %w", err)
	}
	if err := http.NewResponseController(r.writer).Flush(); err != nil {
		return errors.Newf("flush event: %w", err)
	}
	return nil
}

// complete finishes a successful response.
func (r *chatResponse) complete() {
	reason := r.finishReason
	if r.job.stream {
		_ = r.sendEvent(r.newCompletion("chat.completion.chunk", chatChoice{Delta: &chatDelta{}, FinishReason: &reason}))
		_ = r.sendData("[DONE]")
		return
	}
	message := chatDelta{Role: "assistant", Content: r.text.String()}
	completion := r.newCompletion("chat.completion", chatChoice{Message: &message, FinishReason: &reason})
	completion.Usage = &chatUsage{
		PromptTokens: r.job.promptTokens, CompletionTokens: r.tokens,
		TotalTokens: r.job.promptTokens + r.tokens,
	}
	writeJSON(r.writer, http.StatusOK, completion)
}

// fail sends an error. A started stream ends with an error event and without
// the [DONE] event, so that the caller can tell that it is incomplete. The handler
// must then abort it.
func (r *chatResponse) fail(f *fault) {
	if r.started {
		_ = r.sendEvent(newErrorResponse(f))
		return
	}
	writeError(r.writer, f)
}
