package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// slowCrowd is the number of clients that send a body piece by piece. A process has
	// 4,100 descriptors.
	slowCrowd = 2200
	// pieceBytes of a body are sent each piecePause.
	pieceBytes = 100
	piecePause = 500 * time.Millisecond
	// slowDeadline is how many milliseconds they say they wait.
	slowDeadline = 600_000
	// contact is the bound of the site, and triers the number of clients that try.
	contact = 3 * time.Second
	triers  = 10
	// enoughTriers is that of the rule.
	enoughTriers = 7
	slowLength   = 30 * time.Second
)

// sendPieces sends a large body of legal size piece by piece.
func (c *callers) sendPieces(id string) {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		time.Sleep(ordinaryPause)
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nShard-Key: 77\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		unsafePath, hostHeader, id, slowDeadline, clientKey, bodyBytes)
	ended := make(chan struct{})
	go func() {
		c.count(conn)
		close(ended)
	}()
	for sent := 0; sent < bodyBytes-missingBytes && !c.stopped.Load(); sent += pieceBytes {
		select {
		case <-ended:
			time.Sleep(ordinaryPause)
			return
		case <-time.After(piecePause):
		}
		if _, err := conn.Write([]byte(strings.Repeat("7", pieceBytes))); err != nil {
			return
		}
	}
}

// attempt is a new connection of an ordinary client with one request.
type attempt struct {
	at       time.Time
	client   int
	answered bool
}

// trier opens a new connection for each of its requests.
type trier struct {
	mu       sync.Mutex
	attempts []attempt
}

func (t *trier) loop(c *callers, client int) {
	for k := 0; !c.stopped.Load(); k++ {
		before := c.answers()
		at := time.Now()
		c.request(fmt.Sprintf("%s%08x", c.name, k), k*997%keyCount)
		t.mu.Lock()
		t.attempts = append(t.attempts, attempt{at: at, client: client, answered: c.answers() > before})
		t.mu.Unlock()
		time.Sleep(ordinaryPause)
	}
}

// answers returns the number of answers of any status.
func (c *callers) answers() int64 {
	total := int64(0)
	for status := range c.tally {
		if status > 0 {
			total += c.tally[status].Load()
		}
	}
	return total
}

// longestWithout returns the longest span in which enough clients tried and no attempt got
// an answer.
func longestWithout(attempts []attempt) (time.Time, time.Duration) {
	var begin, bestAt time.Time
	var best time.Duration
	clients := map[int]bool{}
	for _, a := range attempts {
		if a.answered {
			begin, clients = time.Time{}, map[int]bool{}
			continue
		}
		if begin.IsZero() {
			begin = a.at
		}
		clients[a.client] = true
		if span := a.at.Sub(begin); len(clients) >= enoughTriers && span > best {
			best, bestAt = span, begin
		}
	}
	return bestAt, best
}

// piecesKeepOthersOut lets clients at one machine send bodies piece by piece, while others
// try to connect there.
func piecesKeepOthersOut(w *world, trouble bool) error {
	for i := range 4 {
		h, err := w.newHost(fmt.Sprintf("host-%d", i+1), w.zones[i%len(w.zones)], shardedName, true)
		if err != nil {
			return err
		}
		if err := h.startNode(); err != nil {
			return err
		}
		if err := h.startServer(fmt.Sprintf("i-%08x", i+1)); err != nil {
			return err
		}
	}
	w.store.put("op/config", configuration(7))
	if err := w.awaitServing(20 * time.Second); err != nil {
		return err
	}
	w.log("all keys are held")
	h := w.hosts[0]
	slow := &callers{address: h.callerAddress, name: "10"}
	for i := range slowCrowd {
		if !trouble {
			break
		}
		go func() {
			for k := 0; !slow.stopped.Load(); k++ {
				slow.sendPieces(fmt.Sprintf("%s%05x%05x", slow.name, i, k))
			}
		}()
	}
	time.Sleep(contact)
	t := &trier{}
	var clients []*callers
	for i := range triers {
		c := &callers{address: h.callerAddress, name: fmt.Sprintf("0%d", i)}
		clients = append(clients, c)
		go t.loop(c, i)
	}
	ready := true
	for until := time.Now().Add(slowLength); time.Now().Before(until); time.Sleep(time.Second) {
		now := h.ready()
		ready = ready && now
		_, connections := unreadKB(h.callerAddress)
		answered := int64(0)
		for _, c := range clients {
			answered += c.answers()
		}
		w.log("%s ready: %v; connections: %d; answers to ordinary clients so far: %d", h.name, now, connections, answered)
	}
	slow.stopped.Store(true)
	for _, c := range clients {
		c.stopped.Store(true)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	begin, span := longestWithout(t.attempts)
	for i, c := range clients {
		w.log("ordinary client %d:%v", i, &c.tally)
	}
	w.log("clients that send pieces:%v", &slow.tally)
	w.log("longest span without an answer on a new connection: %v, ready all the while: %v", span.Round(time.Millisecond), ready)
	if ready && span >= contact {
		w.violations = append(w.violations, fmt.Sprintf("RECOVER: %s says that it is ready, and from %.3f s on takes no new connection for %v, while %d clients try",
			h.name, begin.Sub(w.start).Seconds(), span.Round(time.Millisecond), triers))
	}
	return nil
}
