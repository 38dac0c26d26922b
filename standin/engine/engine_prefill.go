package engine

import (
	"container/heap"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/turmerictide/turmerictide/standin/ending"
)

// queuedPrompt is one waiting or running prefill.
type queuedPrompt struct {
	priority int
	serial   int
	ready    chan struct{}
}

// promptQueue is a heap of prompts by priority and arrival. Its first element runs.
type promptQueue []*queuedPrompt

func (q promptQueue) Len() int { return len(q) }

func (q promptQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].serial < q[j].serial
}

func (q promptQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends a *queuedPrompt.
func (q *promptQueue) Push(x any) { *q = append(*q, x.(*queuedPrompt)) }

// Pop removes the last *queuedPrompt.
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
	e.lastSerial++
	p := &queuedPrompt{priority: priority, serial: e.lastSerial, ready: make(chan struct{}, 1)}
	heap.Push(&e.prompts, p)
	e.counts.Prefills++
	e.startMostUrgent()
	e.mu.Unlock()
	defer e.removePrompt(p)
	if !e.runPrompt(r.Context(), p, r.Header.Get("X-Request-Id"), request) {
		return
	}
	response := e.exportCache(r, request)
	e.mu.Lock()
	kind := e.switches.Ending
	e.mu.Unlock()
	if kind != ending.None {
		encoded, _ := json.Marshal(response)
		ending.Write(w, kind, "application/json", string(encoded[:len(encoded)/2]), string(encoded[len(encoded)/2:]))
		return
	}
	writeJSON(w, response)
}

// startMostUrgent signals the most urgent prompt to run. e.mu must be held.
func (e *Engine) startMostUrgent() {
	if len(e.prompts) == 0 {
		return
	}
	select {
	case e.prompts[0].ready <- struct{}{}:
	default:
	}
}

func (e *Engine) removePrompt(p *queuedPrompt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.prompts {
		if other == p {
			heap.Remove(&e.prompts, i)
			break
		}
	}
	e.startMostUrgent()
}

// runPrompt waits until the prompt is first in the queue, and then for the time that its
// uncached tokens take. It returns false if ctx is cancelled or the prompt crashes the engine.
func (e *Engine) runPrompt(ctx context.Context, p *queuedPrompt, id string, request chatRequest) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.ready:
	}
	text := request.text()
	if e.shouldCrash(text) {
		e.crash()
		return false
	}
	tokens := request.promptTokens()
	duration := time.Duration(float64(e.cacheMissTokens(id, text, tokens)) / e.config.TokensPerSecond * float64(time.Second))
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
	}
	e.mu.Lock()
	e.counts.PrefillTokens += tokens
	e.mu.Unlock()
	return true
}

func (e *Engine) shouldCrash(text string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.switches.CrashOn != "" && strings.Contains(text, e.switches.CrashOn)
}

// cachedPrefixBytes is the length of the prefix of a prompt that is cached.
const cachedPrefixBytes = 1024

// cacheMissTokens returns the number of tokens of a prompt that are not cached, and caches the
// prefix of the prompt.
func (e *Engine) cacheMissTokens(id, text string, tokens int) int {
	if len(text) < cachedPrefixBytes {
		return tokens
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cachedPrefixes[text[:cachedPrefixBytes]] {
		return max(tokens-cachedPrefixBytes/bytesPerToken, 1)
	}
	e.cachedPrefixes[text[:cachedPrefixBytes]] = true
	e.addCacheEvent(id, cachedPrefixBytes/bytesPerToken)
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

func (e *Engine) exportCache(r *http.Request, request chatRequest) prefillResponse {
	tokens := request.promptTokens()
	size := int64(tokens) * int64(e.config.KVBytesPerToken)
	id := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	e.exports[id] = exportedCache{bytes: size, tokens: tokens, expires: time.Now().Add(e.config.KVKeep)}
	e.mu.Unlock()
	return prefillResponse{Transfer: transferResponse{Handle: handle{Address: r.Host, ID: id, Bytes: size}}}
}

// expireExports drops exported caches that were not fetched in time. e.mu must be held.
func (e *Engine) expireExports(now time.Time) {
	for id, cache := range e.exports {
		if now.After(cache.expires) {
			delete(e.exports, id)
			e.counts.ExpiredCaches++
		}
	}
}

// serveFetch serves a KV cache once, after the time that the link takes to transfer it.
func (e *Engine) serveFetch(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	e.mu.Lock()
	e.expireExports(time.Now())
	cache, ok := e.exports[id]
	delete(e.exports, id)
	e.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusGone)
		return
	}
	if e.config.LinkBytesPerSecond > 0 {
		time.Sleep(time.Duration(float64(cache.bytes) / e.config.LinkBytesPerSecond * float64(time.Second)))
	}
	writeJSON(w, handle{ID: id, Bytes: cache.bytes})
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
