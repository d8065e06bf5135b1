// Package main is a stand-in for an upstream, a server that owns keys, for tests,
// measurements and the demonstration. It keeps the totals of the keys in memory.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// logEntry is one entry of the log of accepted work.
type logEntry struct {
	AtNS      int64  `json:"at_ns"`
	Key       string `json:"key"`
	Partition int    `json:"partition"`
	Fence     string `json:"fence"`
	Account   string `json:"account"`
	Method    string `json:"method"`
	RequestID string `json:"request_id"`
}

type server struct {
	args  arguments
	start time.Time

	mu        sync.Mutex
	totals    map[string]int64
	runs      map[string]int
	logFile   *os.File
	grant     grant
	fences    map[int]fence
	faults    faults
	counts    counts
	active    int
	coldUntil time.Time
	// coldDetectedBy is when the nodes should have detected an unannounced cold start.
	coldDetectedBy time.Time
}

func newServer(args arguments) (*server, error) {
	s := &server{
		args: args, start: time.Now(), totals: map[string]int64{}, runs: map[string]int{}, fences: map[int]fence{},
		coldUntil: time.Now().Add(args.ColdFor), faults: faults{SlowFactor: 1},
	}
	if args.LogFile == "" {
		return s, nil
	}
	var err error
	s.logFile, err = os.OpenFile(args.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open work log: %w", err)
	}
	return s, nil
}

func (s *server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("PUT /bergamotlead/grant", endlessHandler{server: s, next: s.setGrant})
	mux.HandleFunc("GET /standin/counts", s.getCounts)
	mux.HandleFunc("POST /standin/faults", s.setFaults)
	mux.Handle("/", brokenHandler{server: s, next: endlessHandler{server: s, next: s.serve}})
	return mux
}

func (s *server) clockMS() int64 {
	return time.Since(s.start).Milliseconds()
}

func respondNotRun(w http.ResponseWriter, reason string) {
	w.Header().Set("Bergamotlead-Not-Run", reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	o := readOrder(r)
	wait, reason := s.acquireSlot(o, r)
	if reason != "" {
		respondNotRun(w, reason)
		return
	}
	defer s.releaseSlot()
	body, _ := io.ReadAll(r.Body)
	if !simulateWork(r.Context(), wait) {
		s.mu.Lock()
		s.counts.Cancelled++
		s.mu.Unlock()
		return
	}
	s.execute(w, r, o, body)
}

// acquireSlot takes a slot and returns the service time, or the reason why the
// order is rejected.
func (s *server) acquireSlot(o order, r *http.Request) (time.Duration, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Header.Get("Authorization") != "" || r.Trailer.Get("Authorization") != "" {
		s.counts.ClientKeysSeen++
	}
	if !s.grantCovers(o) {
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
	s.counts.MaxConcurrent = max(s.counts.MaxConcurrent, s.active)
	if cold && time.Now().After(s.coldDetectedBy) {
		s.counts.MaxConcurrentCold = max(s.counts.MaxConcurrentCold, s.active)
	}
	return time.Duration(float64(wait) * max(s.faults.SlowFactor, 0.01)), ""
}

func (s *server) releaseSlot() {
	s.mu.Lock()
	s.active--
	s.mu.Unlock()
}

// simulateWork waits for the service time. It returns false when the caller has
// cancelled the request.
func simulateWork(ctx context.Context, wait time.Duration) bool {
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

type responseBody struct {
	Upstream  string `json:"upstream"`
	Key       string `json:"key"`
	Total     int64  `json:"total"`
	Runs      int    `json:"runs"`
	RequestID string `json:"request_id"`
}

// execute checks the grant again, since it may have changed or expired during the
// service time, applies the order and sends the response.
func (s *server) execute(w http.ResponseWriter, r *http.Request, o order, body []byte) {
	s.mu.Lock()
	at := time.Now()
	if !s.grantCovers(o) {
		s.counts.Fenced++
		s.mu.Unlock()
		respondNotRun(w, "fence")
		return
	}
	result := s.apply(r, o, body, at)
	closes, truncates := s.faults.BreakAfterRun > 0, s.faults.CutAnswers > 0
	if closes {
		s.faults.BreakAfterRun--
	} else if truncates {
		s.faults.CutAnswers--
	}
	padding := s.faults.AnswerBytes
	s.mu.Unlock()
	if closes {
		panic(http.ErrAbortHandler)
	}
	encoded, _ := json.Marshal(result)
	encoded = append(encoded, bytes.Repeat([]byte(" "), max(padding-len(encoded), 0))...)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	if truncates {
		_, _ = w.Write(encoded[:len(encoded)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(encoded)
}

// writeLog appends an entry to the work log. The caller must hold the lock.
func (s *server) writeLog(e logEntry) {
	line, _ := json.Marshal(e)
	_, _ = s.logFile.Write(append(line, '\n'))
}

// apply updates the totals and writes the work log. The work counts as done at the time
// just before its grant was checked, since the process may be stopped after the check.
// The caller must hold the lock.
func (s *server) apply(r *http.Request, o order, body []byte, at time.Time) responseBody {
	requestID := r.Header.Get("Bergamotlead-Request-Id")
	s.counts.Runs++
	s.runs[requestID]++
	if r.Method == http.MethodPost {
		amount, err := strconv.ParseInt(strings.TrimSpace(string(body)), 10, 64)
		if err != nil {
			amount = 1
		}
		s.totals[o.key] += amount
	}
	if s.logFile != nil {
		s.writeLog(logEntry{
			AtNS: at.UnixNano(), Key: o.key, Partition: o.partition, Fence: o.fenceText,
			Account: r.Header.Get("Bergamotlead-Client-Account"), Method: r.Method, RequestID: requestID,
		})
	}
	return responseBody{
		Upstream: s.args.Name, Key: o.key, Total: s.totals[o.key], Runs: s.runs[requestID], RequestID: requestID,
	}
}
