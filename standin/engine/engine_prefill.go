package engine

import (
	"container/heap"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
)

// prompt is one prefill that waits for the engine.
type prompt struct {
	priority int
	serial   int
	ready    chan struct{}
}

// promptQueue orders prompts by priority and arrival; its first element runs.
type promptQueue []*prompt

func (q promptQueue) Len() int { return len(q) }

func (q promptQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].serial < q[j].serial
}

func (q promptQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends a *prompt.
func (q *promptQueue) Push(x any) { *q = append(*q, x.(*prompt)) }

// Pop removes the last *prompt.
func (q *promptQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// servePrefill runs a prompt and exports its KV cache.
func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request, request chatRequest) {
	e.mu.Lock()
	if len(e.prompts) >= e.config.Places {
		e.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	e.serial++
	p := &prompt{priority: priority, serial: e.serial, ready: make(chan struct{}, 1)}
	heap.Push(&e.prompts, p)
	e.counts.Prefills++
	e.wakeFirst()
	e.mu.Unlock()
	defer e.leavePrompts(p)
	if !e.runPrompt(r.Context(), p, r.Header.Get("X-Request-Id"), request) {
		return
	}
	writeJSON(w, e.export(r, request))
}

// wakeFirst lets the most urgent prompt run. The caller holds the lock.
func (e *Engine) wakeFirst() {
	if len(e.prompts) == 0 {
		return
	}
	select {
	case e.prompts[0].ready <- struct{}{}:
	default:
	}
}

func (e *Engine) leavePrompts(p *prompt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.prompts {
		if other == p {
			heap.Remove(&e.prompts, i)
			break
		}
	}
	e.wakeFirst()
}

// runPrompt waits for its turn and takes the time of the uncached tokens.
func (e *Engine) runPrompt(ctx context.Context, p *prompt, id string, request chatRequest) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.ready:
	}
	text := request.text()
	if e.crashes(text) {
		e.crash()
		return false
	}
	tokens := request.promptTokens()
	left := time.Duration(float64(e.uncached(id, text, tokens)) / e.config.TokensPerSecond * float64(time.Second))
	select {
	case <-ctx.Done():
		return false
	case <-time.After(left):
	}
	e.mu.Lock()
	e.counts.PrefillTokens += tokens
	e.mu.Unlock()
	return true
}

func (e *Engine) crashes(text string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.switches.CrashOn != "" && strings.Contains(text, e.switches.CrashOn)
}

// prefixBytes is the length of the prompt's beginning that is cached.
const prefixBytes = 1024

// uncached returns the tokens to compute and remembers the prompt's beginning.
func (e *Engine) uncached(id, text string, tokens int) int {
	if len(text) < prefixBytes {
		return tokens
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cached[text[:prefixBytes]] {
		return max(tokens-prefixBytes/bytesPerToken, 1)
	}
	e.cached[text[:prefixBytes]] = true
	e.noteCached(id, prefixBytes/bytesPerToken)
	return tokens
}

type handle struct {
	Address string `json:"remote_address"`
	ID      string `json:"remote_kv_id"`
	Bytes   int64  `json:"bytes"`
}

type transferResponse struct {
	Handle handle `json:"handle"`
}

type prefillResponse struct {
	Transfer transferResponse `json:"kv_transfer_params"`
}

func (e *Engine) export(r *http.Request, request chatRequest) prefillResponse {
	tokens := request.promptTokens()
	size := int64(tokens) * int64(e.config.KVBytesPerToken)
	id := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	e.exports[id] = export{bytes: size, tokens: tokens, expires: time.Now().Add(e.config.KVKeep)}
	e.mu.Unlock()
	return prefillResponse{Transfer: transferResponse{Handle: handle{Address: r.Host, ID: id, Bytes: size}}}
}

// expireExports drops caches that nobody fetched. The caller holds the lock.
func (e *Engine) expireExports(now time.Time) {
	for id, x := range e.exports {
		if now.After(x.expires) {
			delete(e.exports, id)
			e.counts.ExpiredCaches++
		}
	}
}

// serveFetch sends a KV cache over the link, which takes its time.
func (e *Engine) serveFetch(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	e.mu.Lock()
	e.expireExports(time.Now())
	x, ok := e.exports[id]
	delete(e.exports, id)
	e.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusGone)
		return
	}
	if e.config.LinkBytesPerSecond > 0 {
		time.Sleep(time.Duration(float64(x.bytes) / e.config.LinkBytesPerSecond * float64(time.Second)))
	}
	writeJSON(w, handle{ID: id, Bytes: x.bytes})
}

func (e *Engine) serveRelease(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.exports[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	delete(e.exports, id)
}
