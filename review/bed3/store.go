//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time of an answer of the platform's store.
const storeLatency = 4 * time.Millisecond

// item is an entry of the store, or the removal of one.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"created_rev,omitempty"`
	Lease      int64  `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store (PROTOCOL.md).
type store struct {
	mu       sync.Mutex
	revision int64
	era      int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, nextID: 1000, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// expire ends the leases whose time is over.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiry) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: key, Tombstone: true})
		}
	}
}

// write applies a change. mu must be held.
func (s *store) write(i item) int64 {
	s.revision++
	i.Revision = s.revision
	i.CreatedRev = i.Revision
	if known, ok := s.items[i.Key]; ok {
		i.CreatedRev = known.CreatedRev
	}
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return i.Revision
}

// put writes a key in place of the operator or a server, and returns the time of the acknowledgment.
func (s *store) put(key string, value any) time.Time {
	encoded, ok := value.([]byte)
	if !ok {
		encoded, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: encoded})
	return time.Now()
}

func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.write(item{Key: key, Tombstone: true})
	}
	return time.Now()
}

// gateMode is how the store treats the calls of one machine.
type gateMode int

const (
	gateOpen gateMode = iota
	// gateSilent: no answer, also to calls in progress.
	gateSilent
	// gateBusy: 503.
	gateBusy
)

// gate is the way of one machine to the store.
type gate struct {
	store    *store
	listener net.Listener
	mu       sync.Mutex
	mode     gateMode
	switched chan struct{}
	conns    map[net.Conn]bool
	// lastRead is the time of the last call that read entries.
	lastRead time.Time
}

func (s *store) open(address string) (*gate, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	g := &gate{store: s, listener: l, switched: make(chan struct{}), conns: map[net.Conn]bool{}}
	server := &http.Server{Handler: g, ConnState: func(c net.Conn, state http.ConnState) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if state == http.StateClosed {
			delete(g.conns, c)
		} else {
			g.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(l) }()
	return g, nil
}

func (g *gate) address() string { return g.listener.Addr().String() }

// set changes the mode.
func (g *gate) set(mode gateMode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = mode
	close(g.switched)
	g.switched = make(chan struct{})
}

// cutWatches closes all channels of the machine: those of waiting watches and idle ones.
func (g *gate) cutWatches() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		_ = c.Close()
	}
}

// readAt returns the time of the last call that read entries.
func (g *gate) readAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastRead
}

func (g *gate) state() (gateMode, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mode, g.switched
}

// isSilent waits for good if the machine is cut off, since a channel on which an answer is lost returns nothing
// further.
func (g *gate) isSilent(r *http.Request) bool {
	if mode, _ := g.state(); mode != gateSilent {
		return false
	}
	<-r.Context().Done()
	return true
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	if g.isSilent(r) {
		panic(http.ErrAbortHandler)
	}
	mode, _ := g.state()
	if r.Method == http.MethodGet {
		g.mu.Lock()
		g.lastRead = time.Now()
		g.mu.Unlock()
	}
	s := g.store
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	if mode == gateBusy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, body := 0, any(nil)
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/kv-key":
		status, body = s.get(r)
	case r.Method == http.MethodGet && r.URL.Path == "/kv-range":
		status, body = s.list(r)
	case r.Method == http.MethodGet && r.URL.Path == "/kv-watch":
		status, body = s.watch(g, r)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-txn":
		status, body = s.transact(r)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-lease":
		status, body = s.grant(r)
	case r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		status, body = s.keep(strings.TrimPrefix(r.URL.Path, "/kv-keep/"))
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		status, body = s.end(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"))
	default:
		status = http.StatusNotFound
	}
	if g.isSilent(r) || status == 0 {
		panic(http.ErrAbortHandler)
	}
	if body == nil {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, i
}

func (s *store) list(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	items := []item{}
	for _, key := range keys[:min(len(keys), 500)] {
		items = append(items, s.items[key])
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": s.revision}
}

func (s *store) watch(g *gate, r *http.Request) (int, any) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events, changed, revision := []item{}, s.changed, s.revision
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if after > revision {
			return http.StatusGone, nil
		}
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "current_rev": revision}
		}
		mode, switched := g.state()
		if mode == gateSilent {
			return 0, nil
		}
		select {
		case <-changed:
		case <-switched:
		case <-r.Context().Done():
			return 0, nil
		case <-deadline:
			return http.StatusOK, map[string]any{"events": events, "current_rev": revision}
		}
	}
}

func (s *store) transact(r *http.Request) (int, any) {
	var body struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, items := false, []item{}
	for _, p := range body.Precondition {
		failed = failed || s.items[p.Key].Revision != p.Revision
		if i, ok := s.items[p.Key]; ok {
			items = append(items, i)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": items}
	}
	for _, put := range body.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, put := range body.Puts {
		s.write(item{Key: put.Key, Value: put.Value, Lease: put.Lease})
	}
	for _, key := range body.Remove {
		if _, ok := s.items[key]; ok {
			s.write(item{Key: key, Tombstone: true})
		}
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(r *http.Request) (int, any) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	ttl := time.Duration(min(max(body.TTLMS, 1000), 600000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.nextID, "ttl_ms": ttl.Milliseconds()}
}

func (s *store) keep(text string) (int, any) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	l.expiry = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
}

func (s *store) end(text string) (int, any) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return http.StatusNotFound, nil
	}
	s.endLease(id)
	return http.StatusOK, map[string]any{}
}
