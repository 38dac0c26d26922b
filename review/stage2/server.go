//go:build review

package stage2

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is a request that a server began to run.
type Run struct {
	At      time.Time
	Server  string
	Service string
	Attempt string
	Method  string
	Target  string
	// LostAnswer is true if the answer was lost.
	LostAnswer bool
}

// Server is one server of the platform: a plain server, or a model server of a stage.
type Server struct {
	ID, Service, Zone, Stage, Version string
	Slots                             int
	Born                              time.Time
	Address                           string
	// Work is the time of a plain run. Events and Gap are those of a stream.
	Work   time.Duration
	Events int
	Gap    time.Duration
	// LoseAnswer reports whether the answer of a plain run is lost after it has run.
	LoseAnswer func(run Run) bool
	// Handle handles a request in place of the rest, if it is set and returns true.
	Handle func(w http.ResponseWriter, r *http.Request, body []byte) bool
	OnRun  func(Run)

	mu      sync.Mutex
	active  int
	handles map[string]time.Time
	serial  int
	site    *Servers
	http    *http.Server
	crashed bool
	// dark is set while the server sends nothing.
	dark bool
}

// SetDark makes the server silent: it keeps its connections and sends nothing.
func (s *Server) SetDark(dark bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dark = dark
}

// IsDark reports whether the server is silent.
func (s *Server) IsDark() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dark
}

// awaitLight waits while the server is dark, and reports whether the client is still there.
func (s *Server) awaitLight(r *http.Request) bool {
	for s.IsDark() {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(10 * time.Millisecond):
		}
	}
	return true
}

// Servers are the servers of a site, by address.
type Servers struct {
	mu        sync.Mutex
	byAddress map[string]*Server
	Runs      []Run
	Arrivals  []Run
}

// NewServers returns no servers.
func NewServers() *Servers {
	return &Servers{byAddress: map[string]*Server{}}
}

// Start starts a server on a loopback address.
func (s *Servers) Start(server *Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server.Address, server.site, server.handles = listener.Addr().String(), s, map[string]time.Time{}
	if server.Born.IsZero() {
		server.Born = time.Now()
	}
	s.mu.Lock()
	s.byAddress[server.Address] = server
	s.mu.Unlock()
	server.serve(listener)
	return nil
}

func (s *Server) serve(listener net.Listener) {
	// A connection that the server does not close in order ends with a reset, as in a crash.
	process := &http.Server{Handler: s}
	s.mu.Lock()
	s.http, s.crashed, s.active = process, false, 0
	s.mu.Unlock()
	go func() { _ = process.Serve(listener) }()
}

// Crash ends the server as a crash does, and starts its next lifetime with the same ID and address after
// some time. It reports whether the server ran. back is called when the server is back.
func (s *Server) Crash(downtime time.Duration, back func()) bool {
	s.mu.Lock()
	process, crashed := s.http, s.crashed
	s.crashed = true
	s.mu.Unlock()
	if crashed {
		return false
	}
	_ = process.Close()
	go func() {
		time.Sleep(downtime)
		for {
			listener, err := net.Listen("tcp", s.Address)
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			s.mu.Lock()
			s.Born, s.handles = time.Now(), map[string]time.Time{}
			s.mu.Unlock()
			s.serve(listener)
			back()
			return
		}
	}()
	return true
}

// AllRuns returns the runs so far.
func (s *Servers) AllRuns() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.Runs...)
}

// AllArrivals returns the requests that have arrived so far, whether they ran or not.
func (s *Servers) AllArrivals() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.Arrivals...)
}

// Entry returns the entry of the server in the store.
func (s *Server) Entry(state string) map[string]any {
	entry := map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": s.Version, "slots": s.Slots, "state": state,
		"cold_left_ms": 0, "sequence": 1, "born": s.Born.UnixMilli(),
	}
	if s.Stage != "" {
		entry["stage"] = s.Stage
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return entry
}

func notRun(w http.ResponseWriter, status int) {
	w.Header().Set("Turmerictide-Not-Executed", "1")
	w.WriteHeader(status)
}

// ServeHTTP serves one request as a sound server does.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.awaitLight(r) {
		return
	}
	attempt := r.Header.Get("Turmerictide-Attempt-Id")
	w.Header().Set("Turmerictide-Attempt-Id", attempt)
	w.Header().Set("Turmerictide-Instance-Id", s.ID)
	run := Run{At: time.Now(), Server: s.ID, Service: s.Service, Attempt: attempt, Method: r.Method, Target: r.RequestURI}
	if attempt != "" {
		s.site.mu.Lock()
		s.site.Arrivals = append(s.site.Arrivals, run)
		s.site.mu.Unlock()
	}
	if target := r.Header.Get("Turmerictide-Target-Instance"); target != "" && target != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.Handle != nil && s.Handle(w, r, body) {
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.WriteHeader(http.StatusOK)
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		s.takeHandle(strings.TrimPrefix(r.URL.Path, "/kv-handle/"))
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/report":
		_, _ = fmt.Fprintf(w, `{"stage":%q,"models":[],"busy":false,"sequence":0,"queued":0,"active":0,"kv_used":0,"kv_total":100000,"kv_handles":0,"born":%d}`, s.Stage, s.Born.UnixMilli())
	case r.URL.Path == "/order":
		w.WriteHeader(http.StatusConflict)
	case attempt == "":
		notRun(w, http.StatusBadRequest)
	case r.Header.Get("Turmerictide-Serving-Stage") == "prefill":
		s.prefill(w, r)
	case s.Stage == "prefill":
		w.WriteHeader(http.StatusMisdirectedRequest)
	case s.Stage == "decode":
		s.decode(w, r, run)
	default:
		s.plain(w, run)
	}
}

func (s *Server) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active >= s.Slots {
		return false
	}
	s.active++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

func (s *Server) record(run Run) {
	s.site.mu.Lock()
	s.site.Runs = append(s.site.Runs, run)
	s.site.mu.Unlock()
	if s.OnRun != nil {
		s.OnRun(run)
	}
}

func (s *Server) seal(w http.ResponseWriter) {
	w.Header().Set("Turmerictide-Server-Seal", "seal."+s.ID)
}

func (s *Server) plain(w http.ResponseWriter, run Run) {
	if !s.acquire() {
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	run.LostAnswer = s.LoseAnswer != nil && s.LoseAnswer(run)
	s.record(run)
	time.Sleep(s.Work)
	if run.LostAnswer {
		Reset(w)
		return
	}
	s.seal(w)
	_, _ = io.WriteString(w, "answer of "+s.ID+" to "+run.Attempt+strings.Repeat(".", 700))
}

// Reset ends the connection of a request with a reset.
func Reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if socket, ok := conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}

func (s *Server) prefill(w http.ResponseWriter, r *http.Request) {
	prompt, _, _ := strings.Cut(r.Header.Get("Turmerictide-Token-Counts"), ",")
	tokens, _ := strconv.Atoi(prompt)
	time.Sleep(time.Duration(tokens/55) * time.Millisecond)
	s.mu.Lock()
	s.serial++
	handle := fmt.Sprintf("%s%06x", s.ID[len(s.ID)-2:], s.serial)
	s.handles[handle] = time.Now()
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"cache_handle":%q,"tokens":%d,"version":1}`, handle, tokens)
}

// takeHandle takes a handle, and reports whether it was there.
func (s *Server) takeHandle(handle string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.handles[handle]
	delete(s.handles, handle)
	return ok && time.Since(at) < 500*time.Millisecond
}

func (s *Server) decode(w http.ResponseWriter, r *http.Request, run Run) {
	if !s.acquire() {
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	if source := r.Header.Get("Turmerictide-Kv-Source"); source != "" {
		address, handle, _ := strings.Cut(source, "/")
		s.site.mu.Lock()
		other := s.site.byAddress[address]
		s.site.mu.Unlock()
		if other == nil || !other.takeHandle(handle) {
			notRun(w, http.StatusServiceUnavailable)
			return
		}
	} else {
		prompt, _, _ := strings.Cut(r.Header.Get("Turmerictide-Token-Counts"), ",")
		tokens, _ := strconv.Atoi(prompt)
		time.Sleep(time.Duration(tokens/27) * time.Millisecond)
	}
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	s.record(run)
	s.seal(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Turmerictide-Weight-Versions", "1")
	for i := first; i < s.Events; i++ {
		if !s.awaitLight(r) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d of %s at %s\n\n", i, i, run.Attempt, s.Version)
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.Gap):
		}
	}
}
