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

	"github.com/turmerictide/turmerictide/standin/ending"
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
	// Ending is the way in which each response ends after half of its body.
	Ending ending.Kind `json:"ending"`
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
	s.respond(w, http.StatusCreated, fmt.Sprintf("{\"reservation\":%d,\"path\":%q}\n", number, r.URL.Path))
}

// respond sends a response, or ends it wrongly if the switches say so.
func (s *Service) respond(w http.ResponseWriter, status int, body string) {
	s.mu.Lock()
	kind := s.switches.Ending
	s.mu.Unlock()
	if kind != ending.None {
		ending.Write(w, kind, "application/json", body[:len(body)/2], body[len(body)/2:])
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
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
	s.respond(w, http.StatusOK, fmt.Sprintf("{\"stock\":42,\"path\":%q}\n", r.URL.Path))
}
