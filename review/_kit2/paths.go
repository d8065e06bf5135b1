package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// plainPaths are made of what RFC 3986 allows, and oddPaths of what browsers and curl send
// besides: a bar as it is, and letters of other languages as UTF-8.
var (
	plainPaths = []string{"a/b", "a%2Fb", "a%2Fb%7Cc", "..%2Fb", "a/b?x=1&y=2", "caf%C3%A9"}
	oddPaths   = []string{"a/b|c", "a%2Fb|c", "..%2Fb|c", "a%2Fb/caf\u00e9", "caf\u00e9?x=1"}
)

// pathsAreKept sends requests with odd paths to each machine, and compares what the servers run.
func pathsAreKept(w *world, trouble bool) error {
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
	}
	w.store.put("op/config", configuration(7))
	if err := w.awaitServing(20 * time.Second); err != nil {
		return err
	}
	w.log("all keys are held")
	paths := plainPaths
	if trouble {
		paths = append(paths, oddPaths...)
	}
	number := 0
	for _, prefix := range []string{safePath, unsafePath} {
		for _, path := range paths {
			for _, h := range w.hosts {
				number++
				id := fmt.Sprintf("%016x", number)
				method := http.MethodGet
				if prefix == unsafePath {
					method = http.MethodPost
				}
				sent := method + " " + prefix + path
				status, err := w.send(h, sent, id, number*4111%keyCount)
				w.mu.Lock()
				ran, ok := w.ranAs[id]
				w.logLocked("to %s: %s %s; answer: %d %v; a server ran: %s", h.name, id, sent, status, err, ran)
				if ok && ran != sent {
					w.violations = append(w.violations, fmt.Sprintf("UNASKED: the client sent %q, and a server ran %q", sent, ran))
				}
				w.mu.Unlock()
				if !trouble && !ok {
					return fmt.Errorf("%s wasn't run: %d %w", sent, status, err)
				}
			}
		}
	}
	return nil
}

// send sends a request line as it is, and returns the status of the answer.
func (w *world) send(h *host, line, id string, key int) (int, error) {
	status, _, err := w.exchange(h, line, id, key)
	return status, err
}

// exchange sends a request line as it is, and returns the status and the header of the answer.
func (w *world) exchange(h *host, line, id string, key int) (int, http.Header, error) {
	conn, err := net.DialTimeout("tcp", h.callerAddress, time.Second)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1200\r\nShard-Key: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n",
		line, hostHeader, id, key, clientKey)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header, response.Body.Close()
}
