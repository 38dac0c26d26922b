package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// lostEventInterval is the interval between cache events that are never published: every
// fifth event is missing.
const lostEventInterval = 5

// cacheEvent reports that the prefix of a prompt was cached.
type cacheEvent struct {
	Serial    int    `json:"serial"`
	RequestID string `json:"request_id"`
	Tokens    int    `json:"tokens"`
	storedAt  time.Time
}

// addCacheEvent adds an event. e.mu must be held.
func (e *Engine) addCacheEvent(id string, tokens int) {
	e.events = append(e.events, cacheEvent{Serial: len(e.events) + 1, RequestID: id, Tokens: tokens, storedAt: time.Now()})
}

// serveCacheEvents serves the events after a serial number, with gaps. Each event is delayed
// by ReportLag.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	visible := []cacheEvent{}
	e.mu.Lock()
	for _, event := range e.events {
		isDue := time.Since(event.storedAt) >= e.config.ReportLag
		if event.Serial > after && isDue && event.Serial%lostEventInterval != 0 {
			visible = append(visible, event)
		}
	}
	e.mu.Unlock()
	writeJSON(w, visible)
}

// order is a configuration change for an engine.
type order struct {
	// Kind is load_model, load_adapter, load_version or change_role.
	Kind     string `json:"kind"`
	Argument string `json:"argument"`
}

// headerOrderToken authenticates the sender of an order at engines that check it.
const headerOrderToken = "X-Order-Token"

// serveOrder records an order. It rejects orders without the order token if one is
// configured, and orders with an old fencing number if ChecksFencing is set.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if e.config.OrderToken != "" && r.Header.Get(headerOrderToken) != e.config.OrderToken {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if !e.acceptFencing(r) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	var received order
	if err := json.NewDecoder(r.Body).Decode(&received); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch received.Kind {
	case "load_model", "load_adapter", "load_version", "change_role":
	default:
		http.Error(w, "unknown order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.orders = append(e.orders, received)
	e.mu.Unlock()
}
