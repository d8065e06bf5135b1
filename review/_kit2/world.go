package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// world is a small deployment on loopback, with the record of what its servers saw.
type world struct {
	root, folder string
	zones        []string
	store        *store
	hosts        []*host
	start        time.Time

	mu     sync.Mutex
	record *os.File
	// holds are the keys' holds so far, by the first key of the range.
	holds map[int][]*hold
	// runs counts the runs of each request.
	runs map[string]int
	// ranAs holds the method, path and query with which each request ran last.
	ranAs      map[string]string
	violations []string
}

// hold is the time for which a server holds a range.
type hold struct {
	server     *server
	fence      uint64
	begin, end time.Time
}

// newWorld returns a deployment without hosts. The project's programs are in target/ of
// the working directory.
func newWorld(recordPath string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "bergamotlead")); err != nil {
		return nil, errors.New("target/bergamotlead isn't built")
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, folder: folder, zones: []string{"zone-a", "zone-b", "zone-c"}, start: time.Now(), holds: map[int][]*hold{}, runs: map[string]int{}, ranAs: map[string]string{}}
	if w.record, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	w.store, err = newStore()
	return w, err
}

// stop ends all processes and removes their folder.
func (w *world) stop() {
	for _, h := range w.hosts {
		h.killNode()
		if h.server != nil {
			h.server.stop()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
	_ = w.record.Close()
}

func (w *world) log(format string, details ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(format, details...)
}

func (w *world) logLocked(format string, details ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, details...))
}

func (w *world) held(s *server, o order, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, h := range w.holds[o.From] {
		if h.server == s && h.fence == o.Fence && now.Before(h.end) {
			h.end = until
			return
		}
	}
	w.holds[o.From] = append(w.holds[o.From], &hold{server: s, fence: o.Fence, begin: now, end: until})
}

func (w *world) released(s *server, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for from, list := range w.holds {
		if from < o.From || from > o.Target {
			continue
		}
		for _, h := range list {
			if h.server == s && now.Before(h.end) {
				h.end = now
			}
		}
	}
}

func (w *world) ran(s *server, id, as string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
	w.ranAs[id] = as
}

// heldRanges returns how many ranges are held now.
func (w *world) heldRanges() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, count := time.Now(), 0
	for _, list := range w.holds {
		for _, h := range list {
			if now.Before(h.end) {
				count++
				break
			}
		}
	}
	return count
}

// awaitServing waits until all nodes are ready and all ranges are held.
func (w *world) awaitServing(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ready := true
		for _, h := range w.hosts {
			ready = ready && h.ready()
		}
		if ready && w.heldRanges() >= 2048 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the deployment doesn't serve within %v: %d ranges held", limit, w.heldRanges())
}

type object = map[string]any

func resource(kind, name string, spec object) object {
	return object{"type": kind, "metadata": object{"name": name}, "spec": spec}
}

const (
	hostHeader  = "mesh.example"
	clientKey   = "2b9wu3fexd9dnn2ctnfz"
	safePath    = "/view/"
	unsafePath  = "/chip/"
	calledPath  = "/check/"
	shardedName = "pot"
	sharedName  = "wishlist"
)

// configuration is the operator's, with a sharded and a shared service.
func configuration(version int) []byte {
	route := func(name, prefix, kind, service, timeout, goal string, public bool) object {
		return resource("routes", name, object{
			"host": hostHeader, "path_prefix": prefix, "kind": kind, "timeout": timeout, "latency_goal": goal,
			"priority": 1, "service": service, "max_attempts": 2, "public": public,
		})
	}
	service := func(name string, sharded bool) object {
		spec := object{"health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false, "warmup": "3s", "warmup_per_s": 12.0}
		if sharded {
			spec["use_shards"], spec["warm"], spec["grants"] = true, "3s", "call"
		}
		return resource("services", name, spec)
	}
	text, _ := json.Marshal(object{"version": version, "resources": []any{
		route("r-view", safePath, "safe", shardedName, "1200ms", "300ms", false),
		route("r-chip", unsafePath, "unsafe", shardedName, "1200ms", "300ms", false),
		route("r-check", calledPath, "safe", sharedName, "5000ms", "800ms", true),
		service(shardedName, true), service(sharedName, false),
		resource("tenants", "huka270", object{"api_keys": []string{clientKey}, "priority": 1, "rate_per_s": 2000, "burst": 2000}),
		resource("limits", "", object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"}),
	}})
	return text
}
