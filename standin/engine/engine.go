// Package engine stands in for a model engine.
//
// A prefill engine runs one prompt at a time, the most urgent first, and keeps each KV cache
// for less than a second. A decode engine fetches a cache over a link of limited rate and
// then produces one token per token gap for each running request. The numbers of places and
// memory pieces are limited. The output depends only on the prompt, so that a resumed stream
// can be compared with a complete one. The engine does not detect that a client has
// disconnected: a request ends when its output is complete or when it is cancelled.
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/turmerictide/turmerictide/standin/ending"
)

// Config sets the size and the behaviour of an engine.
type Config struct {
	Name string
	// Places is the maximum number of concurrent requests.
	Places int
	// Pieces is the memory in pieces of 4,096 tokens.
	Pieces int
	// TokensPerSecond is the prefill rate.
	TokensPerSecond float64
	// TokenGap is the time between two tokens of one request.
	TokenGap time.Duration
	// KVBytesPerToken is the size of an exported cache per prompt token.
	KVBytesPerToken int
	// LinkBytesPerSecond is the rate of the transfer link, 0 for no limit.
	LinkBytesPerSecond float64
	// KVKeep is the time for which an exported cache is kept.
	KVKeep time.Duration
	// ReportLag is the maximum age of load reports, and the delay of cache events.
	ReportLag time.Duration
	// ChecksFencing makes the engine reject orders with an old fencing number.
	ChecksFencing bool
	// OrderToken is required in orders unless it is empty.
	OrderToken string
}

// Switches are the faults that can be turned on.
type Switches struct {
	// Leaving is set in the load report.
	Leaving bool `json:"leaving"`
	// SilentAfter is the number of tokens after which each new stream stalls, 0 for never.
	SilentAfter int `json:"silent_after"`
	// BreakAfter is the number of tokens after which each new stream aborts, 0 for never.
	BreakAfter int `json:"break_after"`
	// DropCancels is the number of upcoming cancel requests that the engine drops.
	DropCancels int `json:"drop_cancels"`
	// CrashOn crashes the process when a prompt contains this text.
	CrashOn string `json:"crash_on"`
	// Ending is the way in which each new stream ends after at most two tokens, and each
	// response to a prefill after half of it.
	Ending ending.Kind `json:"ending"`
}

// Counts are totals since the start of the engine, and its current load.
type Counts struct {
	Prefills       int `json:"prefills"`
	PrefillTokens  int `json:"prefill_tokens"`
	Decodes        int `json:"decodes"`
	Cancels        int `json:"cancels"`
	RejectedOrders int `json:"refused_orders"`
	ExpiredCaches  int `json:"expired_caches"`
	Running        int `json:"running"`
	UsedPieces     int `json:"used_pieces"`
	Exports        int `json:"exports"`
	Orders         int `json:"orders"`
}

// runningRequest is one request in decode.
type runningRequest struct {
	id       string
	words    []string
	produced int
	pieces   int
	cancel   context.CancelFunc
	changed  chan struct{}
	finished bool
}

type exportedCache struct {
	bytes   int64
	tokens  int
	expires time.Time
}

// Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	config Config
	crash  func()

	mu             sync.Mutex
	running        map[string]*runningRequest
	exports        map[string]exportedCache
	prompts        promptQueue
	switches       Switches
	counts         Counts
	highestFencing uint64
	lastSerial     int
	report         loadReport
	reportedAt     time.Time
	cachedPrefixes map[string]bool
	events         []cacheEvent
	orders         []order
	done           chan struct{}
}

// NewEngine returns an engine. It calls crash where a real engine would crash.
func NewEngine(config Config, crash func()) *Engine {
	return &Engine{
		config: config, crash: crash,
		running: map[string]*runningRequest{}, exports: map[string]exportedCache{},
		cachedPrefixes: map[string]bool{}, done: make(chan struct{}),
	}
}

// Done returns a channel that Close closes.
func (e *Engine) Done() <-chan struct{} {
	return e.done
}

// Close cancels all running requests.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.running {
		r.cancel()
	}
	select {
	case <-e.done:
	default:
		close(e.done)
	}
}

// Handler returns the handler of the engine protocol and the control routes.
func (e *Engine) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/chat/completions", e.serveChat)
	router.Get("/v1/requests/{id}/stream", e.serveResume)
	router.Post("/v1/requests/{id}/cancel", e.serveCancel)
	router.Get("/v1/kv/{id}", e.serveFetch)
	router.Delete("/v1/kv/{id}", e.serveRelease)
	router.Get("/v1/load", e.serveLoad)
	router.Get("/v1/cache_events", e.serveCacheEvents)
	router.Post("/v1/orders", e.serveOrder)
	router.Put("/control/switches", e.serveSwitches)
	router.Get("/control/counts", e.serveCounts)
	return router
}

type loadRunning struct {
	RequestID string `json:"request_id"`
	Tokens    int    `json:"tokens"`
}

type loadReport struct {
	Running    []loadRunning `json:"running"`
	FreePlaces int           `json:"free_places"`
	FreePieces int           `json:"free_pieces"`
	Leaving    bool          `json:"leaving"`
	Exports    []string      `json:"exports"`
}

// serveLoad serves a load report that is up to ReportLag old.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if time.Since(e.reportedAt) >= e.config.ReportLag {
		e.report = e.buildReport()
		e.reportedAt = time.Now()
	}
	report := e.report
	e.mu.Unlock()
	writeJSON(w, report)
}

// buildReport returns a report of the current load. e.mu must be held.
func (e *Engine) buildReport() loadReport {
	report := loadReport{FreePlaces: e.config.Places, FreePieces: e.config.Pieces, Leaving: e.switches.Leaving}
	for _, r := range e.running {
		report.Running = append(report.Running, loadRunning{RequestID: r.id, Tokens: r.produced})
		report.FreePlaces--
		report.FreePieces -= r.pieces
	}
	e.expireExports(time.Now())
	for id := range e.exports {
		report.Exports = append(report.Exports, id)
	}
	return report
}

func (e *Engine) serveSwitches(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	if err := json.NewDecoder(r.Body).Decode(&switches); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetSwitches(switches)
}

// SetSwitches replaces the switches.
func (e *Engine) SetSwitches(switches Switches) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.switches = switches
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Counts())
}

// Counts returns the totals and the current load.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireExports(time.Now())
	counts := e.counts
	counts.Running = len(e.running)
	counts.Exports = len(e.exports)
	counts.Orders = len(e.orders)
	for _, r := range e.running {
		counts.UsedPieces += r.pieces
	}
	return counts
}

// acceptFencing records the highest fencing number of all requests. It returns false for a
// request with an older one if ChecksFencing is set.
func (e *Engine) acceptFencing(r *http.Request) bool {
	number, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Number"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && number < e.highestFencing {
		e.counts.RejectedOrders++
		return false
	}
	e.highestFencing = max(e.highestFencing, number)
	return true
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.acceptFencing(r) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.switches.DropCancels > 0 {
		e.switches.DropCancels--
		panic(http.ErrAbortHandler)
	}
	target, ok := e.running[chi.URLParam(r, "id")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.counts.Cancels++
	target.cancel()
	e.finish(target)
}

// finish releases the place and memory of a request. e.mu must be held.
func (e *Engine) finish(r *runningRequest) {
	if r.finished {
		return
	}
	r.finished = true
	delete(e.running, r.id)
	close(r.changed)
}

func writeJSON(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message)
}
