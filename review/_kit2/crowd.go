package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bodyBytes is the size of the crowd's bodies, of which all but missingBytes are sent.
	// The limit of the configuration is 64 MB.
	bodyBytes    = 1_000_000
	missingBytes = 10
	// patience is how long a client of the crowd keeps an unfinished request open.
	patience    = 8 * time.Second
	crowdLength = 60 * time.Second
	// endsToBreak and machinesToBreak are those of the rule: three ends on each of two
	// machines.
	endsToBreak, machinesToBreak = 3, 2
	// ordinaryPause is the time between ordinary requests at a machine.
	ordinaryPause = 100 * time.Millisecond
)

// crowdSize is the number of the crowd's clients at each flooded machine. Each has one
// connection, with one request on it.
const crowdSize = 2000

// unfinishedBody is what the crowd sends of a body.
var unfinishedBody = bytes.Repeat([]byte{'7'}, bodyBytes-missingBytes)

// tally counts answers by status. Index 0 counts requests that ended without one.
type tally [600]atomic.Int64

func (t *tally) String() string {
	text := ""
	for status := range t {
		if n := t[status].Load(); n > 0 {
			text += fmt.Sprintf(" %d: %d", status, n)
		}
	}
	return text
}

// callers are clients at one machine.
type callers struct {
	address string
	name    string
	stopped atomic.Bool
	tally   tally
}

func (c *callers) startCrowd() {
	for i := range crowdSize {
		go func() {
			for k := 0; !c.stopped.Load(); k++ {
				c.upload(fmt.Sprintf("%s%05x%05x", c.name, i, k))
			}
		}()
	}
}

// upload sends a large body of legal size, stops just short of its end, and stays open
// until it gets an answer or loses patience.
func (c *callers) upload(id string) {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		time.Sleep(restartDelay)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience))
	go func() {
		_, _ = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nShard-Key: 77\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
			unsafePath, hostHeader, id, clientKey, bodyBytes)
		_, _ = conn.Write(unfinishedBody)
	}()
	c.count(conn)
}

func (c *callers) count(conn net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.tally[0].Add(1)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	c.tally[response.StatusCode].Add(1)
}

// startOrdinary sends small requests one after the other, each on a new connection.
func (c *callers) startOrdinary() {
	go func() {
		for k := 0; !c.stopped.Load(); k++ {
			c.request(fmt.Sprintf("%s%08x", c.name, k), k*997%keyCount)
			time.Sleep(ordinaryPause)
		}
	}()
}

// request sends a small request on a new connection.
func (c *callers) request(id string, key int) {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		c.tally[0].Add(1)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(conn, "GET %sx HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1200\r\nShard-Key: %d\r\nAuthorization: Bearer %s\r\n\r\n",
		safePath, hostHeader, id, key, clientKey)
	c.count(conn)
}

// crowdOfBodies lets two of four machines be flooded by clients with unfinished bodies.
func crowdOfBodies(w *world, trouble bool) error {
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
	stop := make(chan struct{})
	var watches sync.WaitGroup
	ends := make([]atomic.Int64, len(w.hosts))
	for i, h := range w.hosts {
		watches.Add(1)
		go h.watchMemory(stop, func(why string) {
			w.log("%s: end %d of the process: %s", h.name, ends[i].Add(1), why)
		}, &watches)
	}
	var crowds, ordinary []*callers
	for i, h := range w.hosts {
		o := &callers{address: h.callerAddress, name: fmt.Sprintf("0%d", i)}
		ordinary = append(ordinary, o)
		o.startOrdinary()
		if i >= machinesToBreak || !trouble {
			continue
		}
		c := &callers{address: h.callerAddress, name: fmt.Sprintf("1%d", i)}
		crowds = append(crowds, c)
		c.startCrowd()
	}
	for until := time.Now().Add(crowdLength); time.Now().Before(until) && !broken(ends); {
		time.Sleep(ordinaryPause)
	}
	for _, c := range append(crowds, ordinary...) {
		c.stopped.Store(true)
	}
	close(stop)
	watches.Wait()
	for i, h := range w.hosts {
		w.log("%s: %d ends; ordinary requests:%v; its server: %v", h.name, ends[i].Load(), &ordinary[i].tally, h.server.counts)
	}
	for i, c := range crowds {
		w.log("the crowd at %s, %d clients:%v", w.hosts[i].name, crowdSize, &c.tally)
	}
	if broken(ends) {
		w.violations = append(w.violations, fmt.Sprintf("Fault: with no disruption at their machines, processes ended three times on two of %d machines", len(w.hosts)))
	}
	return nil
}

func broken(ends []atomic.Int64) bool {
	machines := 0
	for i := range ends {
		if ends[i].Load() >= endsToBreak {
			machines++
		}
	}
	return machines >= machinesToBreak
}
