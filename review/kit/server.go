//go:build review

package kit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a stand-in of one server: a plain one, or a model server of a stage.
type Server struct {
	ID, Service, Zone, Stage, Version string
	Addr                              string
	Slots                             int
	Born                              int64
	// Work is the time of a plain request, Events and Pause those of a stream.
	Work   time.Duration
	Events int
	Pause  time.Duration
	// Handle, if set, handles a request before the default. It returns false for the default.
	Handle func(s *Server, w http.ResponseWriter, r *http.Request, body []byte) bool

	mu       sync.Mutex
	Runs     []Run
	Arrivals []Run
	active   atomic.Int64
	listener net.Listener
	httpd    *http.Server
}

// Run is a request that a server began to run.
type Run struct {
	At     time.Time
	ID     string
	Method string
	Path   string
	Body   string
	Header http.Header
}

// NewServer starts a server on a free loopback port.
func NewServer(id, service, zone, stage string) *Server {
	s := &Server{ID: id, Service: service, Zone: zone, Stage: stage, Version: "v1", Slots: 12, Born: time.Now().UnixMilli(), Work: 20 * time.Millisecond, Events: 40, Pause: 20 * time.Millisecond}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fail(err)
	}
	s.listener, s.Addr = l, l.Addr().String()
	s.httpd = &http.Server{Handler: s}
	go func() { _ = s.httpd.Serve(l) }()
	return s
}

// Entry returns what the server writes to the store.
func (s *Server) Entry(state string) map[string]any {
	entry := map[string]any{
		"service": s.Service, "address": s.Addr, "zone": s.Zone, "version": s.Version, "slots": s.Slots,
		"state": state, "cold_left_ms": 0, "sequence": 1, "born": s.Born,
	}
	if s.Stage != "" {
		entry["stage"] = s.Stage
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return entry
}

// Seal sets the proof.
func (s *Server) Seal(w http.ResponseWriter) {
	w.Header().Set("Turmerictide-Server-Seal", "seal."+s.ID)
}

func (s *Server) add(list *[]Run, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*list = append(*list, Run{At: time.Now(), ID: r.Header.Get("Turmerictide-Attempt-Id"), Method: r.Method, Path: r.URL.Path, Body: string(body), Header: r.Header.Clone()})
}

// AddRun records a run.
func (s *Server) AddRun(r *http.Request, body []byte) { s.add(&s.Runs, r, body) }

// AllRuns returns the runs so far.
func (s *Server) AllRuns() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.Runs...)
}

// AllArrivals returns the requests that have arrived so far.
func (s *Server) AllArrivals() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.Arrivals...)
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.add(&s.Arrivals, r, body)
	id := r.Header.Get("Turmerictide-Attempt-Id")
	w.Header().Set("Turmerictide-Attempt-Id", id)
	w.Header()["Date"] = nil
	if target := r.Header.Get("Turmerictide-Target-Instance"); target != "" && target != s.ID {
		w.Header().Set("Turmerictide-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.Method == http.MethodDelete:
		return
	case r.URL.Path == "/order":
		w.WriteHeader(http.StatusAccepted)
		return
	case r.URL.Path == "/report":
		_, _ = fmt.Fprintf(w, `{"stage":%q,"models":[],"busy":false,"sequence":0,"born":%d}`, s.Stage, s.Born)
		return
	case id == "":
		w.Header().Set("Turmerictide-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.Handle != nil && s.Handle(s, w, r, body) {
		return
	}
	if s.Stage != "" {
		s.model(w, r, body)
		return
	}
	s.AddRun(r, body)
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	s.Seal(w)
	_, _ = io.WriteString(w, "answer to "+id)
}

func (s *Server) model(w http.ResponseWriter, r *http.Request, body []byte) {
	if r.Header.Get("Turmerictide-Serving-Stage") == "prefill" {
		if s.Stage != "prefill" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		time.Sleep(10 * time.Millisecond)
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"cache_handle":"h`+r.Header.Get("Turmerictide-Attempt-Id")+`","tokens":10,"version":1}`)
		return
	}
	if s.Stage != "decode" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.Stream(w, r, body, s.Events)
}

// Stream runs a stream up to an event.
func (s *Server) Stream(w http.ResponseWriter, r *http.Request, body []byte, end int) {
	s.AddRun(r, body)
	s.Seal(w)
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	for i := first; i < end; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", i, i, s.ID)
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(s.Pause):
		}
	}
}

// Route returns a route of the manifest.
func Route(name, kind, service string, attempts, timeoutMS, targetMS int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": "desk.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeoutMS,
		"target_latency_ms": targetMS, "priority": 0, "service": service, "max_attempts": attempts,
		"resumable": resumable, "gap_aim_ms": 300, "sticky_sessions": kind == "streaming",
	}
}

// Manifest returns a manifest with a model service "assistant" and a plain service "desk".
func Manifest(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "assistant", "health_path": "/health", "max_conns": 156, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 12, "kv_tokens": 106421, "kv_token_bytes": 35136, "link_mbps": 5900000.0, "stride": 1, "kv_hold_s": 0.5, "reconfig_s": 6.0,
			}},
			map[string]any{"name": "desk", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false},
			map[string]any{"name": "office", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
