package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	keyCount        = 65536
	heartbeatPeriod = 870 * time.Millisecond
	ackTimeout      = time.Second
	queueLength     = 24
)

// hold is one time for which a server holds a range of keys.
type hold struct {
	server     string
	fence      uint64 // with which the range was taken
	begin, end time.Time
	firstKey   int
	lastKey    int
}

// keyState is what a server knows of one key.
type keyState struct {
	fence, highest uint64
	until          time.Time
	// granted is when the hold runs out if it isn't released.
	granted time.Time
	running int
}

// server is a stand-in for an application server, as PROTOCOL.md describes it. Its
// clock is right, and it is sound but for what a case asks of it.
type server struct {
	log *record
	id  string
	// name distinguishes the lives of a server in the record.
	name    string
	zone    string
	born    int64
	service string
	sharded bool
	slots   int
	work    time.Duration
	control string
	address string

	listener net.Listener
	http     *http.Server
	garbler  *garbler
	// others are the other servers of the service, if a case watches what runs there
	// when this one is given a key.
	others func() []*server
	// longWork is how long one in longEvery requests takes, if it is set.
	longWork time.Duration
	early    []string

	mu      sync.Mutex
	idle    *sync.Cond
	keys    [keyCount]keyState
	holds   map[int]*hold
	past    []hold
	running int
	// unsafe is the number of running requests that may not be repeated.
	unsafe  int
	waiting int
	stopped bool
	seq     uint64
	state   string
	silent  bool
	granted bool
	stamp   atomic.Int64
	// sendHeartbeat sends a heartbeat. A case may replace it.
	sendHeartbeat func(body []byte)
	// firstHeartbeat is how long after its start the server sends its first heartbeat.
	firstHeartbeat time.Duration
	// ended is closed when the server ends.
	ended chan struct{}
}

func newServer(log *record, id, service string, sharded bool, work time.Duration, address, control string) *server {
	s := &server{
		log: log, id: id, name: id, born: time.Now().UnixMilli(), service: service, sharded: sharded, slots: 6, work: work, control: control,
		address: address, holds: map[int]*hold{}, state: "ready", ended: make(chan struct{}),
	}
	s.idle = sync.NewCond(&s.mu)
	s.sendHeartbeat = func(body []byte) { _ = s.post(s.rpc("instances.heartbeat"), body) }
	return s
}

// start opens the server's address and begins to send heartbeats.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.listener, s.address = listener, listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bergamotlead/grant", s.grant)
	mux.HandleFunc("POST /bergamotlead/release", s.release)
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{Handler: mux, IdleTimeout: 10 * time.Second}
	s.garbler = &garbler{Listener: listener}
	go func() { _ = s.http.Serve(s.garbler) }()
	s.log.add("server %s (%s) starts at %s", s.name, s.service, s.address)
	go s.beat()
	return nil
}

// stop ends the server at once, with all its connections.
func (s *server) stop() {
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return
	}
	s.stopped = true
	now := time.Now()
	for first := range s.holds {
		s.endHold(first, now)
	}
	s.mu.Unlock()
	close(s.ended)
	_ = s.http.Close()
	s.log.add("server %s ends", s.name)
}

func (s *server) rpc(call string) string {
	return "http://" + s.control + "/bergamotlead/rpc?call=" + call + "&of=" + s.id
}

func (s *server) post(url string, body []byte) error {
	client := &http.Client{Timeout: ackTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

func (s *server) heartbeat() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	body, _ := json.Marshal(map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": s.state, "seq": s.seq, "warmup_left": "0ms"},
	})
	return body
}

func (s *server) beat() {
	if s.firstHeartbeat > 0 {
		time.Sleep(s.firstHeartbeat)
	}
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		silent, send := s.silent, s.sendHeartbeat
		s.mu.Unlock()
		if !silent {
			go send(s.heartbeat())
		}
		select {
		case <-ticker.C:
		case <-s.ended:
			return
		}
	}
}

// leave sends the server's leave call and returns when it was acknowledged.
func (s *server) leave() (time.Time, error) {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	err := s.post(s.rpc("instances.leave"), nil)
	now := time.Now()
	if err == nil {
		s.log.add("server %s: its leave is acknowledged", s.id)
	}
	return now, err
}

type order struct {
	From     int    `json:"from"`
	Target   int    `json:"target"`
	Fence    uint64 `json:"fence"`
	HoldTime string `json:"hold_time"`
}

func (s *server) readOrder(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.From < 0 || o.Target >= keyCount || o.From > o.Target {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (s *server) grant(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	o, ok := s.readOrder(w, r)
	if !ok {
		return
	}
	if s.others != nil {
		s.checkOthers(o, now)
	}
	ttl, err := time.ParseDuration(o.HoldTime)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	for k := o.From; k <= o.Target; k++ {
		if s.keys[k].highest > o.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	until := now.Add(ttl)
	for k := o.From; k <= o.Target; k++ {
		state := &s.keys[k]
		state.fence, state.highest = o.Fence, o.Fence
		state.until = maxTime(state.until, until)
		state.granted = state.until
	}
	if !s.granted {
		s.granted = true
		s.log.add("server %s gets its first grant: keys %d to %d, fence %d, %s", s.name, o.From, o.Target, o.Fence, o.HoldTime)
	}
	s.extendHold(o, now, until)
	w.WriteHeader(http.StatusOK)
}

// checkOthers notes whether another server is still at work on a key of a grant, before
// its hold would have run out.
func (s *server) checkOthers(o order, now time.Time) {
	var found []string
	for _, other := range s.others() {
		if other == s {
			continue
		}
		other.mu.Lock()
		for k := o.From; k <= o.Target; k++ {
			state := other.keys[k]
			if state.running > 0 && now.Before(state.granted) && !other.stopped {
				found = append(found, fmt.Sprintf(
					"%s is given keys %d to %d with fence %d while %s is at work on key %d, %d ms before its hold would have run out",
					s.name, o.From, o.Target, o.Fence, other.name, k, state.granted.Sub(now).Milliseconds()))
			}
		}
		other.mu.Unlock()
	}
	for _, text := range found {
		s.log.add("%s", text)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.early = append(s.early, found...)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// extendHold notes that a range is held until a time. The mutex is held.
func (s *server) extendHold(o order, now, until time.Time) {
	current, ok := s.holds[o.From]
	if ok && now.After(current.end) {
		s.past = append(s.past, *current)
		ok = false
	}
	if !ok {
		current = &hold{server: s.name, fence: o.Fence, begin: now, firstKey: o.From, lastKey: o.Target}
		s.holds[o.From] = current
	}
	current.end = maxTime(current.end, until)
}

func (s *server) endHold(first int, now time.Time) {
	current, ok := s.holds[first]
	if !ok {
		return
	}
	if current.end.After(now) {
		current.end = now
	}
	s.past = append(s.past, *current)
	delete(s.holds, first)
}

func (s *server) release(w http.ResponseWriter, r *http.Request) {
	o, ok := s.readOrder(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for k := o.From; k <= o.Target; k++ {
		if s.keys[k].fence <= o.Fence {
			s.keys[k].until = time.Time{}
		}
	}
	s.endHold(o.From, now)
	for s.atWork(o.From, o.Target) {
		s.idle.Wait()
	}
	w.Header().Set("Handover", fmt.Sprintf("%s-%d-%d", s.id, o.From, o.Fence))
	w.WriteHeader(http.StatusOK)
}

func (s *server) atWork(first, last int) bool {
	for k := first; k <= last; k++ {
		if s.keys[k].running > 0 {
			return true
		}
	}
	return false
}

func (s *server) answerHeader(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots))
}

// begin takes a request in, or returns the status with which it is rejected.
func (s *server) begin(r *http.Request, key int) int {
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		return http.StatusMisdirectedRequest
	}
	for s.running >= s.slots {
		if s.waiting >= queueLength {
			return http.StatusServiceUnavailable
		}
		s.waiting++
		s.idle.Wait()
		s.waiting--
	}
	if s.sharded && time.Now().After(s.keys[key].until) {
		return http.StatusMisdirectedRequest
	}
	s.running++
	s.keys[key].running++
	return 0
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
	if err != nil || key < 0 || key >= keyCount {
		key = 0
	}
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	status := s.begin(r, key)
	s.answerHeader(w, r)
	if status != 0 {
		s.mu.Unlock()
		s.log.add("server %s rejects %s with %d", s.id, id, status)
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(status)
		return
	}
	if r.Method == http.MethodPost {
		s.unsafe++
	}
	s.mu.Unlock()
	s.log.run(s.name, id, r, len(body))
	time.Sleep(s.workOn(key))
	s.mu.Lock()
	s.running--
	if r.Method == http.MethodPost {
		s.unsafe--
	}
	s.keys[key].running--
	s.idle.Broadcast()
	stopped := s.stopped
	lapsed := s.sharded && s.keys[key].until != (time.Time{}) && time.Now().After(s.keys[key].until)
	s.mu.Unlock()
	if stopped {
		return
	}
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%d", s.id, s.stamp.Add(1)))
	if lapsed {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", s.id, id)
}

func (s *server) runsUnsafe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unsafe > 0
}

// setWork sets how long the server works on a request.
func (s *server) setWork(work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = work
}

// longEvery is the number of requests of which one takes longer.
const longEvery = 8

func (s *server) workOn(key int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.longWork > 0 && key/7%longEvery == 0 {
		return s.longWork
	}
	return s.work
}

// allHolds returns all times for which the server has held a range.
func (s *server) allHolds() []hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := append([]hold(nil), s.past...)
	now := time.Now()
	for _, h := range s.holds {
		current := *h
		if current.end.After(now) {
			current.end = now
		}
		list = append(list, current)
	}
	return list
}
