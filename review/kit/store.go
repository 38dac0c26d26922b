//go:build review

// Package kit contains the stand-ins of the review's scripts: the platform's store, servers,
// clients and a TCP proxy, and the start of the daemons as separate processes.
package kit

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

// Item is an item of the store.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created_rev,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is a stand-in of the platform's metadata store.
type Store struct {
	Addr string

	mu       sync.Mutex
	revision int64
	items    map[string]Item
	history  []Item
	leases   map[int64]time.Time
	ttls     map[int64]time.Duration
	last     int64
	changed  chan struct{}
}

// NewStore starts a store on a free loopback port.
func NewStore() *Store {
	s := &Store{revision: 1, items: map[string]Item{}, leases: map[int64]time.Time{}, ttls: map[int64]time.Duration{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fail(err)
	}
	s.Addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.lease)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, until := range s.leases {
		if now.After(until) {
			s.drop(id)
		}
	}
}

func (s *Store) drop(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(Item{Key: key, Tombstone: true})
		}
	}
}

// Put writes a key in place of the operator or a server, and returns after the write.
func (s *Store) Put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		Fail(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Item{Key: key, Value: encoded})
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Item{Key: key, Tombstone: true})
}

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *Store) write(i Item) {
	s.revision++
	i.Revision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		i.Created = i.Revision
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
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
	keys = keys[:min(len(keys), 500)]
	items := []Item{}
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, changed, revision := []Item{}, s.changed, s.revision
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.URL.Query().Get("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
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
	current, failed := []Item{}, false
	for _, p := range body.Precondition {
		i, ok := s.items[p.Key]
		if i.Revision != p.Revision {
			failed = true
		}
		if ok {
			current = append(current, i)
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range body.Puts {
		if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
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

func (s *Store) lease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	ttl := time.Duration(min(max(body.TTL, 1000), 600000)) * time.Millisecond
	s.leases[s.last], s.ttls[s.last] = time.Now().Add(ttl), ttl
	reply(w, http.StatusOK, map[string]any{"lease": s.last, "ttl_ms": ttl.Milliseconds()})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	reply(w, http.StatusOK, map[string]any{"ttl_ms": s.ttls[id].Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.drop(id)
	reply(w, http.StatusOK, map[string]any{})
}
