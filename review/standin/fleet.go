package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// nodeProgram is the program of the run line in deploy/system.toml.
const nodeProgram = "target/bergamotlead"

// settingsText follows deploy/settings.toml.tmpl, with the figures of the site
// cadeau-dakar.
const settingsText = `host = %q
region = "region-a"
failure_domain = %q
caller_listen = %q
upstream_listen = %q
ready_listen = %q
node_listen = %q
operator_listen = %q
store = %q
capacity = 0.32
%s
[platform]
service = %q
failure_domains = ["zone-a","zone-b","zone-c"]
upstream_heartbeat = "870ms"
shortest_lease = "1000ms"
longest_grant = "10000ms"
drain = "2000ms"
grace = "6s"
retry_ratio = 0.2
retry_reserve = 64
quota_excess = 0.1
quota_window = "5s"
quota_slack = 20
`

// machine is one machine: a node and the server beside it.
type machine struct {
	name, zone, service                           string
	outbound, control, ready, node, operator, app string
	// advertised is the address of a proxy before node, if there is one.
	advertised string
	process    *exec.Cmd
	done       chan struct{}
	server     *server
}

// fleet is a small deployment on loopback.
type fleet struct {
	log      *record
	folder   string
	store    *store
	machines []*machine
	// firstHeartbeat is how long after its start a server sends its first heartbeat.
	firstHeartbeat time.Duration
	// prepare is called with each new server, if it is set.
	prepare func(s *server)

	mu sync.Mutex
	// all are the servers that a case has noted.
	all []*server
}

func (f *fleet) note(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, s)
}

func (f *fleet) noted() []*server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*server(nil), f.all...)
}

// Ports are chosen below the range from which outgoing connections take theirs.
const (
	firstPort = 10000
	portCount = 20000
	// maxTries limits the ports that are tried for one address.
	maxTries = 200
)

// taken holds the ports that this process has chosen.
var taken sync.Map

// loopback returns a loopback address of this process, so that scripts beside each other
// don't take each other's ports.
func loopback(host int) string {
	const nets = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%nets, pid/nets%nets, host)
}

// freeAddress returns an address on which nobody listens.
func freeAddress(ip string) (string, error) {
	for range maxTries {
		port := firstPort + rand.IntN(portCount)
		if _, used := taken.LoadOrStore(port, true); used {
			continue
		}
		address := net.JoinHostPort(ip, fmt.Sprint(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address, nil
	}
	return "", fmt.Errorf("no port is free on %s", ip)
}

func newFleet(log *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &fleet{log: log, folder: folder, store: s}, nil
}

// add adds a machine, whose node and server are not started yet. Proxied says whether
// other nodes reach its node through a proxy, of which link returns the address.
func (f *fleet) add(service string, link func(target string) (string, error)) (*machine, error) {
	number := len(f.machines) + 1
	zone := []string{"zone-a", "zone-b", "zone-c"}[(number-1)%3]
	m := &machine{name: fmt.Sprintf("sidecar-%s-%d", zone, number), zone: zone, service: service}
	for _, address := range []*string{&m.outbound, &m.control, &m.ready, &m.node, &m.operator, &m.app} {
		var err error
		if *address, err = freeAddress(loopback(10 + number)); err != nil {
			return nil, err
		}
	}
	if link != nil {
		var err error
		if m.advertised, err = link(m.node); err != nil {
			return nil, err
		}
	}
	f.machines = append(f.machines, m)
	return m, f.writeSettings(m)
}

func (f *fleet) settingsFile(m *machine) string { return filepath.Join(f.folder, m.name+".toml") }

func (f *fleet) writeSettings(m *machine) error {
	more := ""
	if m.advertised != "" {
		more = fmt.Sprintf("node_address = %q\n", m.advertised)
	}
	text := fmt.Sprintf(settingsText, m.name, m.zone, m.outbound, m.control, m.ready, m.node, m.operator, f.store.address, more, m.service)
	return os.WriteFile(f.settingsFile(m), []byte(text), 0o600)
}

func (f *fleet) startNode(m *machine) error {
	output, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.process = exec.Command(nodeProgram, f.settingsFile(m))
	m.process.Env = append(os.Environ(), "BERGAMOTLEAD_CONFIG="+f.settingsFile(m))
	m.process.Stdout, m.process.Stderr = output, output
	if err := m.process.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.done = done
	process := m.process
	go func() {
		_ = process.Wait()
		startedNodes.Delete(process.Process.Pid)
		_ = output.Close()
		close(done)
	}()
	startedNodes.Store(process.Process.Pid, process.Process)
	f.log.add("node %s starts (pid %d, %s %s)", m.name, m.process.Process.Pid, nodeProgram, filepath.Base(f.settingsFile(m)))
	return nil
}

// startedNodes holds the node processes that have not ended.
var startedNodes sync.Map

// stopAll kills all node processes.
func stopAll() {
	startedNodes.Range(func(_, process any) bool {
		_ = process.(*os.Process).Kill()
		return true
	})
}

func (m *machine) signal(s syscall.Signal) { _ = m.process.Process.Signal(s) }

func (f *fleet) killNode(m *machine) {
	m.signal(syscall.SIGKILL)
	<-m.done
	f.log.add("node %s is killed", m.name)
}

// startServer starts a server beside a node.
func (f *fleet) startServer(m *machine, id string, work time.Duration) error {
	m.server = newServer(f.log, id, m.service, m.service == servicePot, work, m.app, m.control)
	m.server.zone, m.server.firstHeartbeat = m.zone, f.firstHeartbeat
	if f.prepare != nil {
		f.prepare(m.server)
	}
	return m.server.start()
}

func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.process != nil {
			m.signal(syscall.SIGKILL)
			<-m.done
		}
		if m.server != nil {
			m.server.stop()
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs in", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

const (
	servicePot      = "pot"
	serviceWishlist = "wishlist"
	clientKey       = "2b9wu3fexd9dnn2ctnfz"
	hostName        = "pool.example"
)

// putConfig writes the operator's configuration.
func (f *fleet) putConfig(version int) {
	route := func(name, prefix, kind, service, timeout, goal string, priority int) map[string]any {
		return map[string]any{"type": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
			"host": hostName, "path_prefix": prefix, "kind": kind, "timeout": timeout, "latency_goal": goal,
			"priority": priority, "service": service, "max_attempts": 2, "public": false,
		}}
	}
	config := map[string]any{"version": version, "resources": []any{
		route("pot-view", "/view/", "safe", servicePot, "1200ms", "300ms", 2),
		route("chip-in", "/chip/", "unsafe", servicePot, "800ms", "400ms", 1),
		route("wish-browse", "/wish/", "safe", serviceWishlist, "1200ms", "600ms", 2),
		map[string]any{"type": "services", "metadata": map[string]any{"name": servicePot}, "spec": map[string]any{
			"health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false, "warmup": "3s", "warmup_per_s": 12.0,
			"use_shards": true, "warm": "3s", "grants": "call",
		}},
		map[string]any{"type": "services", "metadata": map[string]any{"name": serviceWishlist}, "spec": map[string]any{
			"health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false, "warmup": "3s", "warmup_per_s": 12.0,
		}},
		map[string]any{"type": "tenants", "metadata": map[string]any{"name": "huka270"}, "spec": map[string]any{
			"api_keys": []string{clientKey}, "priority": 1, "rate_per_s": 400, "burst": 400,
		}},
		map[string]any{"type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
		}},
	}}
	text, _ := json.Marshal(config)
	f.store.put("op/config", text)
	f.log.add("the operator writes version %d", version)
}

// await waits until a condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// ready reports whether the node answers the platform's readiness question with 200.
func (m *machine) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.ready + "/bergamotlead/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// heldKeys returns how many keys the servers hold together.
func (f *fleet) heldKeys() int {
	count := 0
	for _, m := range f.machines {
		if m.server == nil || !m.server.sharded {
			continue
		}
		m.server.mu.Lock()
		now := time.Now()
		for k := range m.server.keys {
			if now.Before(m.server.keys[k].until) {
				count++
			}
		}
		m.server.mu.Unlock()
	}
	return count
}

// startAll starts the nodes and servers of all machines and waits until all is served.
func (f *fleet) startAll(work time.Duration) error {
	f.putConfig(7)
	for i, m := range f.machines {
		if err := f.startNode(m); err != nil {
			return err
		}
		if err := f.startServer(m, fmt.Sprintf("i-%08x", 0x7f3a9100+i), work); err != nil {
			return err
		}
	}
	ok := await(20*time.Second, func() bool {
		for _, m := range f.machines {
			if !m.isReady() {
				return false
			}
		}
		return f.heldKeys() == keyCount
	})
	if !ok {
		return fmt.Errorf("the fleet serves nothing: %d keys are held; %s", f.heldKeys(), f.notReady())
	}
	f.log.add("all nodes are ready, and all keys are held")
	return nil
}

// notReady names the nodes that are not ready, with the last line of their output.
func (f *fleet) notReady() string {
	var list []string
	for _, m := range f.machines {
		if m.process == nil || m.isReady() {
			continue
		}
		output, _ := os.ReadFile(filepath.Join(f.folder, m.name+".log"))
		lines := strings.Split(strings.TrimSpace(string(output)), "\n")
		list = append(list, m.name+": "+lines[len(lines)-1])
	}
	return "not ready: " + strings.Join(list, "; ")
}

// answer is what a client got.
type answer struct {
	id, path       string
	machine        string
	sent, answered time.Time
	status         int
	stamp, body    string
	failure        string
	unsafe         bool
}

type client struct {
	http *http.Client
	f    *fleet
}

func newClient(f *fleet) *client {
	return &client{f: f, http: &http.Client{
		Timeout:   5 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true},
	}}
}

// send sends one request to a node and records the answer.
func (c *client) send(m *machine, id, method, path string, key int, deadline time.Duration) answer {
	a := answer{id: id, path: path, machine: m.name, sent: time.Now(), unsafe: method == http.MethodPost}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("share of " + id)
	}
	request, _ := http.NewRequest(method, "http://"+m.outbound+path, body)
	request.Host = hostName
	request.Header["Request-Id"] = []string{id}
	request.Header["Deadline-Ms"] = []string{fmt.Sprint(deadline.Milliseconds())}
	request.Header["Authorization"] = []string{"Bearer " + clientKey}
	if key >= 0 {
		request.Header["Shard-Key"] = []string{fmt.Sprint(key)}
	}
	c.f.log.add("client sends %s %s %s (key %d) to %s", id, method, path, key, m.name)
	response, err := c.http.Do(request)
	a.answered = time.Now()
	if err != nil {
		a.failure = err.Error()
		c.f.log.add("client gets no answer to %s: %v", id, err)
		return a
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		a.failure = err.Error()
	}
	a.status, a.stamp, a.body = response.StatusCode, response.Header.Get("Server-Stamp"), string(text)
	c.f.log.add("client gets %d to %s after %d ms, stamp %q", a.status, id, a.answered.Sub(a.sent).Milliseconds(), a.stamp)
	return a
}
