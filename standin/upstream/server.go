// Package main is a stand-in for an upstream: a server that owns keys, for
// tests, measurements and the demonstration. Its ledger is in memory.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one line of the log of accepted work.
type entry struct {
	AtNS      int64  `json:"at_ns"`
	Key       string `json:"key"`
	Partition int    `json:"partition"`
	Fence     string `json:"fence"`
	Account   string `json:"account"`
	Method    string `json:"method"`
	Request   string `json:"request_id"`
}

// grant is what the node beside the upstream was granted.
type grant struct {
	Term         uint64   `json:"term"`
	Sequence     uint64   `json:"sequence"`
	Partitions   []uint64 `json:"partitions"`
	UntilClockMS int64    `json:"until_clock_ms"`
}

func (g grant) has(partition int) bool {
	word := partition / 64
	return partition >= 0 && word < len(g.Partitions) && g.Partitions[word]&(1<<(partition%64)) != 0
}

// faults are the switches that the stand-in's /faults page sets.
type faults struct {
	// ColdMS puts the upstream in cold start for this long.
	ColdMS int64 `json:"cold_ms"`
	// HideCold keeps the cold start out of the announcements.
	HideCold bool `json:"hide_cold"`
	// SlowFactor multiplies the service time.
	SlowFactor float64 `json:"slow_factor"`
	// CutAnswers breaks off the next answers in the middle.
	CutAnswers int `json:"cut_answers"`
	// AnswerBytes pads the answers to this size.
	AnswerBytes int `json:"answer_bytes"`
	// BreakAfterRun ends the connection of the next requests after they ran.
	BreakAfterRun int `json:"break_after_run"`
	// FalseLoad is announced in place of the load when it isn't zero.
	FalseLoad int `json:"false_load"`
	// Silent stops the announcements.
	Silent bool `json:"silent"`
	// Leaving announces that the upstream takes no new work.
	Leaving bool `json:"leaving"`
	// NoShed takes every request, however many there are.
	NoShed bool `json:"no_shed"`
}

// noticePeriod is the time in which a cold start that nobody announced should
// be noticed by its slow answers.
const noticePeriod = 300 * time.Millisecond

// counts is what the stand-in has seen.
type counts struct {
	Runs       int `json:"runs"`
	Shed       int `json:"shed"`
	Fenced     int `json:"fenced"`
	KeysSeen   int `json:"keys_seen"`
	MostAtOnce int `json:"most_at_once"`
	// MostCold is the most requests at once while cold, those that began before
	// the notice period had passed left out.
	MostCold  int `json:"most_at_once_cold"`
	Cancelled int `json:"cancelled"`
}

type server struct {
	args  arguments
	start time.Time

	mu        sync.Mutex
	totals    map[string]int64
	runs      map[string]int
	log       []entry
	grant     grant
	fences    map[int]fence
	faults    faults
	counts    counts
	active    int
	coldUntil time.Time
	// coldFrom is when a cold start should have been noticed.
	coldFrom time.Time
}

func newServer(args arguments) *server {
	return &server{
		args: args, start: time.Now(), totals: map[string]int64{}, runs: map[string]int{}, fences: map[int]fence{},
		coldUntil: time.Now().Add(args.ColdFor), faults: faults{SlowFactor: 1},
	}
}

func (s *server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /bergamotlead/grant", s.setGrant)
	mux.HandleFunc("GET /standin/log", s.getLog)
	mux.HandleFunc("GET /standin/counts", s.getCounts)
	mux.HandleFunc("POST /standin/faults", s.setFaults)
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *server) clockMS() int64 {
	return time.Since(s.start).Milliseconds()
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *server) setGrant(w http.ResponseWriter, r *http.Request) {
	var g grant
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	older := g.Term < s.grant.Term || g.Term == s.grant.Term && g.Sequence < s.grant.Sequence
	if !older {
		s.grant = g
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *server) getLog(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	log := append([]entry(nil), s.log...)
	s.mu.Unlock()
	respond(w, http.StatusOK, log)
}

func (s *server) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.counts
	s.mu.Unlock()
	respond(w, http.StatusOK, c)
}

func (s *server) setFaults(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.ColdMS > 0 {
		s.coldUntil = time.Now().Add(time.Duration(f.ColdMS) * time.Millisecond)
		s.coldFrom = time.Now().Add(noticePeriod)
		f.ColdMS = 0
	}
	s.faults = f
	respond(w, http.StatusOK, f)
}

// order is a request as the stand-in reads it.
type order struct {
	key       string
	partition int
	fence     fence
	fenceText string
	exclusive bool
}

func readOrder(r *http.Request) order {
	parts := strings.SplitN(strings.Trim(r.URL.Path, "/"), "/", 3)
	text := r.Header.Get("Bergamotlead-Fence")
	o := order{fence: parseFence(text), fenceText: text, partition: -1}
	if len(parts) > 1 {
		o.key = parts[1]
	}
	if partition, err := strconv.Atoi(r.Header.Get("Bergamotlead-Partition")); err == nil {
		o.partition = partition
		o.exclusive = true
	}
	return o
}

// allowed reports whether the grant covers the order now. The caller holds the
// lock.
func (s *server) allowed(o order) bool {
	if !s.args.ChecksFence || !s.args.Exclusive {
		return true
	}
	if !o.exclusive || !s.grant.has(o.partition) || s.clockMS() >= s.grant.UntilClockMS {
		return false
	}
	seen := s.fences[o.partition]
	if o.fence.less(seen) {
		return false
	}
	s.fences[o.partition] = o.fence
	return true
}

// fence orders grants by term and sequence.
type fence struct {
	term     uint64
	sequence uint64
}

func parseFence(text string) fence {
	term, sequence, _ := strings.Cut(text, ".")
	var f fence
	f.term, _ = strconv.ParseUint(term, 10, 64)
	f.sequence, _ = strconv.ParseUint(sequence, 10, 64)
	return f
}

func (f fence) less(g fence) bool {
	return f.term < g.term || f.term == g.term && f.sequence < g.sequence
}

func notRun(w http.ResponseWriter, why string) {
	w.Header().Set("Bergamotlead-Not-Run", why)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	o := readOrder(r)
	wait, why := s.enter(o, r)
	if why != "" {
		notRun(w, why)
		return
	}
	defer s.leave()
	body, _ := io.ReadAll(r.Body)
	if !work(r.Context(), wait) {
		s.mu.Lock()
		s.counts.Cancelled++
		s.mu.Unlock()
		return
	}
	s.answer(w, r, o, body)
}

// enter takes a slot, or says why not.
func (s *server) enter(o order, r *http.Request) (time.Duration, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Header.Get("Authorization") != "" || r.Trailer.Get("Authorization") != "" {
		s.counts.KeysSeen++
	}
	if !s.allowed(o) {
		s.counts.Fenced++
		return 0, "fence"
	}
	cold := time.Now().Before(s.coldUntil)
	slots, wait := s.args.Slots, s.args.ServiceTime
	if cold {
		slots, wait = s.args.ColdSlots, 3*wait
	}
	if s.active >= slots && !s.faults.NoShed {
		s.counts.Shed++
		return 0, "shed"
	}
	s.active++
	s.counts.MostAtOnce = max(s.counts.MostAtOnce, s.active)
	if cold && time.Now().After(s.coldFrom) {
		s.counts.MostCold = max(s.counts.MostCold, s.active)
	}
	return time.Duration(float64(wait) * max(s.faults.SlowFactor, 0.01)), ""
}

func (s *server) leave() {
	s.mu.Lock()
	s.active--
	s.mu.Unlock()
}

// work takes the given time. It stops when the caller goes away.
func work(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

type answerBody struct {
	Upstream string `json:"upstream"`
	Key      string `json:"key"`
	Total    int64  `json:"total"`
	Runs     int    `json:"runs"`
	Request  string `json:"request_id"`
}

// answer applies the order to the ledger and sends the result.
func (s *server) answer(w http.ResponseWriter, r *http.Request, o order, body []byte) {
	s.mu.Lock()
	if !s.allowed(o) {
		s.counts.Fenced++
		s.mu.Unlock()
		notRun(w, "fence")
		return
	}
	result := s.apply(r, o, body)
	breaks, cuts := s.faults.BreakAfterRun > 0, s.faults.CutAnswers > 0
	if breaks {
		s.faults.BreakAfterRun--
	} else if cuts {
		s.faults.CutAnswers--
	}
	padding := s.faults.AnswerBytes
	s.mu.Unlock()
	if breaks {
		panic(http.ErrAbortHandler)
	}
	encoded, _ := json.Marshal(result)
	encoded = append(encoded, bytes.Repeat([]byte(" "), max(padding-len(encoded), 0))...)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	if cuts {
		_, _ = w.Write(encoded[:len(encoded)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(encoded)
}

// apply writes the order to the log. The caller holds the lock.
func (s *server) apply(r *http.Request, o order, body []byte) answerBody {
	request := r.Header.Get("Bergamotlead-Request-Id")
	s.counts.Runs++
	s.runs[request]++
	if r.Method == http.MethodPost {
		amount, err := strconv.ParseInt(strings.TrimSpace(string(body)), 10, 64)
		if err != nil {
			amount = 1
		}
		s.totals[o.key] += amount
	}
	if s.args.KeepLog {
		s.log = append(s.log, entry{
			AtNS: time.Now().UnixNano(), Key: o.key, Partition: o.partition, Fence: o.fenceText,
			Account: r.Header.Get("Bergamotlead-Client-Account"), Method: r.Method, Request: request,
		})
	}
	return answerBody{
		Upstream: s.args.Name, Key: o.key, Total: s.totals[o.key], Runs: s.runs[request], Request: request,
	}
}
