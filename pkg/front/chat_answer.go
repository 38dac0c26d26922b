package front

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/endpoint"
)

// chatAnswer writes the answer of one chat request. A streamed answer begins
// with the first token, so that a failure before it has a status of its own.
type chatAnswer struct {
	writer  http.ResponseWriter
	job     *chatJob
	now     func() time.Time
	created int64

	tokens  int
	firstAt time.Time
	lastAt  time.Time
	text    strings.Builder
	reason  string
	begun   bool
}

func newChatAnswer(w http.ResponseWriter, job *chatJob, now func() time.Time) *chatAnswer {
	return &chatAnswer{writer: w, job: job, now: now, created: job.arrival.Unix()}
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

func (a *chatAnswer) completion(object string, choice chatChoice) chatCompletion {
	return chatCompletion{
		ID: "chatcmpl-" + a.job.id.String(), Object: object, Created: a.created,
		Model: a.job.model, Choices: []chatChoice{choice},
	}
}

// errTokenOrder reports a stream whose tokens leave a gap.
var errTokenOrder = errors.New("tokens are missing from the stream")

// add takes the next token. A token that was already relayed is skipped, and a
// gap is an error, so that no token reaches the caller twice or is left out.
func (a *chatAnswer) add(token endpoint.Token) error {
	if token.FinishReason != "" {
		if token.Offset != a.tokens {
			return errTokenOrder
		}
		a.reason = token.FinishReason
		return nil
	}
	if token.Offset < a.tokens {
		return nil
	}
	if token.Offset > a.tokens {
		return errTokenOrder
	}
	a.lastAt = a.now()
	if a.tokens == 0 {
		a.firstAt = a.lastAt
	}
	a.tokens++
	if !a.job.stream {
		a.text.WriteString(token.Text)
		return nil
	}
	delta := &chatDelta{Content: token.Text}
	if !a.begun {
		delta.Role = "assistant"
	}
	return a.event(a.completion("chat.completion.chunk", chatChoice{Delta: delta}))
}

// event sends one server-sent event.
func (a *chatAnswer) event(message any) error {
	if !a.begun {
		a.begun = true
		a.writer.Header().Set("Content-Type", "text/event-stream")
		a.writer.Header().Set("Cache-Control", "no-cache")
	}
	encoded, err := json.Marshal(message)
	if err != nil {
		return errors.Newf("encode event: %w", err)
	}
	return a.raw(string(encoded))
}

func (a *chatAnswer) raw(data string) error {
	if _, err := a.writer.Write([]byte("data: " + data + "\n\n")); err != nil {
		return errors.Newf("write event: %w", err)
	}
	if err := http.NewResponseController(a.writer).Flush(); err != nil {
		return errors.Newf("flush event: %w", err)
	}
	return nil
}

// complete sends the end of a whole answer.
func (a *chatAnswer) complete() {
	reason := a.reason
	if a.job.stream {
		_ = a.event(a.completion("chat.completion.chunk", chatChoice{Delta: &chatDelta{}, FinishReason: &reason}))
		_ = a.raw("[DONE]")
		return
	}
	message := chatDelta{Role: "assistant", Content: a.text.String()}
	answer := a.completion("chat.completion", chatChoice{Message: &message, FinishReason: &reason})
	answer.Usage = &chatUsage{
		PromptTokens: a.job.promptTokens, CompletionTokens: a.tokens,
		TotalTokens: a.job.promptTokens + a.tokens,
	}
	a.writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.writer).Encode(answer)
}

// fail sends an error. A stream that has begun ends with an error event and
// without its closing event, so that nobody takes it for whole.
func (a *chatAnswer) fail(f *fault) {
	if a.begun {
		_ = a.event(newErrorAnswer(f))
		return
	}
	writeError(a.writer, f)
}
