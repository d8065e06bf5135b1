package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	server, id, method, uri, caller, tenant string
	at                                      time.Time
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	text  *bufio.Writer
	runs  []run
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, text: bufio.NewWriter(file)}, nil
}

func (l *record) add(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write(time.Now(), fmt.Sprintf(format, values...))
}

func (l *record) write(at time.Time, text string) {
	_, _ = fmt.Fprintf(l.text, "%9.3f s  %s\n", at.Sub(l.start).Seconds(), text)
}

func (l *record) run(server, id string, r *http.Request, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.runs = append(l.runs, run{
		server: server, id: id, method: r.Method, uri: r.RequestURI, caller: r.Header.Get("Caller-Service"), tenant: r.Header.Get("Tenant"), at: now,
	})
	l.write(now, fmt.Sprintf("server %s runs %s %s %s (key %s, caller %s, %d bytes)",
		server, id, r.Method, r.RequestURI, r.Header.Get("Shard-Key"), r.Header.Get("Caller-Service"), bytes))
}

func (l *record) allRuns() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

func (l *record) seconds(at time.Time) float64 { return at.Sub(l.start).Seconds() }

func (l *record) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.text.Flush()
	_ = l.file.Close()
}
