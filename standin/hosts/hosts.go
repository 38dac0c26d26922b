// Package hosts stands in for the platform's list of live and leaving hosts.
// The list that it serves lags behind the one that was set.
package hosts

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Host is one entry of the list.
type Host struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	// State is live or leaving.
	State string `json:"state"`
}

type version struct {
	at    time.Time
	hosts []Host
}

// List is the stand-in's state.
type List struct {
	lag time.Duration

	mu       sync.Mutex
	versions []version
}

// NewList returns an empty list that shows each change after lag.
func NewList(lag time.Duration) *List {
	return &List{lag: lag}
}

// Handler serves the list and its control route.
func (l *List) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/hosts", l.serveList)
	router.Put("/control/hosts", l.serveSet)
	return router
}

// Set replaces the list; it is shown after the lag.
func (l *List) Set(hosts []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{at: time.Now(), hosts: hosts})
}

func (l *List) serveSet(w http.ResponseWriter, r *http.Request) {
	var hosts []Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(hosts)
}

func (l *List) serveList(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	shown := []Host{}
	for _, v := range l.versions {
		if time.Since(v.at) >= l.lag {
			shown = v.hosts
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(shown)
}
