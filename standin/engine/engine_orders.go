package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// gapEvery is the number of cache events of which one is never published.
const gapEvery = 5

// cacheEvent says that a prompt's beginning was stored.
type cacheEvent struct {
	Serial    int    `json:"serial"`
	RequestID string `json:"request_id"`
	Tokens    int    `json:"tokens"`
	at        time.Time
}

// noteCached adds an event. The caller holds the lock.
func (e *Engine) noteCached(id string, tokens int) {
	e.events = append(e.events, cacheEvent{Serial: len(e.events) + 1, RequestID: id, Tokens: tokens, at: time.Now()})
}

// serveCacheEvents answers with the events after a serial number: late by the
// lag of reports, and with gaps.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	shown := []cacheEvent{}
	e.mu.Lock()
	for _, event := range e.events {
		late := time.Since(event.at) >= e.config.ReportLag
		if event.Serial > after && late && event.Serial%gapEvery != 0 {
			shown = append(shown, event)
		}
	}
	e.mu.Unlock()
	writeJSON(w, shown)
}

// order is a change that an engine is told to make.
type order struct {
	// Kind is load_model, load_adapter, load_version or change_role.
	Kind     string `json:"kind"`
	Argument string `json:"argument"`
}

// headerOrderToken proves who gives an order, at engines that check it.
const headerOrderToken = "X-Order-Token"

// serveOrder takes an order. Engines that check refuse one from a stranger, and
// one with an old fencing number.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if e.config.OrderToken != "" && r.Header.Get(headerOrderToken) != e.config.OrderToken {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if !e.checkOrder(r) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	var given order
	if err := json.NewDecoder(r.Body).Decode(&given); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch given.Kind {
	case "load_model", "load_adapter", "load_version", "change_role":
	default:
		http.Error(w, "unknown order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.orders = append(e.orders, given)
	e.mu.Unlock()
}
