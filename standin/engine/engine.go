// Package engine stands in for a model engine.
//
// A prefill engine runs one prompt at a time, the most urgent first, and keeps
// each KV cache for under a second. A decode engine fetches a cache over a link
// of bounded rate and then produces one token a gap for each running request,
// within bounded places and memory pieces. Its output is a function of the
// prompt alone, so that a resumed stream can be compared with a whole one. It
// does not notice a client that is gone: a request ends when its output is
// complete or when it is cancelled.
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Config sizes an engine.
type Config struct {
	Name string
	// Places is the number of requests that run at once.
	Places int
	// Pieces is the memory in pieces of 4,096 tokens.
	Pieces int
	// TokensPerSecond is the prefill rate.
	TokensPerSecond float64
	// TokenGap is the time between two tokens of one request.
	TokenGap time.Duration
	// KVBytesPerToken sizes an exported cache.
	KVBytesPerToken int
	// LinkBytesPerSecond is the rate of the transfer link, 0 for no limit.
	LinkBytesPerSecond float64
	// KVKeep is the time for which an exported cache is kept.
	KVKeep time.Duration
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// OrderToken must come with orders unless it is empty.
	OrderToken string
}

// Switches are the failures that can be turned on.
type Switches struct {
	// Leaving is shown in the load report.
	Leaving bool `json:"leaving"`
	// SilentAfter makes each new stream go silent after so many tokens, 0 for never.
	SilentAfter int `json:"silent_after"`
	// BreakAfter makes each new stream break after so many tokens, 0 for never.
	BreakAfter int `json:"break_after"`
	// DropCancels makes the engine lose so many cancel orders.
	DropCancels int `json:"drop_cancels"`
	// CrashOn ends the process when a prompt contains this text.
	CrashOn string `json:"crash_on"`
}

// Counts tells what the engine has done.
type Counts struct {
	Prefills      int `json:"prefills"`
	PrefillTokens int `json:"prefill_tokens"`
	Decodes       int `json:"decodes"`
	Cancels       int `json:"cancels"`
	RefusedOrders int `json:"refused_orders"`
	ExpiredCaches int `json:"expired_caches"`
	Running       int `json:"running"`
	UsedPieces    int `json:"used_pieces"`
	Exports       int `json:"exports"`
	Orders        int `json:"orders"`
}

// running is one request in decode.
type running struct {
	id       string
	words    []string
	produced int
	pieces   int
	cancel   context.CancelFunc
	changed  chan struct{}
	ended    bool
}

type export struct {
	bytes   int64
	tokens  int
	expires time.Time
}

// Engine is the stand-in's state.
type Engine struct {
	config Config
	crash  func()

	mu       sync.Mutex
	running  map[string]*running
	exports  map[string]export
	prompts  promptQueue
	switches Switches
	counts   Counts
	fencing  uint64
	serial   int
	report   loadReport
	reportAt time.Time
	cached   map[string]bool
	events   []cacheEvent
	orders   []order
	done     chan struct{}
}

// NewEngine returns an engine. crash is called where a real engine would die.
func NewEngine(config Config, crash func()) *Engine {
	return &Engine{
		config: config, crash: crash,
		running: map[string]*running{}, exports: map[string]export{},
		cached: map[string]bool{}, done: make(chan struct{}),
	}
}

// Done is closed by Close.
func (e *Engine) Done() <-chan struct{} {
	return e.done
}

// Close ends all running requests.
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

// Handler serves the engine protocol and the control routes.
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

// serveLoad answers with a report that is up to ReportLag old.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if time.Since(e.reportAt) >= e.config.ReportLag {
		e.report = e.takeReport()
		e.reportAt = time.Now()
	}
	report := e.report
	e.mu.Unlock()
	writeJSON(w, report)
}

// takeReport returns the present load. The caller holds the lock.
func (e *Engine) takeReport() loadReport {
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

// Counts returns what the engine has done and what it holds.
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

// checkOrder reports whether an order's fencing number is accepted.
func (e *Engine) checkOrder(r *http.Request) bool {
	number, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Number"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && number < e.fencing {
		e.counts.RefusedOrders++
		return false
	}
	e.fencing = max(e.fencing, number)
	return true
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.checkOrder(r) {
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
	e.end(target)
}

// end frees what a request holds. The caller holds the lock.
func (e *Engine) end(r *running) {
	if r.ended {
		return
	}
	r.ended = true
	delete(e.running, r.id)
	close(r.changed)
}

func writeJSON(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message)
}
