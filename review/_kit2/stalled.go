package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// uploadBytes is the size of the uploads, and startBytes what is sent of one before it
	// stops.
	uploadBytes = 300_000
	startBytes  = 100_000
	uploads     = 24
	// uploadDeadline is how long their clients wait.
	uploadDeadline = 20 * time.Second
	// routeTimeout is that of the route, and answerWithin the bound of the rule after it.
	// answerSlack allows for the measurement.
	routeTimeout = 1200 * time.Millisecond
	answerWithin = 500 * time.Millisecond
	answerSlack  = 300 * time.Millisecond
	// lateEnough is the number of late answers that breaks the rule, if they are more than a
	// part in lateShare of the requests that last so long.
	lateEnough, lateShare = 8, 4
)

// finalAnswers sends uploads to servers that take longer than the route's timeout. With
// trouble the clients stop before the end of the body and stay open.
func finalAnswers(w *world, trouble bool) error {
	for i := range 3 {
		h, err := w.newHost(fmt.Sprintf("host-%d", i+1), w.zones[i], shardedName, true)
		if err != nil {
			return err
		}
		if err := h.startNode(); err != nil {
			return err
		}
		if err := h.startServer(fmt.Sprintf("i-%08x", i+1)); err != nil {
			return err
		}
		h.server.workTime, h.server.slots = 3*time.Second, uploads
	}
	w.store.put("op/config", configuration(7))
	if err := w.awaitServing(20 * time.Second); err != nil {
		return err
	}
	w.log("all keys are held")
	var mu sync.Mutex
	long, late := 0, 0
	var clients sync.WaitGroup
	for i := range uploads {
		clients.Add(1)
		go func() {
			defer clients.Done()
			h := w.hosts[i%len(w.hosts)]
			id := fmt.Sprintf("%016x", i)
			took, status := upload(h, id, i*2731%keyCount, trouble)
			w.log("to %s: %s %d after %v", h.name, id, status, took.Round(time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			if took >= routeTimeout {
				long++
			}
			if took > routeTimeout+answerWithin+answerSlack {
				late++
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	clients.Wait()
	w.log("%d requests lasted longer than the timeout of the route, %v; %d had no final answer %v after it", long, routeTimeout, late, answerWithin)
	if late >= lateEnough && late*lateShare > long {
		w.violations = append(w.violations, fmt.Sprintf("CONFIG: of %d requests that lasted longer than the timeout of their route, %d had no final answer %v after it", long, late, answerWithin))
	}
	return nil
}

// upload sends an upload, or only its start, and returns the time from the last byte to the
// answer, and its status.
func upload(h *host, id string, key int, stops bool) (time.Duration, int) {
	conn, err := net.DialTimeout("tcp", h.callerAddress, time.Second)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(uploadDeadline))
	_, _ = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nShard-Key: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		unsafePath, hostHeader, id, uploadDeadline.Milliseconds(), key, clientKey, uploadBytes)
	body := unfinishedBody[:uploadBytes]
	if stops {
		body = body[:startBytes]
	}
	_, _ = conn.Write(body)
	sent := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return time.Since(sent), 0
	}
	took := time.Since(sent)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return took, response.StatusCode
}
