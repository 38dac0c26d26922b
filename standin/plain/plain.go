// Package plain stands in for a plain service such as a booking desk.
//
// A POST runs an operation that is not idempotent, and a GET is a lookup. The service counts
// the runs of each Idempotency-Key, so that a test can compare the responses that callers
// received with what has run.
package plain

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Switches are the faults that can be turned on.
type Switches struct {
	// Delay is the duration of each call.
	Delay time.Duration `json:"delay"`
	// DropResponses is the number of upcoming calls that run but get no response.
	DropResponses int `json:"lose_answers"`
	// CloseBefore is the number of upcoming calls whose connection closes before they run.
	CloseBefore int `json:"close_before"`
	// CrashOn crashes the process when the path of a call contains this text.
	CrashOn string `json:"crash_on"`
}

// Service is a stand-in for a plain service. It is safe for concurrent use.
type Service struct {
	mu       sync.Mutex
	runs     map[string]int
	lookups  int
	switches Switches
	crash    func()
}

// NewService returns a service without runs. It calls crash where a real service would crash.
func NewService(crash func()) *Service {
	return &Service{runs: map[string]int{}, crash: crash}
}

// shouldCrash reports whether a call with this path crashes the process.
func (s *Service) shouldCrash(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches.CrashOn != "" && strings.Contains(path, s.switches.CrashOn)
}

// Handler returns the handler of the calls and the control routes.
func (s *Service) Handler() http.Handler {
	router := chi.NewRouter()
	router.Put("/control/switches", s.serveSwitches)
	router.Get("/control/runs", s.serveRuns)
	router.Post("/*", s.serveRun)
	router.Get("/*", s.serveLookup)
	return router
}

func (s *Service) serveSwitches(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	if err := json.NewDecoder(r.Body).Decode(&switches); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetSwitches(switches)
}

// SetSwitches replaces the switches.
func (s *Service) SetSwitches(switches Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Runs())
}

// Runs returns the number of runs of each key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := make(map[string]int, len(s.runs))
	for key, count := range s.runs {
		result[key] = count
	}
	return result
}

func (s *Service) serveRun(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if s.shouldCrash(r.URL.Path) {
		s.crash()
	}
	s.mu.Lock()
	if s.switches.CloseBefore > 0 {
		s.switches.CloseBefore--
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	key := r.Header.Get("Idempotency-Key")
	s.runs[key]++
	number := len(s.runs)
	delay := s.switches.Delay
	dropResponse := s.switches.DropResponses > 0
	if dropResponse {
		s.switches.DropResponses--
	}
	s.mu.Unlock()
	time.Sleep(delay)
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "{\"reservation\":%d,\"path\":%q}\n", number, r.URL.Path)
}

func (s *Service) serveLookup(w http.ResponseWriter, r *http.Request) {
	if s.shouldCrash(r.URL.Path) {
		s.crash()
	}
	s.mu.Lock()
	s.lookups++
	delay := s.switches.Delay
	s.mu.Unlock()
	time.Sleep(delay)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"stock\":42,\"path\":%q}\n", r.URL.Path)
}
