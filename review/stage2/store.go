//go:build review

// Package stage2 contains the stand-ins of the scripts in review/6 to review/10: the platform's
// store, servers, clients and the daemons as processes. They follow the users' pages.
package stage2

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is an entry of the store, or its removal.
type Item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"created_rev,omitempty"`
	Lease      int64  `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

// Copy is a copy of a store's content.
type Copy struct {
	items    map[string]Item
	history  []Item
	leases   map[int64]lease
	revision int64
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// Store is the platform's metadata store.
type Store struct {
	Address string

	mu        sync.Mutex
	era       int64
	away      bool
	revision  int64
	lastLease int64
	items     map[string]Item
	history   []Item
	leases    map[int64]lease
	changed   chan struct{}
	server    *http.Server
	// cutWatches is closed and replaced to cut the watches that wait.
	cutWatches chan struct{}
}

// StartStore starts a store on a loopback address.
func StartStore(address string) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: listener.Addr().String(), revision: 100, lastLease: 1000, items: map[string]Item{}, leases: map[int64]lease{},
		changed: make(chan struct{}), cutWatches: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.expire()
		away := s.away
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s, nil
}

// Put writes a key in place of the operator or of a server, and returns the time of the ack.
func (s *Store) Put(key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Item{Key: key, Value: encoded})
	return time.Now()
}

// Remove removes a key in place of the platform.
func (s *Store) Remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Item{Key: key, Tombstone: true})
	return time.Now()
}

// Keys returns the number of entries under a prefix.
func (s *Store) Keys(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// SetAway makes the store answer 503 to all calls, or serve again.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.cutWaiting()
}

// Copy returns a copy of the present content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{items: maps.Clone(s.items), history: slices.Clone(s.history), leases: maps.Clone(s.leases), revision: s.revision}
}

// Restore replaces the content by a copy and begins the next era.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.history, s.leases, s.revision = maps.Clone(c.items), slices.Clone(c.history), maps.Clone(c.leases), c.revision
	s.era++
	s.away = false
	s.cutWaiting()
}

// cutWaiting cuts the watches that wait. mu must be held.
func (s *Store) cutWaiting() {
	close(s.cutWatches)
	s.cutWatches = make(chan struct{})
}

// write applies a change. mu must be held.
func (s *Store) write(i Item) {
	s.revision++
	i.Revision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		i.CreatedRev = i.Revision
		if known, ok := s.items[i.Key]; ok {
			i.CreatedRev = known.CreatedRev
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the entries of leases that have ended. mu must be held.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(Item{Key: key, Tombstone: true})
		}
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"current_rev": s.revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created_rev": i.CreatedRev, "lease": i.Lease, "current_rev": s.revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
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
	items := []Item{}
	for _, key := range keys[:min(len(keys), 500)] {
		items = append(items, s.items[key])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	s.mu.Lock()
	cut, era := s.cutWatches, s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.era != era || s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		changed, revision := s.changed, s.revision
		events := []Item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.URL.Query().Get("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
	}
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Puts   []Item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []Item
	failed := false
	for _, p := range body.Precondition {
		failed = failed || s.items[p.Key].Revision != p.Revision
		if i, ok := s.items[p.Key]; ok {
			current = append(current, i)
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current, "current_rev": s.revision})
		return
	}
	for _, put := range body.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, put := range body.Puts {
		s.write(Item{Key: put.Key, Value: put.Value, Lease: put.Lease})
	}
	for _, key := range body.Remove {
		s.write(Item{Key: key, Tombstone: true})
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(min(max(body.TTLMS, 1000), 600_000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": ttl.Milliseconds()})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	_, _ = fmt.Fprintln(w, "{}")
}
