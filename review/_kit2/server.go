package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	keyCount = 65536
	// rangeKeys is the number of keys that the product grants at once.
	rangeKeys = 32
)

// server is an application server that holds keys.
type server struct {
	world   *world
	host    *host
	id      string
	address string
	born    int64

	listener net.Listener

	mu      sync.Mutex
	state   string
	seq     int
	stopped bool
	// suspendedAt is when the server began to stand still, or zero.
	suspendedAt time.Time
	fence       [keyCount]uint64
	until       [keyCount]time.Time
	highest     [keyCount]uint64
	running     map[int]int
	idle        *sync.Cond
	slots       int
	busy        int
	workTime    time.Duration
	counts      map[string]int
}

func newServer(w *world, h *host, id string) (*server, error) {
	listener, err := net.Listen("tcp", h.appAddress)
	if err != nil {
		return nil, err
	}
	s := &server{
		world: w, host: h, id: id, address: listener.Addr().String(), born: time.Now().UnixMilli(), listener: listener,
		state: "ready", running: map[int]int{}, slots: 6, workTime: 60 * time.Millisecond, counts: map[string]int{},
	}
	s.idle = sync.NewCond(&s.mu)
	go s.accept()
	go s.beatLoop()
	return s, nil
}

func (s *server) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	_ = s.listener.Close()
}

func (s *server) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

func (s *server) beatLoop() {
	for !s.isStopped() {
		s.mu.Lock()
		s.awake()
		s.mu.Unlock()
		s.beat()
		time.Sleep(870 * time.Millisecond)
	}
}

func (s *server) beat() {
	s.mu.Lock()
	s.seq++
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"warmup_left":"0ms"}}`,
		s.address, s.born, s.host.service, s.host.zone, s.slots, s.state, s.seq)
	s.mu.Unlock()
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+s.host.controlAddress+"/bergamotlead/rpc?call=instances.heartbeat&of="+s.id, "application/json", strings.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// reply is a response of the server.
type reply struct {
	status int
	header map[string]string
	body   string
}

func (r reply) encode(closing bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if closing {
		b.WriteString("Connection: close\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	return b.Bytes()
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || s.isStopped() {
			return
		}
		encoded := s.handle(request, body).encode(request.Close)
		if _, err := conn.Write(encoded); err != nil || request.Close {
			return
		}
	}
}

// order is the body of a grant or a release.
type order struct {
	From     int    `json:"from"`
	Target   int    `json:"target"`
	Fence    uint64 `json:"fence"`
	HoldTime string `json:"hold_time"`
	Handover string `json:"handover"`
}

func (s *server) handle(request *http.Request, body []byte) reply {
	if expected := request.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		return reply{status: http.StatusMisdirectedRequest, header: map[string]string{"Not-Executed": "1", "Instance-Id": s.id}}
	}
	switch request.URL.Path {
	case "/bergamotlead/grant", "/bergamotlead/release":
		var o order
		if json.Unmarshal(body, &o) != nil || o.From < 0 || o.Target >= keyCount || o.From > o.Target {
			return reply{status: http.StatusBadRequest}
		}
		if request.URL.Path == "/bergamotlead/release" {
			return s.release(o)
		}
		return s.grant(o)
	}
	return s.run(request)
}

func (s *server) grant(o order) reply {
	hold, err := time.ParseDuration(o.HoldTime)
	if err != nil {
		return reply{status: http.StatusBadRequest}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awake()
	arrived := time.Now()
	s.counts["grants"]++
	if !s.take(o, arrived.Add(hold)) {
		return reply{status: http.StatusConflict}
	}
	return reply{status: http.StatusOK}
}

// take carries a grant out, unless the server has seen a higher fence on one of the keys.
// The mutex is held.
func (s *server) take(o order, until time.Time) bool {
	for k := o.From; k <= o.Target; k++ {
		if s.highest[k] > o.Fence {
			return false
		}
	}
	for k := o.From; k <= o.Target; k++ {
		s.fence[k], s.until[k] = o.Fence, until
		s.highest[k] = max(s.highest[k], o.Fence)
	}
	s.world.held(s, o, until)
	return true
}

func (s *server) release(o order) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awake()
	s.counts["releases"]++
	for k := o.From; k <= o.Target; k++ {
		s.fence[k], s.until[k] = 0, time.Time{}
	}
	s.world.released(s, o)
	for s.workOn(o) {
		s.idle.Wait()
	}
	return reply{status: http.StatusOK, header: map[string]string{"Handover": fmt.Sprintf("%016x", time.Now().UnixNano())}}
}

func (s *server) workOn(o order) bool {
	for key := range s.running {
		if key >= o.From && key <= o.Target {
			return true
		}
	}
	return false
}

// run runs a request.
func (s *server) run(request *http.Request) reply {
	id := request.Header.Get("Request-Id")
	header := map[string]string{"Request-Id": id, "Server-Load": "1,0," + strconv.Itoa(s.slots) + ",100"}
	key := -1
	if text := request.Header.Get("Shard-Key"); text != "" && s.host.sharded {
		key, _ = strconv.Atoi(text)
	}
	s.mu.Lock()
	if key >= 0 && (s.fence[key] == 0 || !time.Now().Before(s.until[key])) {
		s.mu.Unlock()
		header["Not-Executed"] = "1"
		return reply{status: http.StatusMisdirectedRequest, header: header}
	}
	if s.busy >= s.slots {
		s.mu.Unlock()
		header["Not-Executed"] = "1"
		return reply{status: http.StatusServiceUnavailable, header: header}
	}
	s.busy++
	s.running[key]++
	s.counts["requests run"]++
	work := s.workTime
	s.mu.Unlock()
	s.world.ran(s, id, request.Method+" "+request.RequestURI)
	time.Sleep(work)
	s.mu.Lock()
	s.busy--
	if s.running[key]--; s.running[key] == 0 {
		delete(s.running, key)
	}
	s.idle.Broadcast()
	s.mu.Unlock()
	header["Server-Stamp"] = s.id + "." + id
	return reply{status: http.StatusOK, header: header, body: "ran " + id}
}
