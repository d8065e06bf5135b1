package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bergamotlead/standin/blstandin"
)

// eraHeader is the header of every answer with the number of restores of the store.
const eraHeader = "Bergamotlead-Store-Era"

type server struct {
	state *state
}

type entryBody struct {
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

type swapBody struct {
	Value    []byte `json:"value"`
	Revision uint64 `json:"expected_revision"`
	Lease    string `json:"lease"`
}

type leaseBody struct {
	ID  string `json:"id,omitempty"`
	TTL int64  `json:"ttl_ms,omitempty"`
}

func newHandler(s *state) http.Handler {
	srv := server{state: s}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key}", srv.instrument("get", srv.get))
	mux.HandleFunc("PUT /kv/{key}", srv.instrument("swap", srv.swap))
	mux.HandleFunc("GET /watch/{key}", srv.instrument("watch", srv.watch))
	mux.HandleFunc("POST /leases", srv.instrument("open_lease", srv.openLease))
	mux.HandleFunc("PUT /leases/{id}", srv.instrument("renew_lease", srv.renewLease))
	mux.HandleFunc("DELETE /leases/{id}", srv.instrument("end_lease", srv.endLease))
	mux.HandleFunc("GET /calls", srv.calls)
	mux.HandleFunc("POST /faults", srv.setFaults)
	return mux
}

// instrument wraps a handler: it counts the call and injects the faults that apply
// to every call.
func (s server) instrument(kind string, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, era := s.state.count(kind)
		w.Header().Set(eraHeader, strconv.FormatUint(era, 10))
		if f.DelayMS > 0 {
			time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		}
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		handle(w, r)
	}
}

// answer sends the response to a call of the store. A call during which the store was
// restored gets none: the connection is closed.
func (s server) answer(w http.ResponseWriter, status int, body any) {
	if w.Header().Get(eraHeader) != strconv.FormatUint(s.state.currentEra(), 10) {
		panic(http.ErrAbortHandler)
	}
	blstandin.Respond(w, status, body)
}

func (s server) get(w http.ResponseWriter, r *http.Request) {
	current := s.state.get(r.PathValue("key"))
	s.answer(w, http.StatusOK, entryBody{Value: current.value, Revision: current.revision})
}

func (s server) watch(w http.ResponseWriter, r *http.Request) {
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		v := s.state.view(r.PathValue("key"))
		body := entryBody{Value: v.record.value, Revision: v.record.revision}
		switch {
		case v.restoring:
			panic(http.ErrAbortHandler)
		case revision > v.revision:
			s.answer(w, http.StatusGone, entryBody{})
			return
		case v.record.revision != revision:
			s.answer(w, http.StatusOK, body)
			return
		}
		select {
		case <-v.changed:
		case <-timeout:
			s.answer(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// loseAnswer closes the connection without a response when the LoseAnswers fault
// is active.
func (s server) loseAnswer() {
	if s.state.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
}

func (s server) swap(w http.ResponseWriter, r *http.Request) {
	var body swapBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2<<20)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	current, result := s.state.swap(r.PathValue("key"), body.Revision, body.Value, body.Lease)
	s.loseAnswer()
	status := http.StatusOK
	switch result {
	case swapDone:
		current.value = nil
	case swapConflict:
		status = http.StatusConflict
	case swapLeaseNotFound:
		status = http.StatusGone
	}
	s.answer(w, status, entryBody{Value: current.value, Revision: current.revision})
}

func (s server) openLease(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := s.state.openLease(time.Duration(body.TTL) * time.Millisecond)
	s.loseAnswer()
	s.answer(w, http.StatusOK, leaseBody{ID: id})
}

func (s server) renewLease(w http.ResponseWriter, r *http.Request) {
	s.respondLease(w, s.state.renewLease(r.PathValue("id")))
}

func (s server) endLease(w http.ResponseWriter, r *http.Request) {
	s.respondLease(w, s.state.endLease(r.PathValue("id")))
}

func (s server) respondLease(w http.ResponseWriter, alive bool) {
	if !alive {
		s.answer(w, http.StatusGone, leaseBody{})
		return
	}
	s.answer(w, http.StatusOK, leaseBody{})
}

func (s server) calls(w http.ResponseWriter, _ *http.Request) {
	blstandin.Respond(w, http.StatusOK, s.state.callCounts())
}

func (s server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.state.setFaults(f)
	blstandin.Respond(w, http.StatusOK, f)
}
