package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/turmerictide/turmerictide/standin/ending"
)

const (
	// bytesPerToken is the length of a prompt token.
	bytesPerToken = 4
	pieceTokens   = 4096
	// defaultOutput is the number of output tokens of a request that sets none.
	defaultOutput = 32
)

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Transfer  struct {
		DoRemoteDecode bool    `json:"do_remote_decode"`
		Handle         *handle `json:"handle"`
		ResumeFrom     int     `json:"resume_from_token"`
	} `json:"kv_transfer_params"`
}

func (r chatRequest) text() string {
	var text strings.Builder
	for _, m := range r.Messages {
		text.WriteString(m.Content)
	}
	return text.String()
}

func (r chatRequest) promptTokens() int {
	return len(r.text())/bytesPerToken + 1
}

// Words returns the first count words of the output for a prompt. They depend only on the
// prompt.
func Words(prompt string, count int) []string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(prompt))
	words := make([]string, count)
	for i := range words {
		words[i] = fmt.Sprintf("w%x-%d ", hash.Sum32(), i)
	}
	return words
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if request.Transfer.DoRemoteDecode {
		e.servePrefill(w, r, request)
		return
	}
	e.serveDecode(w, r, request)
}

func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request, request chatRequest) {
	target, ok := e.admit(r.Header.Get("X-Request-Id"), request)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !fetchCache(r.Context(), request.Transfer.Handle) {
		e.mu.Lock()
		e.finish(target)
		e.mu.Unlock()
		w.WriteHeader(http.StatusGone)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	target.cancel = cancel
	e.mu.Unlock()
	go e.produceTokens(ctx, target)
	e.stream(w, r, target, request.Transfer.ResumeFrom)
}

// admit reserves a place and memory for a request.
func (e *Engine) admit(id string, request chatRequest) (*runningRequest, bool) {
	count := request.MaxTokens
	if count <= 0 {
		count = defaultOutput
	}
	text := request.text()
	target := &runningRequest{
		id: id, words: Words(text, count), produced: request.Transfer.ResumeFrom,
		pieces: (request.promptTokens() + count + pieceTokens - 1) / pieceTokens,
		cancel: func() {}, changed: make(chan struct{}),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	used := 0
	for _, r := range e.running {
		used += r.pieces
	}
	if len(e.running) >= e.config.Places || used+target.pieces > e.config.Pieces {
		return nil, false
	}
	if _, ok := e.running[id]; ok {
		return nil, false
	}
	e.running[id] = target
	e.counts.Decodes++
	return target, true
}

// fetchCache fetches a KV cache from the prefill engine and reports success.
func fetchCache(ctx context.Context, from *handle) bool {
	if from == nil {
		return false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.Address+"/v1/kv/"+from.ID, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// finishedRetention is the time during which a complete output can still be resumed.
const finishedRetention = 500 * time.Millisecond

// produceTokens adds one token per token gap until the output is complete.
func (e *Engine) produceTokens(ctx context.Context, target *runningRequest) {
	ticker := time.NewTicker(e.config.TokenGap)
	defer ticker.Stop()
	for {
		e.mu.Lock()
		complete := target.produced >= len(target.words)
		if !complete && !target.finished {
			target.produced++
			close(target.changed)
			target.changed = make(chan struct{})
		}
		e.mu.Unlock()
		if complete {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(finishedRetention):
	}
	e.mu.Lock()
	e.finish(target)
	e.mu.Unlock()
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	target, ok := e.running[chi.URLParam(r, "id")]
	e.mu.Unlock()
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if !ok || err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.stream(w, r, target, from)
}

// endingTokens is the number of tokens that a stream sends before it ends wrongly.
const endingTokens = 2

// stream sends the tokens from an offset as they are produced.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, target *runningRequest, from int) {
	e.mu.Lock()
	switches := e.switches
	e.mu.Unlock()
	if switches.Ending != ending.None {
		var sent, rest strings.Builder
		for offset := from; offset < len(target.words); offset++ {
			to := &rest
			if offset < from+endingTokens {
				to = &sent
			}
			writeToken(to, offset, target.words[offset])
		}
		writeEnd(&rest, len(target.words))
		ending.Write(w, switches.Ending, "text/event-stream", sent.String(), rest.String())
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	flusher.Flush()
	for offset := from; ; {
		e.mu.Lock()
		produced, changed, finished := target.produced, target.changed, target.finished
		e.mu.Unlock()
		for ; offset < produced; offset++ {
			sent := offset - from
			if switches.BreakAfter > 0 && sent >= switches.BreakAfter {
				panic(http.ErrAbortHandler)
			}
			if switches.SilentAfter > 0 && sent >= switches.SilentAfter {
				<-r.Context().Done()
				return
			}
			writeToken(w, offset, target.words[offset])
		}
		flusher.Flush()
		if offset >= len(target.words) {
			writeEnd(w, offset)
			e.mu.Lock()
			target.cancel()
			e.finish(target)
			e.mu.Unlock()
			return
		}
		if finished {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type event struct {
	Object      string   `json:"object"`
	TokenOffset int      `json:"token_offset"`
	Choices     []choice `json:"choices"`
}

func writeToken(w io.Writer, offset int, word string) {
	writeEvent(w, event{Object: "chat.completion.chunk", TokenOffset: offset, Choices: []choice{{Delta: delta{Content: word}}}})
}

func writeEnd(w io.Writer, offset int) {
	reason := "stop"
	writeEvent(w, event{Object: "chat.completion.chunk", TokenOffset: offset, Choices: []choice{{FinishReason: &reason}}})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeEvent(w io.Writer, ev event) {
	encodedEvent, _ := json.Marshal(ev)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", encodedEvent)
}
