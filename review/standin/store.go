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

// item is one key of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type event struct {
	item

	at time.Time
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
// It is sound: it loses nothing, and answers at once.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	leases    map[uint64]*lease
	nextLease uint64
	history   []event
	forgotten uint64
	changed   chan struct{}
	address   string
}

const (
	historyTime = 20 * time.Second
	minTTL      = time.Second
)

func startStore() (*store, error) {
	s := &store{
		revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, nextLease: 7000, changed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /bergamotlead/kv-key", s.get)
	mux.HandleFunc("GET /bergamotlead/kv-range", s.list)
	mux.HandleFunc("GET /bergamotlead/kv-watch", s.watch)
	mux.HandleFunc("POST /bergamotlead/kv-txn", s.transact)
	mux.HandleFunc("POST /bergamotlead/kv-lease", s.openLease)
	mux.HandleFunc("POST /bergamotlead/kv-keep/{id}", s.keepLease)
	mux.HandleFunc("DELETE /bergamotlead/kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(listener, mux) }()
	go s.expire()
	return s, nil
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// record appends a change to the history and wakes the watches. The mutex is held.
func (s *store) record(changed item) {
	s.history = append(s.history, event{item: changed, at: time.Now()})
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.forgotten = s.history[0].Revision
		s.history = s.history[1:]
	}
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

func (s *store) write(key string, value []byte, id uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	next := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: id}
	s.items[key] = next
	s.record(next)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{found, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("path_prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, found)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e.item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
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
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, current := false, []item{}
	for _, e := range body.Expected {
		found, ok := s.items[e.Key]
		conflict = conflict || found.Revision != e.Revision
		if ok {
			current = append(current, found)
		}
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, e := range body.Writes {
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, e := range body.Writes {
		s.write(e.Key, e.Value, e.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) openLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL string `json:"ttl_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl = max(ttl, minTTL)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_time": strconv.FormatInt(ttl.Milliseconds(), 10) + "ms"})
}

func (s *store) keepLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) dropLease(id uint64) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	var keys []string
	for key, found := range s.items {
		if found.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.revision++
	}
	for _, key := range keys {
		s.remove(key)
	}
}

func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}
