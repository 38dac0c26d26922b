// Package hosts stands in for the platform's list of live and leaving hosts. It serves a
// change of the list only after a lag.
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
	setAt time.Time
	hosts []Host
}

// List is a stand-in for the list of hosts. It is safe for concurrent use.
type List struct {
	lag time.Duration

	mu       sync.Mutex
	versions []version
}

// NewList returns an empty list that serves each change after lag.
func NewList(lag time.Duration) *List {
	return &List{lag: lag}
}

// Handler returns the handler of the list and its control route.
func (l *List) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/hosts", l.serveList)
	router.Put("/control/hosts", l.serveSet)
	return router
}

// Set replaces the list. The new list is served after the lag.
func (l *List) Set(hosts []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{setAt: time.Now(), hosts: hosts})
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
	visible := []Host{}
	for _, v := range l.versions {
		if time.Since(v.setAt) >= l.lag {
			visible = v.hosts
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(visible)
}
