//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a server received.
type arrival struct {
	at     time.Time
	id     string
	method string
	path   string
	stage  string
	body   string
	header http.Header
	ran    bool
}

// server is a stand-in of a plain or a model server (PROTOCOL.md, "Servers" and "Prefill and decode").
type server struct {
	site     *site
	id       string
	service  string
	stage    string
	zone     string
	version  string
	born     int64
	slots    int
	work     time.Duration
	events   int
	pause    time.Duration
	listener net.Listener
	http     *http.Server
	leaving  atomic.Bool
	running  atomic.Int64
	sequence atomic.Int64

	mu       sync.Mutex
	arrivals []arrival
	conns    map[net.Conn]bool
	// answer, if set, replaces the usual answer to a request that would run.
	answer func(w http.ResponseWriter, r *http.Request) bool
	stop   context.CancelFunc
}

func (s *site) startServer(id, service, stage, zone string) (*server, error) {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	v := &server{site: s, id: id, service: service, stage: stage, zone: zone, version: "v1", born: time.Now().UnixMilli(), slots: 8, work: 20 * time.Millisecond, events: 10, pause: 10 * time.Millisecond, listener: l, conns: map[net.Conn]bool{}}
	v.serve()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, v)
	return v, nil
}

// serve accepts channels and registers the server.
func (v *server) serve() {
	v.http = &http.Server{Handler: v, ConnState: func(c net.Conn, state http.ConnState) {
		v.mu.Lock()
		defer v.mu.Unlock()
		if state == http.StateClosed {
			delete(v.conns, c)
		} else {
			v.conns[c] = true
		}
	}}
	go func() { _ = v.http.Serve(v.listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	v.report("ready")
	go v.beat(ctx)
}

// restart starts a crashed server again under its ID and address.
func (v *server) restart() error {
	l, err := net.Listen("tcp", v.listener.Addr().String())
	if err != nil {
		return err
	}
	v.listener, v.born = l, time.Now().UnixMilli()
	v.sequence.Store(0)
	v.serve()
	return nil
}

// beat renews the entry as a server does, whose entry changes with each report.
func (v *server) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !v.leaving.Load() && v.site.beats.Load() {
				v.report("ready")
			}
		}
	}
}

// heartbeat is heartbeat_ms of the small sites.
const heartbeat = 1200 * time.Millisecond

func (v *server) report(state string) time.Time {
	entry := map[string]any{
		"service": v.service, "address": v.listener.Addr().String(), "zone": v.zone, "version": v.version, "slots": v.slots,
		"state": state, "cold_left_ms": 0, "sequence": v.sequence.Add(1), "born": v.born,
	}
	if v.stage != "" {
		entry["stage"] = v.stage
	}
	return v.site.store.put("servers/"+v.id, entry)
}

// drain reports that the server is draining. It returns the time of the store's acknowledgment.
func (v *server) drain() time.Time {
	v.leaving.Store(true)
	v.stop()
	return v.report("draining")
}

// leave removes the entry without a report of draining. The server continues to serve.
func (v *server) leave() time.Time {
	v.leaving.Store(true)
	v.stop()
	return v.site.store.remove("servers/" + v.id)
}

func (v *server) record(a arrival) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.arrivals = append(v.arrivals, a)
}

// list returns the arrivals so far.
func (v *server) list() []arrival {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]arrival(nil), v.arrivals...)
}

func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := arrival{at: time.Now(), id: r.Header.Get("Turmerictide-Attempt-Id"), method: r.Method, path: r.RequestURI, stage: r.Header.Get("Turmerictide-Serving-Stage"), body: string(body), header: r.Header}
	w.Header().Set("Turmerictide-Attempt-Id", a.id)
	if v.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	target := r.Header.Get("Turmerictide-Target-Instance")
	switch {
	case target != "" && target != v.id:
		v.record(a)
		w.Header().Set("Turmerictide-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.Method == http.MethodDelete:
		return
	case r.URL.Path == "/report":
		_, _ = fmt.Fprintf(w, `{"stage":%q,"models":[],"busy":false,"sequence":0,"born":%d}`, v.stage, v.born)
		return
	case r.URL.Path == "/order":
		v.record(a)
		w.WriteHeader(http.StatusAccepted)
		return
	case a.id == "":
		w.Header().Set("Turmerictide-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case v.running.Load() >= int64(v.slots)+2:
		v.record(a)
		w.Header().Set("Turmerictide-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	v.running.Add(1)
	defer v.running.Add(-1)
	if a.stage == "prefill" {
		v.record(a)
		time.Sleep(v.work)
		_, _ = io.WriteString(w, `{"cache_handle":"h`+a.id+strconv.FormatInt(time.Now().UnixNano(), 36)+`","tokens":10,"version":1}`)
		return
	}
	a.ran = true
	v.record(a)
	v.mu.Lock()
	answer := v.answer
	v.mu.Unlock()
	if answer != nil && answer(w, r) {
		return
	}
	w.Header().Set("Turmerictide-Server-Seal", "seal."+v.id+"."+a.id)
	if v.stage == "decode" {
		v.stream(w, r)
		return
	}
	select {
	case <-time.After(v.work):
	case <-r.Context().Done():
		return
	}
	_, _ = io.WriteString(w, "answer of "+v.id+" to "+a.id)
}

// stream sends the events after the last one that the client has.
func (v *server) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	for i := first; i < v.events; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", i, i, v.version)
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(v.pause):
		}
	}
}
