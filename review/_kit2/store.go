package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the platform's store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a sound stand-in of the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	leases   map[uint64]storeLease
	next     uint64
	history  []item
	changed  chan struct{}
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), revision: 100, items: map[string]item{}, leases: map[uint64]storeLease{},
		next: 1000, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /bergamotlead/kv-key", s.getKey)
	mux.HandleFunc("GET /bergamotlead/kv-range", s.getRange)
	mux.HandleFunc("GET /bergamotlead/kv-watch", s.watch)
	mux.HandleFunc("POST /bergamotlead/kv-txn", s.transact)
	mux.HandleFunc("POST /bergamotlead/kv-lease", s.openLease)
	mux.HandleFunc("POST /bergamotlead/kv-keep/{id}", s.keepLease)
	mux.HandleFunc("DELETE /bergamotlead/kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(listener, mux) }()
	go s.expireLoop()
	return s, nil
}

func (s *store) expireLoop() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// dropLease ends a lease and removes its keys. The mutex is held.
func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
}

func (s *store) write(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.record(i)
}

// delete removes a key as the operator does.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func answer(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{found, revision})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []item   `json:"expected"`
		Writes   []item   `json:"writes"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, fits := []item{}, true
	for _, e := range body.Expected {
		found, ok := s.items[e.Key]
		if ok {
			current = append(current, found)
		}
		fits = fits && found.Revision == e.Revision
	}
	if !fits {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, i := range body.Writes {
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, i := range body.Writes {
		s.write(i.Key, i.Value, i.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) openLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL string `json:"ttl_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl = max(ttl, time.Second)
	s.mu.Lock()
	s.next++
	id := s.next
	s.leases[id] = storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_time": fmt.Sprintf("%dms", ttl.Milliseconds())})
}

func (s *store) keepLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	answer(w, http.StatusOK, map[string]any{"ttl_time": fmt.Sprintf("%dms", l.ttl.Milliseconds())})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.dropLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
