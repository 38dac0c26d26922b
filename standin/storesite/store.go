// Package storesite stands in for the platform's key-value service.
//
// It serves the part of the etcd v3 protocol that the system uses, in the published JSON
// mapping of the protocol: range, transaction, lease grant and watch. Switches on a control
// route start an outage, delay every response, or drop the response of writes that have taken
// effect.
package storesite

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Switches are the faults that can be turned on.
type Switches struct {
	Outage bool `json:"outage"`
	// Delay is added to every response.
	Delay time.Duration `json:"delay"`
	// DropResponses is the number of upcoming writes whose response is dropped.
	DropResponses int `json:"lose_answers"`
}

// Counts are the numbers of calls since the start, and the size of the largest written value
// in bytes.
type Counts struct {
	Reads        int `json:"reads"`
	Writes       int `json:"writes"`
	Watches      int `json:"watches"`
	LargestValue int `json:"largest_value"`
}

type record struct {
	Value       []byte
	ModRevision int64
	Lease       int64
}

type event struct {
	Revision int64
	Key      string
	Value    []byte
	Deleted  bool
}

// Store is a stand-in for the key-value service. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	records  map[string]record
	leases   map[int64]time.Time
	history  []event
	revision int64
	changed  chan struct{}
	switches Switches
	counts   Counts
	now      func() time.Time
}

// NewStore returns an empty store. now returns the time for the expiry of leases.
func NewStore(now func() time.Time) *Store {
	return &Store{
		records:  map[string]record{},
		leases:   map[int64]time.Time{},
		revision: 1,
		changed:  make(chan struct{}),
		now:      now,
	}
}

// Handler returns the handler of the protocol and the control routes.
func (s *Store) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v3/kv/range", s.withFaults(s.serveRange))
	router.Post("/v3/kv/txn", s.withFaults(s.serveTransaction))
	router.Post("/v3/lease/grant", s.withFaults(s.serveLeaseGrant))
	router.Post("/v3/watch", s.withFaults(s.serveWatch))
	router.Put("/control/switches", s.serveSwitches)
	router.Get("/control/counts", s.serveCounts)
	return router
}

func (s *Store) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		switches := s.switches
		s.mu.Unlock()
		if switches.Delay > 0 {
			time.Sleep(switches.Delay)
		}
		if switches.Outage {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Store) serveSwitches(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	if err := json.NewDecoder(r.Body).Decode(&switches); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetSwitches(switches)
}

// SetSwitches replaces the switches. Open watches end when an outage begins.
func (s *Store) SetSwitches(switches Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
	s.notifyWatches()
}

func (s *Store) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counts())
}

func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// notifyWatches wakes all watches. s.mu must be held.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases deletes the records of expired leases. s.mu must be held.
func (s *Store) expireLeases() {
	now := s.now()
	for id, expiry := range s.leases {
		if now.Before(expiry) {
			continue
		}
		delete(s.leases, id)
		for key, rec := range s.records {
			if rec.Lease == id {
				s.deleteKey(key)
			}
		}
	}
}

// deleteKey deletes a key at a new revision. s.mu must be held.
func (s *Store) deleteKey(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	delete(s.records, key)
	s.revision++
	s.history = append(s.history, event{Revision: s.revision, Key: key, Deleted: true})
}

// findKeys returns the sorted keys in [key, end), or only key if end is empty. s.mu must be
// held.
func (s *Store) findKeys(key, end string) []string {
	if end == "" {
		if _, ok := s.records[key]; ok {
			return []string{key}
		}
		return nil
	}
	var keys []string
	for candidate := range s.records {
		if candidate >= key && candidate < end {
			keys = append(keys, candidate)
		}
	}
	sort.Strings(keys)
	return keys
}

func writeJSON(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message)
}
